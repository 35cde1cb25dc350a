// The data folder as the storage plane uses it: a seam, so that tests can lose power between any two writes.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "io/disk_error.hpp"

namespace whinledge::storage_plane {

class File {
public:
    virtual ~File() = default;
    // Fewer bytes than asked for at the end of the file.
    virtual DiskResult<std::string> read(std::uint64_t offset, std::size_t size) = 0;
    virtual DiskResult<void> write(std::uint64_t offset, std::string_view bytes) = 0;
    virtual DiskResult<void> truncate(std::uint64_t size) = 0;
    virtual DiskResult<std::uint64_t> size() = 0;
    // Everything written so far outlives a loss of power.
    virtual DiskResult<void> sync() = 0;
};

class Folder {
public:
    enum class Open { existing, create };  // `create`: made, or emptied where it exists

    virtual ~Folder() = default;
    virtual DiskResult<std::vector<std::string>> list() = 0;
    virtual DiskResult<std::unique_ptr<File>> open(const std::string& name, Open how) = 0;
    virtual DiskResult<void> rename(const std::string& from, const std::string& to) = 0;
    virtual DiskResult<void> remove(const std::string& name) = 0;
    // Names made, renamed or removed so far outlive a loss of power.
    virtual DiskResult<void> sync() = 0;
};

// A folder of the file system; made where it does not exist.
DiskResult<std::unique_ptr<Folder>> open_folder(const std::string& path);

}  // namespace whinledge::storage_plane
