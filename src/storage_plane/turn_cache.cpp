#include "storage_plane/turn_cache.hpp"

#include <utility>

namespace whinledge::storage_plane {
namespace {

constexpr std::size_t kEntryOverhead = 400;  // nodes, pointers and the record's own fields

std::size_t cost_of(const wire::TurnRecord& record) {
    return kEntryOverhead + record.id.size() + record.parent.size() + record.program.size() +
           record.input.size() + record.output.size() + record.holders.size() * sizeof(std::int64_t);
}

}  // namespace

void TurnCache::insert(SharedRecord record) {
    const std::size_t cost = cost_of(*record);
    if (cost > limit_ || find(record->id)) return;
    while (bytes_ + cost > limit_) {
        const SharedRecord& oldest = order_.back();
        bytes_ -= cost_of(*oldest);
        by_id_.erase(oldest->id);
        order_.pop_back();
    }
    bytes_ += cost;
    order_.push_front(std::move(record));
    by_id_.emplace(order_.front()->id, order_.begin());
}

SharedRecord TurnCache::find(const std::string& id) {
    const auto found = by_id_.find(id);
    if (found == by_id_.end()) return nullptr;
    order_.splice(order_.begin(), order_, found->second);
    return order_.front();
}

}  // namespace whinledge::storage_plane
