// A thread of turns through the processes of three zones in turn: each goes back to the server to which it
// has sent the thread itself, as that is all that it can know of it.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "placement/placement.hpp"

namespace whinledge::placement {
namespace {

constexpr std::uint64_t kModel = 7;
constexpr std::uint64_t kStart = 1;  // of the prompts of all threads
constexpr std::int64_t kStartTokens = 2500, kInput = 600, kOut = 60;
constexpr std::uint64_t kThreads = 40, kTurns = 9;
const std::vector<std::string> kZones{"a", "b", "c"};

// Its prompt has all that was said in the thread before it, behind a start that others share or not.
Request turn(std::uint64_t thread, std::uint64_t number, std::uint64_t start = kStart) {
    Request made;
    made.model = kModel;
    made.line = made.program = 1 + thread;
    made.continues = number > 0;
    made.parts = {{start, kStartTokens}, {mixed(made.line, 0), kInput}};
    for (std::uint64_t i = 1; i <= number; ++i) made.parts.push_back({mixed(made.line, i), kOut + kInput});
    for (const PromptPart& part : made.parts) made.tokens.prompt += part.tokens;
    made.tokens.most_out = kOut;
    made.bytes = 1500 * static_cast<std::int64_t>(number + 5);
    return made;
}

// Twelve servers by turns in each zone, as a process of a zone sees them.
struct Process {
    explicit Process(const std::string& zone) : placement(settings(zone)) {
        std::vector<ListedServer> list;
        for (int i = 0; i < 12; ++i) {
            const std::string& its_zone = kZones[static_cast<std::size_t>(i) % kZones.size()];
            list.push_back({std::string("m").append(std::to_string(i)), its_zone, false, 0, 16});
            zones[list.back().id] = its_zone;
        }
        placement.set_servers(list, now);
        for (std::uint64_t thread = 900; thread < 903; ++thread) send(turn(thread, 0));  // learns the start
    }
    static Settings settings(const std::string& zone) {
        Settings made;
        made.zone = zone;
        made.memory_tokens = 400000;
        return made;
    }
    // The server that is worth it most; it is sent there, and runs.
    std::string send(const Request& request) {
        const auto names = placement.candidates(request, now);
        if (names.empty()) return "";
        placement.sent(next, names.front(), request, now);
        placement.began(next, now);
        placement.ended(next++, true, now);
        now += 300;
        return names.front();
    }
    // What that server would have to read of it, as far as this process knows.
    Millis prefill(const std::string& server, const Request& request) const {
        for (const Estimate& estimate : placement.estimates(request, now))
            if (estimate.server == server) return estimate.prefill;
        return -1;
    }

    Millis now = 1000;
    SendId next = 1;
    Placement placement;
    std::map<std::string, std::string> zones;  // by server
};

TEST(ThreadThroughZones, EachProcessGoesBackToTheServerToWhichItHasSentIt) {
    std::vector<Process> processes;
    for (const std::string& zone : kZones) processes.emplace_back(zone);
    for (std::uint64_t thread = 0; thread < kThreads; ++thread) {
        std::map<std::size_t, std::string> sent_to;  // by process
        for (std::uint64_t number = 0; number < kTurns; ++number) {
            SCOPED_TRACE(std::string("turn ").append(std::to_string(number)));
            const std::size_t which = number % kZones.size();
            Process& process = processes[which];
            const std::string server = process.send(turn(thread, number));
            EXPECT_EQ(process.zones.at(server), kZones[which]);
            if (sent_to.contains(which)) {
                EXPECT_EQ(server, sent_to[which]);
            }
            sent_to[which] = server;
        }
    }
}

// Where no other program has its start, the thread is all that there is to go by.
TEST(ThreadThroughZones, AThreadWithAStartOfItsOwnStaysWhereItBegan) {
    Process process("a");
    for (std::uint64_t thread = 0; thread < kThreads; ++thread) {
        const std::uint64_t start = 1000 + thread;
        const std::string began = process.send(turn(thread, 0, start));
        for (std::uint64_t number = 1; number < kTurns; ++number)
            EXPECT_EQ(process.send(turn(thread, number, start)), began) << thread << " " << number;
    }
}

// What it is to read there is what was said since that process's own last turn, and not the thread anew.
TEST(ThreadThroughZones, WhatWasSaidSinceIsReadThere) {
    std::vector<Process> processes;
    for (const std::string& zone : kZones) processes.emplace_back(zone);
    std::map<std::size_t, std::string> sent_to;
    for (std::uint64_t number = 0; number < kTurns; ++number) {
        const std::size_t which = number % kZones.size();
        Process& process = processes[which];
        const Request request = turn(1, number);
        const double per_ms = Process::settings("a").prefill_tokens_per_ms;
        if (sent_to.contains(which)) {
            EXPECT_DOUBLE_EQ(process.prefill(sent_to[which], request),
                             static_cast<double>(kZones.size() * (kOut + kInput)) / per_ms);
        }
        sent_to[which] = process.send(request);
    }
}

}  // namespace
}  // namespace whinledge::placement
