// A proxy of the lab: the program's own decisions (Engine, Pool, ServicePools with Placement) over a
// simulated transport and clock. It learns from its own sends alone, as data_plane/exchange does.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "data_plane/service_pools.hpp"
#include "engine/engine.hpp"
#include "lab/cloud.hpp"
#include "lab/front.hpp"
#include "lab/load_members.hpp"

namespace whinledge::lab {

class Proxy final : public Front,
                    public Transport,
                    public AttemptSink,
                    public std::enable_shared_from_this<Proxy> {
public:
    struct Where {
        std::size_t number = 0, zone = 0;
        std::uint64_t seed = 0;
        LoadMembers* load_members = nullptr;  // null: loads are not shared
    };
    static std::shared_ptr<Proxy> make(const Experiment& experiment, const Arm& arm, Where where,
                                       Simulation& simulation, Cloud& cloud, ClientSink& clients,
                                       Measures& measures);
    ~Proxy() override;
    Proxy(const Proxy&) = delete;
    Proxy& operator=(const Proxy&) = delete;

    std::size_t zone() const override { return where_.zone; }
    // The servers that are there now are its list.
    void set_servers();
    openings::Traffic busiest_openings() const { return pools_->busiest_openings(); }
    void set_shared_openings(const openings::Traffic& sum) { pools_->set_shared_openings(sum); }
    void take(const ClientRequest& request) override;
    void left(TryId id) override;
    // Its process ends: tries that it has are those of clients who see their connections close.
    std::vector<TryId> die();

private:
    class Exchange;
    struct Machine {
        std::string address;
        std::vector<Millis> idle;  // since when, for each idle connection
    };
    struct Out {
        Key key;
        Listener* listener = nullptr;
        std::shared_ptr<Exchange> exchange;
        MachineId machine = 0;
        std::string member;
        AttemptId attempt = 0;  // 0: it has not been written
        bool reused = false, heard = false, passing = false;
    };

    Proxy(const Experiment& experiment, const Arm& arm, Where where, Simulation& simulation, Cloud& cloud,
          ClientSink& clients, Measures& measures);
    serving::Configuration configuration() const;
    void tell_load(Millis takes, bool asks);
    void dispatch(const std::shared_ptr<Exchange>& exchange);
    std::vector<std::string> candidates(const Exchange& exchange);
    int priority(const ClientRequest& request);
    void connected(ExchangeId id);
    void write(ExchangeId id, Out& out);
    void first_piece(Out& out, const ServerWord& word);
    void ended(ExchangeId id, Outcome outcome, bool keeps_connection);
    Outcome outcome(const Out& out, ServerWord::Kind kind) const;
    void cut(const Exchange& exchange);

    void heard(std::uint64_t tag, const ServerWord& word) override;
    void set_machine(MachineId machine, const std::string& address, Millis started) override;
    void forget_machine(MachineId machine) override { machines_.erase(machine); }
    void close_idle(MachineId machine) override;
    Begun start(const Attempt& attempt, Key key, Listener& listener) noexcept override;
    bool stop(ExchangeId exchange) noexcept override;
    bool written(ExchangeId exchange) const noexcept override;
    void probe(PoolId pool, MachineId machine, Millis timeout, Listener& listener) override;

    const Experiment& experiment_;
    const Arm& arm_;
    Where where_;
    Simulation& simulation_;
    Cloud& cloud_;
    ClientSink& clients_;
    Measures& measures_;
    Random random_;
    std::unordered_map<MachineId, Machine> machines_;
    std::unordered_map<ExchangeId, Out> out_;
    std::unordered_map<TryId, std::shared_ptr<Exchange>> exchanges_;
    ExchangeId next_exchange_ = 1;
    Engine engine_;  // behind the maps above, which its pools use to their end
    std::unique_ptr<data_plane::ServicePools> pools_;
};

}  // namespace whinledge::lab
