// A hash table of places. Internal to the table.
#pragma once

#include <algorithm>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace whinledge::route {

// Places of keys by their hashes; comparing the keys is up to whoever holds them. Half empty at least; eight
// bytes a slot, so that those of 10,000 keys stay in a cache of 256 KiB.
class Slots {
public:
    static constexpr std::uint32_t kNone = 0;
    template <class Equal>
    std::uint32_t find(std::uint64_t hash, Equal equal) const {  // the place, from 1
        if (slots_.empty()) return kNone;
        const auto tag = static_cast<std::uint32_t>(hash >> 32);
        for (std::size_t at = tag & mask_; slots_[at].place != kNone; at = (at + 1) & mask_)
            if (slots_[at].tag == tag && equal(slots_[at].place - 1)) return slots_[at].place;
        return kNone;
    }
    // For that many keys. Without growing, of equal keys the one inserted first is found.
    void reserve(std::size_t keys) { resize(std::bit_ceil(std::max<std::size_t>(8, keys * 2))); }
    void insert(std::uint64_t hash, std::uint32_t place) {
        if (++used_ * 2 > slots_.size()) resize(std::max<std::size_t>(8, slots_.size() * 2));
        put({static_cast<std::uint32_t>(hash >> 32), place});
    }

private:
    struct Slot {
        std::uint32_t tag = 0, place = kNone;
    };
    void put(Slot slot) {
        std::size_t at = slot.tag & mask_;
        while (slots_[at].place != kNone) at = (at + 1) & mask_;
        slots_[at] = slot;
    }
    void resize(std::size_t size) {
        std::vector<Slot> old(size);
        old.swap(slots_);
        mask_ = slots_.size() - 1;
        for (const Slot slot : old)
            if (slot.place != kNone) put(slot);
    }

    std::vector<Slot> slots_;
    std::size_t mask_ = 0, used_ = 0;
};

}  // namespace whinledge::route
