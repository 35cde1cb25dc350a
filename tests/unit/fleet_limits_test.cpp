// Limits of requests by the whole fleet, over a simulated network: what is admitted in any window, and how
// much of the limit can be used.
#include <gtest/gtest.h>

#include "fleetsim/limit_fleet.hpp"

namespace whinledge::fleetsim {
namespace {

using fleet::LimitSpec;

LimitFleet::Options rate_of(std::size_t members, double rate, double burst = 20) {
    LimitFleet::Options o;
    o.members = members, o.loss = 0.05;
    o.spec.name = "deposits", o.spec.rate = rate, o.spec.burst = burst;
    return o;
}
LimitFleet::Options open_of(std::size_t members, fleet::Units open) {
    LimitFleet::Options o = rate_of(members, 1);
    o.spec.kind = LimitSpec::Kind::open, o.spec.open = open, o.spec.tail = 200;
    return o;
}
// The windows of which the bound is stated: all; looked at in these lengths.
bool within_bound(const LimitFleet& f, const LimitSpec& spec) {
    if (spec.kind == LimitSpec::Kind::open) return f.most_open() <= spec.open;
    for (const double seconds : {0.05, 0.2, 1.0, 3.0, 10.0})
        if (static_cast<double>(f.most_in(1000 * seconds)) >
            spec.rate * seconds + spec.burst + static_cast<double>(f.size()))
            return false;
    return true;
}
void each(LimitFleet& f, double demand) { f.demand.assign(f.size(), demand); }

// All that goes wrong while demand is twice the limit everywhere.
void trouble(LimitFleet& f, double demand, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    f.run(5000);
    for (int second = 0; second < 30; ++second) {
        for (std::size_t i = 0; i < f.size(); ++i)
            f.demand[i] = random() % 3 ? 0 : 3 * demand / static_cast<double>(f.size());
        const auto i = static_cast<std::size_t>(random() % f.size());
        if (random() % 2) f.up(i) ? f.kill(i) : f.restart(i);
        if (second % 10 == 3)
            f.passes = [n = f.size(), at = random() % f.size()](auto from, auto to) {
                return ((from + at) % n < n / 2) == ((to + at) % n < n / 2);
            };
        if (second % 10 == 8) f.passes = {};
        f.run(f.now() + 1000);
    }
}

TEST(FleetLimits, NeverMoreThanTheBoundWhateverFails) {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        for (auto o : {rate_of(7, 200), rate_of(7, 3, 1), rate_of(40, 500), open_of(7, 64), open_of(7, 3)}) {
            o.seed = seed;
            LimitFleet f(o);
            const double limit = o.spec.kind == LimitSpec::Kind::rate ? o.spec.rate : o.spec.open * 10.0;
            trouble(f, 2 * limit, seed);
            EXPECT_TRUE(within_bound(f, o.spec)) << o.members << " members, seed " << seed;
            EXPECT_GT(f.admitted().size(), 0.05 * limit * 30) << "and it is no closed door";
        }
    }
}

// The same check where each member believes the whole limit to be its own.
TEST(FleetLimits, TheCheckFindsAFleetThatDoesNotShare) {
    for (const auto& o : {rate_of(7, 200), open_of(7, 64)}) {
        LimitFleet f(o);
        for (std::size_t i = 0; i < f.size(); ++i)
            f.limits(i).configure(f.now(), {o.spec}, {fleet::key_of(LimitFleet::name(i))});
        each(f, o.spec.kind == LimitSpec::Kind::rate ? 400 : 2000);
        f.run(20000);
        EXPECT_FALSE(within_bound(f, o.spec));
    }
}

TEST(FleetLimits, JoinedNineTenthsAreUsedWhereverDemandIs) {
    for (const std::size_t busy : {1, 2, 20}) {
        SCOPED_TRACE(busy);
        LimitFleet f(rate_of(20, 500, 100));
        f.run(5000);
        for (std::size_t i = 0; i < busy; ++i) f.demand[3 * i % 20] = 750.0 / static_cast<double>(busy);
        f.run(7000);
        EXPECT_GE(f.use(6500, 7000), 0.8) << "within two seconds";
        f.run(17000);
        EXPECT_GE(f.use(7000, 17000), 0.9);
    }
}

TEST(FleetLimits, CutInTwoEachSideHasItsMembersParts) {
    LimitFleet f(rate_of(10, 500, 100));
    each(f, 0);
    f.demand[0] = 750;
    f.run(9000);
    EXPECT_GE(f.use(7000, 9000), 0.9);
    f.passes = [](auto from, auto to) { return (from < 3) == (to < 3); };
    f.run(14000);
    const auto cut = f.admitted().size();
    f.run(24000);
    EXPECT_NEAR(static_cast<double>(f.admitted().size() - cut) / 10, 500 * 0.3, 15)
        << "three tenths of the members";
    f.passes = {};
    f.run(26000);
    EXPECT_GE(f.use(25500, 26000), 0.85) << "two seconds after it healed";
}

// Nobody hears it: it asks on, a few times a second, or its whole fleet would be asked again and again.
TEST(FleetLimits, WhoIsCutOffAsksSeldom) {
    LimitFleet f(rate_of(100, 1000));
    f.run(5000);
    f.passes = [](auto from, auto to) { return from != 7 && to != 7; };
    f.demand[7] = 1000;
    f.run(8000);
    const auto before = f.sent_by(7);
    f.run(28000);
    EXPECT_LT(static_cast<double>(f.sent_by(7) - before) / 20, 10);
    f.passes = {};
    f.run(36000);
    EXPECT_GE(f.use(35000, 36000), 0.9);
}

// What is taken back may still be at work: it is nobody else's until it has ended.
TEST(FleetLimits, OpenRequestsThatLastKeepWhatTheyBeganUnder) {
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        auto o = open_of(5, 20);
        o.spec.tail = 2000, o.spec.lease = 1000, o.seed = seed;
        LimitFleet f(o);
        f.open_for = 1900;
        f.run(4000);
        for (int second = 0; second < 30; ++second) {
            for (std::size_t i = 0; i < 5; ++i) f.demand[i] = (second + i) % 5 < 2 ? 60 : 0;
            f.run(f.now() + 1000);
        }
        EXPECT_LE(f.most_open(), 20u) << "seed " << seed;
        EXPECT_GT(f.admitted().size(), 100u);
    }
}

TEST(FleetLimits, OpenRequestsThatEndAreGivenBack) {
    LimitFleet f(open_of(6, 30));
    f.run(5000);
    f.demand[2] = 600;
    f.run(15000);
    EXPECT_GE(f.use(8000, 15000), 0.9);
    EXPECT_EQ(f.most_open(), 30u);
    EXPECT_EQ(f.at(2).used(f.now()) <= 30, true);
    f.demand[2] = 0;
    f.run(20000);
    EXPECT_EQ(f.at(2).used(f.now()), 0);
    EXPECT_EQ(f.at(2).allotment().borrowed(f.now()), 0u) << "what is not wanted goes back";
}

TEST(FleetLimits, ALimitThatIsLoweredHoldsWhenAllKnow) {
    auto o = rate_of(5, 500);
    LimitFleet f(o);
    each(f, 200);
    f.run(8000);
    std::vector<fleet::Key> members;
    for (std::size_t i = 0; i < 5; ++i) members.push_back(fleet::key_of(LimitFleet::name(i)));
    o.spec.rate = 100;
    for (std::size_t i = 0; i < 5; ++i) f.limits(i).configure(f.now(), {o.spec}, members);
    const auto before = f.admitted().size();
    f.run(18000);
    EXPECT_LE(static_cast<double>(f.admitted().size() - before), 100 * 10 + o.spec.burst + 5);
    EXPECT_GE(static_cast<double>(f.admitted().size() - before), 0.85 * 100 * 10);
}

TEST(FleetLimits, ItemsThatCannotBeReadAreDropped) {
    LimitFleet f(rate_of(2, 10));
    std::mt19937_64 random(7);
    std::vector<fleet::Limits::Send> out;
    for (int i = 0; i < 20000; ++i) {
        fleet::Item item;
        item.subsystem = fleet::Limits::kSubsystem;
        item.bytes.resize(random() % 40);
        for (auto& byte : item.bytes) byte = static_cast<std::uint8_t>(random());
        if (!item.bytes.empty() && i % 2) item.bytes[0] = 0x92 + static_cast<std::uint8_t>(random() % 5);
        f.limits(0).receive(f.now(), fleet::key_of("s1"), item, out);
    }
    EXPECT_EQ(f.limits(0).unreadable(), 20000u) << "noise hits no limit's key";
    EXPECT_TRUE(out.empty());
}

}  // namespace
}  // namespace whinledge::fleetsim
