#include "app/budgets.hpp"

#include <algorithm>

namespace whinledge {

bool Descriptors::reload(std::size_t total, const std::vector<ListenerBound>& listeners,
                         const std::vector<PoolBound>& pools) {
    std::vector<limits::Shares::Wanted> wanted;
    const auto member_of = [](const auto& holders, const auto& key) {
        const auto at = holders.find(key);
        return at == holders.end() || at->second.leaving ? limits::Member{} : at->second.member;
    };
    for (const ListenerBound& l : listeners) wanted.push_back({member_of(listeners_, l.name), l.bound});
    for (const PoolBound& p : pools) wanted.push_back({member_of(pools_, p.pool), p.bound});
    std::vector<limits::Member> members;
    if (shares_.reload(total, wanted, members) != limits::Fault::none) return false;
    for (auto* holders : {&listeners_})
        for (auto& [key, holder] : *holders) holder.leaving = true;
    for (auto& [key, holder] : pools_) holder.leaving = true;
    auto member = members.begin();
    for (const ListenerBound& l : listeners) {
        Holder& holder = listeners_[l.name];
        std::size_t old = 0;
        for (const auto& [past, count] : holder.before) old += count;
        if (holder.held > old && !(holder.member == *member))
            holder.before.emplace_back(holder.member, holder.held - old);
        holder.member = *member++;
        holder.leaving = false;
    }
    for (const PoolBound& p : pools) {
        Holder& holder = pools_[p.pool];
        holder.member = *member++;
        holder.connects = p.connects;
        holder.leaving = false;
    }
    std::erase_if(listeners_, [](const auto& h) { return h.second.leaving && h.second.held == 0; });
    std::erase_if(pools_, [](const auto& h) { return h.second.leaving && h.second.held == 0; });
    return true;
}

// Busy; others' idle connections are closed for it where they have to be.
bool Descriptors::take(const limits::Member& member) {
    const auto revoke = [this](const limits::Member& from, limits::Amount amount) {
        for (const auto& [id, holder] : pools_)
            if (holder.member == from) return close_idle_(id, amount);
    };
    return shares_.take_by(member, 1, limits::Holding::busy, revoke).granted();
}

bool Descriptors::enter(const std::string& listener) {
    const auto at = listeners_.find(listener);
    if (at == listeners_.end() || !take(at->second.member)) return false;
    ++at->second.held;
    return true;
}

void Descriptors::leave(const std::string& listener) {
    const auto at = listeners_.find(listener);
    if (at == listeners_.end() || at->second.held == 0) return;
    auto& before = at->second.before;
    shares_.give_back(before.empty() ? at->second.member : before.back().first, 1);
    if (!before.empty() && --before.back().second == 0) before.pop_back();
    if (--at->second.held == 0 && at->second.leaving) listeners_.erase(at);
}

bool Descriptors::open(PoolId pool) {
    const auto at = pools_.find(pool);
    if (at == pools_.end()) return false;
    Holder& holder = at->second;
    if (holder.connects > 0 && holder.connecting >= holder.connects) return false;
    if (!take(holder.member)) return false;
    ++holder.held;
    ++holder.connecting;
    return true;
}

void Descriptors::connected(PoolId pool) {
    const auto at = pools_.find(pool);
    if (at != pools_.end() && at->second.connecting > 0) --at->second.connecting;
}

bool Descriptors::rest(PoolId pool) {
    const auto at = pools_.find(pool);
    return at != pools_.end() && !at->second.leaving && shares_.busy_to_idle(at->second.member, 1);
}

bool Descriptors::reuse(PoolId from, PoolId to) {
    const auto owner = pools_.find(from), taker = pools_.find(to);
    if (owner == pools_.end() || taker == pools_.end()) return false;
    if (from == to) return shares_.idle_to_busy(owner->second.member, 1).granted();
    if (!take(taker->second.member)) return false;
    ++taker->second.held;
    closed(from, true);
    return true;
}

void Descriptors::closed(PoolId pool, bool idle) {
    const auto at = pools_.find(pool);
    if (at == pools_.end() || at->second.held == 0) return;
    shares_.give_back(at->second.member, 1, idle ? limits::Holding::idle : limits::Holding::busy);
    if (--at->second.held == 0 && at->second.leaving) pools_.erase(at);
}

std::size_t Descriptors::held(PoolId pool) const {
    const auto at = pools_.find(pool);
    return at == pools_.end() ? 0 : at->second.held;
}

std::size_t Descriptors::held(const std::string& listener) const {
    const auto at = listeners_.find(listener);
    return at == listeners_.end() ? 0 : at->second.held;
}

}  // namespace whinledge
