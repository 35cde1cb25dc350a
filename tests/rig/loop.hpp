// A loop that runs until something has happened. It waits for events; the time limit only ends a test that
// hangs.
#pragma once

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "engine/members.hpp"

namespace whinledge::test {

namespace asio = boost::asio;

inline void run_until(asio::io_context& io, const std::function<bool()>& reached) {
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    io.restart();
    while (!reached()) {
        if (std::chrono::steady_clock::now() > limit) FAIL() << "waited in vain";
        io.run_one_for(std::chrono::milliseconds(50));
        io.restart();
    }
}

struct LoopRig : testing::Test {
    asio::io_context io;

    void until(const std::function<bool()>& reached) { run_until(io, reached); }
    // Handles all that is ready, and waits for nothing.
    void drain() {
        io.restart();
        io.poll();
        io.restart();
    }
};

// What a source has told.
struct Told {
    std::vector<MemberList> lists;
    std::vector<std::string> failures;
    MemberSource::Callbacks callbacks() {
        return {[this](MemberList list) { lists.push_back(std::move(list)); },
                [this](const std::string& why) { failures.push_back(why); }};
    }
    std::vector<std::string> ids() const {
        std::vector<std::string> ids;
        if (!lists.empty())
            for (const Member& m : lists.back().members) ids.push_back(m.id);
        return ids;
    }
};

using Ids = std::vector<std::string>;

}  // namespace whinledge::test
