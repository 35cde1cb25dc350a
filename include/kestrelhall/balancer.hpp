// kestrelhall: the decisions of a sidecar balancer, without I/O and without a clock.
//
// One Balancer serves one sidecar. Feed it every event in order with the time at which it happened and carry
// out the actions it appends, in their order, at that same time. Times are milliseconds on any clock that
// never goes back. Servers, zones, requests and peers are named by integers that the caller chooses; their
// values carry no meaning. Same settings, seed and events give the same actions.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace kestrelhall {

using Millis = double;
using ServerId = std::uint32_t;
using ZoneId = std::uint32_t;
using KindId = std::uint32_t;
using RequestId = std::uint64_t;
using TimerToken = std::uint64_t;

// ---- Settings -------------------------------------------------------------------------------------------

// Whether an effect may happen twice: freely, within a group of servers that drops repeats, or never.
enum class Effect { repeatable, by_key, once };

// Which servers share the memory of keys already seen (for Effect::by_key).
enum class DedupScope { all, zone, cell };

struct RequestClass {
    Effect effect = Effect::once;
    DedupScope dedup_scope = DedupScope::cell;
    // Repeats are dropped this long after the first attempt that may have run was sent.
    Millis dedup_window = 0;
    Millis aim = 1000;       // an answer within this earns full worth
    double aim_stretch = 0;  // the aim grows by this multiple of the request's own effort
    double worth = 1;        // of one request, against other classes
    // Placement, at every attempt: the zones and machine kinds open to the class; not given: all of them.
    std::optional<std::vector<ZoneId>> zones{};
    std::optional<std::vector<KindId>> kinds{};
};

// Prices in shares of the whole result, as operators state them; 0 leaves a matter out of account.
struct Fees {
    double cross_zone = 0;  // for each attempt that leaves the zone
};

struct Settings {
    std::vector<RequestClass> classes;  // at least one
    std::optional<ZoneId> my_zone;
    std::uint32_t siblings = 1;             // sidecars that share these servers, this one included
    std::optional<std::uint32_t> number{};  // of this one among them; not given: one is drawn
    bool list_on_request = false;           // the server list must be subscribed to,
    Millis ask_within = 0;                  // and a failed subscription renewed within this (0: no such rule)
    std::uint32_t max_attempts = 3;         // for one request, the first included
    bool parallel_tries = false;            // two attempts of one request may be out together
    bool may_cancel = true;                 // Cancel is permitted
    double cold_from = 1;       // a starting server has at least this share of its capacity, 0 to 1
    Millis warm_within = 0;     // and all of it after this
    double fall_multiple = 2;   // sent more than this multiple of what it can do, a cold server falls over
    Millis fall_within = 1000;  // counted over any span of this length
    bool saturated_is_no_proof = false;   // Outcome::saturated may have run
    std::vector<double> tenant_shares{};  // of the service, by tenant; empty: no tenants
    double over_share_worth = 1;          // the part of its worth a request keeps beyond its tenant's share
    // A server at which a connection broke with a request out is the last choice of every class for so long;
    // of the servers a quarter at most: one that goes down and up breaks one connection after another. 0: no
    // such time, its windows alone tell.
    Millis doubt = 0;
    Fees fees;
};

// ---- Events ---------------------------------------------------------------------------------------------

enum class Phase { on, fading, off };

struct ServerInfo {
    ServerId id = 0;
    ZoneId zone = 0;
    std::uint32_t cell = 0;  // of DedupScope::cell
    Phase phase = Phase::on;
    Millis online_since = 0;  // when it last started; 0: long ago
    KindId kind = 0;          // of machine
    double part = 1;          // ours of what it can do while it starts, where others on this side share it
    std::uint64_t name_hash = 0;  // the same at every sidecar
    bool operator==(const ServerInfo&) const = default;
};

// incremental: changed entries only. full: the whole list. saved: the whole list as last held before this
// start, possibly stale. failed: a call failed or the subscription broke; the list held stays in force.
enum class ListKind { incremental, full, saved, failed };

enum class Outcome {
    completed,
    errored,             // the server said so; it may have run
    saturated,           // turned away; never ran, unless Settings::saturated_is_no_proof
    overdue,             // no answer in time; may have run or be running
    refused_connection,  // no connection; never ran
    severed,             // connection lost while out; may have run
    link_lost,   // a connection that had served before broke with nothing heard; may have run, and says
                 // nothing of the server
    recalled,    // withdrawn by us; may have run
    superseded,  // not issued at all; never ran
    not_sent     // for want of our own connections or descriptors; never ran, and is nobody's failure
};

struct Started {};  // the first event of a life; a list of kind saved follows
struct ServerList {
    ListKind kind = ListKind::full;
    std::vector<ServerInfo> servers{};
};
struct RequestArrived {
    RequestId id = 0;               // never used twice
    std::uint32_t class_index = 0;  // into Settings::classes; out of range: handled with most care
    Millis time_left = 0;           // until the client abandons this try
    Millis effort = 0;              // expected work, 0 if not known
    bool repeat = false;            // known to be the client's retry
    std::uint32_t tenant = ~0U;     // into Settings::tenant_shares; out of range: none
    // The server that keeps what the request needs (a session): it goes there alone, and is refused at once
    // where that one takes nothing new. 0: anywhere.
    ServerId bound_to = 0;
    // The servers worth it for this one, as far as the caller can tell: of those that may take it the two
    // drawn are two of these; where none of these may, of all. Empty: all. They bind nobody: removal, trials
    // and starting servers are decided as for any other request. Names of servers not known are left out.
    std::vector<ServerId> candidates{};
};
struct FirstByte {  // a streamed answer has begun; the attempt belongs to the client from here on
    RequestId id = 0;
    std::uint32_t attempt = 0;
};
struct AttemptEnded {
    RequestId id = 0;
    std::uint32_t attempt = 0;  // attempts of one request count from 0 in the order of their Send
    Outcome outcome = Outcome::completed;
    Millis duration = 0;
    bool request_ended = false;  // the client has its final answer, by this outcome or before
};
struct ClientGone {
    RequestId id = 0;
};
struct TimerFired {
    TimerToken token = 0;
};
struct ProbeEnded {
    ServerId server = 0;
    Outcome outcome = Outcome::completed;
    Millis duration = 0;
};
struct PeerMessage {
    std::uint32_t from = 0;
    std::vector<std::uint8_t> bytes{};
};
using Event = std::variant<Started, ServerList, RequestArrived, FirstByte, AttemptEnded, ClientGone,
                           TimerFired, ProbeEnded, PeerMessage>;

// ---- Actions --------------------------------------------------------------------------------------------
// A caller must be able to carry out all of them; the present decisions use no Probe, CloseIdle, TellPeer and
// FetchList, as none has paid so far.

struct Send {
    RequestId id = 0;
    ServerId server = 0;
    Millis try_until = 0;  // the caller ends the attempt as overdue at this time
    // What has not been written whole by then must not be any more: the caller ends it, as one that never
    // ran where that is so. At most try_until; 0: the same.
    Millis begin_by = 0;
};
struct Cancel {
    RequestId id = 0;
    std::uint32_t attempt = 0;
};
struct Refuse {  // final: trying again is harmless
    RequestId id = 0;
    Millis retry_in = 0;  // 0: no advice
};
struct GiveUp {  // final: failed, promises nothing
    RequestId id = 0;
};
struct SetTimer {
    Millis at = 0;
    TimerToken token = 0;
};
// This timer is not wanted any more. A caller may ignore it: a token that the module does not know has no
// effect.
struct DropTimer {
    TimerToken token = 0;
};
struct Probe {
    ServerId server = 0;
};
struct CloseIdle {
    ServerId server = 0;
};
struct TellPeer {
    std::optional<std::uint32_t> to{};  // none: all of them
    std::vector<std::uint8_t> bytes{};
};
struct Subscribe {
    bool active = true;
};
struct FetchList {};
struct Log {
    std::string text{};
    std::optional<ServerId> server{};  // whom it is about
};
using Action = std::variant<Send, Cancel, Refuse, GiveUp, SetTimer, Probe, CloseIdle, TellPeer, Subscribe,
                            FetchList, Log, DropTimer>;

// ---- The balancer ---------------------------------------------------------------------------------------

class Balancer {
public:
    // Throws std::invalid_argument naming the setting that makes no sense.
    Balancer(Settings settings, std::uint64_t seed);
    ~Balancer();
    Balancer(Balancer&&) noexcept;
    Balancer& operator=(Balancer&&) noexcept;

    // Appends to actions. Events about unknown or finished things have no effect.
    void handle(Millis now, const Event& event, std::vector<Action>& actions);

    // Held at present: what this instance costs in memory.
    struct Held {
        std::size_t requests = 0, servers = 0, timers = 0;
        std::size_t waiting = 0;  // entries of the queue for room
        std::size_t notes = 0;    // estimates by class, kind and place; shuns
        std::size_t in_use = 0;   // servers of our part of the pool
    };
    Held held() const;

    // For tests and benchmarks: servers looked at by decisions so far, and whether the sums that decisions
    // use agree with a pass over all servers.
    std::uint64_t looked() const;
    bool sums_agree() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace kestrelhall
