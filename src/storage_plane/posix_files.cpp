#include <dirent.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>

#include "storage_plane/files.hpp"

namespace whinledge::storage_plane {
namespace {

DiskError failure(const std::string& what, const std::string& path, int code) {
    const bool full = code == ENOSPC || code == EDQUOT;
    return {
        full ? DiskFault::full : DiskFault::io,
        what + " " + path + ": " + std::strerror(code) +
            (full ? "; make room or raise limits.diskMb" : "; check the disk and the folder's permissions")};
}

class Descriptor {
public:
    explicit Descriptor(int value) : value_(value) {}
    ~Descriptor() {
        if (value_ >= 0) ::close(value_);
    }
    Descriptor(const Descriptor&) = delete;
    Descriptor& operator=(const Descriptor&) = delete;
    int get() const { return value_; }

private:
    int value_;
};

class PosixFile : public File {
public:
    PosixFile(int descriptor, std::string path) : descriptor_(descriptor), path_(std::move(path)) {}

    DiskResult<std::string> read(std::uint64_t offset, std::size_t size) override {
        std::string bytes(size, '\0');
        std::size_t done = 0;
        while (done < size) {
            const ssize_t got = ::pread(descriptor_.get(), bytes.data() + done, size - done,
                                        static_cast<off_t>(offset + done));
            if (got < 0 && errno == EINTR) continue;
            if (got < 0) return failure("reading", path_, errno);
            if (got == 0) break;
            done += static_cast<std::size_t>(got);
        }
        bytes.resize(done);
        return bytes;
    }

    DiskResult<void> write(std::uint64_t offset, std::string_view bytes) override {
        std::size_t done = 0;
        while (done < bytes.size()) {
            const ssize_t put = ::pwrite(descriptor_.get(), bytes.data() + done, bytes.size() - done,
                                         static_cast<off_t>(offset + done));
            if (put < 0 && errno == EINTR) continue;
            if (put < 0) return failure("writing", path_, errno);
            done += static_cast<std::size_t>(put);
        }
        return boost::outcome_v2::success();
    }

    DiskResult<void> truncate(std::uint64_t size) override {
        if (::ftruncate(descriptor_.get(), static_cast<off_t>(size)) != 0)
            return failure("cutting", path_, errno);
        return boost::outcome_v2::success();
    }

    DiskResult<std::uint64_t> size() override {
        struct stat about {};
        if (::fstat(descriptor_.get(), &about) != 0) return failure("measuring", path_, errno);
        return static_cast<std::uint64_t>(about.st_size);
    }

    DiskResult<void> sync() override {
        if (::fdatasync(descriptor_.get()) != 0) return failure("syncing", path_, errno);
        return boost::outcome_v2::success();
    }

private:
    Descriptor descriptor_;
    std::string path_;
};

class PosixFolder : public Folder {
public:
    PosixFolder(int descriptor, std::string path) : descriptor_(descriptor), path_(std::move(path)) {}

    DiskResult<std::vector<std::string>> list() override {
        DIR* folder = ::opendir(path_.c_str());
        if (!folder) return failure("listing", path_, errno);
        std::vector<std::string> names;
        while (const dirent* entry = ::readdir(folder)) {
            const std::string name = entry->d_name;
            if (name != "." && name != "..") names.push_back(name);
        }
        ::closedir(folder);
        return names;
    }

    DiskResult<std::unique_ptr<File>> open(const std::string& name, Open how) override {
        const int flags = O_RDWR | O_CLOEXEC | (how == Open::create ? O_CREAT | O_TRUNC : 0);
        const int descriptor = ::open(path_of(name).c_str(), flags, 0644);
        if (descriptor < 0) return failure("opening", path_of(name), errno);
        return std::unique_ptr<File>(std::make_unique<PosixFile>(descriptor, path_of(name)));
    }

    DiskResult<void> rename(const std::string& from, const std::string& to) override {
        if (std::rename(path_of(from).c_str(), path_of(to).c_str()) != 0)
            return failure("renaming", path_of(from), errno);
        return boost::outcome_v2::success();
    }

    DiskResult<void> remove(const std::string& name) override {
        if (::unlink(path_of(name).c_str()) != 0 && errno != ENOENT)
            return failure("removing", path_of(name), errno);
        return boost::outcome_v2::success();
    }

    DiskResult<void> sync() override {
        if (::fsync(descriptor_.get()) != 0) return failure("syncing", path_, errno);
        return boost::outcome_v2::success();
    }

private:
    std::string path_of(const std::string& name) const { return path_ + "/" + name; }

    Descriptor descriptor_;
    std::string path_;
};

}  // namespace

DiskResult<std::unique_ptr<Folder>> open_folder(const std::string& path) {
    if (::mkdir(path.c_str(), 0755) != 0 && errno != EEXIST) return failure("making", path, errno);
    const int descriptor = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0) return failure("opening", path, errno);
    return std::unique_ptr<Folder>(std::make_unique<PosixFolder>(descriptor, path));
}

}  // namespace whinledge::storage_plane
