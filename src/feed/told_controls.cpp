#include "feed/told_controls.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <string>
#include <utility>

#include "feed/known_controls.hpp"

namespace whinledge::feed {
namespace {

std::uint64_t digest_of(const wire::NodeInfo& info) {
    std::string text;
    for (const std::string* part : {&info.node, &info.zone, &info.address}) text += *part + '\0';
    text += std::to_string(static_cast<int>(info.role)) + '/' + std::to_string(info.identity) + '/' +
            std::to_string(info.started_ms);
    return XXH64(text.data(), text.size(), 0);
}

}  // namespace

std::int64_t controls_version(const std::vector<wire::NodeInfo>& controls) {
    std::uint64_t version = controls.size();
    for (const wire::NodeInfo& info : controls) version += digest_of(info);
    return version == 0 ? 1 : static_cast<std::int64_t>(version);
}

void tell_controls(std::vector<wire::NodeInfo> controls, std::int64_t known_version,
                   wire::WatchReply& reply) {
    reply.controls_version = controls_version(controls);
    if (reply.controls_version != known_version) reply.controls = std::move(controls);
}

const std::vector<wire::NodeInfo>& ToldControls::take(wire::WatchReply& reply) {
    const bool as_before = reply.controls_version != 0 && reply.controls_version == version_;
    if (as_before) return controls_;
    controls_ = std::move(reply.controls);
    // More than are learned of are not kept either, and so are told each time.
    if (controls_.size() > KnownControls::kMost) controls_.resize(KnownControls::kMost);
    version_ = controls_version(controls_) == reply.controls_version ? reply.controls_version : 0;
    return controls_;
}

}  // namespace whinledge::feed
