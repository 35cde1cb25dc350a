// Signals that come before a process has handlers for them would end it, or be lost. They are held back from
// its first step on, and delivered once the handlers are there. Threads that start meanwhile never get them.
#pragma once

#include <csignal>
#include <initializer_list>

namespace whinledge {

class HeldSignals {
public:
    explicit HeldSignals(std::initializer_list<int> signals) {
        ::sigemptyset(&held_);
        for (const int signal : signals) ::sigaddset(&held_, signal);
        ::pthread_sigmask(SIG_BLOCK, &held_, nullptr);
    }
    ~HeldSignals() { release(); }
    HeldSignals(const HeldSignals&) = delete;
    HeldSignals& operator=(const HeldSignals&) = delete;

    // Also those that whoever started this process had blocked.
    void release() { ::pthread_sigmask(SIG_UNBLOCK, &held_, nullptr); }

private:
    sigset_t held_{};
};

}  // namespace whinledge
