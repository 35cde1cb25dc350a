#include "storage_plane/shared_loads.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace whinledge::storage_plane {

namespace {

constexpr std::int32_t kMostRequests = 1 << 16;  // of one proxy at one server that are believed

}  // namespace

void SharedLoads::told(const wire::LoadReport& report, double now_ms) {
    forget_old(now_ms);
    if (const auto known = by_proxy_.find(report.proxy); known != by_proxy_.end()) {
        if (report.number <= known->second->number) return;
        forget(known->second);
    }
    Report taken;
    taken.proxy = report.proxy;
    taken.number = report.number;
    taken.told_ms = now_ms;
    for (const wire::ServerRequests& at : report.under_way) {
        if (taken.under_way.size() >= options_.most_servers) break;
        if (at.requests > 0) taken.under_way.emplace(at.server, std::min(at.requests, kMostRequests));
    }
    for (const auto& [server, requests] : taken.under_way) requests_[server] += requests;
    told_ms_sum_ += now_ms;
    reports_.push_back(std::move(taken));
    by_proxy_[report.proxy] = std::prev(reports_.end());
    if (reports_.size() > options_.most_proxies) forget(reports_.begin());
}

std::vector<std::int32_t> SharedLoads::others(const wire::LoadReport& report, double now_ms) {
    forget_old(now_ms);
    const auto own = by_proxy_.find(report.proxy);
    std::vector<std::int32_t> others;
    for (const std::int32_t server : report.asked) {
        if (others.size() >= options_.most_servers) break;
        const auto all = requests_.find(server);
        std::int32_t requests = all == requests_.end() ? 0 : all->second;
        if (own != by_proxy_.end())
            if (const auto ours = own->second->under_way.find(server); ours != own->second->under_way.end())
                requests -= ours->second;
        others.push_back(requests);
    }
    return others;
}

double SharedLoads::mean_age_ms(double now_ms) {
    forget_old(now_ms);
    if (reports_.empty()) return 0;
    return std::max(0.0, now_ms - told_ms_sum_ / static_cast<double>(reports_.size()));
}

void SharedLoads::forget_old(double now_ms) {
    while (!reports_.empty() && now_ms - reports_.front().told_ms > options_.memory_ms)
        forget(reports_.begin());
}

void SharedLoads::forget(Reports::iterator report) {
    withdraw(*report);
    told_ms_sum_ -= report->told_ms;
    by_proxy_.erase(report->proxy);
    reports_.erase(report);
}

void SharedLoads::withdraw(const Report& report) {
    for (const auto& [server, requests] : report.under_way) {
        const auto all = requests_.find(server);
        if ((all->second -= requests) <= 0) requests_.erase(all);
    }
}

}  // namespace whinledge::storage_plane
