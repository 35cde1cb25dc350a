// Rumours reach all but a few. Who is acked by somebody that believes otherwise sends him digests of the
// parts of his view; that one answers with what he believes of the parts that differ; and of that, what is
// older than one's own goes back corrected. So the last that somebody lacks is found in one exchange, in a
// fleet of any size.
#include <algorithm>

#include "fleet/membership.hpp"
#include "hash/mix64.hpp"

namespace whinledge::fleet {

namespace {

// Eight bits of each part, other ones each time: what one comparison overlooks, the next does not.
std::uint8_t folded(std::uint32_t part, std::uint32_t salt) {
    return static_cast<std::uint8_t>(mix64((std::uint64_t{salt} << 32) | part));
}

}  // namespace

bool Membership::may(Bucket& b, double rate, double burst, Millis now) const {
    b.holds = std::min(burst, b.holds + (now - b.at) * rate / settings_.period);
    b.at = now;
    if (b.holds < 1) return false;
    b.holds -= 1;
    return true;
}
bool Membership::may_answer(Millis now) {
    return may(answers_, tuning_.repair_rate, tuning_.repair_burst, now);
}

void Membership::compare(Key with, Millis now, FleetActions& actions) {
    if (!may(compares_, tuning_.compare_rate, tuning_.compare_burst, now)) return;
    Datagram d = head(Kind::news, next_number_++);
    Item digests;
    for (const std::uint32_t part : parts_) digests.bytes.push_back(folded(part, d.number));
    d.items.push_back(std::move(digests));
    send(with, std::move(d), now, actions);
}

void Membership::compared(const Datagram& theirs, const Item& digests, Millis now, FleetActions& actions) {
    if (digests.bytes.size() != kParts || peers_.empty() || !may_answer(now)) return;
    std::array<bool, kParts> differs{};
    for (std::size_t i = 0; i < kParts; ++i)
        differs[i] = digests.bytes[i] != folded(parts_[i], theirs.number);
    Datagram d = head(Kind::news);
    std::size_t room = room_in(d);
    // From anywhere: with few parts that differ all of it fits, with many each one tells another slice.
    const std::size_t first = below(peers_.size());
    for (std::size_t i = 0; i < peers_.size(); ++i) {
        const Entry& e = peers_[(first + i) % peers_.size()];
        if (e.seen.incarnation == 0 || e.seen.key == theirs.from || !differs[part_of(e.seen.key)]) continue;
        const Rumour r = rumour_of(e, now);
        const std::size_t size = size_of(r, d.incarnation);
        if (size > room) break;
        room -= size;
        d.rumours.push_back(r);
    }
    if (differs[part_of(settings_.self)] || !d.rumours.empty())
        actions.emplace_back(Tell{theirs.from, std::move(d)});
}

// Of what was told, what is older than our own.
void Membership::correct(const Datagram& theirs, Millis now, FleetActions& actions) {
    Datagram d = head(Kind::news);
    std::size_t room = room_in(d);
    for (const Rumour& r : theirs.rumours) {
        const Entry* const e = find(r.about);
        if (!e || r.about == theirs.from) continue;
        const auto rank = [](State state) { return state == State::suspect ? State::alive : state; };
        const bool older =
            std::pair(r.incarnation, rank(r.state)) < std::pair(e->seen.incarnation, rank(e->seen.state));
        if (!older) continue;
        const Rumour ours = rumour_of(*e, now);
        const std::size_t size = size_of(ours, d.incarnation);
        if (size > room) break;
        room -= size;
        d.rumours.push_back(ours);
    }
    if (!d.rumours.empty() && may_answer(now)) actions.emplace_back(Tell{theirs.from, std::move(d)});
}

}  // namespace whinledge::fleet
