#include "storage_plane/disk_identity.hpp"

#include <algorithm>
#include <charconv>
#include <string>

namespace whinledge::storage_plane {
namespace {

constexpr const char* kIdentityFile = "identity";
constexpr const char* kNewIdentityFile = "identity.new";
constexpr std::size_t kMostIdentityBytes = 64;

std::string identity_text(std::int64_t identity) { return std::to_string(identity) + "\n"; }

std::int64_t identity_of(const std::string& text) {
    std::int64_t identity = 0;
    const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), identity);
    const bool whole = failed == std::errc() && end + 1 == text.data() + text.size() && *end == '\n';
    return whole ? identity : 0;
}

}  // namespace

DiskResult<std::int64_t> load_identity(Folder& folder) {
    auto names = folder.list();
    if (!names) return names.error();
    if (std::find(names.value().begin(), names.value().end(), kIdentityFile) == names.value().end())
        return std::int64_t{0};
    auto file = folder.open(kIdentityFile, Folder::Open::existing);
    if (!file) return file.error();
    auto text = file.value()->read(0, kMostIdentityBytes);
    if (!text) return text.error();
    return identity_of(text.value());
}

DiskResult<void> save_identity(Folder& folder, std::int64_t identity) {
    auto file = folder.open(kNewIdentityFile, Folder::Open::create);
    if (!file) return file.error();
    if (auto written = file.value()->write(0, identity_text(identity)); !written) return written;
    if (auto synced = file.value()->sync(); !synced) return synced;
    if (auto renamed = folder.rename(kNewIdentityFile, kIdentityFile); !renamed) return renamed;
    return folder.sync();
}
}  // namespace whinledge::storage_plane
