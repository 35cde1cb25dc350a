// What a process of control_bench knows of itself.
#pragma once

#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>

#include "shape.hpp"

namespace whinledge::control_bench {

inline double processor_ms() {
    rusage used{};
    ::getrusage(RUSAGE_SELF, &used);
    const auto ms = [](const timeval& t) {
        return static_cast<double>(t.tv_sec) * 1e3 + static_cast<double>(t.tv_usec) / 1e3;
    };
    return ms(used.ru_utime) + ms(used.ru_stime);
}

inline std::size_t descriptor_limit() {
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_cur;
}

// How late a loop comes to what is due: all that it does meanwhile, and other people's load.
class Stall {
public:
    Stall(boost::asio::io_context& io, std::atomic<std::int64_t>& longest_us)
        : timer_(io), longest_us_(longest_us) {
        arm();
    }

private:
    static constexpr std::chrono::milliseconds kLook{5};
    void arm() {
        const std::int64_t due = now_us() + std::chrono::microseconds(kLook).count();
        timer_.expires_after(kLook);
        timer_.async_wait([this, due](boost::system::error_code cancelled) {
            if (cancelled) return;
            longest_us_ = std::max(longest_us_.load(), now_us() - due);
            arm();
        });
    }

    boost::asio::steady_timer timer_;
    std::atomic<std::int64_t>& longest_us_;
};

}  // namespace whinledge::control_bench
