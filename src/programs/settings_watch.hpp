// Notices that a settings file has changed, with and without a signal.
#pragma once

#include <sys/stat.h>

#include <cstdint>
#include <string>
#include <utility>

namespace whinledge::programs {

class SettingsWatch {
public:
    explicit SettingsWatch(std::string path) : path_(std::move(path)), seen_(stamp()) {}

    // Since this was asked last.
    bool has_changed() {
        const auto now = stamp();
        return std::exchange(seen_, now) != now;
    }

private:
    std::pair<std::int64_t, std::int64_t> stamp() const {
        struct stat file {};
        if (::stat(path_.c_str(), &file) != 0) return {0, 0};
        return {file.st_mtim.tv_sec * 1'000'000'000LL + file.st_mtim.tv_nsec, file.st_size};
    }

    std::string path_;
    std::pair<std::int64_t, std::int64_t> seen_;
};

}  // namespace whinledge::programs
