#include "lab/tool_server.hpp"

#include <algorithm>
#include <limits>

namespace whinledge::lab {

bool ToolServer::submit(std::uint64_t request, Millis work, Millis now) {
    const bool has_slot = running_.size() < static_cast<std::size_t>(settings_.slots);
    if (!has_slot && waiting_.size() >= static_cast<std::size_t>(settings_.queue)) return false;
    waiting_.push_back({request, work});
    let_in(now);
    return true;
}

void ToolServer::let_in(Millis now) {
    while (!frozen_ && !waiting_.empty() && running_.size() < static_cast<std::size_t>(settings_.slots)) {
        const Waiting first = waiting_.front();
        waiting_.pop_front();
        running_.emplace(now + first.work * settings_.slowness * slowdown_, first.request);
    }
}

void ToolServer::cancel(std::uint64_t request, Millis now) {
    std::erase_if(waiting_, [&](const Waiting& waiting) { return waiting.request == request; });
    std::erase_if(running_, [&](const auto& running) { return running.second == request; });
    let_in(now);
}

Millis ToolServer::next() const {
    return running_.empty() || frozen_ ? std::numeric_limits<Millis>::infinity() : running_.begin()->first;
}

void ToolServer::advance(Millis now, std::vector<std::uint64_t>& done) {
    while (next() <= now) {
        const auto [end, request] = *running_.begin();
        running_.erase(running_.begin());
        done.push_back(request);
        let_in(end);
    }
}

void ToolServer::set_frozen(bool frozen, Millis now) {
    if (frozen == frozen_) return;
    frozen_ = frozen;
    if (frozen) {
        frozen_at_ = now;
        return;
    }
    std::multimap<Millis, std::uint64_t> later;
    for (const auto& [end, request] : running_) later.emplace(end + (now - frozen_at_), request);
    running_ = std::move(later);
    let_in(now);
}

placement::Load ToolServer::load() const {
    return {static_cast<int>(running_.size()), static_cast<int>(waiting_.size()), settings_.slots};
}

}  // namespace whinledge::lab
