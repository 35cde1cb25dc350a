// A simulated fleet that notes who was held failed, for the tests of membership.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <set>
#include <tuple>

#include "fleetsim/fleet.hpp"

namespace whinledge::fleetsim {

using fleet::Standing;
using fleet::State;

constexpr Millis P = 1000;

struct World : Fleet {
    explicit World(const Options& options) : Fleet(options) {
        on_change = [this](std::size_t at, const fleet::Changed& c) {
            if (c.to == State::failed) failures.emplace_back(at, *index(c.about), now());
        };
    }
    // All know each other and agree.
    void settle() {
        // Where much is lost, somebody is always just being suspected and contradicts: views differ by that.
        const auto agreed =
            run_until([&] { return (loss > 0.1 || views_equal()) && all_joined() && all_alive(); },
                      now() + 60 * P, 250);
        ASSERT_TRUE(agreed) << "a fleet that starts agrees";
        run(now() + 5 * P);
        failures.clear();
    }
    bool all_joined() const {
        for (std::size_t i = 0; i < size(); ++i)
            if (up(i) && at(i).standing() != Standing::joined) return false;
        return true;
    }
    bool all_alive() const {
        for (std::size_t i = 0; i < size(); ++i)
            if (up(i) && at(i).alive() != size()) return false;
        return true;
    }
    // Who was held failed by somebody though it was there.
    std::set<std::size_t> wronged(const std::set<std::size_t>& gone = {}) const {
        std::set<std::size_t> all;
        for (const auto& f : failures)
            if (!gone.contains(std::get<1>(f))) all.insert(std::get<1>(f));
        return all;
    }
    // Cut into halves for 60 P and joined again: until views are equal, and the most datagrams that a member
    // sent in a P meanwhile.
    struct Healed {
        std::optional<Millis> after;
        double storm = 0;
    };
    Healed cut_and_heal(Millis within) {
        passes = [this](std::size_t from, std::size_t to) {
            return (2 * from < size()) == (2 * to < size());
        };
        run(now() + 60 * P);
        passes = {};
        const Millis joined = now();
        std::deque<std::uint64_t> counted;  // at each quarter of the last P
        Healed healed;
        const auto equal = run_until(
            [&] {
                counted.push_back(counts().datagrams);
                if (counted.size() > 5) counted.pop_front();
                const auto sent = static_cast<double>(counted.back() - counted.front());
                healed.storm = std::max(healed.storm, sent / static_cast<double>(size()));
                return views_equal();
            },
            joined + within, P / 4);
        if (equal) healed.after = *equal - joined;
        return healed;
    }
    // Datagrams a P of each member, over so long.
    double sent_in(Millis span) {
        const auto before = counts().datagrams;
        run(now() + span);
        return static_cast<double>(counts().datagrams - before) * P / span / static_cast<double>(size());
    }
    struct Failure : std::tuple<std::size_t, std::size_t, Millis> {
        using tuple::tuple;
    };
    std::vector<Failure> failures;  // by whom, who, when
};

// A member that says what it likes, under its own name.
struct Liar {
    World& w;
    std::size_t i;
    void say(std::size_t to, const std::vector<fleet::Rumour>& rumours,
             fleet::Kind kind = fleet::Kind::news) {
        fleet::Datagram d;
        d.fleet = fleet::key_of("simulated");
        d.from = w.key(i);
        d.incarnation = w.at(i).incarnation();
        d.kind = kind;
        d.rumours = rumours;
        w.deliver(i, to, fleet::encode(d), 1);
    }
    fleet::Rumour of(std::size_t about, State state) const {
        return {w.key(about), w.at(about).incarnation(), state, false, state == State::suspect ? w.key(i) : 0,
                60000};
    }
};

}  // namespace whinledge::fleetsim
