#include "control_plane/rollout_order.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>

#include "serving/configuration.hpp"

namespace whinledge::control_plane {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMostName = 256;  // bytes, of a service or version
constexpr double kMostWithinS = 7 * 24 * 3600;

std::optional<std::string> name_of(const Json& order, const char* key) {
    const auto value = order.find(key);
    if (value == order.end() || !value->is_string()) return std::nullopt;
    const auto name = value->get<std::string>();
    if (name.empty() || name.size() > kMostName) return std::nullopt;
    return name;
}

}  // namespace

RolloutOrderResult<rollout::Order> parse_rollout_order(std::string_view body) {
    const Json json = Json::parse(body.begin(), body.end(), nullptr, false);
    if (!json.is_object()) return RolloutOrderError{"the body must be a JSON object"};
    const auto service = name_of(json, "service");
    if (!service) return RolloutOrderError{"`service` must name a service of the configuration"};
    const auto version = name_of(json, "newVersion");
    if (!version) return RolloutOrderError{"`newVersion` must name a version of the service's servers"};
    const auto within = json.find("withinS");
    if (within == json.end() || !within->is_number())
        return RolloutOrderError{"`withinS` must be a number of seconds"};
    const double seconds = within->get<double>();
    if (!(seconds > 0) || seconds > kMostWithinS)
        return RolloutOrderError{"`withinS` must be above 0 and at most a week"};
    return rollout::Order{*service, *version, static_cast<std::int64_t>(std::llround(seconds * 1000))};
}

std::optional<wire::RegisterState> RolloutAttempt::apply(const wire::RegisterState& current) {
    decision_ = rollout::decide_order(current, order_, listed_);
    if (decision_ == rollout::OrderDecision::taken) {
        outcome_ = Outcome::taken;
        return std::nullopt;
    }
    if (current.version == 0) {
        outcome_ = Outcome::no_configuration;
        return std::nullopt;
    }
    const auto configuration = serving::parse_configuration(current.configuration);
    if (!configuration || !configuration.value()->service(order_.service)) {
        outcome_ = Outcome::unknown_service;
        return std::nullopt;
    }
    if (decision_ != rollout::OrderDecision::begin) {
        outcome_ = Outcome::conflict;
        return std::nullopt;
    }
    outcome_ = Outcome::begun;
    return rollout::begun(current, order_, listed_);
}

std::string operator_state(const wire::Rollout& rollout) {
    switch (rollout.phase) {
        case rollout::Phase::finished:
            return "finished";
        case rollout::Phase::reverted:
            return "reverted";
        default:
            return "serving";
    }
}

std::string state_name(rollout::Phase phase) {
    switch (phase) {
        case rollout::Phase::trial:
            return "on trial";
        case rollout::Phase::shifting:
            return "shifting";
        case rollout::Phase::finished:
            return "finished";
        default:
            return "reverted";
    }
}

std::vector<servers_list::VersionId> listed_versions(const wire::ServersList& list,
                                                     std::string_view service) {
    std::set<servers_list::VersionId> versions;
    for (const wire::ListedServer& server : list.servers)
        if (server.service_name == service && server.version != 0) versions.insert(server.version);
    return {versions.begin(), versions.end()};
}

}  // namespace whinledge::control_plane
