#include "openings/merger.hpp"

#include <cmath>
#include <limits>
#include <utility>

namespace whinledge::openings {

namespace {

constexpr Millis kLongAgo = -std::numeric_limits<Millis>::infinity();

}  // namespace

Merger::Merger(std::uint64_t source, Options options)
    : source_(source),
      options_(options),
      nodes_(options.holds, options.most_nodes),
      sources_(options.holds, options.most_sources),
      refreshed_at_(kLongAgo),
      subtotal_at_(kLongAgo) {}

void Merger::told(std::uint64_t node, std::uint64_t sequence, Traffic seen, Millis now) {
    const auto taken = nodes_.take(node, sequence, std::move(seen), now);
    if (taken == NewestParts::Taken::newcomer && newcomers_.size() < options_.most_newcomers)
        newcomers_[node] = now + options_.newcomer_for;
}

void Merger::heard(const Subtotal& subtotal, Millis now) {
    if (subtotal.source == source_) return;
    if (sources_.take(subtotal.source, subtotal.sequence, subtotal.traffic, now) == NewestParts::Taken::no)
        return;
    for (const Newcomer& newcomer : subtotal.newcomers) {
        if (nodes_.sequence_of(newcomer.node) >= newcomer.sequence) continue;
        nodes_.drop_older(newcomer.node, newcomer.sequence);
        newcomers_.erase(newcomer.node);
    }
}

std::optional<Subtotal> Merger::subtotal(Millis now) {
    if (now - subtotal_at_ < options_.pace) return std::nullopt;
    nodes_.expire(now);
    std::erase_if(newcomers_, [&](const auto& each) { return each.second <= now; });
    TrafficSum sum;
    nodes_.add_to(sum);
    Traffic traffic = sum.heaviest(kMostSubtotalOpenings);
    if (traffic.empty() && told_.empty()) return std::nullopt;
    if (now - subtotal_at_ < options_.retold && !differs(told_, traffic)) return std::nullopt;
    subtotal_at_ = now;
    told_ = traffic;
    Subtotal subtotal{source_, ++sequence_, std::move(traffic), {}};
    for (const auto& [node, until] : newcomers_)
        subtotal.newcomers.push_back({node, nodes_.sequence_of(node)});
    return subtotal;
}

const Traffic& Merger::sum(Millis now) {
    if (now - refreshed_at_ >= options_.pace) refresh(now);
    return sum_;
}

void Merger::refresh(Millis now) {
    refreshed_at_ = now;
    nodes_.expire(now);
    sources_.expire(now);
    TrafficSum sum;
    nodes_.add_to(sum);
    sources_.add_to(sum);
    Traffic fresh = sum.heaviest(kMostSummedOpenings);
    if (differs(sum_, fresh)) {
        sum_ = std::move(fresh);
        ++version_;
    }
    follow_trends(now);
}

void Merger::follow_trends(Millis now) {
    const double kept = std::exp((trends_at_ - now) / options_.trend_memory);
    trends_at_ = now;
    std::map<std::pair<std::string, std::uint64_t>, double> next;
    for (const ServiceTraffic& service : sum_)
        for (const Opening& opening : service.openings) {
            const auto key = std::make_pair(service.service, opening.key);
            const auto former = former_rates_.find(key);
            const double before = former == former_rates_.end() ? 0 : former->second;
            next[key] = before * kept + opening.rate * (1 - kept);
        }
    former_rates_ = std::move(next);
}

std::vector<OpeningView> Merger::views(Millis now) {
    std::vector<OpeningView> views;
    for (const ServiceTraffic& service : sum(now))
        for (const Opening& opening : service.openings) {
            const auto former = former_rates_.find({service.service, opening.key});
            const double before = former == former_rates_.end() ? 0 : former->second;
            views.push_back({service.service, opening, opening.rate / service.rate, opening.rate - before});
        }
    return views;
}

}  // namespace whinledge::openings
