// Ways to know who is there, side by side on one kind of network: delays of 0.5 to 5 ms, loss 5 %, by a seed.
//   fleet_ways [SEED [MEMBERS...]]       by default 1 and 10 100 1000 5000
// Prints a table: what a member sends, how long from a kill until all hold it failed, what is held failed
// wrongly, and what the smaller side of a cut knows.
//   heartbeats  everybody tells everybody each P; failed after 6.5 P of silence
//   gossip      each P two datagrams to random members, each with one's own counter and as many others as
//               fit, or the whole table to one; failed by phi accrual: phi >= 8 with intervals taken as
//               normal (the paper) or exponential (which is nearer to what gossip makes of them)
//   majority    a leader hears all each P and answers each (a lease); a change holds once a majority has it
//   swim        src/fleet as it is, in src/fleetsim, with its codec
// The first three are models: no bytes are made, sizes are those of this fleet's codec. Times are in P = 1 s.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <limits>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "fleetsim/fleet.hpp"

namespace {

using whinledge::fleet::State;
using whinledge::fleetsim::Fleet;

constexpr double kLoss = 0.05, kSilence = 6.5;         // in P
constexpr double kMemberSeconds = 200000;              // over which wrong failures are counted, at least
constexpr std::size_t kCutMembers = 100, kSmall = 30;  // of a cut: all, and those on the smaller side

struct Figures {
    std::string way;
    std::size_t members = 0;
    double datagrams = 0, bytes = 0, worst_datagrams = 0;  // sent, a second
    std::vector<double> kills;                             // until all hold it failed, P
    double wrong = 0;                                      // for 100,000 member-seconds
};

struct Network {
    explicit Network(std::uint64_t seed) : random(seed) {}
    double unit() { return static_cast<double>(random() >> 11) * 0x1.0p-53; }
    std::size_t below(std::size_t n) { return static_cast<std::size_t>(unit() * static_cast<double>(n)); }
    bool lost() { return unit() < kLoss; }
    double delay() { return 0.0005 + unit() * 0.0045; }
    std::mt19937_64 random;
};

// What a datagram without rumours takes here: what any way has to say of its sender.
std::size_t head_bytes() {
    whinledge::fleet::Datagram d;
    d.fleet = d.from = d.target = d.view = 0x9abcdef0;
    d.incarnation = 1700000000000;
    d.number = 0x12345678;
    return whinledge::fleet::encode(d).size();
}

std::size_t kills_of(std::size_t members) { return members >= 5000 ? 2 : members >= 1000 ? 5 : 20; }

// ---- All-to-all heartbeats --------------------------------------------------------------------------------

class Heartbeats {
public:
    Heartbeats(std::size_t members, std::uint64_t seed)
        : n_(members), net_(seed), phase_(members), heard_(members * members, 0) {
        for (double& phase : phase_) phase = net_.unit();
    }
    // A round of all that are not in `gone`; `side`, where given, cuts those below it off from the others.
    void round(std::size_t gone, std::size_t side = 0) {
        for (std::size_t i = 0; i < n_; ++i) {
            if (i == gone) continue;
            for (std::size_t j = 0; j < n_; ++j) {
                if (j == i || (i < side) != (j < side) || net_.lost()) continue;
                float& heard = heard_[j * n_ + i];
                const auto now = static_cast<float>(at_ + phase_[i] + net_.delay());
                wrong_ += now - heard > kSilence;
                heard = std::max(heard, now);
            }
        }
        ++at_;
    }
    Figures figures() {
        Figures f{"heartbeats", n_, static_cast<double>(n_ - 1), 0, static_cast<double>(n_ - 1), {}, 0};
        f.bytes = f.datagrams * static_cast<double>(head_bytes());
        const auto rounds = static_cast<int>(std::ceil(kMemberSeconds / static_cast<double>(n_)));
        for (int i = 0; i < 3; ++i) round(n_);
        wrong_ = 0;
        for (int i = 0; i < rounds; ++i) round(n_);
        f.wrong = wrong_ / (rounds * static_cast<double>(n_)) * 1e5;
        for (std::size_t kill = 0; kill < kills_of(n_); ++kill) {
            const std::size_t gone = net_.below(n_);
            const double killed = at_ + net_.unit();
            // What it sent before its end in this round was sent, or not.
            round(phase_[gone] + at_ < killed ? n_ : gone);
            double last = 0;
            for (std::size_t j = 0; j < n_; ++j)
                if (j != gone) last = std::max(last, heard_[j * n_ + gone] + kSilence - killed);
            f.kills.push_back(last);
            for (int i = 0; i < 3; ++i) round(n_);
        }
        return f;
    }
    // Shares of what the smaller side holds rightly: of its own, and of the other.
    std::pair<double, double> cut() {
        for (int i = 0; i < 30; ++i) round(n_, i < 10 ? 0 : kSmall);
        double own = 0, others = 0;
        for (std::size_t j = 0; j < kSmall; ++j)
            for (std::size_t i = 0; i < n_; ++i) {
                const bool failed = at_ - heard_[j * n_ + i] > kSilence;
                if (i != j) (i < kSmall ? own : others) += i < kSmall ? !failed : failed;
            }
        return {own / (kSmall * (kSmall - 1)), others / static_cast<double>(kSmall * (n_ - kSmall))};
    }

private:
    std::size_t n_;
    Network net_;
    std::vector<double> phase_;
    std::vector<float> heard_;  // by hearer, then by who was heard
    double at_ = 0, wrong_ = 0;
};

// ---- Gossiped counters with phi accrual -------------------------------------------------------------------

class Gossip {
public:
    Gossip(std::size_t members, std::uint64_t seed, bool normal, bool whole)
        : n_(members), normal_(normal), whole_(whole), net_(seed), known_(members * members), from_(members) {
        // A key of five bytes and a counter of three.
        fits_ = std::min((256 - head_bytes()) / 8, n_ - 1);
        for (std::size_t& from : from_) from = net_.below(n_);
        if (whole) datagrams_ = (n_ - 1 + fits_ - 1) / fits_;
    }
    void round(std::size_t gone, std::size_t side = 0) {
        for (std::size_t i = 0; i < n_; ++i) {
            if (i == gone) continue;
            ++known_[i * n_ + i].counter;
            std::size_t to = n_;
            for (std::size_t sent = 0; sent < datagrams_; ++sent) {
                if (sent == 0 || !whole_) to = net_.below(n_);
                const bool arrives = to != i && to != gone && (i < side) == (to < side) && !net_.lost();
                const double now = at_ + static_cast<double>(i) / static_cast<double>(n_) + net_.delay();
                if (arrives) hear(to, i, known_[i * n_ + i].counter, now);
                for (std::size_t k = 0; k < fits_; ++k) {
                    from_[i] = from_[i] + 1 == n_ ? 0 : from_[i] + 1;
                    if (arrives) hear(to, from_[i], known_[i * n_ + from_[i]].counter, now);
                }
            }
        }
        ++at_;
    }
    // So long that each pair has 20 intervals or so: one is N / (2 fits) P, twice where a half is no news.
    int warm() const {
        if (whole_) return 60;
        return 40 + static_cast<int>(20 * static_cast<double>(n_) / static_cast<double>(fits_));
    }
    Figures figures() {
        const auto each = static_cast<double>(datagrams_);
        Figures f{name(), n_, each, 0, each, {}, 0};
        f.bytes = each * static_cast<double>(head_bytes()) +
                  8 * static_cast<double>(whole_ ? n_ - 1 : datagrams_ * fits_);
        for (int i = 0; i < warm(); ++i) round(n_);
        const auto rounds = static_cast<int>(std::ceil(kMemberSeconds / static_cast<double>(n_)));
        wrong_ = 0;
        for (int i = 0; i < rounds; ++i) round(n_);
        f.wrong = wrong_ / (rounds * static_cast<double>(n_)) * 1e5;
        for (std::size_t kill = 0; kill < kills_of(n_); ++kill) {
            const std::size_t gone = net_.below(n_);
            const double killed = at_;
            std::vector<Known> before;
            for (std::size_t j = 0; j < n_; ++j) before.push_back(known_[j * n_ + gone]);
            // Its last counter still goes round; all hold it failed once nobody hears anything new of it.
            double last = 0;
            do {
                round(gone);
                last = 0;
                for (std::size_t j = 0; j < n_; ++j)
                    if (j != gone) last = std::max(last, fails_at(known_[j * n_ + gone]));
            } while (last > at_);
            f.kills.push_back(last - killed);
            // The pause is no interval of the next life, neither to others nor to itself.
            for (std::size_t j = 0; j < n_; ++j) {
                Known& k = known_[j * n_ + gone];
                k.mean = before[j].mean, k.variance = before[j].variance, k.at = static_cast<float>(at_);
                known_[gone * n_ + j].at = static_cast<float>(at_);
            }
            for (int i = 0; i < warm() / 4; ++i) round(n_);
        }
        return f;
    }
    const char* name() const {
        if (whole_) return normal_ ? "gossip, whole tables, normal" : "gossip, whole tables, exponential";
        return normal_ ? "gossip, normal" : "gossip, exponential";
    }
    std::pair<double, double> cut() {
        for (int i = 0; i < warm(); ++i) round(n_);
        for (int i = 0; i < 30; ++i) round(n_, kSmall);
        double own = 0, others = 0;
        for (std::size_t j = 0; j < kSmall; ++j)
            for (std::size_t i = 0; i < n_; ++i) {
                const bool failed = at_ > fails_at(known_[j * n_ + i]);
                if (i != j) (i < kSmall ? own : others) += i < kSmall ? !failed : failed;
            }
        return {own / (kSmall * (kSmall - 1)), others / static_cast<double>(kSmall * (n_ - kSmall))};
    }

private:
    struct Known {
        std::uint32_t counter = 0;
        float at = 0, mean = 0, variance = 0;  // of intervals; a mean of 0: none yet
    };
    // When phi reaches 8: the chance of so long an interval is 1e-8.
    double fails_at(const Known& k) const {
        if (k.mean == 0) return k.at + 1e9;
        const double deviation = std::max(0.1, std::sqrt(static_cast<double>(k.variance)));
        return k.at + (normal_ ? k.mean + 5.612 * deviation : 8 * std::log(10) * k.mean);
    }
    void hear(std::size_t at, std::size_t of, std::uint32_t counter, double now) {
        Known& k = known_[at * n_ + of];
        if (at == of || counter <= k.counter) return;
        wrong_ += now > fails_at(k);
        const auto interval = static_cast<float>(now) - k.at;
        const bool first = k.mean == 0;
        if (k.counter != 0) {
            const float off = interval - k.mean, weight = first ? 1 : 0.1F;
            k.mean = std::max(0.01F, k.mean + weight * off);
            k.variance = first ? interval * interval : (1 - weight) * (k.variance + weight * off * off);
        }
        k.counter = counter;
        k.at = static_cast<float>(now);
    }

    std::size_t n_, fits_ = 0, datagrams_ = 2;
    bool normal_, whole_;
    Network net_;
    std::vector<Known> known_;  // by who knows, then by whom of
    std::vector<std::size_t> from_;
    double at_ = 0, wrong_ = 0;
};

// ---- A view agreed by a majority --------------------------------------------------------------------------

class Majority {
public:
    Majority(std::size_t members, std::uint64_t seed) : n_(members), net_(seed), nodes_(members) {
        for (std::size_t i = 0; i < n_; ++i) at(net_.unit(), Kind::turn, i, i);
    }
    Figures figures(bool of_leader) {
        Figures f{of_leader ? "majority, leader killed" : "majority", n_, 0, 0, 0, {}, 0};
        run(20);
        std::vector<double> before;
        for (const Node& node : nodes_) before.push_back(node.sent);
        const double bytes = bytes_, began = now_;
        wrong_ = 0;
        const double span = std::ceil(kMemberSeconds / static_cast<double>(n_));
        run(now_ + span);
        for (std::size_t i = 0; i < n_; ++i) {
            const double each = (nodes_[i].sent - before[i]) / (now_ - began);
            f.datagrams += each / static_cast<double>(n_);
            f.worst_datagrams = std::max(f.worst_datagrams, each);
        }
        f.bytes = (bytes_ - bytes) / (now_ - began) / static_cast<double>(n_);
        f.wrong = wrong_ / (span * static_cast<double>(n_)) * 1e5;
        for (std::size_t kill = 0; kill < kills_of(n_); ++kill) {
            run(now_ + net_.unit());
            std::size_t gone = net_.below(n_);
            while ((gone == leader_) != of_leader) gone = of_leader ? leader_ : net_.below(n_);
            nodes_[gone].up = false;
            gone_ = gone;
            const double killed = now_;
            while (!held() && now_ < killed + 200) run(now_ + 0.02);
            f.kills.push_back(now_ - killed);
            // Again from nothing, and all begin with one view.
            nodes_[gone] = {};
            for (Node& node : nodes_) node.has = node.holds = 0, node.answered = node.heard = now_;
            version_ = committed_ = 0;
            gone_ = n_;
            at(now_ + net_.unit(), Kind::turn, gone, gone);
            run(now_ + 10);
        }
        return f;
    }
    // A member whose lease has run out knows nothing, of either side.
    std::pair<double, double> cut() {
        run(10);
        leader_ = n_ - 1;
        side_ = kSmall;
        run(now_ + 30);
        double with = 0;
        for (std::size_t i = 0; i < kSmall; ++i) with += now_ - nodes_[i].answered < kSilence;
        return {with / kSmall, with / kSmall};
    }

private:
    enum class Kind : std::uint8_t { turn, beat, answer, change, have, commit, vote, granted };
    struct Node {
        bool up = true;
        double answered = 0, heard = 0;  // by the leader; by the leader of it
        unsigned has = 0, holds = 0;     // versions: received, and known to be a majority's
        double stands_at = 0;            // for leader, once its lease is over
        std::size_t votes = 0, counted = 0;
        double sent = 0;
        bool struck = false;  // off the view
    };
    struct Happening {
        double time;
        std::uint64_t order;
        Kind kind;
        std::size_t from, to;
        unsigned number;
        bool operator>(const Happening& o) const { return time != o.time ? time > o.time : order > o.order; }
    };
    void at(double time, Kind kind, std::size_t from, std::size_t to, unsigned number = 0) {
        happenings_.push({time, order_++, kind, from, to, number});
    }
    void send(Kind kind, std::size_t from, std::size_t to, unsigned number = 0) {
        ++nodes_[from].sent;
        bytes_ += static_cast<double>(head_ + (kind == Kind::change ? 11 : 0));
        if ((from < side_) != (to < side_) || net_.lost()) return;
        at(now_ + net_.delay(), kind, from, to, number);
    }
    void send_all(Kind kind, std::size_t from, unsigned number) {
        for (std::size_t i = 0; i < n_; ++i)
            if (i != from) send(kind, from, i, number);
    }
    bool held() const {
        return committed_ > 0 && std::all_of(nodes_.begin(), nodes_.end(), [&](const Node& node) {
                   return !node.up || node.holds == version_;
               });
    }
    void run(double until) {
        while (!happenings_.empty() && happenings_.top().time <= until) {
            const Happening h = happenings_.top();
            happenings_.pop();
            now_ = h.time;
            if (nodes_[h.to].up) happen(h);
        }
        now_ = until;
    }
    // One change holds so many up: the one that was killed; any other is wrong.
    void change(std::size_t by) {
        ++version_;
        nodes_[by].has = version_;
        nodes_[by].counted = 1;
        send_all(Kind::change, by, version_);
    }
    void turn(std::size_t i) {
        Node& me = nodes_[i];
        at(now_ + 1, Kind::turn, i, i);
        if (i != leader_) {
            send(Kind::beat, i, leader_, me.has);
            if (now_ - me.answered < kSilence) return me.stands_at = 0, void();
            if (me.stands_at == 0) me.stands_at = now_ + net_.unit() * 2;
            if (now_ < me.stands_at) return;
            me.stands_at = now_ + 1 + net_.unit() * 3;
            me.votes = 1;
            send_all(Kind::vote, i, 0);
            return;
        }
        for (std::size_t m = 0; m < n_; ++m) {
            if (m == i || now_ - nodes_[m].heard < kSilence || nodes_[m].struck) continue;
            nodes_[m].struck = true;
            if (m != gone_ && side_ == 0) ++wrong_;
            change(i);
        }
    }
    void happen(const Happening& h) {
        Node& me = nodes_[h.to];
        Node& other = nodes_[h.from];
        switch (h.kind) {
            case Kind::turn:
                return turn(h.to);
            case Kind::beat:
                if (h.to != leader_) return;
                other.heard = now_;
                other.struck = false;
                if (h.number < version_) send(Kind::change, h.to, h.from, version_);
                return send(Kind::answer, h.to, h.from, committed_);
            case Kind::answer:
            case Kind::commit:
                me.answered = std::max(me.answered, h.kind == Kind::answer ? now_ : 0);
                if (me.has >= h.number) me.holds = std::max(me.holds, h.number);
                return;
            case Kind::change:
                if (me.has >= h.number) return;
                me.has = h.number;
                return send(Kind::have, h.to, h.from, h.number);
            case Kind::have:
                if (h.to != leader_ || h.number != version_ || 2 * ++me.counted <= n_) return;
                if (committed_ == version_) return send(Kind::commit, h.to, h.from, version_);
                committed_ = me.holds = version_;
                return send_all(Kind::commit, h.to, version_);
            case Kind::vote:
                // Only who has no lease of a leader any more may help to make another.
                if (now_ - me.answered >= kSilence) send(Kind::granted, h.to, h.from);
                return;
            case Kind::granted:
                if (nodes_[leader_].up && side_ == 0) return;
                if (2 * ++me.votes <= n_ || leader_ == h.to) return;
                leader_ = h.to;
                for (Node& node : nodes_) node.heard = now_;
                if (gone_ < n_) nodes_[gone_].struck = true;
                return change(h.to);
        }
    }

    std::size_t n_;
    Network net_;
    std::vector<Node> nodes_;
    std::priority_queue<Happening, std::vector<Happening>, std::greater<>> happenings_;
    std::uint64_t order_ = 0;
    std::size_t leader_ = 0, side_ = 0, gone_ = std::numeric_limits<std::size_t>::max();
    unsigned version_ = 0, committed_ = 0;
    double now_ = 0, bytes_ = 0, wrong_ = 0;
    const std::size_t head_ = head_bytes();
};

// ---- SWIM as built ----------------------------------------------------------------------------------------

// A fleet whose members know one another already: what a start takes is measured elsewhere (fleet_sim).
void acquaint(Fleet& fleet) {
    whinledge::fleet::FleetActions ignored;
    for (std::size_t i = 0; i < fleet.size(); ++i)
        for (std::size_t j = 0; j < fleet.size(); ++j) {
            if (i == j) continue;
            whinledge::fleet::Datagram d;
            d.fleet = whinledge::fleet::key_of("simulated");
            d.from = fleet.key(j);
            d.incarnation = fleet.at(j).incarnation();
            d.kind = whinledge::fleet::Kind::news;
            fleet.at(i).receive(0, d, ignored);
            fleet.at(i).outbox().clear();
            ignored.clear();
        }
}

Figures swim(std::size_t members, std::uint64_t seed) {
    constexpr double P = 1000;
    Fleet fleet({.members = members, .loss = kLoss, .seed = seed});
    acquaint(fleet);
    fleet.run(20 * P);
    std::size_t gone = members;
    double wrong = 0;
    fleet.on_change = [&](std::size_t, const whinledge::fleet::Changed& c) {
        wrong += c.to == State::failed && fleet.index(c.about) != gone;
    };
    std::vector<std::uint64_t> before;
    for (std::size_t i = 0; i < members; ++i) before.push_back(fleet.sent_by(i));
    const auto counts = fleet.counts();
    const double span = std::ceil(kMemberSeconds / static_cast<double>(members));
    fleet.run(fleet.now() + span * P);
    const double all = span * static_cast<double>(members);
    Figures f{"swim", members, 0, 0, 0, {}, wrong / all * 1e5};
    f.datagrams = static_cast<double>(fleet.counts().datagrams - counts.datagrams) / all;
    f.bytes = static_cast<double>(fleet.counts().bytes - counts.bytes) / all;
    for (std::size_t i = 0; i < members; ++i)
        f.worst_datagrams =
            std::max(f.worst_datagrams, static_cast<double>(fleet.sent_by(i) - before[i]) / span);
    for (std::size_t kill = 0; kill < kills_of(members); ++kill) {
        gone = fleet.random()() % members;
        fleet.kill(gone);
        const double killed = fleet.now();
        const auto held =
            fleet.run_until([&] { return fleet.all_hold(gone, State::failed); }, killed + 60 * P, 20);
        f.kills.push_back((held.value_or(fleet.now() + 1e9) - killed) / P);
        fleet.restart(gone);
        gone = members;
        fleet.run(fleet.now() + 20 * P);
    }
    return f;
}

std::pair<double, double> swim_cut(std::uint64_t seed) {
    Fleet fleet({.members = kCutMembers, .loss = kLoss, .seed = seed});
    acquaint(fleet);
    fleet.run(20000);
    fleet.passes = [](std::size_t from, std::size_t to) { return (from < kSmall) == (to < kSmall); };
    fleet.run(fleet.now() + 30000);
    double own = 0, others = 0;
    for (std::size_t j = 0; j < kSmall; ++j)
        for (std::size_t i = 0; i < kCutMembers; ++i) {
            if (i == j) continue;
            const bool failed = fleet.at(j).peer(fleet.key(i))->state >= State::failed;
            (i < kSmall ? own : others) += i < kSmall ? !failed : failed;
        }
    return {own / (kSmall * (kSmall - 1)), others / static_cast<double>(kSmall * (kCutMembers - kSmall))};
}

void print(Figures f) {
    std::sort(f.kills.begin(), f.kills.end());
    std::printf("| %s | %zu | %.2f | %.0f | %.2f | %.1f | %.1f | %.2f |\n", f.way.c_str(), f.members,
                f.datagrams, f.bytes, f.worst_datagrams, f.kills[f.kills.size() / 2], f.kills.back(),
                f.wrong);
    std::fflush(stdout);
}
void print(const char* way, std::pair<double, double> knows) {
    std::printf("| %s | %.1f %% | %.1f %% |\n", way, knows.first * 100, knows.second * 100);
    std::fflush(stdout);
}

}  // namespace

int main(int count, char** words) {
    const std::uint64_t seed = count > 1 ? std::strtoull(words[1], nullptr, 10) : 1;
    std::vector<std::size_t> sizes;
    for (int i = 2; i < count; ++i) sizes.push_back(std::strtoull(words[i], nullptr, 10));
    if (sizes.empty()) sizes = {10, 100, 1000, 5000};
    std::printf(
        "| way | N | datagrams a s | bytes a s | the busiest member | kill to all, median | worst | wrong "
        "for "
        "100,000 |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const std::size_t n : sizes) {
        print(Heartbeats(n, seed).figures());
        for (const bool whole : {false, true})
            for (const bool normal : {true, false})
                if (n <= 1000 || !normal) print(Gossip(n, seed, normal, whole).figures());
        print(Majority(n, seed).figures(false));
        print(Majority(n, seed).figures(true));
        print(swim(n, seed));
    }
    std::printf(
        "\n| smaller side of a cut, %zu of %zu, after 30 P | its own held right | the other held gone |\n"
        "| --- | --- | --- |\n",
        kSmall, kCutMembers);
    print("heartbeats", Heartbeats(kCutMembers, seed).cut());
    for (const bool whole : {false, true})
        for (const bool normal : {true, false}) {
            Gossip gossip(kCutMembers, seed, normal, whole);
            print(gossip.name(), gossip.cut());
        }
    print("majority", Majority(kCutMembers, seed).cut());
    print("swim", swim_cut(seed));
}
