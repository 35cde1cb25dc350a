#include "limits/places.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <vector>

namespace whinledge {

namespace {

// Who is silent has had time for a request: a usual client's first comes right behind its connecting.
constexpr Millis kSilence = 25;
// Of that, what is left at the least to who is accepted late: its request may be on its way all the same.
constexpr Millis kMoment = 5;
// Who idles is closed only after this (the protocol's 2 s), unless there is nobody else to close: a request
// may be on its way.
constexpr Millis kIdleness = 2000;
// Who has asked once counts as if it came back after this, or three times as late as it has been idle by now.
constexpr Millis kOnceGap = 1000;
// Places: from which part on they are short, and which part may be held by those that have asked once.
constexpr std::size_t kReserve = 8, kOncePart = 4, kHealthPart = 2;
constexpr double kGapShare = 0.25;  // of a new gap in the mean

}  // namespace

void Places::connected(Id id, Millis now, Millis silent_for) {
    const Millis since = now - std::clamp(silent_for, 0.0, kSilence - kMoment);
    Silences own{{since, id}};
    Connection& c = open_[id];
    c.since = since;
    c.silence = own.begin();
    begin_silence(c, own);
    ++count(c);
}

// Nearly always the latest: only who is accepted late stands before others.
void Places::begin_silence(Connection& c, Silences& from) {
    c.silence->since = c.since;
    const auto key = [](const Silence& silence) { return std::tie(silence.since, silence.id); };
    auto next = silent_.end();
    while (next != silent_.begin() && key(*c.silence) < key(*std::prev(next))) --next;
    silent_.splice(next, from, c.silence);
}

// Where a connection is counted; those at work are in no count.
std::size_t& Places::count(const Connection& c) {
    if (c.state == State::silent) return counts_.silent;
    return c.times == 0 ? counts_.health : c.times == 1 ? counts_.once : counts_.returning;
}

void Places::enter(Id id, State state, Millis now) {
    Connection& c = open_.at(id);
    if (c.state == State::silent) heard_.splice(heard_.end(), silent_, c.silence);
    if (c.state != State::busy) --count(c);
    c.state = state;
    c.since = now;
    if (c.state != State::busy) ++count(c);
    if (c.state == State::silent) begin_silence(c, heard_);
}

void Places::asked(Id id, bool health, Millis now) {
    enter(id, State::busy, now);
    Connection& c = open_.at(id);
    if (health) return;
    if (c.times > 0) {
        const Millis gap = now - c.asked;
        c.gap = c.times == 1 ? gap : c.gap + kGapShare * (gap - c.gap);
    }
    c.asked = now;
    ++c.times;
}

bool Places::stays(Id id, std::size_t queued) {
    const Connection& c = open_.at(id);
    if (has_come_back(id)) return true;
    const std::size_t taken = open_.size() + queued;
    if (c.times == 0) return taken <= most_ / kHealthPart;
    return taken + most_ / kReserve <= most_ && counts_.once < std::max<std::size_t>(1, most_ / kOncePart);
}

void Places::idles(Id id, Millis now) { enter(id, State::idle, now); }

void Places::wakes(Id id, Millis now) {
    if (open_.at(id).state == State::idle) enter(id, State::silent, now);
}

void Places::ends(Id id, Millis now) { enter(id, State::silent, now); }

void Places::closed(Id id) {
    const auto at = open_.find(id);
    if (at == open_.end()) return;
    const Connection& c = at->second;
    if (c.state != State::busy) --count(c);
    (c.state == State::silent ? silent_ : heard_).erase(c.silence);
    open_.erase(at);
}

// As far as can be told: by its rate, or the longer the longer it has been idle.
Millis Places::next_request_in(const Connection& c, Millis now) {
    const Millis idle = now - c.since;
    if (c.times == 1) return std::max(kOnceGap, 3 * idle);
    return idle > 2 * c.gap ? idle : c.gap;
}

// The first silent one that is spare: a flood of them costs the same for each, however many places there are.
std::optional<Places::Id> Places::least_worth(Millis now, const std::function<bool(Id)>& spare) const {
    for (const Silence& silence : silent_) {
        if (now - silence.since < kSilence) break;
        if (spare(silence.id)) return silence.id;
    }
    return least_worth_of_idle(now, spare);
}

std::optional<Places::Id> Places::least_worth_of_idle(Millis now,
                                                      const std::function<bool(Id)>& spare) const {
    struct Candidate {
        int rank;  // the highest goes first
        Millis worthless;
        Id id;
        bool operator<(const Candidate& other) const {
            return std::tie(rank, worthless, other.id) < std::tie(other.rank, other.worthless, id);
        }
    };
    // Somebody silent will do in a moment, rather than who may be about to ask.
    const bool wait = !silent_.empty() && now - silent_.back().since < kSilence;
    std::vector<Candidate> all;
    for (const auto& [id, c] : open_) {
        if (c.state != State::idle) continue;
        const int rank = c.times == 0 ? 2 : now - c.since >= kIdleness ? 1 : 0;
        if (rank > 0 || !wait) all.push_back({rank, next_request_in(c, now), id});
    }
    std::make_heap(all.begin(), all.end());
    for (auto end = all.end(); end != all.begin();) {
        std::pop_heap(all.begin(), end);
        if (spare((--end)->id)) return end->id;
    }
    return std::nullopt;
}

std::optional<Millis> Places::patience(Millis now) const {
    for (const Silence& silence : silent_)
        if (const Millis left = kSilence - (now - silence.since); left > 0) return left;
    return std::nullopt;
}

Places::Stats Places::stats() const { return counts_; }

}  // namespace whinledge
