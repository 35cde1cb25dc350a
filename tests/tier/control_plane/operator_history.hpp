// What operators send and are told, as a history that is checked from outside: an order that was acknowledged
// is in force in its turn and is never refused, one that was refused is never in force, of one number only
// one is acknowledged, and who reads is told nothing older than what had been acknowledged.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "../consensus/simulation.hpp"
#include "control_plane/settings_order.hpp"

namespace whinledge::control_plane::test {

class OperatorHistory {
public:
    using Simulation = consensus::test::Simulation;
    using Millis = consensus::Millis;
    using Result = consensus::RegisterResult<wire::RegisterState>;
    static constexpr Millis kCallTimeout = 700;

    struct Order {
        SettingsOrder order;
        std::size_t number = 0;
        bool acknowledged = false, refused = false;

        bool over() const { return acknowledged || refused; }
        std::string name() const { return "order " + std::to_string(number); }
    };
    using OrderPointer = std::shared_ptr<Order>;

    explicit OperatorHistory(Simulation& world) : world_(world) {}

    // Upon the newest version that operators know of.
    OrderPointer order(std::int64_t version) { return order(newest_, version); }
    // The body holds the numbers of all orders before it, as the checker of the register wants it.
    OrderPointer order(const wire::RegisterState& base, std::int64_t version) {
        const std::string body = base.configuration + std::to_string(orders_.size() + 1) + ",";
        SettingsOrder order{base.version, version, digest_of(body), body};
        orders_.push_back(std::make_shared<Order>(Order{std::move(order), orders_.size() + 1, false, false}));
        return orders_.back();
    }

    // One call. `lost`: its answer does not reach the operator.
    void send(std::size_t machine, const OrderPointer& order, bool lost = false) {
        if (!world_.up(machine)) return;
        const auto attempt = std::make_shared<OrderAttempt>(order->order);
        world_.core(machine).change(
            [attempt, forgets = planted_orders_are_forgotten](const wire::RegisterState& current) {
                return forgets ? apply_without_memory(*attempt, current) : attempt->apply(current);
            },
            kCallTimeout,
            [this, attempt, order, machine, lost](const Result& result) {
                if (!lost) told(machine, *order, attempt->answer(result));
            });
    }

    void read(std::size_t machine) {
        if (!world_.up(machine)) return;
        const std::int64_t floor = acknowledged_version_;
        if (planted_reads_without_contact)
            return read_version(machine, floor, world_.core(machine).known().entry.state);
        world_.core(machine).read(kCallTimeout, [this, machine, floor](const Result& result) {
            if (result) read_version(machine, floor, result.value());
        });
    }

    // At the end, with what is in force.
    void finish(const wire::RegisterState& state) {
        if (state.version < acknowledged_version_)
            complain("what is in force at the end is older than what was taken");
        for (const OrderPointer& one : orders_) {
            const bool taken = std::any_of(state.taken.begin(), state.taken.end(), [&](const auto& change) {
                return change.version == one->order.version && change.digest == one->order.digest;
            });
            if (one->acknowledged && !taken) complain(one->name() + " was acknowledged and is lost");
            if (one->refused && taken) complain(one->name() + " was refused and has been in force");
        }
        for (std::size_t i = 1; i < state.taken.size(); ++i)
            if (state.taken[i].based_on != state.taken[i - 1].version)
                complain("two changes on one version were taken");
    }

    const std::vector<OrderPointer>& orders() const { return orders_; }
    std::int64_t acknowledged_version() const { return acknowledged_version_; }
    std::int64_t newest_version() const { return newest_.version; }
    const std::vector<std::string>& complaints() const { return complaints_; }
    // By process.
    std::map<std::size_t, int> acknowledgements, reads, refusals;
    Millis last_acknowledged_at = 0;
    bool planted_reads_without_contact = false;
    bool planted_orders_are_forgotten = false;  // those taken before

private:
    void complain(const std::string& what) {
        if (complaints_.size() < 10) complaints_.push_back(std::to_string(world_.now()) + " ms: " + what);
    }

    void told(std::size_t machine, Order& order, OrderAnswer answer) {
        if (answer == OrderAnswer::unavailable) return;
        if (answer != OrderAnswer::acknowledged) {
            ++refusals[machine];
            order.refused = true;
            if (order.acknowledged) complain(order.name() + " was acknowledged and then refused");
            return;
        }
        ++acknowledgements[machine];
        order.acknowledged = true;
        if (order.refused) complain(order.name() + " was refused and then acknowledged");
        const auto [first, fresh] = by_number_.emplace(order.order.version, order.order.digest);
        if (!fresh && first->second != order.order.digest)
            complain("two changes were acknowledged under " + std::to_string(order.order.version));
        acknowledged_version_ = std::max(acknowledged_version_, order.order.version);
        learn(order.order.version, order.order.body);
        last_acknowledged_at = world_.now();
    }

    void read_version(std::size_t machine, std::int64_t floor, const wire::RegisterState& state) {
        ++reads[machine];
        learn(state.version, state.configuration);
        if (state.version < floor)
            complain("process " + std::to_string(machine) + " told version " + std::to_string(state.version) +
                     ", and " + std::to_string(floor) + " had been acknowledged");
    }

    static std::optional<wire::RegisterState> apply_without_memory(OrderAttempt& attempt,
                                                                   const wire::RegisterState& current) {
        wire::RegisterState bare = current;
        bare.taken.clear();
        if (!attempt.apply(bare)) return std::nullopt;
        return taken(current, attempt.order());
    }
    void learn(std::int64_t version, const std::string& body) {
        if (version <= newest_.version) return;
        newest_.version = version;
        newest_.configuration = body;
    }

    Simulation& world_;
    wire::RegisterState newest_;  // that operators know of
    std::vector<OrderPointer> orders_;
    std::map<std::int64_t, std::int64_t> by_number_;  // digest of what was acknowledged under it
    std::int64_t acknowledged_version_ = 0;
    std::vector<std::string> complaints_;
};

}  // namespace whinledge::control_plane::test
