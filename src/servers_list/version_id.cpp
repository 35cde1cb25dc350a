#include "servers_list/version_id.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace whinledge::servers_list {

VersionId version_id(std::string_view name) {
    if (name.empty()) return 0;
    const auto id = static_cast<VersionId>(XXH32(name.data(), name.size(), 0));
    return id == 0 ? 1 : id;
}

}  // namespace whinledge::servers_list
