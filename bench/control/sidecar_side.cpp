#include "sidecar_side.hpp"

#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "feed/feed.hpp"
#include "feed/feed_relay.hpp"
#include "process.hpp"

namespace whinledge::control_bench {
namespace {

using namespace std::chrono_literals;

constexpr auto kTellEvery = 20ms;  // what was heard meanwhile carries its own times

class Sidecar {
public:
    // `heard`: of a state or a list.
    Sidecar(boost::asio::io_context& io, const Shape& shape, std::size_t i, std::function<void()> heard)
        : client_(io), heard_(std::move(heard)) {
        feed::Feed::Options options;
        options.self.node = std::string("edge-").append(std::to_string(i));
        options.self.zone = zone(i);
        options.self.address = with_port(sidecar_ip(i), shape.port);
        options.self.role = wire::NodeRole::edge;
        options.self.identity = static_cast<std::int64_t>(i + 1);
        for (int seed = 0; seed < kControls; ++seed)
            options.seeds.push_back(with_port(control_ip(seed), shape.port));
        feed_ = std::make_unique<feed::Feed>(io, client_, options);
        relay_ = std::make_unique<feed::FeedRelay>(io, client_, *feed_,
                                                   feed::FeedRelay::Options{options.self, options.seeds});
        feed_->on_state = [this](const wire::RegisterState& state) { hear(state); };
        feed_->on_servers = [this](const wire::ServersList& list) { hear(list); };
        feed_->start();
    }

    bool confirmed() const { return feed_->confirmed() && !feed_->servers().servers.empty(); }
    // What it calls, and what it is called for as a relay, whose names begin with a mark.
    rpc::TrafficByCall traffic() const {
        rpc::TrafficByCall all = client_.traffic();
        for (const auto& [name, traffic] : relay_->traffic()) all["answered " + name] = traffic;
        return all;
    }
    std::uint64_t failed() const { return client_.stats().failed; }

    std::int64_t version = 0, version_at = 0;
    std::size_t draining = 0;
    std::int64_t drained_at = 0;  // when `draining` last rose

private:
    void hear(const wire::RegisterState& state) {
        if (state.version > version) version_at = now_us();
        version = state.version;
        heard_();
    }
    void hear(const wire::ServersList& list) {
        const auto now_draining = static_cast<std::size_t>(
            std::count_if(list.servers.begin(), list.servers.end(),
                          [](const wire::ListedServer& server) { return server.draining; }));
        if (now_draining > draining) drained_at = now_us();
        draining = now_draining;
        heard_();
    }

    rpc::Client client_;
    std::function<void()> heard_;
    std::unique_ptr<feed::Feed> feed_;
    std::unique_ptr<feed::FeedRelay> relay_;
};

std::size_t open_descriptors() {
    const std::filesystem::directory_iterator open("/proc/self/fd");
    return static_cast<std::size_t>(std::distance(begin(open), end(open)));
}

std::uint64_t resident_kb() {
    std::ifstream pages("/proc/self/statm");
    std::uint64_t total = 0, resident = 0;
    pages >> total >> resident;
    return resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE)) / 1024;
}

class Sidecars {
public:
    Sidecars(const Shape& shape, std::size_t process, SidecarSlot& slot)
        : slot_(slot), stall_(io_, slot.stall_us) {
        for (std::size_t i = process; i < shape.sidecars; i += shape.processes)
            all_.push_back(std::make_unique<Sidecar>(io_, shape, i, [this] { heard_ = true; }));
    }

    void run_for(std::chrono::milliseconds duration) {
        const auto until = Steady::now() + duration;
        while (Steady::now() < until) {
            io_.restart();
            io_.run_for(kTellEvery);
            tell();
        }
    }

private:
    void tell() {
        if (slot_.asked != slot_.answered) tell_figures();
        if (slot_.confirmed < all_.size())
            slot_.confirmed = static_cast<std::size_t>(
                std::count_if(all_.begin(), all_.end(), [](const auto& each) { return each->confirmed(); }));
        if (std::exchange(heard_, false)) tell_progress();
    }
    // Each time before the count that it belongs to.
    void tell_progress() {
        std::int64_t least_version = all_.front()->version, version_at = 0;
        std::size_t least_drains = all_.front()->draining, most_drains = 0;
        std::int64_t drains_at = 0, first_drain_at = 0;
        for (const auto& each : all_) {
            least_version = std::min(least_version, each->version);
            version_at = std::max(version_at, each->version_at);
            least_drains = std::min(least_drains, each->draining);
            most_drains = std::max(most_drains, each->draining);
            drains_at = std::max(drains_at, each->drained_at);
        }
        for (const auto& each : all_) {
            if (each->draining < most_drains) continue;
            if (first_drain_at == 0 || each->drained_at < first_drain_at) first_drain_at = each->drained_at;
        }
        slot_.version_at = version_at;
        slot_.least_version = least_version;
        slot_.first_drain_at = first_drain_at;
        slot_.drains_at = drains_at;
        slot_.least_drains = least_drains;
    }
    void tell_figures() {
        const std::uint64_t asked = slot_.asked;
        rpc::TrafficByCall sum;
        Figures figures;
        for (const auto& sidecar : all_) {
            figures.failed_calls += sidecar->failed();
            for (const auto& [name, traffic] : sidecar->traffic()) {
                sum[name].calls += traffic.calls;
                sum[name].bytes_out += traffic.bytes_out;
                sum[name].bytes_in += traffic.bytes_in;
            }
        }
        for (const auto& [name, traffic] : sum) {
            if (figures.call_names == kMostCalls) break;
            CallTraffic& call = figures.calls[figures.call_names++];
            std::snprintf(call.name.data(), call.name.size(), "%s", name.c_str());
            call.traffic = traffic;
        }
        figures.processor_ms = processor_ms();
        figures.resident_kb = resident_kb();
        figures.descriptors = open_descriptors();
        slot_.figures = figures;
        slot_.answered = asked;
    }

    SidecarSlot& slot_;
    boost::asio::io_context io_;
    const Stall stall_;
    bool heard_ = false;
    std::vector<std::unique_ptr<Sidecar>> all_;
};

}  // namespace

void run_sidecars(const Shape& shape, std::size_t process, SidecarSlot& slot) {
    const pid_t parent = ::getppid();
    Sidecars sidecars(shape, process, slot);
    while (::getppid() == parent) sidecars.run_for(100ms);
    std::_Exit(0);
}

}  // namespace whinledge::control_bench
