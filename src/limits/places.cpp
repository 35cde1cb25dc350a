#include "limits/places.hpp"

#include <algorithm>
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
    Connection& c = open_[id];
    c.since = now - std::clamp(silent_for, 0.0, kSilence - kMoment);
    ++count(c);
}

// Where a connection is counted; those at work are in no count.
std::size_t& Places::count(const Connection& c) {
    if (c.state == State::silent) return counts_.silent;
    return c.times == 0 ? counts_.health : c.times == 1 ? counts_.once : counts_.returning;
}

void Places::enter(Connection& c, State state, Millis now) {
    if (c.state != State::busy) --count(c);
    c.state = state;
    c.since = now;
    if (c.state != State::busy) ++count(c);
}

void Places::asked(Id id, bool health, Millis now) {
    Connection& c = open_.at(id);
    enter(c, State::busy, now);
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

void Places::idles(Id id, Millis now) { enter(open_.at(id), State::idle, now); }

void Places::wakes(Id id, Millis now) {
    Connection& c = open_.at(id);
    if (c.state == State::idle) enter(c, State::silent, now);
}

void Places::ends(Id id, Millis now) { enter(open_.at(id), State::silent, now); }

void Places::closed(Id id) {
    const auto at = open_.find(id);
    if (at == open_.end()) return;
    if (at->second.state != State::busy) --count(at->second);
    open_.erase(at);
}

// As far as can be told: by its rate, or the longer the longer it has been idle.
Millis Places::next_request_in(const Connection& c, Millis now) {
    const Millis idle = now - c.since;
    if (c.times == 1) return std::max(kOnceGap, 3 * idle);
    return idle > 2 * c.gap ? idle : c.gap;
}

std::optional<Places::Id> Places::least_worth(Millis now, const std::function<bool(Id)>& spare) const {
    struct Candidate {
        int rank;  // the highest goes first
        Millis worthless;
        Id id;
        bool operator<(const Candidate& other) const {
            return std::tie(rank, worthless, other.id) < std::tie(other.rank, other.worthless, id);
        }
    };
    std::vector<Candidate> all;
    bool patience = false;  // somebody silent will do in a moment
    for (const auto& [id, c] : open_) {
        const Millis age = now - c.since;
        if (c.state == State::silent && age < kSilence)
            patience = true;
        else if (c.state == State::silent)
            all.push_back({3, age, id});
        else if (c.state == State::idle)
            all.push_back({c.times == 0 ? 2 : age >= kIdleness ? 1 : 0, next_request_in(c, now), id});
    }
    if (patience) std::erase_if(all, [](const Candidate& c) { return c.rank == 0; });
    std::make_heap(all.begin(), all.end());
    for (auto end = all.end(); end != all.begin();) {
        std::pop_heap(all.begin(), end);
        if (spare((--end)->id)) return end->id;
    }
    return std::nullopt;
}

std::optional<Millis> Places::patience(Millis now) const {
    std::optional<Millis> least;
    for (const auto& [id, c] : open_)
        if (const Millis left = kSilence - (now - c.since); c.state == State::silent && left > 0)
            least = std::min(left, least.value_or(left));
    return least;
}

Places::Stats Places::stats() const { return counts_; }

}  // namespace whinledge
