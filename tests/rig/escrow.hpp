// Allotments of one limit that talk over a network of the test's: clocks that run apart, datagrams that are
// late, lost, doubled and out of order, members that are killed, stopped and start again. After each step the
// sum of what all may use is held against the limit.
#pragma once

#include <algorithm>
#include <functional>
#include <optional>
#include <random>
#include <utility>
#include <variant>
#include <vector>

#include "fleet/allotment.hpp"

namespace whinledge::fleet::test {

struct Escrow {
    struct Options {
        std::size_t members = 3;
        Units units = 3;
        Millis lease = 4000, tail = 0;
        double drift = 0.01;  // what the members allow for
        double skew = 0.01;   // what their clocks do: every third fast, every third slow
        std::uint64_t seed = 1;
        // Variants that break a rule on purpose.
        double borrower_longer = 1;  // member 0 counts its leases so much longer than it says
        bool forgets_quiet = false;  // a member that starts as if it had lent nothing
        bool says_less = false;      // a borrower that says that it keeps nothing, and keeps it
    };
    struct Member {
        std::optional<Allotment> allotment;
        Incarnation life = 0;
        double rate = 1;
        bool stopped = false;
        Units wanted = 0, busy = 0;
    };
    struct Message {
        std::size_t from = 0, to = 0;
        Incarnation life = 0;
        std::variant<Ask, Grant, Allotment::Recall> what;
        Millis at = 0;
        std::uint64_t order = 0;
    };

    explicit Escrow(const Options& o) : options(o), random(o.seed) {
        for (std::size_t i = 0; i < o.members; ++i) keys.push_back(static_cast<Key>(1000 + 7 * i));
        members.resize(o.members);
        for (std::size_t i = 0; i < o.members; ++i) {
            members[i].rate = 1 + o.skew * (static_cast<double>(i % 3) - 1);
            start(i, true);
        }
    }

    Millis clock(std::size_t i) const { return now * members[i].rate; }
    Allotment& at(std::size_t i) { return *members[i].allotment; }
    bool up(std::size_t i) const { return members[i].allotment.has_value(); }

    // The first start of all has nothing to remember.
    void start(std::size_t i, bool first = false) {
        AllotmentSettings s;
        s.self = keys[i];
        s.units = units_of(i);
        s.members = files.empty() ? keys : files[i];
        s.lease = options.lease * (i == 0 ? options.borrower_longer : 1);
        s.tail = options.tail;
        s.drift = options.drift;
        s.seed = random();
        s.remembers = first || options.forgets_quiet;
        members[i].allotment.emplace(s, 77, clock(i));
        members[i].life = next_life++;
        members[i].stopped = false;
        members[i].allotment->demand(members[i].wanted, members[i].busy);
    }
    void kill(std::size_t i) { members[i].allotment.reset(); }
    void want(std::size_t i, Units wanted, Units busy = 0) {
        members[i].wanted = wanted, members[i].busy = busy;
        if (up(i)) at(i).demand(wanted, busy);
    }

    // What a member wants to say goes into the network.
    void tick(std::size_t i) {
        if (!up(i) || members[i].stopped) return;
        for (const Allotment::Tell& tell : at(i).tick(clock(i), {})) put(i, index(tell.to), tell.what);
    }
    void put(std::size_t from, std::size_t to, decltype(Message::what) what) {
        ++sent;
        network.push_back({from, to, members[from].life, std::move(what), now, next_order++});
    }
    void deliver(const Message& m) {
        if (!up(m.to) || members[m.to].stopped) return;
        Allotment& a = at(m.to);
        if (const auto* const said = std::get_if<Ask>(&m.what)) {
            Ask ask = *said;
            if (options.borrower_longer > 1) ask.lease = static_cast<std::uint32_t>(options.lease);
            if (options.says_less) ask.keep = 0;
            if (const auto grant = a.receive(clock(m.to), keys[m.from], m.life, ask))
                put(m.to, m.from, *grant);
        } else if (const auto* const grant = std::get_if<Grant>(&m.what)) {
            a.receive(clock(m.to), keys[m.from], *grant);
        } else {
            a.receive_recall(clock(m.to), keys[m.from]);
        }
    }
    std::size_t index(Key key) const {
        return static_cast<std::size_t>(std::find(keys.begin(), keys.end(), key) - keys.begin());
    }

    // A stopped member uses nothing; it goes on with what its clock says then.
    Units used() const {
        Units sum = 0;
        for (std::size_t i = 0; i < members.size(); ++i)
            if (up(i) && !members[i].stopped) sum += members[i].allotment->usable(clock(i));
        return sum;
    }
    bool holds() const { return used() <= bound(); }
    Units bound() const { return most_units.value_or(options.units); }
    Units units_of(std::size_t i) const { return each_units.empty() ? options.units : each_units[i]; }

    // Everybody ticks, all that is on the way arrives, as often as it takes; false: the bound was passed.
    bool settle(Millis until, Millis step = 50) {
        for (; now < until; now += step) {
            for (std::size_t i = 0; i < members.size(); ++i) tick(i);
            while (!network.empty()) {
                const std::vector<Message> all = std::exchange(network, {});
                for (const Message& m : all) {
                    if (passes && !passes(m)) continue;
                    deliver(m);
                    if (!holds()) return false;
                }
            }
            if (!holds()) return false;
        }
        return true;
    }

    Options options;
    std::mt19937_64 random;
    std::vector<Key> keys;
    std::vector<Member> members;
    std::vector<std::vector<Key>> files;  // of each, where they differ
    std::vector<Units> each_units;
    std::optional<Units> most_units;
    std::vector<Message> network;
    std::function<bool(const Message&)> passes;
    Millis now = 0;
    Incarnation next_life = 1;
    std::uint64_t next_order = 0, sent = 0;
};

}  // namespace whinledge::fleet::test
