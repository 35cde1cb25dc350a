#include "io/log_output.hpp"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace whinledge {

namespace {

constexpr int kFileMode = 0644;
constexpr int kClosed = -1;

void await_room(int descriptor) {
    pollfd writable{descriptor, POLLOUT, 0};
    ::poll(&writable, 1, -1);
}

class DescriptorOutput : public LogOutput {
public:
    explicit DescriptorOutput(int descriptor) : descriptor_(descriptor) {}

    bool write(std::string_view line) override {
        // A line that was cut short before must not run into this one.
        if (in_line_ && !write_bytes("\n")) return false;
        return write_bytes(line);
    }

protected:
    void set_descriptor(int descriptor) {
        descriptor_ = descriptor;
        in_line_ = false;
    }
    int descriptor() const { return descriptor_; }

private:
    bool write_bytes(std::string_view bytes) {
        while (!bytes.empty()) {
            const ssize_t written = ::write(descriptor_, bytes.data(), bytes.size());
            if (written > 0) {
                in_line_ = bytes[static_cast<std::size_t>(written) - 1] != '\n';
                bytes.remove_prefix(static_cast<std::size_t>(written));
            } else if (written < 0 && errno == EAGAIN) {
                await_room(descriptor_);
            } else if (written == 0 || errno != EINTR) {
                return false;
            }
        }
        return true;
    }

    int descriptor_;
    bool in_line_ = false;  // the last byte written was not the end of a line
};

class FileOutput final : public DescriptorOutput {
public:
    explicit FileOutput(std::string path) : DescriptorOutput(kClosed), path_(std::move(path)) {}
    ~FileOutput() override { close(); }

    bool write(std::string_view line) override {
        if (descriptor() == kClosed)
            set_descriptor(::open(path_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode));
        return descriptor() != kClosed && DescriptorOutput::write(line);
    }
    void reopen() override { close(); }

private:
    void close() {
        if (descriptor() != kClosed) ::close(descriptor());
        set_descriptor(kClosed);
    }

    std::string path_;
};

}  // namespace

std::unique_ptr<LogOutput> log_to_descriptor(int descriptor) {
    return std::make_unique<DescriptorOutput>(descriptor);
}

std::unique_ptr<LogOutput> log_to_file(std::string path) {
    return std::make_unique<FileOutput>(std::move(path));
}

}  // namespace whinledge
