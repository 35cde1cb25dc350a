// A folder for what a test's process keeps on its disk, gone with the test.
#pragma once

#include <stdlib.h>
#include <unistd.h>

#include <filesystem>
#include <string>

namespace whinledge::test {

// In memory where there is such a file system: an order has 0.7 s for two syncs, and what else runs on the
// disk of this machine (a build, say) can take longer for one.
inline std::filesystem::path place_of_disks() {
    const std::filesystem::path in_memory = "/dev/shm";
    return ::access(in_memory.c_str(), W_OK) == 0 ? in_memory : std::filesystem::temp_directory_path();
}

class DiskFolder {
public:
    DiskFolder() {
        std::string name = (place_of_disks() / "whinledge-disk-XXXXXX").string();
        path_ = ::mkdtemp(name.data());
    }
    ~DiskFolder() { std::filesystem::remove_all(path_); }
    DiskFolder(const DiskFolder&) = delete;
    DiskFolder& operator=(const DiskFolder&) = delete;

    std::string path() const { return path_.string(); }
    void wipe() const {
        for (const auto& entry : std::filesystem::directory_iterator(path_))
            std::filesystem::remove_all(entry);
    }

private:
    std::filesystem::path path_;
};

}  // namespace whinledge::test
