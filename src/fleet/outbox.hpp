// What members have yet to be told: one queue for all subsystems, so that one datagram serves all of them.
// What is urgent goes first, then what has been sent least often; each entry goes out a stated number of
// times.
#pragma once

#include <map>
#include <set>
#include <tuple>
#include <variant>

#include "fleet/datagram.hpp"

namespace whinledge::fleet {

class Outbox {
public:
    enum class Urgency : std::uint8_t { trouble, news, rest };
    // 0 is membership; an entry replaces an earlier one of the same name.
    struct Name {
        std::uint8_t subsystem = 0;
        std::uint64_t id = 0;
        auto operator<=>(const Name&) const = default;
    };

    // A suspicion's age counts from `now` on; `times` >= 1.
    void put(const Rumour& rumour, Urgency urgency, unsigned times, Millis now);
    // Longer than Item::kLongest: throws std::length_error.
    void put(const Item& item, std::uint64_t id, Urgency urgency, unsigned times);
    void forget(const Name& name);
    void forget_rumour(Key about) { forget({0, about}); }
    void clear();

    // Fills what room the datagram has left, rumours about `not_about` left out (it is in there already).
    void fill(Datagram& datagram, Millis now, Key not_about = 0);
    std::size_t size() const { return entries_.size(); }
    // Whether something urgent has not been sent at all.
    bool has_fresh_trouble() const;

private:
    struct Entry {
        std::variant<Rumour, Item> what;
        Urgency urgency;
        unsigned sent = 0, times = 1;
        std::uint64_t order = 0;
        Millis since = 0;  // of a suspicion
    };
    using Place = std::tuple<Urgency, unsigned, std::uint64_t, Name>;
    static Place place(const Name& name, const Entry& e) { return {e.urgency, e.sent, ~e.order, name}; }
    void put(const Name& name, Entry entry);

    std::map<Name, Entry> entries_;
    std::set<Place> places_;
    std::uint64_t next_order_ = 0;
};

// Bytes that the datagram may still take.
std::size_t room_in(const Datagram& datagram);

}  // namespace whinledge::fleet
