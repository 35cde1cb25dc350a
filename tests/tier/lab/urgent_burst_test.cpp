// A burst of urgent requests on a full pool with long prompts, through proxies with the program's own
// decisions: the urgent begin first, and the long ones are put off and not starved.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <numeric>
#include <vector>

#include "lab_clients.hpp"

namespace whinledge::lab {
namespace {

constexpr std::size_t kLong = 48, kBurst = 64;  // of the burst every other one is urgent
constexpr Millis kBurstAt = 2000;
constexpr Millis kDeadline = 60000;

constexpr std::int64_t kLongPrompt = 16000, kLongOut = 100;
constexpr std::int64_t kShortPrompt = 1000, kShortOut = 30;

// An urgent one begins within this, though the pool is full; its burst alone is 250 ms of reading.
constexpr Millis kUrgentBound = 1000;
// A long one ends no later than this behind its end without a burst, and all of them are over by this
// multiple of the time that they take without one.
constexpr Millis kPutOff = 2000;
constexpr double kLongerByBurst = 1.25;

// 32 slots in all: the long ones fill them, and half as many wait besides.
Experiment full_pool(int servers) {
    Experiment made = small_experiment();
    made.deployment.zones = {"north"};
    made.deployment.proxies = 3;
    made.deployment.model_servers = servers;
    made.deployment.model.slots = 32 / servers;
    made.deployment.model.queue = 96;
    made.deployment.model.memory_tokens = 1024000 / servers;
    made.deployment.model.prefill_tokens_per_ms = 32.0 * 4 / servers;
    made.programs[0].deadline_ms = kDeadline;
    return made;
}

struct Case {
    int servers = 4;
    bool by_urgency = true, has_burst = true;
    std::uint64_t seed = 1;
};

struct Played {
    std::vector<Millis> urgent, others;  // how long those of the burst waited for their first events, rising
    std::vector<Millis> long_ends;       // in the order in which they came
    std::uint64_t preempted = 0;
    Millis last_long() const { return *std::max_element(long_ends.begin(), long_ends.end()); }
};

double mean(const std::vector<Millis>& times) {
    return std::accumulate(times.begin(), times.end(), 0.0) / static_cast<double>(times.size());
}

ClientRequest long_one(std::uint64_t number) {
    ClientRequest request = turn_of(1000 + number, {{1000 + number, kLongPrompt}}, kLongOut);
    request.rank = 1;
    return request;
}

// Of a program that is pressed, on a route of the highest rank; or of one that has time, on a low one.
ClientRequest short_one(std::uint64_t number, bool urgent) {
    ClientRequest request = turn_of(9000 + number, {{9000 + number, kShortPrompt}}, kShortOut);
    request.rank = urgent ? 0 : 2;
    if (urgent) request.finish_ms = 400;
    return request;
}

void print(const Case& of, const Played& played) {
    std::printf("[ figures  ] %d servers, %s, seed %llu: the last long one ends at %.0f ms", of.servers,
                of.by_urgency ? "by urgency" : "all alike", static_cast<unsigned long long>(of.seed),
                played.last_long());
    if (of.has_burst)
        std::printf(
            "; urgent wait %.0f ms in the mean, %.0f at most; others %.0f, %.0f at least; %llu "
            "preempted",
            mean(played.urgent), played.urgent.back(), mean(played.others), played.others.front(),
            static_cast<unsigned long long>(played.preempted));
    std::printf("\n");
}

// The long ones come first, a millisecond apart; the burst comes at once. Each request has one end, and each
// attempt at a server too.
Played play(const Case& of) {
    Arm arm = lab::arm("all");
    arm.mechanisms.urgency = of.by_urgency;
    LabClients clients(full_pool(of.servers), arm, of.seed);
    for (std::size_t i = 0; i < kLong; ++i) clients.ask_at(static_cast<Millis>(i), i % 3, long_one(i));
    for (std::size_t i = 0; of.has_burst && i < kBurst; ++i)
        clients.ask_at(kBurstAt, i % 3, short_one(i, i % 2 == 0));
    clients.run_to_the_end(kDeadline);

    Played played;
    for (const LabClients::Course& course : clients.courses()) {
        EXPECT_EQ(course.ends, 1);
        EXPECT_TRUE(course.served) << "asked at " << course.asked;
        if (course.asked < kBurstAt)
            played.long_ends.push_back(course.ended);
        else
            (course.request.rank == 0 ? played.urgent : played.others).push_back(course.waited());
    }
    std::sort(played.urgent.begin(), played.urgent.end());
    std::sort(played.others.begin(), played.others.end());
    const AttemptEnds& attempts = clients.measures().attempts;
    EXPECT_TRUE(attempts.add_up());
    EXPECT_EQ(attempts.open, 0U);
    EXPECT_EQ(attempts.done, clients.courses().size());
    played.preempted = clients.measures().preempted;
    print(of, played);
    return played;
}

class UrgentBurst : public testing::TestWithParam<int> {
protected:
    static constexpr std::uint64_t kSeeds = 5;
};

TEST_P(UrgentBurst, BeginsAheadOfWhatIsLessUrgent) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        const Played played = play({GetParam(), true, true, seed});
        EXPECT_LT(played.urgent.back(), played.others.front());
        EXPECT_LE(played.urgent.back(), kUrgentBound);
        EXPECT_GT(played.preempted, 0U) << "they have taken the places of long ones";
    }
}

TEST_P(UrgentBurst, StarvesNoLongOne) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        const Played calm = play({GetParam(), true, false, seed});
        const Played played = play({GetParam(), true, true, seed});
        EXPECT_LE(played.last_long(), kLongerByBurst * calm.last_long());
        Millis most = 0;
        for (std::size_t i = 0; i < kLong; ++i)
            most = std::max(most, played.long_ends[i] - calm.long_ends[i]);
        std::printf("[ figures  ] a long one is put off by %.0f ms at most\n", most);
        EXPECT_LE(most, kPutOff);
    }
}

// Without `Priority` the same burst waits behind the long ones, and nobody's place is taken.
TEST_P(UrgentBurst, HasNoPlacesWithoutPriority) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        const Played played = play({GetParam(), false, true, seed});
        EXPECT_GT(mean(played.urgent), 0.9 * mean(played.others));
        EXPECT_GT(played.urgent.front(), kUrgentBound);
        EXPECT_EQ(played.preempted, 0U);
    }
}

INSTANTIATE_TEST_SUITE_P(Servers, UrgentBurst, testing::Values(1, 4));

}  // namespace
}  // namespace whinledge::lab
