#include "lab/live_timeline.hpp"

#include <algorithm>
#include <utility>

namespace whinledge::lab {

void LiveTimeline::at(Millis when, std::function<void()> what) {
    queue_.push(std::max(when, now()), std::move(what));
    arm();
}

void LiveTimeline::arm() {
    if (queue_.next() >= armed_for_) return;
    armed_for_ = queue_.next();
    timer_.expires_after(tier_rig::span(armed_for_ - now()));
    timer_.async_wait([this](boost::system::error_code cancelled) {
        if (!cancelled) run_due();
    });
}

void LiveTimeline::run_due() {
    armed_for_ = kNever;
    const Millis until = now();
    while (queue_.next() <= until) {
        const auto what = queue_.pop();
        what();
    }
    arm();
}

}  // namespace whinledge::lab
