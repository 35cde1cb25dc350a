#include "data_plane/preferred_control.hpp"

#include <algorithm>
#include <tuple>

#include "placement/prompt.hpp"

namespace whinledge::data_plane {

std::string preferred_control(std::vector<wire::NodeInfo> controls, std::string_view zone, std::uint64_t node,
                              std::uint64_t turn) {
    if (controls.empty()) return {};
    const auto order = [&](const wire::NodeInfo& control) {
        return std::make_tuple(control.zone != zone,
                               placement::mixed(placement::name_hash(control.address), node));
    };
    std::sort(controls.begin(), controls.end(),
              [&order](const auto& a, const auto& b) { return order(a) < order(b); });
    return controls[turn % controls.size()].address;
}

}  // namespace whinledge::data_plane
