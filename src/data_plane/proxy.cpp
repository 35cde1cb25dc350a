#include "data_plane/proxy.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <cmath>
#include <sstream>
#include <utility>

#include "io/address.hpp"
#include "placement/mechanisms.hpp"

namespace whinledge::data_plane {

namespace asio = boost::asio;

namespace {

// Of the platform's list, as far as is known before it has been read here.
constexpr double kServersOnAPage = 50;
constexpr Millis kListLook = 100, kListLookLater = 500;  // between looks whether the list has to be read here
constexpr std::size_t kDescriptorsForFiles = 200;        // of openFiles, which sockets can't have
constexpr std::size_t kOtherSockets = 80;  // to control and storage processes and the overlay, and listeners
constexpr std::size_t kLeastSockets = 64;
constexpr Millis kConnectTimeout = 400;
constexpr Millis kIdle = 10000;  // connections to servers, where they tell nothing themselves
constexpr Millis kSettle = 0;    // the Try-Id of an answer shows whose it is
constexpr Millis kSettleCareful = 5;
constexpr Millis kDoubt = 5000;        // after a reused connection broke
constexpr Millis kUserTimeout = 2000;  // of servers that acknowledge nothing
// After SIGTERM: the platform sends new connections until it has missed two answers, a second apart.
constexpr Millis kStillAccepting = 2600;
constexpr double kAcceptingShare = 0.4;  // of the grace, at most
// Of the time within which a bad version gets no more: how long a permit to try it holds.
constexpr double kPermitPart = 0.4;
constexpr double kHurryShare = 0.9;  // of the grace: whatever is left then fails

std::size_t half_of_sockets(const node::Settings& settings) {
    const auto files = static_cast<std::size_t>(std::max<std::int64_t>(0, settings.open_files));
    const std::size_t others = kDescriptorsForFiles + kOtherSockets;
    return std::max(kLeastSockets, files > others ? files - others : 0) / 2;
}

Upstream::Limits upstream_limits(const node::Settings& settings) {
    Upstream::Limits limits;
    limits.connect_timeout = kConnectTimeout;
    limits.idle = kIdle;
    limits.connections = half_of_sockets(settings);
    limits.settle = kSettle;
    limits.settle_careful = kSettleCareful;
    limits.doubt = kDoubt;
    limits.user_timeout = kUserTimeout;
    limits.heed_keep_alive = true;
    return limits;
}

feed::Feed::Options feed_options(const node::Settings& settings, std::int64_t identity) {
    feed::Feed::Options options;
    options.self.node = settings.node;
    options.self.zone = settings.zone;
    options.self.address = settings.rpc_address();
    options.self.role = wire::NodeRole::edge;
    options.self.identity = identity;
    options.self.started_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                                  std::chrono::system_clock::now().time_since_epoch())
                                  .count();
    options.seeds = settings.seed_rpc_addresses();
    return options;
}

feed::FeedRelay::Options relay_options(const node::Settings& settings) {
    const feed::Feed::Options options = feed_options(settings, 0);
    return {options.self, options.seeds};
}

placement::AdmissionSettings admission_settings(const node::Settings& settings) {
    placement::AdmissionSettings admission;
    admission.on = settings.bound_programs;
    return admission;
}

placement::Mechanisms mechanisms_of(const node::Settings& settings) {
    const auto mechanisms = placement::all_without(settings.decide_without);
    return mechanisms ? mechanisms.value() : placement::Mechanisms();
}

RolloutRules rollout_rules(const node::Settings& settings) {
    RolloutRules rules;
    const auto& parts = settings.rule_parts;
    rules.by_order = std::find(parts.begin(), parts.end(), "rollout") != parts.end();
    if (settings.bad_share > 0) rules.bad_share = settings.bad_share;
    if (settings.undo_ms > 0) rules.permit_holds = kPermitPart * static_cast<Millis>(settings.undo_ms);
    return rules;
}

Door::Tcp::endpoint endpoint(const std::string& address) { return endpoint_of<asio::ip::tcp>(address); }

}  // namespace

class Proxy::Turns final : public TurnStore {
public:
    explicit Turns(storage_plane::TurnClient& client) : client_(client) {}
    void begin(const storage_plane::TurnStart& turn, Millis timeout,
               std::function<void(storage_plane::BegunTurn)> done) override {
        client_.begin(turn, timeout, std::move(done));
    }
    void end(const storage_plane::TurnEnd& turn, Millis timeout,
             std::function<void(bool durable)> done) override {
        client_.end(turn, timeout, std::move(done));
    }

private:
    storage_plane::TurnClient& client_;
};

std::optional<std::string> Proxy::fault(const node::Settings& settings) {
    const auto mechanisms = placement::all_without(settings.decide_without);
    if (mechanisms) return std::nullopt;
    return "'decisions.without': " + mechanisms.error().message;
}

Proxy::Proxy(asio::io_context& io, const node::Settings& settings)
    : io_(io),
      settings_(settings),
      random_(std::random_device()()),
      wake_(io, clock_, [this] { engine_.run_due(); }),
      transport_(io, log_, upstream_limits(settings), nullptr,
                 [this] { return ingress_ && ingress_->door().let_go(); }),
      engine_(clock_,
              {[this](Millis at) { wake_.at(at); }, [this](const std::string& line) { log_.line(line); }}),
      pools_(engine_, transport_, pool_options()),
      proxy_count_(clock_.now()),
      rpc_(io),
      feed_(io, rpc_, feed_options(settings, static_cast<std::int64_t>(random_() >> 1))),
      relay_(io, rpc_, feed_, relay_options(settings)),
      openings_(io, rpc_, openings_options()),
      rollouts_(io, rpc_, rollout_options()),
      turn_client_(io, rpc_, turn_options()),
      turns_(std::make_unique<Turns>(turn_client_)),
      host_{clock_, pools_, *turns_, [this] { return std::uniform_real_distribution<double>()(random_); },
            [this](const std::string& server) {
                asio::post(io_, [this, server] {
                    ++host_.counters.wrong_server;
                    pools_.replaced(server);
                });
            }},
      list_client_(io, settings.list_address),
      list_pace_(clock_.now(), host_.draw),
      list_timer_(io),
      terminate_timer_(io) {
    feed_.on_state = [this](const wire::RegisterState& state) { apply(state); };
    feed_.on_servers = [this](const wire::ServersList& list) { pools_.set_servers(list); };
    feed_.on_proxies = [this](std::size_t proxies) {
        proxy_count_.told(proxies, clock_.now());
        pools_.set_sharers(proxy_count_.sharers(clock_.now()));
    };
    readiness_.emplace(io, endpoint(settings.readiness_address), [this] { return is_ready(); });
    Ingress::Options options;
    options.listen = endpoint(settings.public_address);
    options.places = half_of_sockets(settings);
    ingress_.emplace(
        io, std::move(options), host_, [this] { return in_force_; }, [this] { end(); });
    feed_.start();
    openings_.set_on(settings.share_openings);
    if (!settings.list_address.empty()) watch_list();
}

ServicePools::Options Proxy::pool_options() {
    ServicePools::Options options;
    options.zone = settings_.zone;
    options.seed = random_();
    options.admission = admission_settings(settings_);
    options.mechanisms = mechanisms_of(settings_);
    options.rollouts = rollout_rules(settings_);
    if (!settings_.shared_connections) return options;
    options.limit_connections = [this](PoolId pool, std::size_t each_server) {
        transport_.upstream().limit_connections(pool, each_server);
    };
    return options;
}

storage_plane::TurnClient::Options Proxy::turn_options() {
    storage_plane::TurnClient::Options options;
    options.zone = settings_.zone;
    options.survive = settings_.survive();
    if (!settings_.share_loads) return options;
    options.load = [this](bool asks) { return pools_.load_report(asks); };
    options.loads_told = [this](const storage_plane::ToldLoads& told) { pools_.loads_told(told); };
    return options;
}

OpeningsShare::Options Proxy::openings_options() {
    OpeningsShare::Options options;
    options.node = random_();
    options.zone = settings_.zone;
    options.controls = [this] { return feed_.controls(); };
    options.seen = [this] { return pools_.busiest_openings(); };
    options.shared = [this](const openings::Traffic& sum) { pools_.set_shared_openings(sum); };
    return options;
}

RolloutShare::Options Proxy::rollout_options() {
    RolloutShare::Options options;
    options.node = random_();
    options.zone = settings_.zone;
    options.controls = [this] { return feed_.controls(); };
    options.reports = [this, node = options.node] {
        return pools_.rollout_reports(static_cast<std::int64_t>(node >> 1));
    };
    options.heard = [this](std::int64_t number, const wire::RolloutReportReply& reply) {
        pools_.rollout_reply(number, reply);
    };
    return options;
}

// The snapshot in force is swapped whole; requests under way keep theirs.
void Proxy::apply(const wire::RegisterState& state) {
    turn_client_.set_map(state.storage);
    pools_.set_rollouts(state.rollouts);
    rollouts_.wake();
    if (state.version == 0 || (in_force_ && in_force_->version == state.version)) return;
    auto parsed = serving::parse_configuration(state.configuration);
    if (!parsed) {
        LOG(ERROR) << "configuration " << state.version
                   << " can't be read, the one before stays in force: " << parsed.error().message;
        return;
    }
    in_force_ = std::move(parsed.value());
    pools_.configure(*in_force_);
    LOG(INFO) << "configuration " << in_force_->version << " is in force";
    rollouts_.wake();
    if (ingress_) ingress_->configured();
}

bool Proxy::has_list() const {
    const wire::ServersList& list = feed_.servers();
    return own_readings_ > 0 || list.term > 0 || list.sequence > 0;
}

ListSituation Proxy::list_situation() const {
    ListSituation situation;
    situation.configured = feed_.confirmed() && in_force_;
    situation.has_list = has_list();
    situation.silence = feed_.list_silence_ms();
    const double pages = std::ceil(static_cast<double>(feed_.servers().servers.size()) / kServersOnAPage);
    const double calls = std::max({1.0, pages, static_cast<double>(own_reading_calls_)});
    situation.reading_cost = calls * 1000 / std::max(settings_.list_calls_per_second, 1.0);
    return situation;
}

void Proxy::watch_list() {
    const ListSituation situation = list_situation();
    const bool others_read = situation.has_list && situation.silence <= ListPace::kSilence;
    if (list_client_.busy() && others_read) list_client_.cancel();
    if (!list_client_.busy() && list_pace_.due(clock_.now(), situation)) read_list();
    list_timer_.after(span(has_list() ? kListLookLater : kListLook), [this] { watch_list(); });
}

void Proxy::read_list() {
    list_client_.fetch([this](feed::ListResult<feed::ServersListClient::Reading> reading) {
        list_pace_.ended(clock_.now(), reading.has_value(), list_situation().reading_cost);
        if (!reading) {
            ++own_failures_;
            return;
        }
        // A reader that has come meanwhile read it later, or will soon.
        if (has_list() && feed_.list_silence_ms() <= ListPace::kSilence) return;
        own_reading_calls_ = reading.value().calls;
        if (own_readings_++ == 0)
            LOG(INFO) << "nobody is heard of who reads the servers list: it was read here";
        wire::ServersList list;
        list.servers = std::move(reading.value().servers);
        pools_.set_servers(list);
    });
}

bool Proxy::is_ready() const { return !terminating_ && feed_.confirmed() && in_force_ && has_list(); }

void Proxy::change(const node::Settings& settings) {
    if (settings.seed_nodes != settings_.seed_nodes) {
        feed_.set_seeds(settings.seed_rpc_addresses());
        relay_.set_seeds(settings.seed_rpc_addresses());
    }
    if (settings.bound_programs != settings_.bound_programs)
        pools_.set_admission(admission_settings(settings));
    pools_.set_mechanisms(mechanisms_of(settings));
    openings_.set_on(settings.share_openings);
    settings_ = settings;
}

void Proxy::terminate(std::function<void()> done) {
    if (std::exchange(terminating_, true)) return;
    terminated_ = std::move(done);
    const Millis grace = settings_.grace_s * 1000;
    const Millis accepting = grace > 0 ? std::min(kStillAccepting, kAcceptingShare * grace) : kStillAccepting;
    LOG(INFO) << "terminating: " << engine_.open() << " requests are open";
    ingress_->door().drain(accepting);
    if (grace <= 0) return;
    terminate_timer_.after(span(kHurryShare * grace), [this] {
        LOG(WARNING) << "the grace is nearly over: " << engine_.open() << " requests fail";
        ingress_->door().hurry();
        engine_.hurry();
    });
}

void Proxy::end() {
    terminate_timer_.cancel();
    if (terminated_) std::exchange(terminated_, nullptr)();
}

std::string Proxy::counters() const {
    const ExchangeCounters& e = host_.counters;
    const Ingress::Counters& i = ingress_->counters();
    std::ostringstream text;
    text << "taken=" << e.taken << " served=" << e.served << " refused=" << e.refused
         << " failed=" << e.failed << " left=" << e.left << " gave_up_silence=" << e.gave_up_silence
         << " no_route=" << i.no_route << " no_configuration=" << i.no_configuration
         << " rejected=" << i.rejected << " closed_unanswered=" << i.closed_unanswered
         << " closed_within_answer=" << i.closed_within_answer << " wrong_server=" << e.wrong_server
         << " foreign_answers=" << e.foreign_answers << " put_off=" << e.put_off << " turns=" << e.turns
         << " turns_refused=" << e.turns_refused << " turns_not_durable=" << e.turns_not_durable
         << " first_event_ms=" << host_.times.first_event.summary()
         << " turn_begun_ms=" << host_.times.turn_begun.summary()
         << " turn_ended_ms=" << host_.times.turn_ended.summary() << " own_list_readings=" << own_readings_
         << " own_list_failures=" << own_failures_ << " version=" << (in_force_ ? in_force_->version : 0)
         << " pools: " << pools_.counters() << " feed: " << feed_.counters()
         << " overlay: " << relay_.counters() << " " << openings_.counters() << " " << rollouts_.counters()
         << " turns: " << turn_client_.counters() << " rpc: calls=" << rpc_.stats().calls
         << " failed=" << rpc_.stats().failed << " unreadable=" << rpc_.stats().unreadable
         << " bytes_out=" << rpc_.stats().bytes_out << " bytes_in=" << rpc_.stats().bytes_in
         << " upstream: open=" << transport_.upstream().stats().open
         << " opened=" << transport_.upstream().stats().opened
         << " most_at_server=" << transport_.upstream().stats().most_at_server
         << " over_limit=" << transport_.upstream().stats().over_limit
         << " shed=" << transport_.upstream().stats().shed
         << " proxies=" << proxy_count_.sharers(clock_.now()).proxies;
    return text.str();
}

}  // namespace whinledge::data_plane
