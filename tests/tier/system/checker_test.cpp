// The checker keeps quiet about a calm record and catches each planted fault.
#include "tier/checker.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace whinledge::tier_rig {
namespace {

RouteSpec route(const std::string& path, RouteKind kind, const std::string& service) {
    RouteSpec spec;
    spec.name = path;
    spec.host = "desk.example";
    spec.path_start = path;
    spec.kind = kind;
    spec.services = {service};
    spec.remembered = kind == RouteKind::streaming;
    return spec;
}

// A small day in which everything went well; tests spoil one thing each.
class CheckerTest : public testing::Test {
protected:
    CheckerTest() {
        Order order;
        order.version = 3;
        order.routes = {route("/find/", RouteKind::repeatable, "search"),
                        route("/book/", RouteKind::one_shot, "files"),
                        route("/agent/", RouteKind::streaming, "chat")};
        order.sent = 0;
        order.acknowledged = 100;
        order.text = "third";
        record.orders.push_back(order);
        find = &ask("f1", "/find/a", RouteKind::repeatable, 3000);
        find_run = &run_of(*find, "search");
        book = &ask("b1", "/book/a", RouteKind::one_shot, 3100);
        book_run = &run_of(*book, "files");
        first = &turn("t1", "", "hello", 3200);
        first_run = &run_of(*first, "chat");
        second = &turn("t2", "t1", " more", 3600);
        second_run = &run_of(*second, "chat");
        second_run->body = "helloone\ntwo\n more";
    }

    Try& ask(const std::string& id, const std::string& path, RouteKind kind, Millis at) {
        Try one;
        one.id = one.answered_id = id;
        one.host = "desk.example";
        one.method = "POST";
        one.path = path;
        one.body = "body of " + id;
        one.kind = kind;
        one.time_left = 3000;
        one.machine = "edge-1";
        one.sent = at;
        one.ended = at + 50;
        one.end = End::answered;
        one.status = 200;
        one.seal = "seal-" + id;
        one.answer = "answer to " + id;
        record.tries.push_back(one);
        return record.tries.back();
    }
    Try& turn(const std::string& id, const std::string& previous, const std::string& input, Millis at) {
        Try& one = ask(id, "/agent/x", RouteKind::streaming, at);
        one.previous = previous;
        one.body = input;
        one.answer.clear();
        one.program = "p";
        one.budget = 100;
        one.most = 10;
        one.events = {{1, "one"}, {2, "two"}};
        return one;
    }
    // Of a turn that continues the first.
    void refuse_five_tries() {
        for (int i = 0; i < 5; ++i) {
            Try& one = turn("n" + std::to_string(i), "t1", " again", 4000 + 300 * i);
            one.status = 503;
            one.seal.clear();
            one.events.clear();
            one.servers_idle = true;
        }
    }
    // One that was passed on to a server and cut after 50 ms.
    tier_rig::Run& cut_midway(Millis at) {
        Try& one = ask("c" + std::to_string(record.tries.size()), "/book/a", RouteKind::one_shot, at);
        one.end = End::cut;
        one.status = 0;
        one.seal.clear();
        one.answer.clear();
        tier_rig::Run& run = run_of(one, "files");
        run.whole = false;
        return run;
    }
    tier_rig::Run& run_of(const Try& one, const std::string& service) {
        tier_rig::Run run;
        run.server = service + "-1";
        run.service = service;
        run.try_id = one.id;
        run.seal = one.seal;
        run.host = one.host;
        run.method = one.method;
        run.path = one.path;
        run.body = one.body;
        run.time_left = one.time_left - 10;
        run.at = one.sent + 10;
        run.ended = one.sent + 40;
        run.status = 200;
        run.answer = one.answer;
        run.events = one.events;
        run.whole = true;
        record.runs.push_back(run);
        return record.runs.back();
    }
    std::vector<std::string> broken() const {
        std::vector<std::string> rules;
        for (const Finding& finding : check(record, bounds, 100000)) rules.push_back(finding.rule);
        return rules;
    }
    void expect(const std::string& rule) const {
        const auto rules = broken();
        EXPECT_NE(std::find(rules.begin(), rules.end(), rule), rules.end()) << "rules: " << rules.size();
    }
    void expect_calm() const {
        for (const Finding& finding : check(record, bounds, 100000))
            ADD_FAILURE() << finding.rule << ": " << finding.what;
    }
    Order& next_order(std::int64_t version, std::int64_t based_on, Millis at) {
        Order order = record.orders.back();
        order.version = version;
        order.based_on = based_on;
        order.sent = at;
        order.acknowledged = at + 50;
        order.text = std::to_string(version);
        record.orders.push_back(order);
        return record.orders.back();
    }

    Record record;
    Bounds bounds;
    Try *find, *book, *first, *second;
    tier_rig::Run *find_run, *book_run, *first_run, *second_run;
};

TEST_F(CheckerTest, CalmDayBreaksNothing) { expect_calm(); }

TEST_F(CheckerTest, OneShotThatRanTwice) {
    run_of(*book, "files").server = "files-2";
    expect("TWICE");
}
TEST_F(CheckerTest, RepeatableMayRunTwice) {
    run_of(*find, "search").server = "search-2";
    expect_calm();
}
TEST_F(CheckerTest, RunThatNobodyAskedFor) {
    run_of(*find, "search").try_id = "stranger";
    expect("UNASKED");
}
TEST_F(CheckerTest, ChangedBody) {
    find_run->body += "x";
    expect("UNASKED");
}
TEST_F(CheckerTest, ChangedPath) {
    find_run->path = "/find/b";
    expect("UNASKED");
}
TEST_F(CheckerTest, ChainWithoutItsLineFeeds) {
    second_run->body = "helloonetwo more";
    expect("UNASKED");
}
TEST_F(CheckerTest, TurnOnTopOfOneThatWasCut) {
    first->end = End::cut;
    expect("UNASKED");
}
TEST_F(CheckerTest, RefusedYetRan) {
    book->status = 503;
    book->seal.clear();
    expect("REFUSED");
}
TEST_F(CheckerTest, BudgetSaidToBeSpentYetRan) {
    second->status = 402;
    second->seal.clear();
    second->events.clear();
    expect("REFUSED");
}
TEST_F(CheckerTest, MoreTokensThanTheBudget) {
    second->budget = first->budget = 1;
    second->most = first->most = 2;
    expect("BUDGET");
}
TEST_F(CheckerTest, BudgetSaidToBeSpentThoughItHoldsOneMore) {
    record.runs.pop_back();
    second->status = 402;
    second->seal.clear();
    second->events.clear();
    second->budget = 20;  // the first turn, at its most, and this one
    EXPECT_EQ(tally(record, bounds).budgets_early, 1);
    second->budget = 19;
    EXPECT_EQ(tally(record, bounds).budgets_early, 0);
    second->sent = second->ended = first->ended + bounds.settle;  // four tokens, as it has settled
    EXPECT_EQ(tally(record, bounds).budgets_early, 1);
}
// A 502 does not say what its turn has put out: it counts at its most, as one that was cut does.
TEST_F(CheckerTest, BudgetSaidToBeSpentBehindATurnThatFailed) {
    record.runs.pop_back();
    second->status = 402;
    second->seal.clear();
    second->events.clear();
    second->sent = second->ended = first->ended + bounds.settle;
    first->status = 502;
    first->seal.clear();
    second->budget = 19;
    EXPECT_EQ(tally(record, bounds).budgets_early, 0);
    second->budget = 20;
    EXPECT_EQ(tally(record, bounds).budgets_early, 1);
    first->status = 503;  // it has not run
    second->budget = 19;
    EXPECT_EQ(tally(record, bounds).budgets_early, 1);
}
TEST_F(CheckerTest, KnownTurnCalledUnknown) {
    record.runs.pop_back();
    second->status = 404;
    second->seal.clear();
    second->events.clear();
    expect("LOST");
}
TEST_F(CheckerTest, ForgottenAfterItsTime) {
    record.runs.pop_back();
    second->status = 404;
    second->seal.clear();
    second->events.clear();
    second->sent += 61000;
    second->ended += 61000;
    expect_calm();
}
TEST_F(CheckerTest, PausesThatAreTooLongAreCountedUnlessTheRigTheServerOrTheMachineWasLate) {
    first->gap_limit = 400;
    const auto found = std::find_if(record.runs.begin(), record.runs.end(),
                                    [&](const tier_rig::Run& one) { return one.try_id == first->id; });
    ASSERT_NE(found, record.runs.end());
    tier_rig::Run& run = *found;
    const auto events = [&](Millis second_made, Millis second_came) {
        run.events[0].at = 1000;
        first->events[0].at = 1005;
        run.events[1].at = second_made;
        first->events[1].at = second_came;
        return tally(record, bounds).late_events;
    };
    EXPECT_EQ(events(1040, 1405), 0);
    EXPECT_EQ(events(1040, 1406), 1);
    EXPECT_EQ(events(1285, 1406), 1);
    EXPECT_EQ(events(1286, 1406), 0) << "passed on in time";
    EXPECT_EQ(events(1040, 1406), 1);
    // A machine's trouble, a stall that had ended before and one that came later are no excuse.
    record.troubles.push_back({"edge-1", 1000, 1406, false, false});
    record.troubles.push_back({"", 700, 1005, false, true});
    record.troubles.push_back({"", 1406, 1700, false, true});
    EXPECT_EQ(tally(record, bounds).late_events, 1);
    // Nor are waits for a processor of another sidecar, at another time, or too short to explain it.
    record.starvations.push_back({"edge-2", 1040, 1406, 366});
    record.starvations.push_back({first->machine, 700, 1040, 340});
    record.starvations.push_back({first->machine, 1050, 1350, 245});
    EXPECT_EQ(tally(record, bounds).late_events, 1);
    record.starvations.back().waited = 246;
    EXPECT_EQ(tally(record, bounds).late_events, 0);
    record.starvations.clear();
    record.troubles.push_back({"", 1100, 1380, false, true});
    EXPECT_EQ(tally(record, bounds).late_events, 0);
    EXPECT_EQ(tally(record, bounds).unmeasured_pauses, 1);
}

TEST_F(CheckerTest, MissingEvent) {
    first->events.erase(first->events.begin());
    expect("ORDER");
}
TEST_F(CheckerTest, EventTwice) {
    first->events.push_back(first->events.back());
    expect("ORDER");
}
TEST_F(CheckerTest, StreamThatEndsEarlyAsComplete) {
    first->events.pop_back();
    expect("ORDER");
}
TEST_F(CheckerTest, StreamThatIsCutMayEndEarly) {
    record.tries.pop_back();  // the turn on top of it
    record.runs.pop_back();
    first->events.pop_back();
    first->end = End::cut;
    expect_calm();
}
TEST_F(CheckerTest, SuccessWithoutSeal) {
    find->seal.clear();
    expect("MIXED");
}
TEST_F(CheckerTest, AnswerOfAnother) {
    find->answered_id = "b1";
    expect("MIXED");
}
TEST_F(CheckerTest, BodyCutShort) {
    find->answer.pop_back();
    expect("MIXED");
}
TEST_F(CheckerTest, FailureMadeASuccess) {
    find_run->status = 500;
    expect("MIXED");
}
TEST_F(CheckerTest, BytesWithNoRequestWaiting) {
    find->stray_bytes = true;
    expect("MIXED");
}
TEST_F(CheckerTest, ServiceThatNoConfigurationNames) {
    find_run->service = "files";
    expect("ROUTE");
}
TEST_F(CheckerTest, OlderConfigurationAfterTheBound) {
    next_order(5, 3, 4000).routes[0].services = {"files"};
    run_of(ask("f2", "/find/b", RouteKind::repeatable, 4050 + bounds.apply + 10), "search");
    expect("CONFIG");
}
TEST_F(CheckerTest, OlderConfigurationInsideTheBound) {
    next_order(5, 3, 4000).routes[0].services = {"files"};
    run_of(ask("f2", "/find/b", RouteKind::repeatable, 4050 + bounds.apply - 10), "search");
    expect_calm();
}
TEST_F(CheckerTest, OlderConfigurationOutOfTouch) {
    next_order(5, 3, 4000).routes[0].services = {"files"};
    run_of(ask("f2", "/find/b", RouteKind::repeatable, 4050 + bounds.apply + 10), "search");
    record.troubles.push_back({"edge-1", 4000, 5000, false, false});
    expect_calm();
}
TEST_F(CheckerTest, MachineThatRegresses) {
    next_order(5, 3, 4000).routes[0].services = {"files"};
    run_of(ask("f2", "/find/b", RouteKind::repeatable, 4100), "files");
    run_of(ask("f3", "/find/c", RouteKind::repeatable, 4110 + bounds.revert + 10), "search");
    expect("CONFIG");
}
TEST_F(CheckerTest, RefusedConfigurationInForce) {
    Order& order = next_order(5, 3, 4000);
    order.routes[0].services = {"files"};
    order.acknowledged.reset();
    order.refused = true;
    run_of(ask("f2", "/find/b", RouteKind::repeatable, 4100), "files");
    expect("CONFIG");
}
TEST_F(CheckerTest, InvalidConfigurationAcknowledged) {
    next_order(5, 3, 4000).valid = false;
    expect("CONFIG");
}
TEST_F(CheckerTest, TwoOnTheSameVersion) {
    next_order(5, 3, 4000);
    next_order(6, 3, 4000);
    expect("CONFIG");
}
TEST_F(CheckerTest, ReadBackOlder) {
    next_order(5, 3, 4000);
    record.read_back = ReadBack{true, "third", 9000};
    expect("CONFIG");
}
TEST_F(CheckerTest, ReadBackRight) {
    next_order(5, 3, 4000);
    record.read_back = ReadBack{true, "5", 9000};
    expect_calm();
}
TEST_F(CheckerTest, ReadBackAfterTheFinalFaultIsGone) {
    next_order(5, 3, 4000);
    record.final_fault = 4060;
    record.read_back = ReadBack{true, "third", 9000};
    expect("LOST");
}
TEST_F(CheckerTest, DrainedServerAsked) {
    record.drains.push_back({"search-1", 5000});
    run_of(ask("f2", "/find/b", RouteKind::repeatable, 5000 + bounds.drain + 10), "search");
    expect("DRAIN");
}
TEST_F(CheckerTest, DrainedServerAskedInsideTheBound) {
    record.drains.push_back({"search-1", 5000});
    run_of(ask("f2", "/find/b", RouteKind::repeatable, 5000 + bounds.drain - 100), "search");
    expect_calm();
}
TEST_F(CheckerTest, CutAroundASigterm) {
    record.troubles.push_back({"edge-1", 3110, 12000, true, false});
    record.runs.erase(record.runs.begin() + 1);
    Try cut = *book;
    cut.id = "b2";
    cut.end = End::cut;
    record.tries.push_back(cut);
    run_of(record.tries.back(), "files");
    record.tries[1].end = End::not_connected;
    expect("LOST");
}
TEST_F(CheckerTest, CutAroundASighup) {
    cut_midway(4000);
    record.hangups.push_back({"edge-1", 3900});
    expect("LOST");
}
TEST_F(CheckerTest, CutLongAfterASighup) {
    cut_midway(4000 + bounds.apply + 1000);
    record.hangups.push_back({"edge-1", 3900});
    expect_calm();
}
TEST_F(CheckerTest, CutBesideATroubleOfItsMachine) {
    cut_midway(4000);
    record.hangups.push_back({"edge-1", 3900});
    record.troubles.push_back({"edge-1", 2000, 3000, false, false});
    expect_calm();
}
TEST_F(CheckerTest, CutByItsServerAroundASighup) {
    cut_midway(4000).broke_off = true;
    record.hangups.push_back({"edge-1", 3900});
    expect_calm();
}
TEST_F(CheckerTest, CutsBesideAChange) {
    next_order(5, 3, 4000);
    cut_midway(4100);
    expect("LOST");
}
TEST_F(CheckerTest, CutsBesideAChangeAsAtOtherTimes) {
    next_order(5, 3, 6000);
    cut_midway(6100);
    for (int i = 0; i < 6; ++i) cut_midway(4000 + 10 * i);
    expect_calm();
}
TEST_F(CheckerTest, TurnThatReachesNoServer) {
    refuse_five_tries();
    expect("LOST");
}
TEST_F(CheckerTest, TurnThatReachesAServerAtLast) {
    refuse_five_tries();
    Try& last = turn("n5", "t1", " again", 6000);
    run_of(last, "chat").body = "helloone\ntwo\n again";
    expect_calm();
}
TEST_F(CheckerTest, ClientsThatLeftAreServed) {
    for (int i = 0; i < 5; ++i) {
        Try& one = ask(std::to_string(i) + "g", "/find/b", RouteKind::repeatable, 4000);
        one.end = End::given_up;
        run_of(one, "search").at = one.ended + 600;
    }
    expect("GONE");
}
TEST_F(CheckerTest, ProperRequestsDenied) {
    for (int i = 0; i < 8; ++i) {
        Try& one = ask(std::to_string(i) + "d", "/find/b", RouteKind::repeatable, 4000);
        one.status = 403;
        one.seal.clear();
    }
    expect("DENIED");
}
TEST_F(CheckerTest, NothingServedAfterTheFinalFault) {
    record.final_fault = 5000;
    record.back_up = 6000;
    for (int i = 0; i < 8; ++i) {
        Try& one =
            ask(std::to_string(i) + "r", "/find/b", RouteKind::repeatable, 6000 + bounds.recovery + 10);
        one.status = 503;
        one.seal.clear();
    }
    expect("RECOVER");
}

}  // namespace
}  // namespace whinledge::tier_rig
