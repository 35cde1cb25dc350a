#include "fleet/datagram.hpp"

#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace whinledge::fleet {

namespace {

using Json = nlohmann::json;

// The places of a datagram's array. What a later version adds comes behind, under a new number.
enum Place { version, fleet, from, incarnation, flags, number, target, view, rumours, items, places };
constexpr unsigned kKindMask = 0x0f, kDraining = 0x10;
constexpr unsigned kStateMask = 0x03, kRumourDraining = 0x04, kHasTeller = 0x08;

// Of MessagePack: what an unsigned or a signed number takes.
std::size_t size_of_number(std::uint64_t n) {
    return n < 128 ? 1 : n <= 0xff ? 2 : n <= 0xffff ? 3 : n <= 0xffffffff ? 5 : 9;
}
std::size_t size_of_difference(Incarnation n, Incarnation base) {
    if (n >= base) return size_of_number(n - base);
    const std::uint64_t below = base - n;
    return below <= 32 ? 1 : below <= 0x80 ? 2 : below <= 0x8000 ? 3 : below <= 0x80000000 ? 5 : 9;
}

// Incarnations lie near one another: the difference to the sender's takes half of the bytes.
std::int64_t difference(Incarnation n, Incarnation base) { return static_cast<std::int64_t>(n - base); }

bool fits(const Json& value, std::uint64_t most) {
    return value.is_number_unsigned() && value.get<std::uint64_t>() <= most;
}
constexpr std::uint64_t k32 = 0xffffffff, k63 = std::numeric_limits<std::int64_t>::max();

bool read_rumours(const Json& flat, Incarnation base, std::vector<Rumour>& out) {
    if (!flat.is_array()) return false;
    for (std::size_t i = 0; i < flat.size();) {
        if (i + 3 > flat.size()) return false;
        Rumour r;
        if (!fits(flat[i], k32) || !flat[i + 1].is_number_integer() || !fits(flat[i + 2], 0x0f)) return false;
        r.about = flat[i].get<Key>();
        // Modulo 2^64, as it was taken; what leaves the range of times is none.
        const std::uint64_t apart = flat[i + 1].is_number_unsigned()
                                        ? flat[i + 1].get<std::uint64_t>()
                                        : static_cast<std::uint64_t>(flat[i + 1].get<std::int64_t>());
        r.incarnation = base + apart;
        if (r.about == 0 || r.incarnation > k63) return false;
        const auto bits = flat[i + 2].get<unsigned>();
        r.state = static_cast<State>(bits & kStateMask);
        r.draining = bits & kRumourDraining;
        i += 3;
        // A suspicion has its teller, and nothing else has.
        if (((bits & kHasTeller) != 0) != (r.state == State::suspect)) return false;
        if (bits & kHasTeller) {
            if (i + 2 > flat.size() || !fits(flat[i], k32) || !fits(flat[i + 1], 0xffff)) return false;
            r.teller = flat[i].get<Key>();
            r.age = flat[i + 1].get<std::uint16_t>();
            i += 2;
        }
        out.push_back(r);
    }
    return true;
}

bool read_items(const Json& flat, std::vector<Item>& out) {
    if (!flat.is_array() || flat.size() % 2 != 0) return false;
    for (std::size_t i = 0; i < flat.size(); i += 2) {
        if (!fits(flat[i], 0xff) || !flat[i + 1].is_binary()) return false;
        const auto& bytes = flat[i + 1].get_binary();
        if (bytes.has_subtype() || bytes.size() > Item::kLongest) return false;
        out.push_back({flat[i].get<std::uint8_t>(), bytes});
    }
    return true;
}

}  // namespace

std::size_t size_of(const Datagram& head) {
    // The array, its version, the flags, and two arrays of up to 65535 elements.
    return 1 + 1 + 1 + 3 + 3 + size_of_number(head.fleet) + size_of_number(head.from) +
           size_of_number(head.incarnation) + size_of_number(head.number) + size_of_number(head.target) +
           size_of_number(head.view);
}
std::size_t size_of(const Rumour& r, Incarnation base) {
    const std::size_t teller =
        r.state == State::suspect ? size_of_number(r.teller) + size_of_number(r.age) : 0;
    return size_of_number(r.about) + size_of_difference(r.incarnation, base) + 1 + teller;
}
std::size_t size_of(const Item& item) {
    return size_of_number(item.subsystem) + (item.bytes.size() <= 0xff ? 2 : 3) + item.bytes.size();
}

std::vector<std::uint8_t> encode(const Datagram& d) {
    Json told = Json::array(), others = Json::array();
    for (const Rumour& r : d.rumours) {
        const bool suspicion = r.state == State::suspect;
        told.push_back(r.about);
        told.push_back(difference(r.incarnation, d.incarnation));
        told.push_back(static_cast<unsigned>(r.state) | (r.draining ? kRumourDraining : 0) |
                       (suspicion ? kHasTeller : 0));
        if (!suspicion) continue;
        told.push_back(r.teller);
        told.push_back(r.age);
    }
    for (const Item& item : d.items) {
        others.push_back(item.subsystem);
        others.push_back(Json::binary(item.bytes));
    }
    const Json whole = {kVersion,
                        d.fleet,
                        d.from,
                        d.incarnation,
                        static_cast<unsigned>(d.kind) | (d.draining ? kDraining : 0),
                        d.number,
                        d.target,
                        d.view,
                        std::move(told),
                        std::move(others)};
    std::vector<std::uint8_t> bytes = Json::to_msgpack(whole);
    if (bytes.size() > kLongestDatagram) throw std::length_error("a datagram of more than 256 bytes");
    return bytes;
}

Decoded decode(std::span<const std::uint8_t> bytes, std::uint32_t for_fleet) {
    if (bytes.size() > kLongestDatagram) return {std::nullopt, Fault::too_long};
    // An array of just so many: whatever else it is, no parser has to look at it.
    if (bytes.size() < 2 || bytes[0] != (0x90 | places)) return {std::nullopt, Fault::unreadable};
    if (bytes[1] != kVersion) return {std::nullopt, Fault::version};
    const Json whole = Json::from_msgpack(bytes.begin(), bytes.end(), true, false);
    if (!whole.is_array() || whole.size() != places) return {std::nullopt, Fault::unreadable};
    if (!fits(whole[fleet], k32)) return {std::nullopt, Fault::out_of_bounds};
    if (whole[fleet].get<std::uint32_t>() != for_fleet) return {std::nullopt, Fault::fleet};
    const bool sound = fits(whole[from], k32) && whole[from] != 0u && fits(whole[incarnation], k63) &&
                       fits(whole[flags], kKindMask | kDraining) && fits(whole[number], k32) &&
                       fits(whole[target], k32) && fits(whole[view], k32);
    if (!sound) return {std::nullopt, Fault::out_of_bounds};
    Datagram d;
    d.fleet = for_fleet;
    d.from = whole[from].get<Key>();
    d.incarnation = whole[incarnation].get<Incarnation>();
    const auto bits = whole[flags].get<unsigned>();
    d.draining = bits & kDraining;
    if ((bits & kKindMask) > static_cast<unsigned>(Kind::farewell))
        return {std::nullopt, Fault::out_of_bounds};
    d.kind = static_cast<Kind>(bits & kKindMask);
    d.number = whole[number].get<std::uint32_t>();
    d.target = whole[target].get<Key>();
    d.view = whole[view].get<std::uint32_t>();
    if (!read_rumours(whole[rumours], d.incarnation, d.rumours) || !read_items(whole[items], d.items))
        return {std::nullopt, Fault::out_of_bounds};
    return {std::move(d), {}};
}

}  // namespace whinledge::fleet
