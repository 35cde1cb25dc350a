// The identity of a member's disk, in a file of its own: a disk that was wiped, or that has lost committed
// bytes, is another member.
#pragma once

#include <cstdint>

#include "storage_plane/files.hpp"

namespace whinledge::storage_plane {

// 0: the folder has none that can be read whole.
DiskResult<std::int64_t> load_identity(Folder& folder);
// Synced, in place of the one before, when this returns.
DiskResult<void> save_identity(Folder& folder, std::int64_t identity);

}  // namespace whinledge::storage_plane
