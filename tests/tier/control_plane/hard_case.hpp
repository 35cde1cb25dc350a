// An operator's calls at the register's simulated processes: a, b and c found it, and others are spares.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "../consensus/simulation.hpp"
#include "control_plane/settings_order.hpp"

namespace whinledge::control_plane::test {

using consensus::Millis;
using consensus::RegisterFailure;
using consensus::RegisterResult;
using consensus::test::Simulation;

inline constexpr std::size_t kA = 0, kB = 1, kC = 2, kD = 3, kE = 4;
inline constexpr Millis kFounded = 2000;
inline constexpr Millis kCallTimeout = 700;  // of an operator's call
// The operators' bound: an order is confirmed within `guarantees.confirmMs` of a call that reaches a core
// with a majority.
inline constexpr Millis kConfirm = 4000;

class HardCase : public testing::Test {
protected:
    explicit HardCase(std::size_t machines = 5, std::uint64_t seed = 1) { begin(seed, machines); }
    void begin(std::uint64_t seed, std::size_t machines) {
        world = std::make_unique<Simulation>(seed, 3, machines);
        world->network.most_delay = 5;
    }
    void found() {
        for (std::size_t m = kA; m <= kC; ++m) world->start(m, true);
        world->run_until(kFounded);
    }
    void run(Millis duration) { world->run_until(world->now() + duration); }

    std::size_t acceptors(std::size_t machine) { return world->core(machine).known().acceptors.size(); }
    bool is_acceptor(std::size_t machine) {
        const std::int64_t identity = world->core(machine).acceptor().identity();
        return consensus::find_acceptor(world->core(kA).known().acceptors, identity) != nullptr;
    }

    // An operator's calls at one process; empty while there is no answer.
    using Read = std::shared_ptr<std::optional<RegisterResult<wire::RegisterState>>>;
    Read read(std::size_t machine) {
        auto result = std::make_shared<std::optional<RegisterResult<wire::RegisterState>>>();
        world->core(machine).read(kCallTimeout, [result](RegisterResult<wire::RegisterState> answer) {
            result->emplace(std::move(answer));
        });
        return result;
    }
    struct Order {
        OrderAttempt attempt;
        std::optional<RegisterResult<wire::RegisterState>> result;
        bool acknowledged() const { return result && attempt.answer(*result) == OrderAnswer::acknowledged; }
        bool refused() const {
            if (!result) return false;
            const OrderAnswer answer = attempt.answer(*result);
            return answer == OrderAnswer::other_version || answer == OrderAnswer::not_above;
        }
    };
    std::shared_ptr<Order> replace(std::size_t machine, std::int64_t based_on, std::int64_t version,
                                   const std::string& body) {
        auto order = std::make_shared<Order>(
            Order{OrderAttempt({based_on, version, digest_of(body), body}), std::nullopt});
        world->core(machine).change(
            [order](const wire::RegisterState& current) { return order->attempt.apply(current); },
            kCallTimeout,
            [order](RegisterResult<wire::RegisterState> answer) {
                order->result.emplace(std::move(answer));
            });
        return order;
    }
    // An order that is sent to each of these in turn until it is acknowledged.
    bool confirmed(const std::vector<std::size_t>& asked) {
        const std::int64_t version = version_ + 1;
        const std::string body = body_ + std::to_string(version) + ",";
        const Millis limit = world->now() + kConfirm;
        for (std::size_t turn = 0; world->now() < limit; ++turn) {
            const std::size_t machine = asked[turn % asked.size()];
            if (!world->up(machine)) {
                run(50);
                continue;
            }
            const auto order = replace(machine, version_, version, body);
            const Millis end = std::min(limit, world->now() + 1000);
            while (!order->result && world->now() < end) run(10);
            EXPECT_FALSE(order->refused()) << "an order that may be taken";
            if (!order->acknowledged()) continue;
            version_ = version;
            body_ = body;
            return true;
        }
        return false;
    }

    // At each process that is up, once all is well.
    void expect_everywhere(std::int64_t version) {
        for (std::size_t m = 0; m < world->machines(); ++m) {
            if (!world->up(m)) continue;
            const Read answer = read(m);
            run(1000);
            ASSERT_TRUE(*answer && (*answer)->has_value()) << "process " << m;
            EXPECT_EQ((*answer)->value().version, version) << "process " << m;
        }
    }

    std::unique_ptr<Simulation> world;
    std::int64_t version_ = 0;  // of the newest order that was confirmed
    std::string body_;
};

class CoreOfFour : public HardCase {
protected:
    CoreOfFour() : HardCase(4, 3) {
        found();
        world->start(kD, false);
        run(4000);
        EXPECT_EQ(acceptors(kA), 4U);
        const auto order = replace(kA, 0, 1, "1,");
        run(1000);
        EXPECT_TRUE(order->acknowledged());
    }
    void heals() {
        world->heal();
        run(6000);
        const auto order = replace(kD, 1, 2, "1,2,");
        run(1500);
        EXPECT_TRUE(order->acknowledged());
        expect_everywhere(2);
        EXPECT_TRUE(world->checker.complaints().empty());
    }
};

}  // namespace whinledge::control_plane::test
