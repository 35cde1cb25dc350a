// One process in the overlay: its partial view and its part of the relay tree behind one call. Pure: whoever
// holds it carries out the effects and tells how each call went.
#pragma once

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "overlay/partial_view.hpp"
#include "overlay/relay_tree.hpp"
#include "overlay/types.hpp"

namespace whinledge::overlay {

inline constexpr int kOverlayProtocol = 1;

class OverlayNode {
public:
    struct Options {
        Contact self;  // a control process is a root
        std::vector<std::string> seeds;
        ViewSizes sizes;
        Millis started = 0;
        std::uint64_t random_seed = 1;
        Keeper* keeper = nullptr;
        bool grafts = true;  // false: a planted fault, for tests of their checkers
    };
    explicit OverlayNode(const Options& options);

    wire::OverlayReply handle(Millis now, const wire::OverlayRequest& request, Effects& effects);
    void answered(Millis now, const Outgoing& call, const wire::OverlayReply& reply, Effects& effects);
    void failed(Millis now, const Outgoing& call, CallFailure failure, Effects& effects);

    // Tells everybody of a version, unless one as new is held.
    void publish(Millis now, Topic topic, Version version, std::shared_ptr<const std::string> body,
                 Effects& effects);
    // The same, for a version that the keeper holds.
    void publish_change(Millis now, Topic topic, Version base, Version version,
                        std::shared_ptr<const std::string> difference, Effects& effects);

    void tick(Millis now, Effects& effects);
    Millis due() const;

    PartialView& view() { return view_; }
    const PartialView& view() const { return view_; }
    const RelayTree& tree() const { return tree_; }

private:
    // The tree follows the view; calls get their sender.
    void settle(Millis now, Effects& effects);
    bool in_touch(const Contact& with) const;

    Contact self_;
    std::mt19937_64 random_;
    PartialView view_;
    RelayTree tree_;
    Millis adrift_at_;
};

}  // namespace whinledge::overlay
