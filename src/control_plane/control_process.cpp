#include "control_plane/control_process.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>
#include <utility>

#include "control_plane/json_text.hpp"
#include "control_plane/rollout_order.hpp"
#include "control_plane/unborne_losses.hpp"
#include "feed/watch.hpp"
#include "io/address.hpp"
#include "io/loop_watch.hpp"
#include "storage_map/ledger_placement.hpp"

namespace whinledge::control_plane {
namespace {

using Json = nlohmann::json;
using StateResult = consensus::RegisterResult<wire::RegisterState>;

// Between looks at leases and duties; drawn anew each time, so that two processes don't ask in step again and
// again.
constexpr Span kShortestTick{100}, kLongestTick{160};
constexpr Span kHelloEvery{1000};
constexpr Span kHelloTimeout{800};
constexpr Span kPresent{3000};
constexpr Span kForgetAfter{60000};
constexpr Span kReadTimeout{700};
constexpr Span kChangeTimeout{1500};
constexpr Span kLongestEnd{2000};
constexpr Span kEndTick{20};
// Edge processes heard of from which on they are asked to use the overlay. That holds until this process
// ends, as each of them then watches fewer control processes.
constexpr std::size_t kMostDirectWatchers = 128;

Instant now() { return std::chrono::steady_clock::now(); }

std::int64_t unix_ms() {
    return std::chrono::duration_cast<Span>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::int64_t draw_identity() {
    std::random_device random;
    const auto high = static_cast<std::uint64_t>(random());
    return static_cast<std::int64_t>(((high << 32 | random()) >> 1) | 1);
}

wire::NodeInfo node_info(const node::Settings& settings) {
    wire::NodeInfo info;
    info.node = settings.node;
    info.zone = settings.zone;
    if (const auto region = settings.told_region()) info.__set_region(*region);
    info.address = settings.rpc_address();
    info.role = wire::NodeRole::control;
    info.started_ms = unix_ms();
    return info;
}

consensus::RegisterService::Options register_options(const node::Settings& settings,
                                                     const wire::NodeInfo& self,
                                                     const consensus::RegisterService::WrapLog& wrap_log) {
    consensus::RegisterService::Options options;
    options.self = self;
    options.data_folder = settings.data_folder;
    options.first_boot = settings.first_boot;
    options.seeds = settings.seed_rpc_addresses();
    options.survive = settings.survive();
    options.wrap_log = wrap_log;
    return options;
}

const char* storage_state_name(std::int32_t state) {
    switch (state) {
        case wire::StorageState::joining:
            return "joining";
        case wire::StorageState::member:
            return "member";
        default:
            return "retiring";
    }
}

const char* name_of(wire::NodeRole::type role) {
    switch (role) {
        case wire::NodeRole::edge:
            return "edge";
        case wire::NodeRole::control:
            return "control";
        default:
            return "storage";
    }
}

std::string hex(std::uint64_t key) {
    std::ostringstream digits;
    digits << std::hex << std::setw(16) << std::setfill('0') << key;
    return digits.str();
}

// To two places, for people.
double rounded(double figure) { return std::round(figure * 100) / 100; }

// Of the loop of this process; null: it has no watch.
Json loop_fields() {
    const LoopWatch* const watch = LoopWatch::current();
    if (!watch) return nullptr;
    return {{"stalls", watch->stalls()}, {"longestMs", watch->longest().count()}};
}

// Of a row of the page of replicas; null where the process has not been heard of, or does not tell.
Json progress_fields(const Heard* heard, Instant at) {
    Json fields{{"heardMsAgo", nullptr}};
    for (const char* const name : {"voting", "heldTurns", "heldBytes", "lackingTurns", "unfollowedMembers",
                                   "repairTakenBytes", "repairGivenBytes", "repairPacedReplies"})
        fields[name] = nullptr;
    if (!heard) return fields;
    fields["heardMsAgo"] = std::chrono::duration_cast<Span>(at - heard->last).count();
    if (!heard->storage_progress) return fields;
    const wire::StorageProgress& progress = *heard->storage_progress;
    fields["voting"] = progress.voting;
    fields["heldTurns"] = progress.held_turns;
    fields["heldBytes"] = progress.held_bytes;
    fields["lackingTurns"] = progress.lacking_turns;
    fields["unfollowedMembers"] = progress.unfollowed_members;
    fields["repairTakenBytes"] = progress.taken_bytes;
    fields["repairGivenBytes"] = progress.given_bytes;
    fields["repairPacedReplies"] = progress.paced_replies;
    return fields;
}

}  // namespace

ControlProcess::ControlProcess(boost::asio::io_context& io, const node::Settings& settings,
                               const consensus::RegisterService::WrapLog& wrap_log)
    : io_(io),
      self_(node_info(settings)),
      seeds_(settings.seed_rpc_addresses()),
      client_(io),
      server_(io, endpoint_of<Tcp>(settings.rpc_address())),
      register_(io, client_, server_, register_options(settings, self_, wrap_log)),
      leases_(client_, server_,
              LeaseService::Options{draw_identity(), settings.node, settings.first_boot,
                                    [this] {
                                        LeaseVoters voters{register_.epoch(), {}};
                                        for (const wire::Acceptor& acceptor : register_.acceptors())
                                            voters.addresses.push_back(acceptor.address);
                                        return voters;
                                    },
                                    [this] { return register_.epoch_ends(); }}),
      list_reader_(
          io, client_, server_, leases_,
          ServersListReader::Options{settings.node, settings.list_address, settings.list_calls_per_second,
                                     [this] { return other_controls(); },
                                     [this] {
                                         overlay_.publish(list_reader_.list());
                                         watches_.changed();
                                     }}),
      watches_(io, server_, watch_source()),
      overlay_(io, client_, server_, overlay::OverlayService::Options{self_, seeds_}),
      reconciler_([&] {
          StorageMapReconciler::Options options;
          options.survive = settings.survive();
          options.ledger_group = storage_map::ledger_group_size(settings.survive().most());
          return options;
      }()),
      survive_(settings.survive()),
      openings_(io, client_, server_,
                OpeningsService::Options{static_cast<std::uint64_t>(draw_identity()),
                                         [this] { return other_controls(); }}),
      rollouts_(
          io, client_, server_, register_, leases_,
          RolloutService::Options{settings.node, settings.bad_share, [this] { return other_controls(); },
                                  [this] { return live_proxies().value_or(0); }}),
      api_(register_,
           [&] {
               OperatorApi::Options options = api_options();
               options.survive = settings.survive();
               return options;
           }()),
      timer_(io) {
    self_.identity = register_.identity();
    register_.on_chosen = [this](const wire::RegisterState& state) {
        publish(state);
        watches_.changed();
        rollouts_.follow(state);
    };
    server_.on<wire::HelloRequest, wire::HelloReply>(
        kHello, [this, alive = std::weak_ptr<int>(alive_)](const wire::HelloRequest& hello,
                                                           rpc::Server::Responder<wire::HelloReply> respond) {
            if (alive.expired()) return;
            hear_hello(hello);
            wire::HelloReply reply;
            reply.protocol = 1;
            reply.who = self_;
            reply.controls = present_controls();
            respond(reply);
        });
    if (!settings.control_address.empty())
        http_.emplace(io, endpoint_of<Tcp>(settings.control_address),
                      [this](HttpRequest request, HttpServer::Respond respond) {
                          api_.handle(std::move(request), std::move(respond));
                      });
    leases_.seek(kStorageMapLease);
    leases_.seek(kRolloutsLease);
    if (!settings.list_address.empty()) leases_.seek(kServersListLease);
}

ControlProcess::~ControlProcess() { alive_.reset(); }

void ControlProcess::start() {
    list_reader_.start();
    tick();
}

void ControlProcess::set_seeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }

void ControlProcess::tick_after(Span delay) {
    timer_.after(delay, [this] { tick(); });
}

void ControlProcess::tick() {
    const Instant at = now();
    if (at >= hello_due_) {
        hello_due_ = at + kHelloEvery;
        membership_.forget(at, kForgetAfter);
        watching_proxies_ = membership_.count_of_role(wire::NodeRole::edge, at, ProxyCensus::kRemembered);
        say_hello();
        register_.set_present(present_controls());
        reconcile_overlay();
        tell_unborne_losses();
    }
    leases_.tick();
    reconciler_.observe(register_.known(), membership_.storages(), at);
    if (leases_.held(kStorageMapLease)) reconcile_storage();
    tick_after(
        Span(std::uniform_int_distribution<long>(kShortestTick.count(), kLongestTick.count())(random_)));
}

// Control processes that are worth a word: those heard of, the seeds and the acceptors.
std::vector<std::string> ControlProcess::other_controls() const {
    std::vector<std::string> addresses = seeds_;
    for (const Heard& heard : membership_.of_role(wire::NodeRole::control, now(), kForgetAfter))
        addresses.push_back(heard.info.address);
    for (const wire::Acceptor& acceptor : register_.acceptors()) addresses.push_back(acceptor.address);
    std::sort(addresses.begin(), addresses.end());
    addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
    std::erase(addresses, self_.address);
    std::erase(addresses, std::string());
    return addresses;
}

std::vector<wire::NodeInfo> ControlProcess::present_controls() const {
    std::vector<wire::NodeInfo> present{self_};
    for (const Heard& heard : membership_.of_role(wire::NodeRole::control, now(), kPresent))
        if (heard.info.address != self_.address) present.push_back(heard.info);
    return present;
}

void ControlProcess::say_hello() {
    wire::HelloRequest hello;
    hello.protocol = 1;
    hello.who = self_;
    hello.storages = membership_.seen_storages(now(), kForgetAfter);
    hello.__set_watching_proxies(static_cast<std::int32_t>(watching_proxies_));
    for (const std::string& address : other_controls())
        client_.call<wire::HelloRequest, wire::HelloReply>(
            address, kHello, hello, kHelloTimeout,
            [this, alive = std::weak_ptr<int>(alive_)](rpc::Result<wire::HelloReply> reply) {
                if (alive.expired() || !reply) return;
                membership_.hear_control(reply.value().who, now());
                for (const wire::NodeInfo& info : reply.value().controls)
                    if (info.address != self_.address) {
                        const auto known = membership_.of_role(wire::NodeRole::control, now(), kForgetAfter);
                        const bool new_one = std::none_of(
                            known.begin(), known.end(),
                            [&](const Heard& heard) { return heard.info.address == info.address; });
                        // Heard of only: it is asked, and counts as there once it has answered itself.
                        if (new_one) membership_.hear_control(info, now() - kPresent - Span(1));
                    }
            });
}

void ControlProcess::hear_hello(const wire::HelloRequest& hello) {
    const Instant at = now();
    membership_.hear_control(hello.who, at);
    for (const wire::SeenStorage& seen : hello.storages) membership_.hear_of(seen, at);
    if (hello.__isset.watching_proxies && hello.watching_proxies >= 0)
        proxy_census_.told(hello.who.address, static_cast<std::size_t>(hello.watching_proxies), at);
}

void ControlProcess::reconcile_overlay() {
    if (overlay_.running()) return overlay_.set_seeds(other_controls());
    const std::size_t watchers = membership_.count_of_role(wire::NodeRole::edge, now(), kPresent);
    if (watchers <= kMostDirectWatchers) return;
    LOG(INFO) << watchers << " edge processes watch: from now on by the overlay";
    overlay_.set_seeds(other_controls());
    if (register_.known().sequence > 0) publish(register_.known());
    overlay_.start();
}

// Without the orders taken, which are of use to control processes only.
void ControlProcess::publish(const wire::RegisterState& state) {
    wire::RegisterState told = state;
    told.taken.clear();
    overlay_.publish(told);
}

void ControlProcess::reconcile_storage() {
    if (changing_storage_) return;
    if (!reconciler_.wanted(register_.known(), membership_.storages(), now())) return;
    changing_storage_ = true;
    register_.change(
        [this, alive = std::weak_ptr<int>(alive_)](
            const wire::RegisterState& current) -> std::optional<wire::RegisterState> {
            if (alive.expired() || !leases_.held(kStorageMapLease)) return std::nullopt;
            return reconciler_.wanted(current, membership_.storages(), now());
        },
        kChangeTimeout,
        [this, alive = std::weak_ptr<int>(alive_)](StateResult result) {
            if (alive.expired()) return;
            changing_storage_ = false;
            if (!result) return;
            const wire::StorageMap& map = result.value().storage;
            std::string members;
            for (const wire::StorageMember& member : map.members)
                members += " " + member.node + "=" + storage_state_name(member.state);
            LOG(INFO) << "storage map, epoch " << map.epoch << ":" << members;
        });
}

std::vector<std::string> ControlProcess::unborne_losses() const {
    return control_plane::unborne_losses(survive_, register_.acceptors(), register_.known().storage);
}

void ControlProcess::tell_unborne_losses() {
    std::vector<std::string> unborne = unborne_losses();
    if (unborne == told_unborne_losses_) return;
    for (const std::string& loss : unborne) LOG(WARNING) << "not borne as the machines stand: " << loss;
    if (unborne.empty()) LOG(INFO) << "all losses that `survive` names are borne";
    told_unborne_losses_ = std::move(unborne);
}

std::optional<std::size_t> ControlProcess::live_proxies() {
    const std::size_t watched_at_once =
        overlay_.running() ? feed::kMostChannelsBesideRelay : feed::kMostChannels;
    return proxy_census_.live(watching_proxies_, watched_at_once, now());
}

WatchService::Source ControlProcess::watch_source() {
    WatchService::Source source;
    source.state = [this]() -> const wire::RegisterState& { return register_.known(); };
    source.servers = [this]() -> const wire::ServersList& { return list_reader_.list(); };
    source.difference_since = [this](std::int64_t term, std::int64_t sequence) {
        return list_reader_.difference_since(term, sequence);
    };
    source.relay = [this] { return overlay_.running(); };
    source.proxies = [this] { return live_proxies(); };
    source.list_alive = [this] { return list_reader_.alive(); };
    source.controls = [this] { return present_controls(); };
    source.read = [this](std::function<void(std::optional<wire::RegisterState>)> done) {
        register_.read(kReadTimeout, [done = std::move(done)](StateResult result) {
            if (!result) return done(std::nullopt);
            done(std::move(result).value());
        });
    };
    source.heard = [this](const wire::WatchRequest& request) {
        membership_.hear(request, now());
        list_reader_.seen(request.list_term);
    };
    return source;
}

OperatorApi::Options ControlProcess::api_options() {
    OperatorApi::Options options;
    options.storage_heard = [this](const std::string& node) {
        const std::vector<Heard> storages = membership_.storages();
        return std::any_of(storages.begin(), storages.end(), [&](const Heard& heard) {
            return heard.info.node == node && now() - heard.last <= kPresent;
        });
    };
    options.storages_voting = [this] {
        std::set<std::int64_t> voting;
        for (const Heard& heard : membership_.of_role(wire::NodeRole::storage, now(), kPresent))
            if (heard.votes()) voting.insert(heard.info.identity);
        return voting;
    };
    options.members = [this] { return members_page(); };
    options.acceptors = [this] { return acceptors_page(); };
    options.overlay = [this] { return overlay_page(); };
    options.list = [this] { return list_page(); };
    options.leases = [this] { return leases_page(); };
    options.replicas = [this] { return replicas_page(); };
    options.openings = [this] { return openings_page(); };
    options.rollouts = [this] { return rollouts_.page(); };
    options.listed_versions = [this](const std::string& service) {
        return listed_versions(list_reader_.list(), service);
    };
    options.status = [this] { return status_page(); };
    return options;
}

std::string ControlProcess::members_page() const {
    Json members = Json::array();
    const Instant at = now();
    for (const auto role : {wire::NodeRole::control, wire::NodeRole::storage, wire::NodeRole::edge})
        for (const Heard& heard : membership_.of_role(role, at, kForgetAfter))
            members.push_back({{"node", heard.info.node},
                               {"zone", heard.info.zone},
                               {"address", heard.info.address},
                               {"role", name_of(role)},
                               {"identity", heard.info.identity},
                               {"heardMsAgo", std::chrono::duration_cast<Span>(at - heard.last).count()},
                               {"sequence", heard.sequence},
                               {"note", heard.storage_note}});
    return json_text({{"self", self_.node}, {"members", members}, {"acceptors", acceptors()}});
}

Json ControlProcess::acceptors() const {
    Json acceptors = Json::array();
    const std::vector<wire::NodeInfo> present = present_controls();
    for (const wire::Acceptor& acceptor : register_.acceptors()) {
        const bool heard = std::any_of(present.begin(), present.end(), [&](const wire::NodeInfo& node) {
            return node.identity == acceptor.identity;
        });
        const std::optional<bool> takes_writes = register_.takes_writes(acceptor.address);
        acceptors.push_back({{"node", acceptor.node},
                             {"zone", acceptor.zone},
                             {"address", acceptor.address},
                             {"identity", acceptor.identity},
                             {"present", heard},
                             {"takesWrites", takes_writes ? Json(*takes_writes) : Json(nullptr)}});
    }
    return acceptors;
}

std::string ControlProcess::acceptors_page() const {
    const Json all = acceptors();
    const auto present =
        std::count_if(all.begin(), all.end(), [](const Json& one) { return one["present"].get<bool>(); });
    return json_text({{"self", self_.node},
                      {"majority", all.size() / 2 + 1},
                      {"present", present},
                      {"sequence", register_.known().sequence},
                      {"acceptors", all}});
}

std::string ControlProcess::overlay_page() const {
    Json links = Json::array();
    for (const overlay::OverlayService::LinkView& link : overlay_.links())
        links.push_back({{"address", link.address},
                         {"zone", link.zone},
                         {"control", link.control},
                         {"eager", link.eager},
                         {"parent", link.parent}});
    return json_text({{"self", self_.node},
                      {"running", overlay_.running()},
                      {"links", links},
                      {"counters", overlay_.counters()}});
}

std::string ControlProcess::list_page() const {
    const wire::ServersList& list = list_reader_.list();
    Json servers = Json::array();
    for (const wire::ListedServer& server : list.servers)
        servers.push_back({{"id", server.id},
                           {"service", server.service_name},
                           {"address", server.address},
                           {"zone", server.zone},
                           {"version", server.version},
                           {"draining", server.draining},
                           {"slots", server.slots}});
    return json_text({{"self", self_.node},
                      {"term", list.term},
                      {"sequence", list.sequence},
                      {"alive", list_reader_.alive()},
                      {"servers", servers}});
}

std::string ControlProcess::leases_page() const {
    Json leases = Json::array();
    for (const LeaseService::View& view : leases_.views())
        leases.push_back(
            {{"lease", view.lease}, {"node", view.node}, {"fencing", view.fencing}, {"own", view.own}});
    return json_text({{"self", self_.node}, {"leases", leases}});
}

std::string ControlProcess::replicas_page() const {
    const wire::RegisterState& state = register_.known();
    std::map<std::int64_t, Heard> storages;  // by identity
    for (Heard& heard : membership_.storages()) storages[heard.info.identity] = std::move(heard);
    const Instant at = now();
    Json members = Json::array();
    for (const wire::StorageMember& member : state.storage.members) {
        Json row{{"node", member.node},
                 {"zone", member.zone},
                 {"address", member.address},
                 {"identity", member.identity},
                 {"state", storage_state_name(member.state)}};
        const auto heard = storages.find(member.identity);
        row.update(progress_fields(heard == storages.end() ? nullptr : &heard->second, at));
        members.push_back(std::move(row));
    }
    Json away = Json::array();
    for (const wire::AwayStorage& one : state.storage.away)
        away.push_back({{"node", one.node},
                        {"address", one.address},
                        {"identity", one.identity},
                        {"keepForS", one.keep_for_s}});
    return json_text(
        {{"epoch", state.storage.epoch}, {"members", members}, {"away", away}, {"retired", state.retired}});
}

std::string ControlProcess::openings_page() {
    Json rows = Json::array();
    for (const openings::OpeningView& view : openings_.views())
        rows.push_back({{"service", view.service},
                        {"opening", hex(view.opening.key)},
                        {"tokens", view.opening.tokens},
                        {"perSecond", rounded(view.opening.rate)},
                        {"share", rounded(view.share)},
                        {"trend", rounded(view.trend)}});
    return json_text({{"self", self_.node}, {"nodes", openings_.nodes()}, {"openings", rows}});
}

std::string ControlProcess::status_page() const {
    const wire::RegisterState& state = register_.known();
    const wire::ServersList& list = list_reader_.list();
    return json_text(
        {{"node", self_.node},
         {"sequence", state.sequence},
         {"version", state.version},
         {"unborneLosses", unborne_losses()},
         {"storageEpoch", state.storage.epoch},
         {"list", {{"term", list.term}, {"sequence", list.sequence}, {"alive", list_reader_.alive()}}},
         {"watchers", watches_.waiting()},
         {"loop", loop_fields()},
         {"counters", counters()}});
}

std::string ControlProcess::counters() const {
    return "register: " + register_.counters() + "; list: " + list_reader_.counters() +
           "; openings: " + openings_.counters() + "; rollouts: " + rollouts_.counters() +
           "; watchers=" + std::to_string(watches_.waiting()) + "; overlay: " + overlay_.counters() +
           "; rpc: unreadable=" + std::to_string(server_.unreadable() + client_.stats().unreadable);
}

void ControlProcess::stop(std::function<void()> done) {
    if (std::exchange(stopping_, true)) return;
    timer_.cancel();
    leases_.release_all();
    watches_.drain();
    if (http_) http_->drain();
    finish_when_nothing_is_owed(now() + kLongestEnd, std::move(done));
}

void ControlProcess::finish_when_nothing_is_owed(Instant limit, std::function<void()> done) {
    timer_.after(kEndTick, [this, limit, done = std::move(done)]() mutable {
        if (http_ && http_->owed() > 0 && now() < limit)
            return finish_when_nothing_is_owed(limit, std::move(done));
        done();
    });
}

}  // namespace whinledge::control_plane
