#include "fleet/types.hpp"

// Its code is taken in here: no library to link.
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace whinledge::fleet {

Key key_of(std::string_view name) {
    const auto key = static_cast<Key>(XXH3_64bits(name.data(), name.size()) >> 32);
    return key == 0 ? 1 : key;
}

}  // namespace whinledge::fleet
