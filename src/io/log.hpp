// The sidecar's log: whole lines, by default on standard error, and no more of them than help.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string_view>

#include "engine/types.hpp"
#include "io/log_writer.hpp"

namespace whinledge {

// Which lines go, whatever they are about: a burst of 20, then 2 a second. No clock, no I/O.
class LogLimit {
public:
    static constexpr double kBurst = 20, kEachSecond = 2;

    // None: this line is left out. Else how many were left out before it, which is a line of its own.
    std::optional<std::size_t> take(Millis now);
    std::size_t left_out() const { return left_out_; }

private:
    double tokens_ = kBurst;
    Millis at_ = 0;
    std::size_t left_out_ = 0;
};

class Log {
public:
    using Now = std::function<Millis()>;
    static Millis steady_now();

    explicit Log(LogWriter& writer = LogWriter::of_process(), Now now = steady_now);
    ~Log();  // tells of what was left out last
    Log(const Log&) = delete;
    Log& operator=(const Log&) = delete;

    void line(std::string_view text);

private:
    void tell_left_out(std::size_t count) const;
    void write_line(std::string_view text) const;

    LogWriter& writer_;
    Now now_;
    LogLimit limit_;
};

}  // namespace whinledge
