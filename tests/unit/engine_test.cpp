// Pools over the engine: what moves between them, and what they share.
#include <algorithm>

#include "rig/engine_rig.hpp"

namespace whinledge::test {
namespace {

constexpr std::uint32_t kSafe = 0, kUnsafe = 1;

TEST_F(EngineRig, IdsAreTheEnginesAcrossPools) {
    Pool &a = pool("a", {member("s", "10.0.0.1:1")}), &b = pool("b", {member("s", "10.0.0.2:1")});
    const auto one = take(a, kSafe), two = take(b, kSafe), three = take(a, kSafe);
    EXPECT_NE(one->id, two->id);
    EXPECT_NE(two->id, three->id);
    EXPECT_EQ(transport.out.at(out_of(one)).address, "10.0.0.1:1");
    EXPECT_EQ(transport.out.at(out_of(two)).address, "10.0.0.2:1");
}

TEST_F(EngineRig, TimersOfEndedRequestsAreTakenBack) {
    Pool& a = pool("a", {member("s", "10.0.0.1:1")});
    for (int i = 0; i < 20000; ++i) {
        const auto call = take(a, kSafe, 60000);
        transport.end(out_of(call), Outcome::completed);
    }
    EXPECT_EQ(a.open(), 0u);
    EXPECT_LE(engine.timers(), 2u);
    EXPECT_LE(a.held().timers, 2u);
}

TEST_F(EngineRig, ADeadlineEndsWhatIsOut) {
    Pool& a = pool("a", {member("s", "10.0.0.1:1")});
    const auto call = take(a, kUnsafe, 500);
    pass(499);
    EXPECT_EQ(call->end, End::none);
    pass(1);
    EXPECT_EQ(call->end, End::failed);
    EXPECT_TRUE(transport.out.empty());
    EXPECT_EQ(a.open(), 0u);
}

// A client that leaves can leave its attempt: it goes on, its outcome is heard, and nothing more is sent for
// it.
TEST_F(EngineRig, AnAttemptThatWasLeftGoesOnToItsEnd) {
    struct Watch final : Observer {
        void event(const Pool&, Millis, const Event& event) noexcept override {
            if (const auto* const ended = std::get_if<AttemptEnded>(&event))
                outcomes.push_back(ended->outcome);
        }
        void ended(const Pool&, Millis, RequestId, Final final) noexcept override { finals.push_back(final); }
        std::vector<Outcome> outcomes;
        std::vector<Final> finals;
    } watch;
    Pool::Options options;
    options.name = "a";
    options.decisions = pool_settings();
    Pool& a = engine.add_pool(std::move(options), transport, &watch, {});
    a.start();
    a.members({1, true, {member("s", "10.0.0.1:1"), member("t", "10.0.0.2:1")}});
    for (const bool detach : {true, false}) {
        const auto call = take(a, kUnsafe);
        const ExchangeId out = out_of(call);
        call->gone = true;
        a.gone(call->id, detach);
        EXPECT_EQ(transport.out.contains(out), detach);
        if (detach) transport.end(out, Outcome::severed);
        EXPECT_TRUE(transport.out.empty()) << "nothing is sent for nobody";
        EXPECT_EQ(a.open(), 0u);
    }
    EXPECT_EQ(watch.outcomes, (std::vector<Outcome>{Outcome::severed, Outcome::recalled}));
    EXPECT_EQ(watch.finals, (std::vector<Final>{Final::gone, Final::gone}));
}

TEST_F(EngineRig, WhatIsPassedOnHasOneEndAndNoLimitButItsOwn) {
    Pool& a = pool("a", {member("s", "10.0.0.1:1")});
    const auto whole = take(a, kSafe, 500), cut = take(a, kSafe, 500);
    const ExchangeId first = out_of(whole), second = out_of(cut);
    EXPECT_TRUE(transport.begin(first));
    EXPECT_TRUE(transport.begin(second));
    pass(5000);
    EXPECT_EQ(whole->end, End::none) << "it is on its way";
    transport.end(first, Outcome::completed);
    transport.end(second, Outcome::severed);
    EXPECT_EQ(whole->end, End::served);
    EXPECT_EQ(cut->end, End::failed);
    EXPECT_TRUE(transport.out.empty()) << "no second attempt for what has begun";
    EXPECT_EQ(a.open(), 0u);
}

// ---- The same machine in two pools

TEST_F(EngineRig, AMachineOfTwoPoolsIsKnownOnceAndForgottenWithTheLast) {
    Pool& a = pool("a", {member("s", "10.0.0.1:1")});
    Pool& b = pool("b", {member("other-name", "10.0.0.1:1")});
    EXPECT_EQ(engine.machines(), 1u);
    EXPECT_EQ(transport.machines.size(), 1u);
    a.members({2, true, {}});
    EXPECT_EQ(transport.machines.size(), 1u);
    EXPECT_EQ(b.ready(), 1u) << "another pool's list says nothing of the machine";
    b.members({2, true, {}});
    EXPECT_EQ(engine.machines(), 0u);
    EXPECT_TRUE(transport.machines.empty());
}

// Drained once: whoever is told, nothing new goes there from any pool.
TEST_F(EngineRig, ADrainToldToOnePoolHoldsForAll) {
    Pool& a = pool("a", {member("s", "10.0.0.1:1"), member("t", "10.0.0.2:1")});
    Pool& b = pool("b", {member("x", "10.0.0.1:1"), member("y", "10.0.0.3:1")});
    const auto before = take(b, kUnsafe);
    a.members({2, false, {member("s", "10.0.0.1:1", Phase::fading)}});
    EXPECT_EQ(a.ready(), 1u);
    EXPECT_EQ(b.ready(), 1u);
    for (int i = 0; i < 40; ++i) {
        const auto call = take(b, kSafe);
        ASSERT_NE(out_of(call), 0u);
        EXPECT_EQ(transport.out.at(out_of(call)).address, "10.0.0.3:1") << "rule 3";
        transport.end(out_of(call), Outcome::completed);
    }
    if (out_of(before)) transport.end(out_of(before), Outcome::completed);
    EXPECT_EQ(before->end, End::served) << "what was out goes on";
    a.members({3, false, {member("s", "10.0.0.1:1", Phase::on)}});
    EXPECT_EQ(b.ready(), 2u) << "taken back by whoever told it";
}

// A new process at the address of one that drains is no part of the drain.
TEST_F(EngineRig, ANewProcessAtTheAddressIsNotDrained) {
    Pool& a = pool("a", {member("old", "10.0.0.1:1", Phase::on, 1000)});
    Pool& b = pool("b", {member("x", "10.0.0.1:1")});
    a.members({2, false, {member("old", "10.0.0.1:1", Phase::fading, 1000)}});
    EXPECT_EQ(b.ready(), 0u);
    a.members({3, false, {member("new", "10.0.0.1:1", Phase::on, 5000)}});
    EXPECT_EQ(a.ready(), 1u);
    EXPECT_EQ(b.ready(), 1u);
    EXPECT_EQ(transport.machines.begin()->second.second, 5000) << "and its connections are another life's";
}

TEST_F(EngineRig, AMachineThatWentAndCameAnewIsUsedAgain) {
    Pool& a = pool("a", {member("s", "10.0.0.1:1")});
    Pool& b = pool("b", {member("x", "10.0.0.1:1")});
    a.members({2, false, {member("s", "10.0.0.1:1", Phase::off)}});
    EXPECT_EQ(b.ready(), 0u) << "gone, as one was told";
    a.members({3, false, {member("s", "10.0.0.1:1", Phase::on)}});
    EXPECT_EQ(a.ready(), 1u);
    EXPECT_EQ(b.ready(), 1u);
}

// A cold machine of two pools: what both send it together stays under what one alone may.
TEST_F(EngineRig, AColdMachineOfTwoPoolsIsFedOnce) {
    const auto fed = [&](bool shared) {
        TestTime clock;
        ScriptedTransport t(clock);
        Engine e(clock, {});
        std::vector<Pool*> pools;
        for (const std::string name : {"a", "b"}) {
            Pool::Options options;
            options.name = name;
            options.decisions = pool_settings();
            options.seed = name[0];
            Pool& p = e.add_pool(std::move(options), t, nullptr, {});
            p.start();
            std::vector<Member> members;
            for (int i = 0; i < 4; ++i)
                members.push_back(
                    member(name + std::to_string(i), "10.0." + name + "." + std::to_string(i) + ":1"));
            p.members({1, true, members});
            pools.push_back(&p);
        }
        std::size_t cold = 0;
        const auto run = [&](Millis span, bool count) {
            for (const Millis until = clock.at + span; clock.at < until; clock.at += 2)
                for (Pool* const p : pools) {
                    auto call = std::make_shared<TestCall>();
                    p->take(call, {kSafe, ~0U, 1000, 0, false});
                    std::vector<ExchangeId> ids;
                    for (const auto& [id, o] : t.out) ids.push_back(id);
                    for (const ExchangeId id : ids) {
                        cold += count && t.out.at(id).address == "10.9.9.9:1";
                        t.end(id, Outcome::completed);
                    }
                    e.run_due();
                }
        };
        run(6000, false);
        const Millis started = clock.at;
        for (Pool* const p : pools)
            if (shared || p == pools[0])
                p->members({2, false, {member(p->name() + "-cold", "10.9.9.9:1", Phase::on, started)}});
        run(1000, true);
        return cold;
    };
    const std::size_t alone = fed(false), together = fed(true);
    EXPECT_GT(alone, 5u);
    EXPECT_LE(together, alone * 5 / 4 + 2) << "the sum stays within the rule";
}

TEST_F(EngineRig, CandidatesAreMembersByTheirIds) {
    Pool& p = pool("p", {member("s", "10.0.0.1:1"), member("t", "10.0.0.2:1"), member("u", "10.0.0.3:1")});
    using Names = std::pair<std::string, std::string>;
    for (const auto& [wanted, address] :
         {Names{"t", "10.0.0.2:1"}, Names{"u", "10.0.0.3:1"}, Names{"s", "10.0.0.1:1"}})
        for (int i = 0; i < 5; ++i) {
            auto call = std::make_shared<TestCall>();
            call->time = &time;
            Arrival arrival{kSafe, ~0U, 1000, 0, false};
            arrival.candidates = {"nobody", wanted};
            p.take(call, arrival);
            const ExchangeId id = out_of(call);
            ASSERT_NE(id, 0U);
            EXPECT_EQ(transport.out.at(id).address, address);
            transport.end(id, Outcome::completed);
        }
}

// ---- Pools that come, go and change

// Rule 3: the request has not gone to it yet, so it is a new one to it.
TEST_F(EngineRig, AConnectThatOutlastsItsServersDrainCarriesNothing) {
    Pool& p = pool("p", {member("s-1", "10.0.0.1:1")});
    const auto call = take(p, 1, 5000);
    const ExchangeId id = out_of(call);
    ASSERT_NE(id, 0u);
    const auto wanted = [&] {
        const auto& out = transport.out.at(id);
        return out.listener->attempt_time_left(out.key) > 0;
    };
    EXPECT_TRUE(wanted());
    p.members({2, false, {member("s-1", "10.0.0.1:1", Phase::fading)}});
    pass(200);
    EXPECT_TRUE(wanted()) << "it may still be on its way";
    pass(100);
    EXPECT_FALSE(wanted());
    p.members({3, false, {member("s-1", "10.0.0.1:1", Phase::off)}});
    EXPECT_FALSE(wanted()) << "gone is no second start";
    p.members({4, false, {member("s-1", "10.0.0.1:1")}});
    EXPECT_TRUE(wanted()) << "the drain was taken back";
    p.members({5, true, {}});
    pass(300);
    EXPECT_FALSE(wanted());
    transport.end(id, Outcome::superseded);
    EXPECT_NE(call->end, End::served);
    EXPECT_NE(call->end, End::failed) << "it never ran, so a refusal is due";
}

TEST_F(EngineRig, ADrainToldByAnotherPoolEndsAConnectToo) {
    Pool& p = pool("p", {member("s-1", "10.0.0.1:1")});
    Pool& q = pool("q", {member("t-1", "10.0.0.1:1")});
    const ExchangeId id = out_of(take(p, 1, 5000));
    const auto& out = transport.out.at(id);
    q.members({2, false, {member("t-1", "10.0.0.1:1", Phase::fading)}});
    pass(300);
    EXPECT_EQ(out.listener->attempt_time_left(out.key), 0);
}

// A machine that says itself that it is about to end.
TEST_F(EngineRig, ANoticeDrainsAMachineForAllPoolsAndItComesBackCold) {
    Pool& p = pool("p", {member("s-1", "10.0.0.1:1"), member("s-2", "10.0.0.2:1")});
    Pool& q = pool("q", {member("t-1", "10.0.0.1:1")});
    const MachineId machine = transport.machines.begin()->first;
    ASSERT_EQ(transport.machines.at(machine).first, "10.0.0.1:1");
    engine.notice(machine, 5000);
    EXPECT_EQ(p.ready(), 1u);
    EXPECT_EQ(q.ready(), 0u);
    for (int i = 0; i < 10; ++i) {
        const auto call = take(p, 0);
        EXPECT_EQ(transport.out.at(out_of(call)).address, "10.0.0.2:1");
        transport.end(out_of(call), Outcome::completed);
        EXPECT_EQ(take(q, 0, 100)->end, End::none) << "held, for it may come";
        pass(200);
    }
    engine.notice(machine, 5000);  // once is enough: it does not begin anew
    pass(2000);
    EXPECT_EQ(q.ready(), 0u);
    pass(1100);
    EXPECT_EQ(p.ready(), 2u);
    EXPECT_EQ(q.ready(), 1u);
    EXPECT_EQ(transport.machines.at(machine).second, 1e6 + 5000) << "started anew, so it is fed slowly";
    // What its source says more by then holds instead.
    engine.notice(machine, 5000);
    pass(100);
    p.members({2, false, {member("s-1", "10.0.0.1:1", Phase::on, time.at + 50)}});
    EXPECT_EQ(q.ready(), 1u);
    const Millis started = transport.machines.at(machine).second;
    pass(6000);
    EXPECT_EQ(transport.machines.at(machine).second, started);
    // A drain that its source told outlives the notice.
    engine.notice(machine, 1000);
    q.members({3, false, {member("t-1", "10.0.0.1:1", Phase::fading)}});
    pass(3000);
    EXPECT_EQ(p.ready(), 1u);
    EXPECT_EQ(q.ready(), 0u);
    engine.notice(999, 1000);  // of nobody: nothing
}

TEST_F(EngineRig, WhatIsBoundToAMachineGoesToTheMemberThatIsIt) {
    Pool& p =
        pool("p", {member("s-1", "10.0.0.1:1"), member("s-2", "10.0.0.2:1"), member("s-3", "10.0.0.3:1")});
    const auto bound = [&](MachineId machine) {
        auto call = std::make_shared<TestCall>();
        call->time = &time;
        p.take(call, {1, ~0U, 1000, 0, false, machine});
        return call;
    };
    for (const auto& [machine, known] : std::map(transport.machines)) {
        const auto call = bound(machine);
        EXPECT_EQ(transport.out.at(out_of(call)).address, known.first);
    }
    EXPECT_EQ(bound(4242)->end, End::refused) << "a machine of nobody";
}

TEST_F(EngineRig, APoolThatIsRemovedFinishesWhatItHasAndSendsNothingNew) {
    Pool& a = pool("a", {member("s", "10.0.0.1:1"), member("t", "10.0.0.2:1")});
    const auto unsafe = take(a, kUnsafe, 2000), safe = take(a, kSafe, 2000), lost = take(a, kSafe, 2000);
    engine.remove_pool(a);
    EXPECT_EQ(engine.pool("a"), nullptr);
    EXPECT_EQ(transport.out.size(), 3u);
    transport.end(out_of(unsafe), Outcome::completed);
    transport.end(out_of(safe), Outcome::errored);
    EXPECT_TRUE(std::none_of(transport.out.begin(), transport.out.end(), [&](const auto& o) {
        return o.second.attempt.call == safe;
    })) << "rule 3: nothing new to a server that is gone";
    pass(2000);
    EXPECT_EQ(unsafe->end, End::served);
    EXPECT_NE(safe->end, End::none);
    EXPECT_NE(lost->end, End::none);
    EXPECT_EQ(engine.retired(), 0u);
    EXPECT_EQ(engine.machines(), 0u);
}

TEST_F(EngineRig, AServerMovesBetweenPoolsWhileAnUnsafeRequestIsOut) {
    Pool& a = pool("a", {member("s", "10.0.0.1:1")});
    Pool& b = pool("b", {member("t", "10.0.0.2:1")});
    const auto call = take(a, kUnsafe, 2000);
    const ExchangeId out = out_of(call);
    a.members({2, true, {member("u", "10.0.0.3:1")}});
    b.members({2, true, {member("t", "10.0.0.2:1"), member("s", "10.0.0.1:1")}});
    EXPECT_TRUE(transport.out.contains(out));
    for (int i = 0; i < 20; ++i) {
        const auto next = take(a, kSafe);
        EXPECT_EQ(transport.out.at(out_of(next)).address, "10.0.0.3:1");
        transport.end(out_of(next), Outcome::completed);
    }
    EXPECT_EQ(b.ready(), 2u);
    transport.end(out, Outcome::severed);
    EXPECT_EQ(call->end, End::failed) << "it may have run";
    EXPECT_TRUE(transport.out.empty());
    EXPECT_EQ(transport.machines.size(), 3u);
}

TEST_F(EngineRig, AClassNamedInTwoPoolsIsTwoClasses) {
    Pool &a = pool("a", {member("s", "10.0.0.1:1")}), &b = pool("b", {member("t", "10.0.0.2:1")});
    // All of pool a fails its safe class; pool b's is none the wiser.
    for (int i = 0; i < 60; ++i) {
        const auto call = take(a, kSafe);
        while (const ExchangeId out = out_of(call)) transport.end(out, Outcome::errored);
    }
    for (int i = 0; i < 20; ++i) {
        const auto call = take(b, kSafe);
        ASSERT_NE(out_of(call), 0u);
        transport.end(out_of(call), Outcome::completed);
        EXPECT_EQ(call->end, End::served);
    }
}

TEST_F(EngineRig, WhatIsNoAddressIsLeftOutAndTheRestServes) {
    Pool& a = pool("a", {member("bad", "nonsense"), member("s", "10.0.0.1:1")});
    EXPECT_EQ(a.ready(), 1u);
    EXPECT_EQ(engine.machines(), 1u);
    const auto call = take(a, kSafe);
    EXPECT_EQ(transport.out.at(out_of(call)).address, "10.0.0.1:1");
}

TEST_F(EngineRig, InHasteEverythingOpenEnds) {
    Pool &a = pool("a", {member("s", "10.0.0.1:1")}), &b = pool("b", {});
    const auto sent = take(a, kUnsafe), waiting = take(b, kUnsafe);
    engine.hurry();
    EXPECT_EQ(sent->end, End::failed);
    EXPECT_EQ(waiting->end, End::refused) << "nothing was ever sent for it";
    EXPECT_EQ(engine.open(), 0u);
    EXPECT_TRUE(transport.out.empty());
}

// Only who told of a drain takes it back.
TEST_F(EngineRig, ADrainOutlivesAnotherPoolsSecondThoughts) {
    const Member m = member("m", "10.0.0.1:1");
    Pool& one = pool("one", {m});
    Pool& two = pool("two", {m});
    const auto out = take(one, 1, 5000);
    ASSERT_NE(out_of(out), 0u);
    two.members({2, true, {member("m", "10.0.0.1:1", Phase::fading)}});
    one.members({2, true, {}});  // its attempt is still out
    one.members({3, true, {m}});
    const auto late = take(one, 1, 1000);
    EXPECT_EQ(out_of(late), 0u) << "rule 3: the machine drains, and nobody has taken that back";
    two.members({3, true, {m}});
    const auto after = take(one, 1, 1000);
    pass(1);
    EXPECT_NE(out_of(after), 0u) << "taken back by who told it";
}

// A source need not know when the machine started.
TEST_F(EngineRig, ADrainToldWithoutAStartHolds) {
    Pool& one = pool("one", {member("m", "10.0.0.1:1", Phase::on, 5000)});
    Pool& two = pool("two", {member("m", "10.0.0.1:1")});
    two.members({2, true, {member("m", "10.0.0.1:1", Phase::fading)}});
    EXPECT_EQ(out_of(take(one, 1, 1000)), 0u) << "rule 3";
    two.members({3, true, {member("m", "10.0.0.1:1")}});
    const auto after = take(one, 1, 1000);
    pass(1);
    EXPECT_NE(out_of(after), 0u);
}

TEST_F(EngineRig, ARetiredPoolGoesWithItsLastClient) {
    Pool& one = pool("one", {});
    const auto call = take(one, 0, 60000);
    engine.remove_pool(one);
    if (call->end == End::none) {
        call->gone = true;
        one.gone(call->id);
    }
    EXPECT_LE(engine.due(), time.at) << "somebody has to be woken to see it off";
    pass(1);
    EXPECT_EQ(engine.retired(), 0u);
}

}  // namespace
}  // namespace whinledge::test
