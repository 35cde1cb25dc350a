// Writes the lines of a log on a thread of its own: who logs never waits for a disk or a reader.
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "io/log_output.hpp"

namespace whinledge {

// A bounded queue of lines and the thread that empties it. Lines come out whole and in their order. One that
// finds no room is lost, as is every further one until the queue is empty; then a line tells how many were
// lost.
class LogWriter {
public:
    static constexpr std::size_t kDefaultCapacity = 64 << 10;       // bytes
    static constexpr std::chrono::milliseconds kLastPatience{500};  // of a process that ends

    explicit LogWriter(std::unique_ptr<LogOutput> output, std::size_t capacity = kDefaultCapacity);
    // Waits for the queue to be empty, for kLastPatience at most; an output that hangs keeps the thread.
    ~LogWriter();
    LogWriter(const LogWriter&) = delete;
    LogWriter& operator=(const LogWriter&) = delete;

    // Never waits for the output. May be called from any thread.
    void write(std::string line);

    // The output is opened anew before the next line: the file may have been renamed.
    void reopen();

    // Whether the queue was empty in time.
    bool flush(std::chrono::milliseconds patience);

    // The same for the handler of a fatal signal: takes no lock.
    void flush_in_signal_handler() const;

    // Lines that were never written, since the start.
    std::uint64_t lost() const;

    // The writer of this process: to standard error, unless begin_process_log() came first. Lasts as long as
    // the process, which gives it time to write what is queued when it ends by exit() or by a fatal signal.
    static LogWriter& of_process();

private:
    struct State;
    static void run(const std::shared_ptr<State>& state);

    std::shared_ptr<State> state_;  // shared with the thread, which may outlive the writer
};

// Decides where the lines of this process go; called once, ahead of LogWriter::of_process().
LogWriter& begin_process_log(std::unique_ptr<LogOutput> output, std::size_t capacity);

}  // namespace whinledge
