#include "discovery/file_source.hpp"

#include <fcntl.h>
#include <sys/inotify.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cerrno>
#include <ctime>
#include <stdexcept>
#include <system_error>
#include <tuple>
#include <utility>

#include "discovery/member_json.hpp"
#include "discovery/teller.hpp"
#include "io/clock.hpp"
#include "io/insist.hpp"

namespace whinledge {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t kEvents = 16 * 1024;  // bytes of events taken at once
// A change within one tick of the file system's clock after a look leaves the same times: until the file has
// been at rest for so long (seconds), equal times prove nothing.
constexpr std::time_t kRest = 2;

[[noreturn]] void fail(const std::string& what, int error) {
    throw std::runtime_error(what + ": " + std::generic_category().message(error));
}

class File {
public:
    // Not blocking: the name may lead to a pipe.
    explicit File(const std::string& path) : fd_(::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK)) {
        if (fd_ < 0) fail("can't be opened", errno);
    }
    ~File() { ::close(fd_); }
    File(const File&) = delete;
    File& operator=(const File&) = delete;

    std::string read() const {
        struct stat status {};
        if (::fstat(fd_, &status) != 0) fail("can't be read", errno);
        if (!S_ISREG(status.st_mode)) throw std::runtime_error("is not a file");
        std::string text(FileSource::kLargest + 1, '\0');  // one more tells that it is too large
        std::size_t size = 0;
        while (size < text.size()) {
            const ::ssize_t count = ::read(fd_, text.data() + size, text.size() - size);
            if (count < 0 && errno == EINTR) continue;
            if (count < 0) fail("can't be read", errno);
            if (count == 0) break;
            size += static_cast<std::size_t>(count);
        }
        if (size > FileSource::kLargest) throw std::runtime_error("is larger than 2 MiB");
        text.resize(size);
        return text;
    }

private:
    int fd_;
};

// What tells a file, and what is in it, from another; all zero where there is none.
struct Mark {
    dev_t device = 0;
    ino_t inode = 0;
    off_t size = 0;
    std::time_t changed = 0, modified = 0;
    long changed_ns = 0, modified_ns = 0;
    int error = 0;
    bool operator==(const Mark&) const = default;

    // Follows links, so a link that is swapped is a change.
    static Mark of(const std::string& path) {
        struct stat s {};
        Mark mark;
        if (::stat(path.c_str(), &s) != 0) {
            mark.error = errno;
            return mark;
        }
        mark.device = s.st_dev;
        mark.inode = s.st_ino;
        mark.size = s.st_size;
        std::tie(mark.changed, mark.changed_ns) = std::pair(s.st_ctim.tv_sec, s.st_ctim.tv_nsec);
        std::tie(mark.modified, mark.modified_ns) = std::pair(s.st_mtim.tv_sec, s.st_mtim.tv_nsec);
        return mark;
    }
    bool at_rest() const { return std::time(nullptr) - changed >= kRest; }
    bool same_file(const Mark& other) const {
        return error == 0 && device == other.device && inode == other.inode;
    }
};

std::string directory_of(const std::string& path) {
    const auto slash = path.rfind('/');
    if (slash == std::string::npos) return ".";
    return slash == 0 ? "/" : path.substr(0, slash);
}

}  // namespace

class FileSource::Watcher : public std::enable_shared_from_this<Watcher> {
public:
    Watcher(asio::io_context& io, FileSettings settings, Callbacks callbacks)
        : settings_(std::move(settings)),
          directory_(directory_of(settings_.path)),
          teller_(std::move(callbacks)),
          events_(io),
          timer_(io) {}

    void start() {
        if (std::exchange(started_, true)) return;
        // Watched from before the first look on: no change falls between.
        watch();
        asio::post(timer_.get_executor(), [weak = weak_from_this()] {
            if (const auto self = weak.lock(); self && !self->closed_) self->tick();
        });
    }
    void fetch() {
        asio::post(timer_.get_executor(), [weak = weak_from_this()] {
            if (const auto self = weak.lock(); self && !self->closed_) self->teller_.again();
        });
    }
    void close() {
        closed_ = true;
        error_code ignored;
        events_.close(ignored);
        timer_.cancel();
    }

private:
    void tick() {
        // First, for a look may end this.
        timer_.expires_after(span(settings_.poll));
        insist([this] {
            timer_.async_wait([weak = weak_from_this()](error_code cancelled) {
                if (const auto self = weak.lock(); self && !cancelled && !self->closed_) self->tick();
            });
        });
        // The name may lead to another directory by now.
        if (!events_.is_open() || !Mark::of(directory_).same_file(watched_)) watch();
        look();
    }

    // Begins to watch the directory as it is now. Where it can't, the poll goes on alone.
    void watch() {
        error_code ignored;
        events_.close(ignored);
        ++watch_;
        watched_ = Mark::of(directory_);
        const int fd = ::inotify_init1(IN_NONBLOCK | IN_CLOEXEC);
        if (fd < 0) return;
        // Not IN_MODIFY: a file that is written in place is read when its writer closes it.
        constexpr std::uint32_t kChanges = IN_CLOSE_WRITE | IN_CREATE | IN_MOVED_TO | IN_MOVED_FROM |
                                           IN_DELETE | IN_ATTRIB | IN_DELETE_SELF | IN_MOVE_SELF | IN_ONLYDIR;
        error_code failed;
        if (::inotify_add_watch(fd, directory_.c_str(), kChanges) < 0 || events_.assign(fd, failed)) {
            ::close(fd);
            return;
        }
        wait();
    }
    void wait() {
        insist([this] {
            events_.async_read_some(asio::buffer(buffer_), [weak = weak_from_this(), watch = watch_](
                                                               error_code failed, std::size_t size) {
                const auto self = weak.lock();
                if (!self || failed || self->closed_ || watch != self->watch_) return;
                self->happened(size);
            });
        });
    }
    void happened(std::size_t size) {
        if (lost(size)) {
            watch();
        } else {
            wait();
        }
        look();
    }
    // Whether the directory has been removed or has moved. Which names an event is about is not asked: links
    // may lead through any (..data), and a look at what has not changed is one call.
    bool lost(std::size_t size) const {
        for (std::size_t at = 0; at + sizeof(inotify_event) <= size;) {
            const auto* const event = reinterpret_cast<const inotify_event*>(buffer_.data() + at);
            if (event->mask & (IN_IGNORED | IN_DELETE_SELF | IN_MOVE_SELF)) return true;
            at += sizeof(inotify_event) + event->len;
        }
        return false;
    }

    // Reads the file if it may have changed. May end this.
    void look() {
        const Mark mark = Mark::of(settings_.path);
        if (seen_ == mark && rested_) return;
        seen_ = mark;
        rested_ = mark.error != 0 || mark.at_rest();
        MemberList list;
        try {
            list = read();
        } catch (const std::exception& error) {
            return teller_.fail(settings_.path + ": " + error.what());
        }
        teller_.well();
        teller_.tell(std::move(list));
    }
    MemberList read() {
        const bool rested = std::exchange(rested_, false);
        const std::string text = File(settings_.path).read();  // what fails here may do without a change
        rested_ = rested;
        MemberList list = read_member_list(text);
        if (!list.full) throw MemberJsonError("'full' is not true");
        return list;
    }

    FileSettings settings_;
    std::string directory_;
    Teller teller_;
    asio::posix::stream_descriptor events_;
    asio::steady_timer timer_;
    alignas(inotify_event) std::array<char, kEvents> buffer_;
    Mark watched_;              // the directory
    std::uint64_t watch_ = 0;   // which of the watches there have been
    std::optional<Mark> seen_;  // the file, as last read
    bool rested_ = false;       // when last read
    bool started_ = false, closed_ = false;
};

FileSource::FileSource(asio::io_context& io, FileSettings settings, Callbacks callbacks)
    : watcher_(std::make_shared<Watcher>(io, std::move(settings), std::move(callbacks))) {}

FileSource::~FileSource() { watcher_->close(); }

void FileSource::start() { watcher_->start(); }

void FileSource::fetch() { watcher_->fetch(); }

}  // namespace whinledge
