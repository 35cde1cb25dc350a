// A thread of turns that goes through another zone's proxy each time, on simulated servers of three zones:
// what it has read anew and what passes between zones, beside a thread that stays in its zone.
#include <gtest/gtest.h>

#include <cmath>
#include <cstdio>

#include "lab_clients.hpp"

namespace whinledge::lab {
namespace {

constexpr std::size_t kZones = 3;
constexpr std::uint64_t kThreads = 12, kTurns = 9;
constexpr Millis kTurnEvery = 1000;
constexpr std::int64_t kStartTokens = 2500, kInput = 600, kOut = 30;
constexpr std::uint64_t kStart = 1;  // of the prompts of all threads

// A proxy and four servers in each zone.
Experiment three_zones() {
    Experiment made = small_experiment();
    made.deployment.zones = {"north", "south", "west"};
    made.deployment.proxies = kZones;
    made.deployment.model_servers = 12;
    made.programs[0].deadline_ms = 60000;
    return made;
}

// The turn's prompt has all that was said in the thread before it.
ClientRequest turn(std::uint64_t thread, std::uint64_t number) {
    const auto part = [thread](std::uint64_t index) { return placement::mixed(thread, index); };
    std::vector<PromptPart> parts{{kStart, kStartTokens}, {part(0), kInput}};
    for (std::uint64_t i = 1; i <= number; ++i) {
        parts.push_back({part(2 * i - 1), kOut});
        parts.push_back({part(2 * i), kInput});
    }
    ClientRequest made = turn_of(100 + thread, std::move(parts), kOut);
    made.output_part = part(2 * number + 1);
    made.prompt.continues = number > 0;
    return made;
}

struct Played {
    double said = 0;  // tokens, each once, but for the last turns' outputs
    double read = 0, read_twice = 0, between_zones = 0;
};

Played play(std::size_t zones_passed, std::uint64_t seed) {
    LabClients clients(three_zones(), arm("all"), seed);
    Played played;
    for (std::uint64_t thread = 0; thread < kThreads; ++thread) {
        played.said += static_cast<double>(kTurns * kInput + (kTurns - 1) * kOut);
        for (std::uint64_t number = 0; number < kTurns; ++number) {
            const std::size_t zone = (thread + number % zones_passed) % kZones;
            const Millis when = static_cast<Millis>(thread) * 37 + static_cast<Millis>(number) * kTurnEvery;
            clients.ask_at(when, zone, turn(thread, number));
        }
    }
    clients.run_to_the_end(60000);
    for (const LabClients::Course& course : clients.courses()) {
        EXPECT_TRUE(course.served);
        EXPECT_LT(course.ended, course.asked + kTurnEvery) << "turns of a thread follow each other";
    }
    EXPECT_EQ(clients.measures().attempts.done, kThreads * kTurns);
    played.read = clients.measures().tokens_read;
    played.read_twice = clients.measures().tokens_read_twice;
    played.between_zones = clients.measures().cross_zone_bytes;
    std::printf(
        "[ figures  ] threads through %zu zones: %.0f tokens said, %.2f of them read, %.2f twice; "
        "%.0f bytes between zones\n",
        zones_passed, played.said, played.read / played.said, played.read_twice / played.said,
        played.between_zones);
    return played;
}

constexpr std::uint64_t kSeeds = 5;
constexpr double kMostCopiesInAZone = 3;  // of the start, by four servers

// What servers have put out they keep: of a thread its inputs alone are read, each once.
TEST(ThreadThroughZones, OneThatStaysIsReadOnce) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        const Played stays = play(1, seed);
        const double inputs = kThreads * kTurns * kInput;
        const double copies = (stays.read - inputs) / kStartTokens;
        EXPECT_EQ(copies, std::round(copies)) << "something of a thread is read twice";
        EXPECT_GE(copies, kZones);
        EXPECT_LE(copies, kMostCopiesInAZone * kZones);
        EXPECT_EQ(stays.between_zones, 0);
    }
}

// No process of a zone knows what those of another zone have sent: each zone reads the thread once, what was
// said since it was last there at each turn, and nothing passes between them.
TEST(ThreadThroughZones, EachZoneReadsItOnceAndNothingPassesBetweenThem) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        const Played stays = play(1, seed);
        for (std::size_t zones = 2; zones <= kZones; ++zones) {
            const Played goes = play(zones, seed);
            EXPECT_LE(goes.read, static_cast<double>(zones) * stays.read);
            EXPECT_GT(goes.read, stays.read) << "a zone knows what another has sent: the bound is too wide";
            EXPECT_EQ(goes.between_zones, 0);
        }
    }
}

}  // namespace
}  // namespace whinledge::lab
