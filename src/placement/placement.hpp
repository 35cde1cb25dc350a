// Which of a service's model servers are worth it for a request: what each keeps of its prompt, how busy each
// is, and where it stands, as far as one process knows from what it has sent itself and from `Server-Load`.
//
// One Placement serves one service. Tell it of the list (set_servers), of each attempt (sent, began, ended)
// and of each load seen; ask it for candidates before a request goes to its pool (Arrival::candidates). Pure:
// no I/O and no clock; times are milliseconds on any clock that never goes back. Events about sends or
// servers not known have no effect. Candidates are a preference: what may be sent where is the pool's to say.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "placement/fading_sum.hpp"
#include "placement/kept_parts.hpp"
#include "placement/mechanisms.hpp"
#include "placement/prompt.hpp"
#include "placement/start_rates.hpp"

namespace whinledge::placement {

using SendId = std::uint64_t;  // the caller's; one for each attempt, never used twice

struct Settings {
    std::string zone{};  // of this process; empty: crossing costs nothing
    Mechanisms mechanisms{};

    // A server's work, on an idle machine.
    double prefill_tokens_per_ms = 32.4;
    Millis step_ms = 6;          // for each token put out
    Millis crowded_step_ms = 1;  // more for each, where all slots run; a share of it where fewer do
    double cold_slowdown = 1;    // more of its own time, in shares, where it is slow from its start
    int slots = 8;               // where neither the list nor a load tells
    std::int64_t memory_tokens = 100000;

    // Crossing between zones, in the milliseconds that it is as bad as: what a wait costs only where a
    // program is late by it, bytes between zones cost each time.
    Millis crossing_ms = 12;
    double crossing_ms_per_kilobyte = 1.5;

    // Another copy of shared parts costs this multiple of their reading on top: it takes memory from others.
    double copy_price = 0.5;
    // Each shared start has so many times the servers that its part of the traffic would fill, two at least,
    // in each zone that asks.
    double spread = 3;
    // What a server is preferred by that every process of a zone alike takes for the home of a program, while
    // no server is known to keep what the line has.
    Millis home_ms = 60;
    // Of a line with earlier turns that other processes have sent, its home is taken to keep this share.
    double home_trust = 0.5;

    // The two cheapest servers are worth it, unless the first saves more than the second by this, in reading
    // and crossing: evening out between the two is worth less.
    Millis sole_ms = 15;

    // A server that has not begun what was sent to it after this multiple of the time that servers take of
    // late, and not before the least, may hang: its answer is put off by so much. A preference, no verdict.
    double silence_multiple = 5;
    Millis least_silence_ms = 400;
    Millis silence_cost_ms = 400;

    Millis load_memory_ms = 2000;  // a load seen that long ago says little of now
    Millis told_age_ms = 200;      // nor does what other processes told that long ago
    Millis traffic_memory_ms = 20000;
};

// A server as the platform's list has it.
struct ListedServer {
    std::string id;  // of its start; names it from here on
    std::string zone{};
    bool draining = false;
    Millis cold_left_ms = 0;
    int slots = 0;  // 0: not told
};

struct Request {
    std::uint64_t model = 0;          // name_hash() of `Model-Name`, with its version where that matters
    std::vector<PromptPart> parts{};  // parse_prompt_start()
    TokenCount tokens{};              // parse_token_count()
    std::int64_t bytes = 0;           // that cross where it goes to another zone, its answer's included
    std::uint64_t line = 0;           // name_hash() of `Session`, of turns of a program; 0: none
    // name_hash() of `Program`: all its lines begin with what the first of them has; 0: none.
    std::uint64_t program = 0;
    bool continues = false;  // the line has earlier turns (`Previous`)
};

// `Server-Load`.
struct Load {
    int running = 0, waiting = 0, slots = 0;
};

// "running,waiting,slots"; false: it can't be read. Figures that no server has are cut.
bool parse_load(std::string_view text, Load& load);

// What a request would cost at one server, in milliseconds.
struct Estimate {
    std::string_view server;        // valid until the next set_servers()
    std::uint64_t server_hash = 0;  // name_hash() of it
    Millis prefill = 0;             // of what it does not keep, behind what we have sent it to read
    Millis decode = 0;              // of the most out, beside what else runs there
    Millis queue = 0;               // until a slot is free
    Millis crossing = 0;
    Millis silence = 0;  // for what has waited there for its first token for too long
    Millis strayed = 0;  // beyond those that share its start, or away from its line's home
    // By what it keeps, and what a line's home is taken to keep, less crossing; in no sum.
    Millis saved = 0;
    Millis due = 0;  // of the reading, what is owed once by those that share its start
    Millis total() const { return prefill + decode + queue + crossing + silence + strayed - due; }
};

// A shared beginning as other processes have seen it.
struct ToldStart {
    std::uint64_t id = 0;  // of its last part, with the model's
    double share = 0;      // of the service's requests, 0 to 1
};

class Placement {
public:
    explicit Placement(Settings settings = {});

    // Others from here on; what is known of the servers stays.
    void change(Settings settings) { settings_ = std::move(settings); }
    void set_mechanisms(const Mechanisms& mechanisms) { settings_.mechanisms = mechanisms; }
    // The whole list; what is known of servers that it does not name is forgotten.
    void set_servers(const std::vector<ListedServer>& servers, Millis now);

    // Ids of the servers worth it, the cheapest first. Empty: all, as nothing is told of the prompt, or none
    // takes anything new. Counts as a request of the traffic: ask once for each.
    std::vector<std::string> candidates(const Request& request, Millis now);
    // Of all servers that take something new, in the list's order.
    std::vector<Estimate> estimates(const Request& request, Millis now) const;

    // An attempt has gone out.
    void sent(SendId send, std::string_view server, const Request& request, Millis now);
    // Its first token has come, so its prompt has been read.
    void began(SendId send, Millis now);
    // It has ended. not `ran`: it never ran there, so nothing of it is kept.
    void ended(SendId send, bool ran, Millis now);
    void load_seen(std::string_view server, const Load& load, Millis now);

    struct ServerRequests {
        std::uint32_t server = 0;  // key_of()
        int requests = 0;
    };
    // What this process has under way, for others to know: of servers where that is anything.
    std::vector<ServerRequests> own_requests() const;
    // Up to so many servers whose requests from other processes are to be asked for: those of the own zone
    // first, all others in turns.
    std::vector<std::uint32_t> servers_to_ask(std::size_t most);
    // What other processes have under way at servers, as of so long ago; those not known have no effect. What
    // is old says little: all processes would go together to whoever was idle then.
    void others_told(const std::vector<ServerRequests>& at_servers, Millis age, Millis now);

    // Which shared beginnings are busiest of late, by what came through here, and how often requests came.
    std::vector<BusyStart> busiest(std::size_t most, Millis now) const { return starts_.busiest(most, now); }
    double request_rate(Millis now) const { return starts_.request_rate(now); }
    // What other processes have seen: beginnings that are shared, and which share of the service's requests
    // begins so. In place of what was told before. A hint: it counts as much as 50 requests that came through
    // here.
    void set_told_starts(std::vector<ToldStart> starts);

    // Whether an attempt has waited for its first token for so long that its server may hang.
    bool is_overdue(SendId send, Millis now) const;

    // What the request needs of an idle server that keeps nothing of its prompt.
    Millis idle_ms(const Request& request) const;

    std::size_t sends() const { return sends_.size(); }
    std::size_t servers() const { return servers_.size(); }

private:
    struct Server {
        ListedServer listed;
        std::uint64_t hash = 0;
        Millis listed_at = 0;
        KeptParts kept;
        int out = 0;                  // our requests there
        std::int64_t unread = 0;      // of their prompts, not known to be read
        int told_slots = 0;           // by its load; 0: not told
        double others = 0;            // requests that are not ours
        Millis load_at = -1;          // of `others`; -1: nothing is known
        std::vector<Millis> unbegun;  // when each of our requests went out that has no first token yet
    };
    struct Send {
        std::string server;
        std::uint32_t server_key = 0;
        std::int64_t unread = 0;
        std::vector<std::uint64_t> fresh;  // parts not known to be kept before
        Millis at = 0;
        bool begun = false;
    };
    struct KeysInTurn {
        std::vector<std::uint32_t> keys;
        std::size_t next = 0;
        std::uint32_t take();  // of some keys
    };
    struct Ask;  // what is the same for all servers

    Server* find(std::string_view id);
    void index_keys();
    int slots_of(const Server& server) const;
    double others_at(const Server& server, double mean, Millis now) const;
    Estimate estimate(const Server& server, const Ask& ask, Millis now) const;
    Millis queue_ms(const Server& server, double busy) const;
    Millis strayed_ms(const Server& server, const Ask& ask, std::int64_t kept) const;
    Ask ask(const Request& request, Millis now) const;
    struct Takers {
        std::vector<std::uint64_t> hashes;  // of the servers
        bool in_zone = false;               // all of them are of the own zone
    };
    std::size_t start_of(const std::vector<PromptPart>& parts, bool continues) const;
    Takers takers() const;
    std::size_t holders(std::uint64_t start, std::size_t among, Millis now) const;
    std::uint64_t last_holder(std::uint64_t start, const std::vector<std::uint64_t>& takers,
                              Millis now) const;
    Millis due_ms(const Server& server, const Ask& ask, std::int64_t kept) const;
    bool is_holder(const Server& server, const Ask& ask) const;
    bool is_near(const Server& server) const;
    bool is_kept(const Ask& ask) const;
    const Server* home(const Ask& ask) const;
    void count(const Request& request, Millis now);
    Millis cold_left(const Server& server, Millis now) const;
    static std::uint32_t key_of(const Server& server) { return static_cast<std::uint32_t>(server.hash); }
    double mean_others(Millis now) const;
    static void release(Server& server, const Send& send);
    static void note_begun(Server& server, Send& send);
    Millis longest_wait(Millis now) const;

    Settings settings_;
    std::vector<Server> servers_;
    std::unordered_map<std::string, std::size_t> places_;    // in servers_, by id
    std::unordered_map<std::uint32_t, std::size_t> by_key_;  // in servers_
    KeysInTurn near_keys_, far_keys_;                        // of those that take something new, by zone
    std::unordered_map<SendId, Send> sends_;
    std::unordered_map<std::uint32_t, int> own_;      // requests that are out, by server
    StartRates starts_;                               // of what came through here
    std::unordered_map<std::uint64_t, double> told_;  // shares, by id
    FadingSum others_, loads_;                        // of servers, as of the loads seen, and how many
    FadingSum lasted_, lasts_;                        // of what has ended: time, number
    FadingSum waited_, waits_;                        // for first tokens: time, number
};

}  // namespace whinledge::placement
