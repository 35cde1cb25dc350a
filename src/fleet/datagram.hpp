// What members send one another, and its bytes: MessagePack, at most 256 of them, strictly bounded.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include "fleet/types.hpp"

namespace whinledge::fleet {

inline constexpr std::size_t kLongestDatagram = 256;  // bytes
inline constexpr std::uint8_t kVersion = 1;

// What one member tells of another, or of itself.
struct Rumour {
    Key about = 0;
    Incarnation incarnation = 0;
    State state = State::alive;
    bool draining = false;
    // Of a suspicion: who holds it, and for how long somebody has by now, ms, at most 65535.
    Key teller = 0;
    std::uint16_t age = 0;
    bool operator==(const Rumour&) const = default;
};

// What another subsystem has to say, opaque here: by its number, so that one that is not known is skipped.
struct Item {
    static constexpr std::size_t kLongest = 160;  // bytes
    std::uint8_t subsystem = 0;
    std::vector<std::uint8_t> bytes;
    bool operator==(const Item&) const = default;
};

enum class Kind : std::uint8_t {
    ping,      // wants an ack with the same number
    ack,       // answers a ping; or, by who was asked, a request, with `target`
    ask,       // wants `target` pinged, and an ack or a nack of it
    nack,      // has heard nothing of `target`
    news,      // rumours alone
    farewell,  // the sender ends in good order
};

struct Datagram {
    std::uint32_t fleet = 0;  // key_of its name
    Key from = 0;
    Incarnation incarnation = 0;  // of the sender
    bool draining = false;
    Kind kind = Kind::ping;
    std::uint32_t number = 0;
    Key target = 0;
    std::uint32_t view = 0;  // digest of what the sender believes of all members
    std::vector<Rumour> rumours;
    std::vector<Item> items;
    bool operator==(const Datagram&) const = default;
};

// Why bytes are no datagram of ours.
enum class Fault : std::uint8_t { too_long, unreadable, version, fleet, out_of_bounds };

// The bytes, never more than kLongestDatagram. Throws std::length_error where they would be: whoever fills a
// datagram keeps to room_in().
std::vector<std::uint8_t> encode(const Datagram& datagram);
// What can be read of them; `fleet`: whose datagrams alone are taken.
struct Decoded {
    std::optional<Datagram> datagram;
    Fault fault = Fault::unreadable;
};
Decoded decode(std::span<const std::uint8_t> bytes, std::uint32_t fleet);

// Upper bounds of what parts take, bytes.
std::size_t size_of(const Datagram& head);  // rumours and items not counted
std::size_t size_of(const Rumour& rumour, Incarnation base);
std::size_t size_of(const Item& item);

}  // namespace whinledge::fleet
