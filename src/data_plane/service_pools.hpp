// One pool for each service of the configuration, with the servers of the platform's list as its members.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "control_types.h"  // generated from idl/control.thrift
#include "data_plane/connection_share.hpp"
#include "data_plane/service_rollout.hpp"
#include "engine/engine.hpp"
#include "engine/observer.hpp"
#include "openings/traffic.hpp"
#include "placement/placement.hpp"
#include "placement/program_admission.hpp"
#include "serving/configuration.hpp"
#include "storage_plane/turn_types.hpp"

namespace whinledge::data_plane {

class ServicePools final : private Observer {
public:
    struct Options {
        std::string zone;                          // of this process; servers there are preferred
        std::uint64_t seed = 0;                    // of the choices
        placement::AdmissionSettings admission{};  // of programs, to model servers
        // How many connections each server of a pool may have from here; 0: any number. Empty: not wanted.
        std::function<void(PoolId, std::size_t)> limit_connections{};
        placement::Mechanisms mechanisms{};  // of the choice of a model server
        RolloutRules rollouts{};
    };
    ServicePools(Engine& engine, Transport& transport, Options options);

    // Pools of services that are new are made, those of services that are gone finish what they have.
    void configure(const serving::Configuration& configuration);
    // The whole list. Only the pools of services whose servers are others than before are told.
    void set_servers(const wire::ServersList& list);
    // Who shares the connections which a server takes.
    void set_sharers(Sharers sharers);
    // The newest rollout of each service.
    void set_rollouts(const std::vector<wire::Rollout>& rollouts);
    // What was seen of each rollout that is open, for control processes; what one has answered.
    std::vector<wire::RolloutReport> rollout_reports(std::int64_t proxy);
    void rollout_reply(std::int64_t number, const wire::RolloutReportReply& reply);

    // The pool that a request of the service goes to: a version first, by the share that each gets, then a
    // server within it. Requests of one `line` (a program's) keep to a version while the shares last. The
    // name of the pool stands for the service below.
    std::string choose_pool(const std::string& service, std::uint64_t line) const;

    // Somebody else answers at the address of this one: it takes nothing more, whatever the list says.
    void replaced(const std::string& server);

    struct Place {
        Pool* pool = nullptr;  // null: no such service
        std::uint32_t class_index = 0;
    };
    // The class whose aim is nearest. Aims here are the longest that a request may take: what is shed by a
    // shorter one fails a whole program for a call that would still have been in time.
    Place place(std::string_view service, Effect effect, Millis aim) const;

    // Of services of model servers, none elsewhere: which servers are worth it for a request, by their ids,
    // and what it needs of an idle one.
    std::vector<std::string> candidates(std::string_view service, const placement::Request& request);
    Millis idle_ms(std::string_view service, const placement::Request& request) const;
    // An attempt of this request goes out to that server; its end is heard of by itself.
    void sent(std::string_view service, RequestId id, std::string_view server,
              const placement::Request& request, std::string_view route);
    // The first event of its answer has come.
    void first_event(RequestId id);
    // Whether its attempt has waited for that for so long that its server may hang.
    bool is_overdue(RequestId id) const;
    // `Server-Load` of an answer.
    void load_seen(std::string_view service, std::string_view server, std::string_view load);

    // What this process has under way at model servers, and, where it `asks`, at which of them it wants to
    // know what others have.
    wire::LoadReport load_report(bool asks);
    void loads_told(const storage_plane::ToldLoads& told);

    // Which openings came through here of late, of all services of model servers.
    openings::Traffic busiest_openings() const;
    // What came through all proxies, in place of what was told before; empty: nothing is known.
    void set_shared_openings(openings::Traffic shared);

    // Whether a turn may be taken there now; false: its program would begin with it, and servers are
    // overloaded.
    bool admit(std::string_view service, const placement::ProgramTurn& turn);
    // From here on; nothing is known of programs under way then.
    void set_admission(const placement::AdmissionSettings& settings);
    // From here on; what is known of servers stays.
    void set_mechanisms(const placement::Mechanisms& mechanisms);
    const placement::Mechanisms& mechanisms() const { return options_.mechanisms; }
    // A stream's first event is waited for, has come, or won't come.
    void awaits(std::string_view service, const placement::AwaitedEvent& event);
    void stream_began(std::string_view service, const placement::AwaitedEvent& event);
    void withdrawn(std::string_view service, const placement::AwaitedEvent& event);

    // "service ready/listed", for counters.
    std::string counters() const;

private:
    struct ServicePool {
        serving::Service service;
        Pool* pool = nullptr;
        std::vector<RequestClass> classes;
        std::unique_ptr<placement::Placement> placement;  // of model servers
        placement::ProgramAdmission admission;            // to model servers
        std::size_t max_connections = 0;                  // of a server, from all proxies; 0: not stated
        std::size_t share = 0;                            // of those, ours
    };
    // Of the new version of an open rollout.
    struct Candidate {
        std::string name;  // of its pool
        ServicePool pool;
    };
    // An attempt that is out while a rollout of its service is open.
    struct RolloutAttempt {
        std::string service;
        std::int64_t number = 0;  // of the rollout
        std::string server;
        ServiceRollout::Attempt attempt;
    };
    // The attempt that is out for a request to a model server.
    struct OpenSend {
        placement::Placement* placement;
        placement::SendId id;
    };
    void event(const Pool& pool, Millis now, const Event& event) noexcept override;
    void ended(const AttemptEnded& attempt, Millis now);
    void note_for_rollout(std::string_view pool, RequestId id, std::string_view server,
                          std::string_view route);
    void count_for_rollout(const AttemptEnded& attempt);
    ServicePool make_pool(const serving::Service& service, std::string name,
                          std::vector<RequestClass> classes);
    void remove_pool(ServicePool& pool);
    // Null: no such pool. A candidate's pool may have become its service's.
    ServicePool* find_pool(std::string_view name);
    const ServicePool* find_pool(std::string_view name) const;
    ServiceRollout& rollout_of(const std::string& service);
    // Makes, promotes and removes the candidate's pool, by the service's rollout.
    void reconcile_candidate(const std::string& service);
    placement::Placement* placement_of(std::string_view service) const;
    placement::ProgramAdmission* admission_of(std::string_view service);  // null: off, or of no model servers
    void tell_openings(const std::string& service, ServicePool& pool);
    void set_engine(ServicePool& pool, const serving::Service& service);
    void set_max_connections(ServicePool& pool, const serving::Service& service);
    void share_connections(ServicePool& pool);
    void tell_members(const std::string& service, const std::set<std::string_view>& unchanged = {});
    void tell_pool(ServicePool& pool, const std::vector<const wire::ListedServer*>& servers,
                   const std::set<std::string_view>& unchanged);
    void tell_changes(const std::string& service, const std::vector<wire::ListedServer>& before);
    Member member(const wire::ListedServer& server);

    Engine& engine_;
    Transport& transport_;
    Options options_;
    std::map<std::string, ServicePool, std::less<>> pools_;
    std::map<std::string, std::vector<wire::ListedServer>> servers_;  // by service
    std::unordered_map<std::string, Millis> started_;                 // by server, on the engine's clock
    std::map<std::string, Candidate, std::less<>> candidates_;        // by service
    std::map<std::string, ServiceRollout, std::less<>> rollouts_;     // by service
    std::unordered_map<RequestId, RolloutAttempt> rollout_attempts_;
    std::unordered_map<RequestId, OpenSend> open_sends_;
    placement::SendId next_send_ = 1;
    std::int64_t load_reports_ = 0;
    Sharers sharers_;
    openings::Traffic shared_openings_;
    std::set<std::string> replaced_;  // while the list still names them
};

}  // namespace whinledge::data_plane
