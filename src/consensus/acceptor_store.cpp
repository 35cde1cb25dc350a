#include "consensus/acceptor_store.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <glog/logging.h>
#include <sys/stat.h>
#include <unistd.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <random>
#include <utility>
#include <vector>

#include "rpc/codec.hpp"

namespace whinledge::consensus {

namespace {

constexpr std::size_t kHeaderBytes = 12;
constexpr std::uint64_t kLeastToRewrite = 1U << 20;
constexpr std::uint64_t kGrowthToRewrite = 3;
const char kSegmentPrefix[] = "register-";
const char kSegmentSuffix[] = ".log";

[[noreturn]] void fail(const std::string& what, const std::string& path) {
    throw std::runtime_error(what + " " + path + ": " + std::strerror(errno) +
                             "; check that the data folder is there, writable and not full");
}

bool write_all(int file, const char* data, std::size_t size) {
    while (size > 0) {
        const ssize_t written = ::write(file, data, size);
        if (written < 0 && errno == EINTR) continue;
        if (written <= 0) return false;
        data += written;
        size -= static_cast<std::size_t>(written);
    }
    return true;
}

// Nothing where there is no such file.
std::string read_all(const std::string& path) {
    const int file = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (file < 0 && errno == ENOENT) return {};
    if (file < 0) fail("can't open", path);
    std::string bytes;
    std::vector<char> buffer(1U << 16);
    for (;;) {
        const ssize_t got = ::read(file, buffer.data(), buffer.size());
        if (got < 0 && errno == EINTR) continue;
        if (got < 0) {
            const int fault = errno;
            ::close(file);
            errno = fault;
            fail("can't read", path);
        }
        if (got == 0) break;
        bytes.append(buffer.data(), static_cast<std::size_t>(got));
    }
    ::close(file);
    return bytes;
}

bool sync_folder(const std::string& folder) {
    const int file = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (file < 0) return false;
    const bool synced = ::fsync(file) == 0;
    ::close(file);
    return synced;
}

// Writes a whole file under another name, syncs it and renames it. The file is left open for appending.
int replace_file(const std::string& folder, const std::string& path, const std::string& bytes) {
    const std::string temporary = path + ".new";
    const int file = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0644);
    if (file < 0) return -1;
    if (write_all(file, bytes.data(), bytes.size()) && ::fsync(file) == 0 &&
        ::rename(temporary.c_str(), path.c_str()) == 0 && sync_folder(folder))
        return file;
    const int fault = errno;
    ::close(file);
    ::unlink(temporary.c_str());
    errno = fault;
    return -1;
}

std::string framed(const std::string& body) {
    const auto length = static_cast<std::uint32_t>(body.size());
    const std::uint64_t hash = XXH64(body.data(), body.size(), length);
    std::string bytes(kHeaderBytes, '\0');
    std::memcpy(bytes.data(), &length, sizeof length);
    std::memcpy(bytes.data() + sizeof length, &hash, sizeof hash);
    return bytes + body;
}

// The body of the record at `at`, which is moved behind it; false: there is no whole one.
bool take_framed(const std::string& bytes, std::size_t& at, std::string& body) {
    std::uint32_t length = 0;
    std::uint64_t hash = 0;
    if (bytes.size() - at < kHeaderBytes) return false;
    std::memcpy(&length, bytes.data() + at, sizeof length);
    std::memcpy(&hash, bytes.data() + at + sizeof length, sizeof hash);
    if (length == 0 || bytes.size() - at - kHeaderBytes < length) return false;
    if (XXH64(bytes.data() + at + kHeaderBytes, length, length) != hash) return false;
    body.assign(bytes, at + kHeaderBytes, length);
    at += kHeaderBytes + length;
    return true;
}

// Not to be drawn twice, also by machines that are given like entropy at their start.
std::int64_t draw(const std::string& salt) {
    std::random_device device;
    std::uint64_t words[4] = {
        (std::uint64_t{device()} << 32) | device(), (std::uint64_t{device()} << 32) | device(),
        static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count()),
        static_cast<std::uint64_t>(::getpid())};
    const std::uint64_t hash = XXH64(words, sizeof words, XXH64(salt.data(), salt.size(), 0));
    return static_cast<std::int64_t>(hash >> 1) | 1;
}

}  // namespace

AcceptorStore::AcceptorStore(std::string folder, bool first_boot) : folder_(std::move(folder)) {
    if (::mkdir(folder_.c_str(), 0755) == 0) {
        if (!sync_folder(folder_ + "/..")) fail("can't sync the folder above", folder_);
    } else if (errno != EEXIST) {
        fail("can't make", folder_);
    }
    if (!load_identity()) draw_identity(first_boot);
    opened_ = Acceptor(identity_);
    load_segment();
}

AcceptorStore::~AcceptorStore() {
    if (file_ >= 0) ::close(file_);
}

bool AcceptorStore::load_identity() {
    const std::string bytes = read_all(folder_ + "/identity");
    std::size_t at = 0;
    std::string body;
    if (!take_framed(bytes, at, body)) return false;
    long long identity = 0;
    int founder = 0;
    if (std::sscanf(body.c_str(), "%lld %d", &identity, &founder) != 2 || identity == 0) return false;
    // A process that was killed between its renaming and its sync may have left it to the caches only.
    if (!sync_folder(folder_)) fail("can't sync", folder_);
    identity_ = identity;
    founder_ = founder != 0;
    return true;
}

// Whatever else the folder holds was another identity's.
void AcceptorStore::draw_identity(bool first_boot) {
    if (DIR* listing = ::opendir(folder_.c_str())) {
        while (const dirent* entry = ::readdir(listing))
            if (std::strncmp(entry->d_name, kSegmentPrefix, sizeof kSegmentPrefix - 1) == 0)
                ::unlink((folder_ + "/" + entry->d_name).c_str());
        ::closedir(listing);
    }
    identity_ = draw(folder_);
    founder_ = first_boot;
    const std::string body = std::to_string(identity_) + (founder_ ? " 1" : " 0");
    const int file = replace_file(folder_, folder_ + "/identity", framed(body));
    if (file < 0) fail("can't write the identity to", folder_);
    ::close(file);
}

std::string AcceptorStore::segment_path(std::uint64_t number) const {
    return folder_ + "/" + kSegmentPrefix + std::to_string(number) + kSegmentSuffix;
}

void AcceptorStore::load_segment() {
    std::vector<std::uint64_t> numbers;
    std::vector<std::string> left_over;  // of replacements that were not finished
    DIR* listing = ::opendir(folder_.c_str());
    if (listing == nullptr) fail("can't list", folder_);
    while (const dirent* entry = ::readdir(listing)) {
        unsigned long long number = 0;
        int end = 0;
        if (std::sscanf(entry->d_name, "register-%llu.log%n", &number, &end) != 1 || end == 0) continue;
        if (entry->d_name[end] == '\0')
            numbers.push_back(number);
        else
            left_over.push_back(folder_ + "/" + entry->d_name);
    }
    ::closedir(listing);
    for (const std::string& path : left_over) ::unlink(path.c_str());
    if (numbers.empty()) return;
    number_ = *std::max_element(numbers.begin(), numbers.end());
    const std::string path = segment_path(number_);
    const std::string bytes = read_all(path);
    std::size_t at = 0;
    std::string body;
    while (take_framed(bytes, at, body)) {
        const auto record = rpc::decode_body<wire::AcceptorRecord>(body);
        if (!record)
            throw std::runtime_error(path +
                                     " holds a record of another version: run the version that wrote it");
        opened_.apply(record.value());
        if (live_size_ == 0) live_size_ = at;
    }
    size_ = at;
    file_ = ::open(path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
    if (file_ < 0) fail("can't open", path);
    if (at < bytes.size()) {
        LOG(WARNING) << path << ": a torn tail of " << bytes.size() - at << " bytes is cut";
        if (::ftruncate(file_, static_cast<off_t>(at)) != 0) fail("can't cut", path);
    }
    // What was read may be in the caches only, if the process was killed before its sync; from here on it
    // counts.
    if (::fsync(file_) != 0) fail("can't sync", path);
    begin_anew_ = false;
    for (const std::uint64_t number : numbers)
        if (number != number_) ::unlink(segment_path(number).c_str());
}

DiskResult<void> AcceptorStore::append(const AcceptorWrite& write) {
    std::string bytes;
    for (const wire::AcceptorRecord& record : write.records) bytes += framed(rpc::encode_body(record));
    const bool grown = size_ + bytes.size() > std::max(kLeastToRewrite, kGrowthToRewrite * live_size_);
    const bool done = begin_anew_ || grown ? begin_segment(*write.before, bytes) : write_records(bytes);
    const int fault = errno;
    if (done && std::exchange(failing_, false))
        LOG(INFO) << folder_ << ": the register's records can be written again";
    if (done) return boost::outcome_v2::success();
    begin_anew_ = true;
    DiskError error = failure(fault);
    if (!std::exchange(failing_, true))
        LOG(ERROR) << error.message << "; this acceptor takes nothing until its disk does";
    return error;
}

DiskError AcceptorStore::failure(int fault) const {
    const bool full = fault == ENOSPC || fault == EDQUOT;
    return {full ? DiskFault::full : DiskFault::io,
            "can't write the register's records to " + folder_ + ": " + std::strerror(fault) +
                (full ? "; make room on the disk" : "; check the disk and the folder's permissions")};
}

bool AcceptorStore::write_records(const std::string& bytes) {
    if (!write_all(file_, bytes.data(), bytes.size()) || ::fdatasync(file_) != 0) return false;
    size_ += bytes.size();
    ++syncs_;
    return true;
}

bool AcceptorStore::begin_segment(const Acceptor& before, const std::string& bytes) {
    const std::string state = framed(rpc::encode_body(before.snapshot()));
    const int file = replace_file(folder_, segment_path(number_ + 1), state + bytes);
    if (file < 0) return false;
    const std::string old = segment_path(number_);
    const bool had_one = file_ >= 0;
    if (had_one) ::close(file_);
    file_ = file;
    ++number_;
    ++syncs_;
    live_size_ = state.size();
    size_ = state.size() + bytes.size();
    begin_anew_ = false;
    if (had_one) ::unlink(old.c_str());
    return true;
}

}  // namespace whinledge::consensus
