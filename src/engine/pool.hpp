// A pool: one instance of the decision module, its members, their attempts and timers. It knows no protocol:
// what it sends goes out through a Transport, what it takes is a Call. The four rules are kept here and in
// the module, not by callers.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "engine/call.hpp"
#include "engine/due.hpp"
#include "engine/ledger.hpp"
#include "engine/members.hpp"
#include "engine/observer.hpp"
#include "engine/transport.hpp"

namespace whinledge {

class Engine;

// What a request is to the module.
struct Arrival {
    std::uint32_t class_index = ~0U;  // out of range: handled with most care
    std::uint32_t tenant = ~0U;
    Millis time_left = 0;    // until its client gives it up
    Millis effort = 0;       // expected work, 0 if not known
    bool repeat = false;     // known to be a client's retry
    MachineId bound_to = 0;  // the machine that keeps what it needs; 0: any
    // Ids of the members worth it for this one (RequestArrived::candidates); empty: all. Members not known
    // are left out.
    std::vector<std::string> candidates{};
};

class Pool final : private Transport::Listener {
public:
    struct Options {
        std::string name;
        Settings decisions;
        std::uint64_t seed = 0;
        bool may_probe = false;
        Millis probe_timeout = 250;
        // Names behind the module's zones and kinds, as far as the settings use any: zone 0 is zones[0].
        std::vector<std::string> zones, kinds;
    };
    // What the module asks for and the pool can't do by itself; each may be empty.
    struct Outside {
        std::function<void(std::optional<std::uint32_t> to, const std::vector<std::uint8_t>& bytes)>
            tell_peer;
        std::function<void(bool active)> watch_members;
        std::function<void()> fetch_members;
        std::function<void(const std::string& line)> log;
    };

    // By Engine::add_pool alone.
    Pool(Engine& engine, PoolId id, Options options, Transport& transport, Observer& observer,
         Outside outside);
    ~Pool();
    Pool(const Pool&) = delete;
    Pool& operator=(const Pool&) = delete;

    const std::string& name() const { return options_.name; }
    PoolId id() const { return id_; }
    const Settings& settings() const { return options_.decisions; }

    // Once, ahead of the first list: the module's first event.
    void start();
    // Takes a request: the call has its one end by its deadline at the latest, perhaps before this returns.
    // Throws, with the request not taken, only where memory is wanting.
    void take(const std::shared_ptr<Call>& call, const Arrival& arrival);
    // Its client has gone: the call hears no more. With `detach`, what is out for it goes on to its own end,
    // which the observer is told of; else it is cancelled, where the settings permit.
    void gone(RequestId request, bool detach = false);
    // Ends all that is open as failed, or as refused where nothing was ever sent.
    void hurry();

    // The members, from their source. saved: as last known ahead of this start.
    void members(const MemberList& list, bool saved = false);
    void members_failed();
    void peer_message(std::uint32_t from, std::vector<std::uint8_t> bytes);

    // What it costs in memory.
    Balancer::Held held() const { return balancer_.held(); }
    std::size_t open() const { return ledger_.requests().size(); }
    std::size_t timers() const { return timers_.size(); }
    bool idle() const { return ledger_.requests().empty(); }
    // Machines of its members that are listed and take new requests.
    std::size_t ready() const;

private:
    friend class Engine;

    struct OpenAttempt {
        ExchangeId exchange = 0;
        ServerId server = 0;
        Millis sent = 0;
        Millis begin_by = 0, until = 0;
        DueHandle limit{};  // at begin_by, then at until
        bool out = true;
        bool begun = false;  // its answer is passed on as it comes
    };
    struct RequestPart {
        std::shared_ptr<Call> call;
        Millis deadline = 0;
        std::vector<OpenAttempt> attempts;
        bool careful = false;          // must not run twice, nor be given another's answer
        bool detached = false;         // its client has gone, its attempts go on
        bool gave_up_silence = false;  // Call::gave_up_silence, when its client went
    };
    struct ServerPart {
        ServerInfo info{};  // as the module was last told
        ZoneId zone = 0;
        KindId kind = 0;
        Member member{};  // as its source told last
        MachineId machine = 0;
        bool unheard = true;    // the module has not been told of it
        Millis off_since = -1;  // told to drain, or gone, since then; -1: neither
    };
    using Book = Ledger<RequestPart, ServerPart>;
    struct Probing {
        MachineId machine;
        ServerId server;
        Millis began;
    };

    void give(Event event);
    void failed(const char* what, const std::exception& error);
    void carry_out(const Action& action);
    void carry_out(const Send& send);
    void carry_out(const Cancel& cancel);
    void carry_out(const SetTimer& timer);
    bool may_begin(const Book::OpenRequest& request, std::uint32_t attempt) const;
    std::optional<Outcome> begin(const Send& send, std::uint32_t attempt);
    std::shared_ptr<Call> finish(RequestId request, Final final);
    void ended(RequestId request, std::uint32_t attempt, Outcome outcome, std::unique_ptr<Answer> answer);
    void probe(ServerId server);

    // Due, by the engine.
    void attempt_over(RequestId request, std::uint32_t attempt);
    void timer_due(TimerToken token);
    void overtime(RequestId request);

    Millis attempt_time_left(Transport::Key key) const override;
    bool attempt_begun(Transport::Key key) override;
    void attempt_ended(Transport::Key key, Outcome outcome, std::unique_ptr<Answer> answer) override;
    void probe_ended(MachineId machine, Outcome outcome) override;

    ServerId bound_server(MachineId machine) const;
    ServerInfo told(ServerId id, const ServerPart& server) const;
    void note_phase(ServerPart& server) const;
    void retell(MachineId machine);
    void drop_server(ServerId id);
    std::uint32_t number(std::vector<std::string>& names, const std::string& name);
    void log(const std::string& line) const;

    Engine& engine_;
    PoolId id_;
    Options options_;
    Transport& transport_;
    Observer& observer_;
    Outside outside_;
    Balancer balancer_;
    Book ledger_;
    std::vector<Event> events_;  // what happened while actions were carried out, in order
    bool handling_ = false, retired_ = false;
    std::vector<Action> actions_;
    std::unordered_map<TimerToken, DueHandle> timers_;
    std::vector<Probing> probes_;
};

}  // namespace whinledge
