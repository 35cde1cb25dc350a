// Mutated messages of rollouts: what is told, answered and recorded. Each core goes on, within its bounds.
#include <gtest/gtest.h>

#include <random>

#include "../mutated.hpp"
#include "data_plane/service_rollout.hpp"
#include "rollout/follower.hpp"
#include "rpc/codec.hpp"

namespace whinledge::rollout {
namespace {

using Random = std::mt19937_64;

constexpr int kRounds = 10'000;

template <class Message, class Take>
void take_mutated(const Message& message, Random& random, const Take& take) {
    auto decoded = rpc::decode_body<Message>(whinledge::test::mutated(rpc::encode_body(message), random));
    if (decoded) take(decoded.value());
}

wire::RegisterState trial() {
    wire::RegisterState state;
    state.sequence = 4;
    return begun(state, {"chat", "v2", 14000}, {servers_list::version_id("v1")});
}

std::vector<wire::ListedServer> servers() {
    std::vector<wire::ListedServer> servers(8);
    for (std::size_t i = 0; i < servers.size(); ++i) {
        servers[i].id = "s" + std::to_string(i);
        servers[i].version = servers_list::version_id(i < 4 ? "v1" : "v2");
        servers[i].slots = 8;
    }
    return servers;
}

TEST(RolloutFuzz, MutatedReportsAndRecords) {
    Random random(1);
    const wire::RegisterState state = trial();
    Cells cells;
    for (int i = 0; i < 40; ++i) count(cells, {7, i % 3, i % 5 == 0, true, 100.0 * i, 10.0});
    wire::RolloutReport report;
    report.number = state.rollouts.front().number;
    report.cells = to_wire(cells);
    Follower follower(0.1);
    double now = 1000;
    for (int round = 0; round < kRounds; ++round, now += 10) {
        if (round % 100 == 0) follower.follow(state, now);
        report.proxy = round % 7;
        report.sequence = round + 1;
        take_mutated(report, random, [&](const wire::RolloutReport& read) {
            follower.take(read, now);
            const wire::RolloutReportReply reply = follower.reply_to(read, now);
            EXPECT_GE(reply.open_new, 0);
            EXPECT_GE(reply.elapsed_ms, 0);
        });
        if (round % 25 == 0) follower.due(5, now);
        if (round % 50 == 0) follower.news();
        take_mutated(state, random, [&](const wire::RegisterState& read) { follower.follow(read, now); });
    }
}

TEST(RolloutFuzz, MutatedRecordsAndRepliesAtAProxy) {
    Random random(2);
    const wire::Rollout record = trial().rollouts.front();
    const std::vector<wire::ListedServer> listed = servers();
    wire::RolloutReportReply reply;
    reply.permitted = true;
    reply.elapsed_ms = 4000;
    reply.open_new = 12;
    data_plane::ServiceRollout rollout({true, 0.1, 2000});
    double now = 1000;
    for (int round = 0; round < kRounds; ++round, now += 10) {
        take_mutated(record, random, [&](const wire::Rollout& read) { rollout.set_record(&read, now); });
        take_mutated(reply, random, [&](const wire::RolloutReportReply& read) { rollout.hear(read, now); });
        const VersionArms arms = rollout.arms(listed, now);
        EXPECT_LE(arms.serving.size() + arms.candidate.size(), listed.size());
        rollout.trial_is_due(now);
        EXPECT_GE(rollout.candidate_share(now), 0);
        EXPECT_LE(rollout.candidate_share(now), 1);
        if (rollout.candidate_version()) rollout.report(5, {3, 1}, now);
    }
}

}  // namespace
}  // namespace whinledge::rollout
