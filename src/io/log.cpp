#include "io/log.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace whinledge {

namespace {

constexpr std::size_t kLongest = 1024;  // a pipe takes so much at once (PIPE_BUF is 4096)

}  // namespace

std::optional<std::size_t> LogLimit::take(Millis now) {
    tokens_ = std::min(kBurst, tokens_ + std::max(0.0, now - at_) * kEachSecond / 1000);
    at_ = now;
    const double lines = left_out_ > 0 ? 2 : 1;
    if (tokens_ < lines) {
        ++left_out_;
        return std::nullopt;
    }
    tokens_ -= lines;
    return std::exchange(left_out_, 0);
}

Millis Log::steady_now() {
    const auto since = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration<Millis, std::milli>(since).count();
}

Log::Log(LogWriter& writer, Now now) : writer_(writer), now_(std::move(now)) {}

Log::~Log() { tell_left_out(limit_.left_out()); }

void Log::line(std::string_view text) {
    const auto left_out = limit_.take(now_());
    if (!left_out) return;
    tell_left_out(*left_out);
    write_line(text);
}

void Log::tell_left_out(std::size_t count) const {
    if (count > 0)
        write_line("... " + std::to_string(count) + (count == 1 ? " line" : " lines") + " left out");
}

// A name from elsewhere must not pass for a line.
void Log::write_line(std::string_view text) const {
    std::string whole = "whinledge: ";
    for (const char c : text.substr(0, kLongest))
        whole += static_cast<unsigned char>(c) < ' ' || c == 127 ? '?' : c;
    whole += '\n';
    writer_.write(std::move(whole));
}

}  // namespace whinledge
