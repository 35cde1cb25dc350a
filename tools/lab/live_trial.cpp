#include "lab/live_trial.hpp"

#include <algorithm>
#include <exception>
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <utility>
#include <vector>

#include "lab/agents.hpp"
#include "lab/live_front.hpp"
#include "lab/live_server.hpp"
#include "lab/live_timeline.hpp"
#include "lab/program_plan.hpp"
#include "lab/victims.hpp"
#include "tier/operator.hpp"
#include "tier/platform.hpp"

namespace whinledge::lab {

using Json = nlohmann::json;
using tier_rig::MachineClass;
using tier_rig::Task;

namespace {

constexpr Millis kLeadMs = 1000;  // that proxies have ahead of the traffic, once they are ready
constexpr Millis kStartLimit = 15000, kReadyLimit = 10000, kLook = 20;
constexpr Millis kProxyAgain = 50;      // until a proxy that was killed is started again
constexpr std::size_t kLeastZones = 3;  // so that one machine of storage and of control may be lost
constexpr std::size_t kPageSize = 100;  // servers in a page of the platform's list
constexpr double kKeepS = 60;           // turns are kept for so long
constexpr const char* kModels = "models";
constexpr const char* kTools = "tools";

Json route_json(const std::string& name, const std::string& path, Millis timeout, int tries) {
    return {{"name", name},
            {"host", kLiveHost},
            {"pathStart", path},
            {"timeoutMs", static_cast<int>(timeout)},
            {"targetMs", static_cast<int>(timeout)},
            {"priority", 0},
            {"tries", tries},
            {"resume", false}};
}

Json service_json(const char* name) {
    return {{"name", name}, {"healthPath", "/health"}, {"maxConns", 500}, {"protocol", "h1"}, {"tls", false}};
}

std::string configuration(const Experiment& experiment) {
    Json routes = Json::array();
    for (const ProgramKind& kind : experiment.programs) {
        Json route = route_json(kind.name, path_of_program(kind), kind.deadline_ms, kind.tries);
        route["kind"] = "streaming";
        route["targetMs"] = static_cast<int>(kind.objective_ms);
        route["priority"] = kind.rank;
        route["service"] = kModels;
        route["remembered"] = route["sticky"] = true;
        route["keepForS"] = kKeepS;
        route["gap_aim_ms"] = static_cast<int>(kind.gap_aim_ms);
        routes.push_back(std::move(route));
    }
    for (const ToolKind& kind : experiment.tools) {
        Json route = route_json(kind.name, path_of_tool(kind), kind.deadline_ms, kind.tries);
        route["kind"] = kind.repeatable ? "repeatable" : "one_shot";
        route["service"] = kTools;
        routes.push_back(std::move(route));
    }
    Json models = service_json(kModels);
    models["engine"] = {{"slots", experiment.deployment.model.slots},
                        {"memoryTokens", experiment.deployment.model.memory_tokens},
                        {"tokenBytes", 131072},
                        {"linkMbps", 550000.0},
                        {"chunkTokens", experiment.deployment.event_tokens},
                        {"models", {{{"name", "m"}}}}};
    return Json{
        {"version", 1},
        {"routes", routes},
        {"services", {models, service_json(kTools)}},
        {"limits", {{"headerBytes", 16384}, {"bodyBytes", 4194304}, {"headerMs", 3000}, {"idleMs", 15000}}}}
        .dump();
}

// A folder of the trial's own, with the settings, logs and disks of its machines.
class TrialFolder {
public:
    explicit TrialFolder(const std::filesystem::path& within) : path_(tier_rig::make_run_folder(within)) {}
    ~TrialFolder() {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }
    TrialFolder(const TrialFolder&) = delete;
    TrialFolder& operator=(const TrialFolder&) = delete;
    const std::string& path() const { return path_; }

private:
    std::string path_;
};

class LiveTrial {
public:
    LiveTrial(const Experiment& experiment, const Arm& arm, std::uint64_t seed, const LiveOptions& options)
        : experiment_(experiment),
          arm_(arm),
          seed_(seed),
          plans_(plan_programs(experiment, seed)),
          folder_(options.disks),
          world_(io_, seed),
          timeline_(world_),
          servers_shared_(experiment, world_, timeline_, measures_, seed),
          agents_(experiment, timeline_, measures_, seed) {
        servers_shared_.tells_load = arm.told_load;
        servers_shared_.heeds_priority = arm.mechanisms.urgency;
        tier_rig::Platform::Options platform;
        platform.delay = experiment.deployment.list_delay_ms;
        platform.page_size = kPageSize;
        net_ = tier_rig::claim_net(world_, platform, 0);
        tier_ = std::make_unique<tier_rig::Tier>(world_, *net_.platform, tier_options(options.programs));
        operator_ = std::make_unique<tier_rig::Operator>(world_, [this] { return tier_->controls(); });
    }

    Measures run() {
        std::exception_ptr fault;
        tier_rig::asio::co_spawn(io_, day(), [&](std::exception_ptr thrown) {
            fault = thrown;
            io_.stop();
        });
        io_.run();
        if (fault) std::rethrow_exception(fault);
        return std::move(measures_);
    }

private:
    tier_rig::Tier::Options tier_options(const tier_rig::Programs& programs) const {
        tier_rig::Tier::Options made;
        const auto zones = static_cast<int>(experiment_.deployment.zones.size());
        made.programs = programs;
        made.folder = folder_.path();
        made.subnet = net_.subnet;
        made.zones = experiment_.deployment.zones;
        made.edges = (experiment_.deployment.proxies + zones - 1) / zones;
        made.list_address = net_.options.address;
        made.list_delay = net_.options.delay;
        made.list_calls_per_s = net_.options.calls_per_s;
        return made;
    }

    Task<void> day() {
        net_.platform->start();
        start_servers();
        tier_->start_all();
        co_await start_tier();
        set_fronts();
        const Millis begins = timeline_.now() + kLeadMs;
        for (const ProgramPlan& plan : plans_)
            timeline_.at(begins + plan.arrives, [this, &plan] { agents_.begin(plan); });
        for (std::size_t i = 0; i < experiment_.troubles.size(); ++i) plan_trouble(i, begins);
        co_await tier_rig::sleep_for(world_, kLeadMs + experiment_.traffic_ms + experiment_.finish_ms);
        world_.ending = true;
        agents_.finish();
        for (const auto& server : servers_) {
            measures_.connections += server->connections();
            measures_.attempts.open += server->open();
        }
    }

    Task<void> start_tier() {
        tier_rig::Operator::Change change;
        change.version = 1;
        change.text = configuration(experiment_);
        const tier_rig::Order* const order = co_await operator_->replace(std::move(change), kStartLimit);
        if (!order->acknowledged)
            throw std::runtime_error("no control process took the configuration: look at " + folder_.path());
        const Millis until = world_.now() + kReadyLimit;
        while (net_.platform->ready() < net_.platform->known()) {
            if (world_.now() >= until)
                throw std::runtime_error(
                    "not all proxies called themselves ready: run fewer, or on a quieter machine");
            co_await tier_rig::sleep_for(world_, kLook);
        }
    }

    void set_fronts() {
        const auto& zones = experiment_.deployment.zones;
        for (const tier_rig::Sidecar& sidecar : net_.platform->sidecars()) {
            const auto zone = std::find(zones.begin(), zones.end(), sidecar.zone) - zones.begin();
            const LiveFront::Where where{static_cast<std::size_t>(zone), sidecar.public_address};
            fronts_.push_back(std::make_shared<LiveFront>(servers_shared_, agents_, where, arm_.kept_prefix));
            proxies_.push_back(sidecar.machine);
        }
        agents_.set_fronts(&fronts_);
    }

    // ---- Servers

    void start_servers() {
        const Deployment& deployment = experiment_.deployment;
        for (int i = 0; i < deployment.model_servers; ++i) add_server(true, static_cast<std::size_t>(i));
        for (int i = 0; i < deployment.tool_servers; ++i) add_server(false, static_cast<std::size_t>(i));
    }

    void add_server(bool is_model, std::size_t index) {
        const Deployment& deployment = experiment_.deployment;
        LiveServer::Options options;
        options.zone = index % deployment.zones.size();
        options.is_model = is_model;
        options.slowness = is_model ? deployment.speeds[index % deployment.speeds.size()] : 1;
        options.address =
            tier_rig::server_endpoint(net_.subnet, options.zone, 1 + static_cast<int>(servers_.size()));
        servers_.push_back(nullptr);
        start_server(servers_.size() - 1, options);
    }

    void start_server(std::size_t index, LiveServer::Options options) {
        options.id = "i-" + world_.hex(8);
        servers_[index] = std::make_shared<LiveServer>(servers_shared_, options);
        servers_[index]->start();
        std::ostringstream address;
        address << options.address;
        tier_rig::ServerEntry entry;
        entry.id = options.id;
        entry.service = options.is_model ? kModels : kTools;
        entry.address = address.str();
        if (arm_.zones) entry.zone = experiment_.deployment.zones[options.zone];
        entry.slots =
            options.is_model ? experiment_.deployment.model.slots : experiment_.deployment.tool.slots;
        entry.engine = options.is_model;
        net_.platform->put(entry);
    }

    void crash_server(std::size_t index) {
        LiveServer& server = *servers_[index];
        measures_.connections += server.connections();
        server.crash();
        net_.platform->remove(server.options().id);
    }

    // ---- Troubles

    void plan_trouble(std::size_t index, Millis begins) {
        const Trouble& trouble = experiment_.troubles[index];
        if (trouble.kind == TroubleKind::burst) return;  // the plans have it
        const std::size_t among = trouble.kind == TroubleKind::proxy_restart
                                      ? proxies_.size()
                                      : static_cast<std::size_t>(experiment_.deployment.model_servers);
        for (const std::size_t one : victims(trouble, {seed_, index}, among)) {
            timeline_.at(begins + trouble.at, [this, &trouble, one] { begin(trouble, one); });
            timeline_.at(begins + trouble.at + trouble.lasts, [this, &trouble, one] { end(trouble, one); });
        }
    }

    void begin(const Trouble& trouble, std::size_t one) {
        switch (trouble.kind) {
            case TroubleKind::slow:
                return servers_[one]->set_slowdown(trouble.factor);
            case TroubleKind::answer_lost:
                return servers_[one]->set_lost(trouble.share);
            case TroubleKind::grey:
                return servers_[one]->set_grey(trouble.share);
            case TroubleKind::hang:
                return servers_[one]->set_frozen(true);
            case TroubleKind::crash:
                return crash_server(one);
            case TroubleKind::proxy_restart:
                return restart_proxy(one);
            case TroubleKind::burst:
                return;
        }
    }

    void end(const Trouble& trouble, std::size_t one) {
        switch (trouble.kind) {
            case TroubleKind::slow:
                return servers_[one]->set_slowdown(1);
            case TroubleKind::answer_lost:
                return servers_[one]->set_lost(0);
            case TroubleKind::grey:
                return servers_[one]->set_grey(0);
            case TroubleKind::hang:
                return servers_[one]->set_frozen(false);
            case TroubleKind::crash:
                return start_server(one, servers_[one]->options());
            default:
                return;
        }
    }

    void restart_proxy(std::size_t one) {
        tier_->kill(proxies_[one]);
        timeline_.in(kProxyAgain, [this, one] { tier_->start(proxies_[one]); });
    }

    const Experiment& experiment_;
    const Arm& arm_;
    std::uint64_t seed_;
    Measures measures_;
    std::vector<ProgramPlan> plans_;
    TrialFolder folder_;
    tier_rig::asio::io_context io_{1};
    tier_rig::World world_;
    LiveTimeline timeline_;
    LiveServers servers_shared_;
    Agents agents_;
    tier_rig::ClaimedNet net_;
    std::unique_ptr<tier_rig::Tier> tier_;
    std::unique_ptr<tier_rig::Operator> operator_;
    std::vector<std::shared_ptr<LiveServer>> servers_;  // models first
    std::vector<std::string> proxies_;                  // their machines
    std::vector<std::shared_ptr<Front>> fronts_;        // the same
};

}  // namespace

std::optional<std::string> why_not_live(const Experiment& experiment) {
    if (experiment.deployment.zones.size() < kLeastZones)
        return "processes are played in three zones or more: name that many under deployment.zones";
    return std::nullopt;
}

std::optional<std::string> why_not_live(const Arm& arm) {
    if (arm.choice == Choice::prefix) return std::nullopt;
    return "arm '" + arm.name + "': proxies choose by prefix; leave out what they are told instead";
}

Measures run_live_trial(const Experiment& experiment, const Arm& arm, std::uint64_t seed,
                        const LiveOptions& options) {
    return LiveTrial(experiment, arm, seed, options).run();
}

}  // namespace whinledge::lab
