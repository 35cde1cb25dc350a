#include "app/sidecar.hpp"

#include <algorithm>
#include <utility>

#include "app/own_limit.hpp"

namespace whinledge {

namespace asio = boost::asio;

namespace {

// Of the descriptors allowed: some for files, discovery, peers and the listener, the rest shared evenly
// between clients and servers, each of which may need one for a request.
constexpr std::size_t kOtherSockets = 24;
// The same beside what is open already as the sidecar is made.
constexpr std::size_t kToCome = 16;

// What the process is told that it may hold, or what its own limit leaves.
std::size_t half(std::size_t sockets) {
    const std::size_t left = std::min(less(sockets, kOtherSockets), descriptors_left(kToCome));
    return std::max<std::size_t>(8, left) / 2;
}

constexpr Millis kIdleMargin = 0.07;  // of idle-close-ms: closed by us before the server does
// As kSettle, before one that must never be given another's answer: longer than any delay of our
// acknowledgement (200 ms on Linux), which could keep a copy of the last answer on the other side, and 50 ms
// of network.
constexpr Millis kSettleCareful = 250;
// After a reused connection broke: longer than servers that close idle ones unseen take to show it again.
constexpr Millis kDoubt = 10000;

Pool::Options options(const Config& config) {
    Pool::Options options;
    options.name = "platform";
    options.decisions = config.site.settings;
    options.seed = config.seed;
    options.may_probe = config.may_probe;
    options.zones = config.site.zones;
    options.kinds = config.site.kinds;
    return options;
}

}  // namespace

Sidecar::Sidecar(asio::io_context& io, Config config, const TimeSource& clients)
    : config_(std::move(config)),
      wake_(io, clock_, [this] { engine_.run_due(); }),
      transport_(io, log_,
                 {config_.connect_timeout, config_.idle_close * (1 - kIdleMargin), half(config_.sockets),
                  kSettle, kSettleCareful, kDoubt},
                 nullptr, [this] { return front_ && front_->door().let_go(); }),
      engine_(clock_,
              {[this](Millis at) { wake_.at(at); }, [this](const std::string& line) { log_.line(line); }}),
      pool_(
          &engine_.add_pool(options(config_), transport_, nullptr,
                            {[this](std::optional<std::uint32_t> to, const std::vector<std::uint8_t>& bytes) {
                                 if (peers_) peers_->tell(to, bytes);
                             },
                             [this](bool active) { discovery_->watch(active); },
                             [this] { discovery_->fetch(); },
                             {}})) {
    const bool asked = config_.site.settings.list_on_request;
    discovery_.emplace(io, log_, config_.discovery, config_.known.version, !asked,
                       Discovery::Callbacks{[this](const MemberList& list) { pool_->members(list); },
                                            [this] { pool_->members_failed(); },
                                            [this] { return front_ && front_->door().let_go(); }});
    if (config_.may_tell && config_.peer_listen)
        peers_.emplace(io, log_, *config_.peer_listen, config_.peers, config_.peers_all,
                       [this](std::uint32_t from, std::vector<std::uint8_t> bytes) {
                           pool_->peer_message(from, std::move(bytes));
                       });
    pool_->start();
    pool_->members(config_.known, true);
    if (!asked) discovery_->watch(true);
    front_.emplace(io, config_.listen, half(config_.sockets),
                   Front::Callbacks{[this](const auto&) {
                                        return Front::Place{&config_.site, pool_};
                                    },
                                    {},
                                    [this] {
                                        if (drained_) std::exchange(drained_, nullptr)();
                                    },
                                    [this](const std::string& line) { log_.line(line); }},
                   Door::Budget{}, clients);
}

void Sidecar::drain(std::function<void()> done, Millis accepting) {
    if (drained_) return;
    drained_ = std::move(done);
    front_->drain(accepting);
}

void Sidecar::hurry() {
    if (!drained_) return;
    front_->hurry();
    engine_.hurry();
}

void Sidecar::reload(const Config& config) { discovery_->move(config.discovery); }

}  // namespace whinledge
