// The time of this machine for a trial, on the loop of its stand-ins.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <limits>

#include "lab/timeline.hpp"
#include "tier/world.hpp"

namespace whinledge::lab {

class LiveTimeline final : public Timeline {
public:
    explicit LiveTimeline(tier_rig::World& world) : world_(world), timer_(world.io) {}
    LiveTimeline(const LiveTimeline&) = delete;
    LiveTimeline& operator=(const LiveTimeline&) = delete;

    Millis now() const override { return world_.now(); }
    void at(Millis when, std::function<void()> what) override;

private:
    void arm();
    void run_due();

    static constexpr Millis kNever = std::numeric_limits<Millis>::infinity();
    tier_rig::World& world_;
    boost::asio::steady_timer timer_;
    Millis armed_for_ = kNever;
    DueQueue queue_;
};

}  // namespace whinledge::lab
