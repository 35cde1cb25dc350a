// A log whose appends wait for a test's word, on the thread that writes it.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <utility>

#include "consensus/acceptor_log.hpp"

namespace whinledge::consensus::test {

// The word; outlives the log.
class DiskGate {
public:
    void hold() { set(Mode::held); }
    void open() { set(Mode::open); }
    void fill() { set(Mode::full); }

    // Appends that wait here now, or have ended.
    int begun() const { return begun_; }
    int ended() const { return ended_; }

private:
    friend class HeldLog;
    enum class Mode { open, held, full };
    // So that a test whose own thread waits here fails instead of hanging.
    static constexpr std::chrono::seconds kLongest{10};

    void set(Mode mode) {
        const std::lock_guard lock(mutex_);
        mode_ = mode;
        changed_.notify_all();
    }
    // Whether the disk has room.
    bool pass() {
        std::unique_lock lock(mutex_);
        ++begun_;
        changed_.wait_for(lock, kLongest, [this] { return mode_ != Mode::held; });
        return mode_ != Mode::full;
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    Mode mode_ = Mode::open;
    std::atomic<int> begun_{0}, ended_{0};
};

class HeldLog : public AcceptorLog {
public:
    HeldLog(std::unique_ptr<AcceptorLog> log, std::shared_ptr<DiskGate> gate)
        : log_(std::move(log)), gate_(std::move(gate)) {}
    DiskResult<void> append(const AcceptorWrite& write) override {
        const bool room = gate_->pass();
        DiskResult<void> result = DiskError{DiskFault::full, "the test's disk is full; open its gate"};
        if (room) result = log_->append(write);
        ++gate_->ended_;
        return result;
    }
    LogFigures figures() const override { return log_->figures(); }

private:
    std::unique_ptr<AcceptorLog> log_;
    std::shared_ptr<DiskGate> gate_;
};

}  // namespace whinledge::consensus::test
