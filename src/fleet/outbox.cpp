#include "fleet/outbox.hpp"

#include <algorithm>
#include <limits>
#include <stdexcept>
#include <vector>

namespace whinledge::fleet {

namespace {

constexpr int kMostSkipped = 8;  // entries that did not fit, before a datagram counts as full
constexpr std::size_t kLeastEntry = 8;

}  // namespace

std::size_t room_in(const Datagram& d) {
    std::size_t taken = size_of(d);
    for (const Rumour& r : d.rumours) taken += size_of(r, d.incarnation);
    for (const Item& i : d.items) taken += size_of(i);
    return taken >= kLongestDatagram ? 0 : kLongestDatagram - taken;
}

void Outbox::put(const Name& name, Entry entry) {
    forget(name);
    entry.order = next_order_++;
    places_.insert(place(name, entry));
    entries_.emplace(name, std::move(entry));
}

void Outbox::put(const Rumour& rumour, Urgency urgency, unsigned times, Millis now) {
    put({0, rumour.about}, Entry{rumour, urgency, 0, times, 0, now - rumour.age});
}

void Outbox::put(const Item& item, std::uint64_t id, Urgency urgency, unsigned times) {
    if (item.bytes.size() > Item::kLongest || item.subsystem == 0)
        throw std::length_error("no item that a datagram could carry");
    put({item.subsystem, id}, Entry{item, urgency, 0, times, 0, 0});
}

void Outbox::forget(const Name& name) {
    const auto at = entries_.find(name);
    if (at == entries_.end()) return;
    places_.erase(place(name, at->second));
    entries_.erase(at);
}

void Outbox::clear() {
    entries_.clear();
    places_.clear();
}

bool Outbox::has_fresh_trouble() const {
    return !places_.empty() && std::get<0>(*places_.begin()) == Urgency::trouble &&
           std::get<1>(*places_.begin()) == 0;
}

void Outbox::fill(Datagram& d, Millis now, Key not_about) {
    std::size_t room = room_in(d);
    std::vector<Name> sent;
    int skipped = 0;
    for (auto at = places_.begin(); at != places_.end() && room >= kLeastEntry && skipped < kMostSkipped;
         ++at) {
        const Name& name = std::get<3>(*at);
        const Entry& entry = entries_.at(name);
        if (const auto* const rumour = std::get_if<Rumour>(&entry.what)) {
            if (rumour->about == not_about) continue;
            Rumour told = *rumour;
            if (told.state == State::suspect)
                told.age = static_cast<std::uint16_t>(
                    std::clamp(now - entry.since, 0.0, double{std::numeric_limits<std::uint16_t>::max()}));
            const std::size_t size = size_of(told, d.incarnation);
            if (size > room) {
                ++skipped;
                continue;
            }
            room -= size;
            d.rumours.push_back(told);
        } else {
            const Item& item = std::get<Item>(entry.what);
            const std::size_t size = size_of(item);
            if (size > room) {
                ++skipped;
                continue;
            }
            room -= size;
            d.items.push_back(item);
        }
        sent.push_back(name);
    }
    for (const Name& name : sent) {
        Entry& entry = entries_.at(name);
        places_.erase(place(name, entry));
        if (++entry.sent >= entry.times)
            entries_.erase(name);
        else
            places_.insert(place(name, entry));
    }
}

}  // namespace whinledge::fleet
