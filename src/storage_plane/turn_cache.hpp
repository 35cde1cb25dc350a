// Records of recent turns in bounded memory, so that a conversation that goes on here needs no reads.
#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "storage_types.h"  // generated from idl/storage.thrift

namespace whinledge::storage_plane {

using SharedRecord = std::shared_ptr<const wire::TurnRecord>;

class TurnCache {
public:
    // `bytes`: of the records held, their identifiers and a fixed cost for each included.
    explicit TurnCache(std::size_t bytes) : limit_(bytes) {}

    // Evicts the records that were unused for longest. Records are immutable: an id that is held stays as it
    // is.
    void insert(SharedRecord record);
    // Null: not held. Counts as a use.
    SharedRecord find(const std::string& id);

    std::size_t bytes() const { return bytes_; }
    std::size_t size() const { return by_id_.size(); }

private:
    using Order = std::list<SharedRecord>;  // used most recently first

    std::size_t limit_;
    std::size_t bytes_ = 0;
    Order order_;
    std::unordered_map<std::string_view, Order::iterator> by_id_;  // keys lie in the records
};

}  // namespace whinledge::storage_plane
