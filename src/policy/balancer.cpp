// The interface over the decisions: each event goes to its handler, with what is due before and after it.
#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <utility>

#include "policy/balancer_impl.hpp"

namespace kestrelhall {

Balancer::Impl::Impl(Settings s, std::uint64_t seed) : settings(std::move(s)), random(seed) {
    validate(settings);
    for (const RequestClass& c : settings.classes) top_worth = std::max(top_worth, c.worth);
    totals.open.resize(settings.classes.size() + 1);
    asked_at.resize(totals.open.size(), -4 * kRest);
    number = settings.number ? *settings.number : static_cast<double>(random.below(1U << 20));
}

Balancer::Balancer(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::handle(Millis now, const Event& event, std::vector<Action>& actions) {
    impl_->now = std::max(impl_->now, now);
    impl_->actions = &actions;
    if (impl_->stale) impl_->index();
    impl_->warm_up();
    std::visit([this](const auto& e) { impl_->on(e); }, event);
    impl_->forget_done();
}

Balancer::Held Balancer::held() const {
    const Impl& i = *impl_;
    std::size_t notes = i.took.size() + i.kind_pace.size() + i.place_pace.size();
    for (const auto& [id, s] : i.servers) notes += s.shunned_until.size();
    return {i.requests.size(), i.servers.size(), i.timers.size(), i.held.size(), notes, i.used.size()};
}

std::uint64_t Balancer::looked() const { return impl_->looked; }

bool Balancer::sums_agree() const {
    const Impl& i = *impl_;
    std::map<KindId, double> carried;
    for (const Server* s : i.fleet)
        if (s->warm) carried[s->info.kind] += s->carried.at_time(i.now, kRateMemory);
    const auto agrees = [&](const auto& kept) {
        const double sum = kept.second.at_time(i.now, kRateMemory), now = carried[kept.first];
        return std::abs(sum - now) <= 1e-6 * std::max(1.0, now);
    };
    return i.totals == i.pass() && std::all_of(i.carried.begin(), i.carried.end(), agrees) &&
           std::all_of(carried.begin(), carried.end(),
                       [&](const auto& c) { return c.second == 0 || i.carried.contains(c.first); });
}

}  // namespace kestrelhall
