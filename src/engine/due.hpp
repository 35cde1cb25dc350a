// What is due when: a queue of times from which anything can be taken back, so that what belongs to an ended
// request does not stay until its time has come.
#pragma once

#include <cstdint>
#include <limits>
#include <utility>
#include <vector>

#include "engine/types.hpp"

namespace whinledge {

// Names what was added until it has come or was taken back; afterwards it names nothing.
struct DueHandle {
    std::uint32_t slot = ~0U;
    std::uint32_t turn = 0;
};

// Things due at one time come in the order of their ranks, then of their adding. Adding and taking back cost
// the logarithm of what is held; memory is kept for the most that were held at once.
template <class What>
class DueQueue {
public:
    using Handle = DueHandle;

    Handle add(Millis at, int rank, What what) {
        std::uint32_t slot = free_;
        if (slot == kNone) {
            slot = static_cast<std::uint32_t>(slots_.size());
            if (heap_.capacity() <= slots_.size()) heap_.reserve(2 * slots_.size() + 16);
            slots_.push_back({std::move(what), 0, 0});
        } else {
            free_ = slots_[slot].next;
            slots_[slot].what = std::move(what);
        }
        heap_.push_back({at, rank, next_order_++, slot});  // its room is there
        slots_[slot].next = static_cast<std::uint32_t>(heap_.size() - 1);
        rise(heap_.size() - 1);
        return {slot, slots_[slot].turn};
    }
    // Of what has come already, or was taken back, or never was: nothing.
    void remove(Handle handle) {
        if (handle.slot >= slots_.size() || slots_[handle.slot].turn != handle.turn) return;
        take(slots_[handle.slot].next);
    }

    bool empty() const { return heap_.empty(); }
    std::size_t size() const { return heap_.size(); }
    // Never, where nothing is due.
    Millis next() const { return heap_.empty() ? std::numeric_limits<Millis>::infinity() : heap_.front().at; }
    What pop() { return take(0); }

private:
    static constexpr std::uint32_t kNone = ~0U;
    struct Entry {
        Millis at;
        int rank;
        std::uint64_t order;
        std::uint32_t slot;
        bool operator<(const Entry& other) const {
            return at != other.at       ? at < other.at
                   : rank != other.rank ? rank < other.rank
                                        : order < other.order;
        }
    };
    struct Slot {
        What what;
        std::uint32_t next;  // its place in the heap; of a free one: the next free one
        std::uint32_t turn;  // times it has been free
    };

    What take(std::size_t place) {
        const std::uint32_t slot = heap_[place].slot;
        What what = std::move(slots_[slot].what);
        ++slots_[slot].turn;
        slots_[slot].next = std::exchange(free_, slot);
        const Entry last = heap_.back();
        heap_.pop_back();
        if (place < heap_.size()) {
            put(place, last);
            rise(place);
            sink(slots_[last.slot].next);
        }
        return what;
    }
    void put(std::size_t place, const Entry& entry) {
        heap_[place] = entry;
        slots_[entry.slot].next = static_cast<std::uint32_t>(place);
    }
    void rise(std::size_t place) {
        const Entry entry = heap_[place];
        for (; place > 0 && entry < heap_[(place - 1) / 2]; place = (place - 1) / 2)
            put(place, heap_[(place - 1) / 2]);
        put(place, entry);
    }
    void sink(std::size_t place) {
        const Entry entry = heap_[place];
        for (std::size_t child; (child = 2 * place + 1) < heap_.size(); place = child) {
            if (child + 1 < heap_.size() && heap_[child + 1] < heap_[child]) ++child;
            if (!(heap_[child] < entry)) break;
            put(place, heap_[child]);
        }
        put(place, entry);
    }

    std::vector<Entry> heap_;
    std::vector<Slot> slots_;
    std::uint32_t free_ = kNone;
    std::uint64_t next_order_ = 0;
};

}  // namespace whinledge
