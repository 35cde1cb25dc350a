// The rules of one partial view. What they come to together is tested with fleets.
#include "overlay/partial_view.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace whinledge::overlay {
namespace {

Contact contact(const std::string& address, std::int64_t incarnation = 1, bool control = false) {
    Contact made;
    made.address = address;
    made.incarnation = incarnation;
    made.control = control;
    return made;
}

PartialView::Options options_of(const std::string& address, bool control = false) {
    PartialView::Options options;
    options.self = contact(address, 1, control);
    options.seeds = {"seed:1", "seed:2", "seed:3"};
    options.sizes = control ? ViewSizes::of_control() : ViewSizes::of_edge();
    return options;
}

wire::NeighbourRequest request(bool urgent, bool joining = false) {
    wire::NeighbourRequest made;
    made.urgent = urgent;
    made.joining = joining;
    return made;
}

void fill(PartialView& view, std::size_t links) {
    Effects ignored;
    for (std::size_t i = 0; i < links; ++i)
        EXPECT_TRUE(
            view.asked(0, contact(std::string("n:").append(std::to_string(i))), request(false), ignored)
                .accepted);
}

std::size_t disconnects(const Effects& effects) {
    return static_cast<std::size_t>(
        std::count_if(effects.calls.begin(), effects.calls.end(),
                      [](const Outgoing& call) { return call.request.disconnect; }));
}

// An address that is told and not linked.
void learn_spare(PartialView& view) {
    wire::ShuffleContacts offer;
    offer.contacts = {contact("spare:1")};
    view.shuffled(0, contact("n:0"), offer);
}

TEST(PartialView, JoinsThroughSeeds) {
    PartialView view(options_of("self:1"));
    Effects effects;
    view.tick(0, effects);
    ASSERT_EQ(effects.calls.size(), 3U);
    for (const Outgoing& call : effects.calls) {
        EXPECT_TRUE(call.to.address.starts_with("seed:"));
        EXPECT_TRUE(call.request.neighbour.joining);
        EXPECT_TRUE(call.request.neighbour.urgent);
    }
}

TEST(PartialView, AsksWhomASeedNamed) {
    PartialView view(options_of("self:1"));
    Effects effects;
    view.tick(0, effects);
    wire::NeighbourReply reply;
    reply.contacts = {contact("other:1"), contact("self:1")};
    Effects then;
    view.answered(10, contact("seed:1", 7, true), reply, then);
    ASSERT_EQ(then.calls.size(), 1U);
    EXPECT_EQ(then.calls.front().to.address, "other:1");
}

TEST(PartialView, ASeedSendsANewcomerOnOneWalk) {
    PartialView view(options_of("seed:1", true));
    fill(view, 10);
    Effects effects;
    const wire::NeighbourReply reply = view.asked(0, contact("new:1"), request(true, true), effects);
    EXPECT_FALSE(reply.accepted);  // a seed makes no room: many come at once
    EXPECT_EQ(reply.contacts.size(), 6U);
    ASSERT_EQ(effects.calls.size(), 1U);
    EXPECT_EQ(effects.calls.front().request.forward_join.newcomer.address, "new:1");
}

TEST(PartialView, AWalkEndsWithALink) {
    PartialView view(options_of("self:1"));
    fill(view, 2);
    wire::ForwardJoin walk;
    walk.newcomer = contact("new:1");
    walk.hops_left = 0;
    Effects effects;
    view.walked(0, contact("n:0"), walk, effects);
    ASSERT_EQ(effects.calls.size(), 1U);
    EXPECT_TRUE(effects.calls.front().request.__isset.neighbour);
    EXPECT_EQ(effects.calls.front().to.address, "new:1");
}

TEST(PartialView, AWalkOfAnyLengthEnds) {
    PartialView view(options_of("self:1"));
    fill(view, 3);
    wire::ForwardJoin walk;
    walk.newcomer = contact("new:1");
    walk.hops_left = 1 << 30;
    Effects effects;
    view.walked(0, contact("n:0"), walk, effects);
    ASSERT_EQ(effects.calls.size(), 1U);
    EXPECT_LE(effects.calls.front().request.forward_join.hops_left, 4);
}

TEST(PartialView, WhoIsFullRefusesUnlessItIsUrgent) {
    PartialView view(options_of("self:1"));
    fill(view, 6);
    Effects effects;
    EXPECT_FALSE(view.asked(0, contact("new:1"), request(false), effects).accepted);
    EXPECT_EQ(disconnects(effects), 0U);
    EXPECT_TRUE(view.asked(0, contact("new:1"), request(true), effects).accepted);
    EXPECT_EQ(disconnects(effects), 1U);
    EXPECT_EQ(view.active().size(), 6U);
}

TEST(PartialView, AControlProcessIsPreferred) {
    PartialView view(options_of("self:1"));
    fill(view, 5);
    Effects effects;
    EXPECT_TRUE(view.asked(0, contact("seed:1", 1, true), request(false), effects).accepted);
    for (int i = 0; i < 20; ++i)
        EXPECT_TRUE(
            view.asked(0, contact(std::string("new:").append(std::to_string(i))), request(true), effects)
                .accepted);
    EXPECT_TRUE(view.linked("seed:1"));
}

TEST(PartialView, ControlProcessesAlwaysHoldLinksWithEachOther) {
    PartialView view(options_of("seed:1", true));
    fill(view, 10);
    Effects effects;
    EXPECT_TRUE(view.asked(0, contact("seed:2", 1, true), request(false), effects).accepted);
    EXPECT_EQ(disconnects(effects), 0U);
    EXPECT_EQ(view.active().size(), 11U);
}

TEST(PartialView, ADeadNeighbourIsReplacedFromThePassiveView) {
    PartialView view(options_of("self:1"));
    fill(view, 4);
    learn_spare(view);
    Effects effects;
    view.link_lost(10, "n:1", effects);
    ASSERT_EQ(effects.unlinked.size(), 1U);
    ASSERT_EQ(effects.calls.size(), 1U);
    EXPECT_EQ(effects.calls.front().to.address, "spare:1");
    EXPECT_TRUE(effects.calls.front().request.__isset.neighbour);
}

TEST(PartialView, ADoubtedLinkHasAnotherSoughtMeanwhile) {
    PartialView view(options_of("self:1"));
    fill(view, 4);
    learn_spare(view);
    Effects effects;
    view.link_doubted(10, "n:1", effects);
    EXPECT_TRUE(effects.unlinked.empty());
    ASSERT_EQ(effects.calls.size(), 1U);
    EXPECT_EQ(effects.calls.front().to.address, "spare:1");
}

TEST(PartialView, ALostNeighbourIsKnockedAtAndThenForgotten) {
    PartialView view(options_of("self:1"));
    fill(view, 5);
    Effects lost;
    view.link_lost(0, "n:1", lost);
    int knocks = 0;
    for (Millis now = 0; now < 300000; now += 50) {
        Effects effects;
        view.tick(now, effects);
        for (const Outgoing& call : effects.calls) {
            if (call.to.address != "n:1") continue;
            ++knocks;
            Effects failed;
            view.failed(now, "n:1", CallFailure::timed_out, failed);
        }
    }
    EXPECT_GE(knocks, 10);
    EXPECT_LE(knocks, 24);
}

TEST(PartialView, AnotherProcessAtANeighboursAddressIsAnotherLink) {
    PartialView view(options_of("self:1"));
    fill(view, 1);
    Effects effects;
    view.asked(0, contact("n:0", 2), request(true), effects);
    ASSERT_EQ(effects.unlinked.size(), 1U);
    EXPECT_EQ(effects.unlinked.front().incarnation, 1);
    ASSERT_EQ(effects.linked.size(), 1U);
    EXPECT_EQ(effects.linked.front().incarnation, 2);
}

TEST(PartialView, HoldsNoMoreContactsThanItsSize) {
    PartialView view(options_of("self:1"));
    for (int i = 0; i < 500; ++i) {
        wire::ShuffleContacts offer;
        for (int j = 0; j < 6; ++j)
            offer.contacts.push_back(contact(std::string("c:").append(std::to_string(i * 6 + j))));
        EXPECT_LE(view.shuffled(0, contact("n:0"), offer).contacts.size(), 6U);
    }
    EXPECT_EQ(view.passive().size(), ViewSizes::of_edge().passive);
}

TEST(PartialView, KnowsNeitherItselfNorANamelessOne) {
    PartialView view(options_of("self:1"));
    wire::ShuffleContacts offer;
    offer.contacts = {contact("self:1", 9), contact("")};
    view.shuffled(0, contact("n:0"), offer);
    EXPECT_EQ(view.passive().size(), 1U);
    Effects effects;
    EXPECT_FALSE(view.asked(0, contact("self:1"), request(true), effects).accepted);
}

// However long nobody answers, it neither stops asking nor asks all the time.
TEST(PartialView, WithoutAnySeedItAsksAtASlowPace) {
    PartialView view(options_of("self:1"));
    int calls = 0, ticks = 0;
    Millis now = 0;
    for (; now < 60000 && ticks < 10000; ++ticks) {
        Effects effects;
        view.tick(now, effects);
        for (const Outgoing& call : effects.calls) {
            ++calls;
            Effects failed;
            view.failed(now, call.to.address, CallFailure::refused, failed);
        }
        now = std::max(now + 1, view.due());
    }
    EXPECT_GE(now, 60000);
    EXPECT_GE(calls, 30);
    EXPECT_LE(calls, 150);
}

}  // namespace
}  // namespace whinledge::overlay
