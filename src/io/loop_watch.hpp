// How long the handlers of an event loop take: the longest, and each that held the loop up.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <typeinfo>

namespace whinledge {

// Without a clock: each handler's begin and end are told to it. Used from the loop's thread alone.
class LoopWatch {
public:
    using Clock = std::chrono::steady_clock;
    using Report = std::function<void(const std::string& line)>;

    static constexpr std::chrono::milliseconds kStall{100};
    // Between two reports; those in between are counted alone.
    static constexpr std::chrono::seconds kReportPause{1};

    // Becomes the watch of the thread that makes it, until it is destroyed. `report` gets a line for a
    // handler that took `stall` or longer; it runs inside the loop.
    explicit LoopWatch(Report report, Clock::duration stall = kStall);
    ~LoopWatch();
    LoopWatch(const LoopWatch&) = delete;
    LoopWatch& operator=(const LoopWatch&) = delete;

    // Of the calling thread; null: it has none.
    static LoopWatch* current() { return current_; }

    void handled(const std::type_info& handler, Clock::time_point begin, Clock::time_point end);

    std::uint64_t stalls() const { return stalls_; }
    std::chrono::milliseconds longest() const;

    // "loop: stalls=2 longest=812ms in rpc::Server::read"; empty while nothing has held up the loop.
    std::string counters() const;

private:
    inline static thread_local LoopWatch* current_ = nullptr;

    Report report_;
    Clock::duration stall_;
    Clock::duration longest_{};
    const std::type_info* longest_handler_ = nullptr;
    std::uint64_t stalls_ = 0;
    Clock::time_point reported_;       // the newest end of a handler that was held to be a stall
    Clock::time_point next_report_{};  // not before
};

// Times one handler for the watch of its thread, from here to the end of the block.
class HandlerTurn {
public:
    explicit HandlerTurn(const std::type_info& handler) : watch_(LoopWatch::current()), handler_(handler) {
        if (watch_) begin_ = LoopWatch::Clock::now();
    }
    ~HandlerTurn() {
        if (watch_ && watch_ == LoopWatch::current())
            watch_->handled(handler_, begin_, LoopWatch::Clock::now());
    }
    HandlerTurn(const HandlerTurn&) = delete;
    HandlerTurn& operator=(const HandlerTurn&) = delete;

private:
    LoopWatch* watch_;
    const std::type_info& handler_;
    LoopWatch::Clock::time_point begin_;
};

// The functions of ours that made a handler, from the name of its type, the outermost first
// ("LoopTimer::at < feed::Feed::watch"); what has no name of ours is given as it is, cut short.
std::string handler_name(const std::type_info& handler);

}  // namespace whinledge
