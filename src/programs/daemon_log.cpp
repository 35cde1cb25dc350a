#include "programs/daemon_log.hpp"

#include <glog/logging.h>
#include <sys/statvfs.h>
#include <unistd.h>

#include <array>
#include <filesystem>
#include <string_view>

namespace whinledge::programs {

namespace {

constexpr std::size_t kKilobyte = 1024;

struct LevelName {
    std::string_view name;
    google::LogSeverity severity;
};
constexpr LevelName kLevels[] = {
    {"info", google::GLOG_INFO}, {"warning", google::GLOG_WARNING}, {"error", google::GLOG_ERROR}};

std::optional<google::LogSeverity> severity_of(std::string_view name) {
    if (name.empty()) return google::GLOG_INFO;
    for (const LevelName& level : kLevels)
        if (level.name == name) return level.severity;
    return std::nullopt;
}

std::size_t queue_bytes(const node::Settings& settings) {
    return settings.log_queue_kb > 0 ? static_cast<std::size_t>(settings.log_queue_kb) * kKilobyte
                                     : LogWriter::kDefaultCapacity;
}

std::optional<std::string> file_fault(const node::Settings& settings) {
    const std::filesystem::path file(settings.log_file);
    const std::filesystem::path folder = file.has_parent_path() ? file.parent_path() : ".";
    const std::string at = "'log.file' is '" + settings.log_file + "': ";
    std::error_code unreadable;
    if (!std::filesystem::is_directory(folder, unreadable))
        return at + "there is no folder '" + folder.string() + "': make it, or name a file in another";
    if (std::filesystem::is_directory(file, unreadable)) return at + "that is a folder: name a file in it";
    const std::filesystem::path written = std::filesystem::exists(file, unreadable) ? file : folder;
    if (::access(written.c_str(), W_OK) != 0)
        return at + "'" + written.string() + "' can't be written: permit it, or name another file";
    struct statvfs room {};
    if (::statvfs(folder.c_str(), &room) == 0 && room.f_bavail * room.f_frsize < queue_bytes(settings))
        return at + "its disk has no room for " + std::to_string(queue_bytes(settings) / kKilobyte) +
               " KB: make room, or name a file on another disk";
    return std::nullopt;
}

// Takes the place of one of glog's files.
class WriterLogger final : public google::base::Logger {
public:
    explicit WriterLogger(LogWriter& writer) : writer_(writer) {}
    void Write(bool, time_t, const char* message, std::size_t size) override {
        writer_.write(std::string(message, size));
    }
    void Flush() override {}
    google::uint32 LogSize() override { return 0; }

private:
    LogWriter& writer_;
};

class NoLogger final : public google::base::Logger {
public:
    void Write(bool, time_t, const char*, std::size_t) override {}
    void Flush() override {}
    google::uint32 LogSize() override { return 0; }
};

}  // namespace

std::optional<std::string> log_fault(const node::Settings& settings) {
    if (!severity_of(settings.log_level))
        return "'log.level' is '" + settings.log_level + "': give info, warning or error";
    return settings.log_file.empty() ? std::nullopt : file_fault(settings);
}

LogWriter& begin_log(const node::Settings& settings) {
    LogWriter& writer = begin_process_log(
        settings.log_file.empty() ? log_to_descriptor(STDERR_FILENO) : log_to_file(settings.log_file),
        queue_bytes(settings));
    FLAGS_logtostderr = false;
    FLAGS_stderrthreshold = google::NUM_SEVERITIES;
    // A message goes to the logger of its severity and of each lower one; glog owns them.
    static const std::array<google::base::Logger*, google::NUM_SEVERITIES> loggers{
        new WriterLogger(writer), new NoLogger, new NoLogger, new NoLogger};
    for (int severity = google::GLOG_INFO; severity < google::NUM_SEVERITIES; ++severity)
        google::base::SetLogger(severity, loggers[static_cast<std::size_t>(severity)]);
    set_log_level(settings);
    return writer;
}

void set_log_level(const node::Settings& settings) {
    FLAGS_minloglevel = severity_of(settings.log_level).value_or(google::GLOG_INFO);
}

}  // namespace whinledge::programs
