#include "io/log_writer.hpp"

#include <pthread.h>
#include <unistd.h>

#include <array>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <deque>
#include <mutex>
#include <system_error>
#include <thread>
#include <utility>

namespace whinledge {

namespace {

constexpr std::array kFatalSignals{SIGABRT, SIGBUS, SIGFPE, SIGILL, SIGSEGV};
constexpr int kLooksInSignalHandler = 200;
constexpr timespec kBetweenLooks{0, 1'000'000};  // 1 ms

std::string lost_lines_notice(std::uint64_t lines) {
    return "whinledge: ... " + std::to_string(lines) + (lines == 1 ? " line" : " lines") +
           " lost: the log was not written in time\n";
}

// A reader of the log that is gone costs lines, not the process.
void block_sigpipe() {
    sigset_t set;
    ::sigemptyset(&set);
    ::sigaddset(&set, SIGPIPE);
    ::pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

}  // namespace

struct LogWriter::State {
    State(std::unique_ptr<LogOutput> to, std::size_t bytes) : output(std::move(to)), capacity(bytes) {}

    const std::unique_ptr<LogOutput> output;  // touched by the thread alone
    const std::size_t capacity;

    std::mutex mutex;
    std::condition_variable wake, empty;
    std::deque<std::string> lines;  // the first may be under way
    std::size_t bytes = 0;          // of the lines
    std::uint64_t lost = 0;         // all
    std::uint64_t untold = 0;       // those of which no line has told yet
    bool started = false, ending = false, reopening = false;
    std::atomic<std::size_t> waiting{0};  // lines, for the handler of a fatal signal

    void lose() {
        ++lost;
        ++untold;
    }
};

LogWriter::LogWriter(std::unique_ptr<LogOutput> output, std::size_t capacity)
    : state_(std::make_shared<State>(std::move(output), capacity)) {}

LogWriter::~LogWriter() {
    flush(kLastPatience);
    const std::lock_guard lock(state_->mutex);
    state_->ending = true;
    state_->wake.notify_one();
}

void LogWriter::write(std::string line) {
    const std::lock_guard lock(state_->mutex);
    if (state_->untold > 0 && !state_->lines.empty()) return state_->lose();
    if (state_->bytes + line.size() > state_->capacity) return state_->lose();
    if (!state_->started) {
        try {
            std::thread(run, state_).detach();
        } catch (const std::system_error&) {
            return state_->lose();
        }
        state_->started = true;
    }
    state_->bytes += line.size();
    state_->lines.push_back(std::move(line));
    state_->waiting.store(state_->lines.size());
    state_->wake.notify_one();
}

void LogWriter::reopen() {
    const std::lock_guard lock(state_->mutex);
    state_->reopening = true;
}

bool LogWriter::flush(std::chrono::milliseconds patience) {
    std::unique_lock lock(state_->mutex);
    return state_->empty.wait_for(lock, patience, [this] { return state_->lines.empty(); });
}

void LogWriter::flush_in_signal_handler() const {
    for (int look = 0; look < kLooksInSignalHandler && state_->waiting.load() > 0; ++look)
        ::nanosleep(&kBetweenLooks, nullptr);
}

std::uint64_t LogWriter::lost() const {
    const std::lock_guard lock(state_->mutex);
    return state_->lost;
}

void LogWriter::run(const std::shared_ptr<State>& state) {
    block_sigpipe();
    std::unique_lock lock(state->mutex);
    const auto write_unlocked = [&](const std::string& line) {
        const bool reopening = std::exchange(state->reopening, false);
        lock.unlock();
        if (reopening) state->output->reopen();
        const bool written = state->output->write(line);
        lock.lock();
        return written;
    };
    for (;;) {
        state->wake.wait(lock, [&] { return !state->lines.empty() || state->ending; });
        if (state->lines.empty()) return;
        if (!write_unlocked(state->lines.front())) state->lose();
        // Told while the last line still counts as waiting, so that who flushes waits for it.
        if (state->lines.size() == 1 && state->untold > 0) {
            const std::uint64_t lines = state->untold;
            if (write_unlocked(lost_lines_notice(lines))) state->untold -= lines;
        }
        state->bytes -= state->lines.front().size();
        state->lines.pop_front();
        state->waiting.store(state->lines.size());
        if (state->lines.empty()) state->empty.notify_all();
    }
}

namespace {

std::atomic<LogWriter*> process_log{nullptr};

void flush_on_exit() { process_log.load()->flush(LogWriter::kLastPatience); }

extern "C" void on_fatal_signal(int signal) {
    process_log.load()->flush_in_signal_handler();
    // The handler was for one time: the default action is in force again.
    ::raise(signal);
}

void handle_unless_handled(int signal) {
    struct sigaction current {};
    if (::sigaction(signal, nullptr, &current) != 0 || current.sa_handler != SIG_DFL) return;
    struct sigaction flushing {};
    flushing.sa_handler = on_fatal_signal;
    flushing.sa_flags = static_cast<int>(SA_RESETHAND);
    ::sigaction(signal, &flushing, nullptr);
}

}  // namespace

LogWriter& begin_process_log(std::unique_ptr<LogOutput> output, std::size_t capacity) {
    // Never destroyed: whoever logs while the process ends finds it.
    process_log.store(new LogWriter(std::move(output), capacity));
    std::atexit(flush_on_exit);
    for (const int signal : kFatalSignals) handle_unless_handled(signal);
    return *process_log.load();
}

LogWriter& LogWriter::of_process() {
    if (LogWriter* const writer = process_log.load()) return *writer;
    static LogWriter& writer = begin_process_log(log_to_descriptor(STDERR_FILENO), kDefaultCapacity);
    return writer;
}

}  // namespace whinledge
