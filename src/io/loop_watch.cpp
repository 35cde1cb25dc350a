#include "io/loop_watch.hpp"

#include <algorithm>
#include <boost/core/demangle.hpp>
#include <utility>

namespace whinledge {

namespace {

constexpr std::size_t kLongestName = 120;  // characters

std::string milliseconds_text(LoopWatch::Clock::duration time) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) + "ms";
}

}  // namespace

std::string handler_name(const std::type_info& handler) {
    static const std::string ours = "whinledge::";
    const std::string whole = boost::core::demangle(handler.name());
    std::string name, newest;
    for (auto at = whole.find(ours); at != std::string::npos; at = whole.find(ours, at)) {
        at += ours.size();
        const auto end = std::min(whole.find_first_of("(<{", at), whole.size());
        // A function's name alone is followed by its parameters or the template's arguments.
        const std::string function = whole.substr(at, end - at);
        const bool is_new = function != newest && function.find_first_of(" ,>") == std::string::npos;
        newest = function;
        if (!is_new || name.size() + function.size() > kLongestName) continue;
        name += (name.empty() ? "" : " < ") + function;
    }
    return name.empty() ? whole.substr(0, kLongestName) : name;
}

LoopWatch::LoopWatch(Report report, Clock::duration stall) : report_(std::move(report)), stall_(stall) {
    current_ = this;
}

LoopWatch::~LoopWatch() {
    if (current_ == this) current_ = nullptr;
}

void LoopWatch::handled(const std::type_info& handler, Clock::time_point begin, Clock::time_point end) {
    const Clock::duration took = end - begin;
    if (took > longest_) {
        longest_ = took;
        longest_handler_ = &handler;
    }
    // One that ran inside this one has been held responsible already.
    if (took < stall_ || reported_ > begin) return;
    ++stalls_;
    reported_ = end;
    if (end < next_report_) return;
    next_report_ = end + kReportPause;
    report_("the loop was held up for " + milliseconds_text(took) + " by " + handler_name(handler));
}

std::chrono::milliseconds LoopWatch::longest() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(longest_);
}

std::string LoopWatch::counters() const {
    if (stalls_ == 0) return {};
    return "loop: stalls=" + std::to_string(stalls_) + " longest=" + milliseconds_text(longest_) + " in " +
           handler_name(*longest_handler_);
}

}  // namespace whinledge
