#include "control_plane/operator_api.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "control_plane/json_text.hpp"
#include "control_plane/retirement.hpp"
#include "control_plane/rollout_order.hpp"
#include "control_plane/settings_order.hpp"
#include "serving/configuration.hpp"

namespace whinledge::control_plane {
namespace {

using Json = nlohmann::json;
using consensus::RegisterFailure;
using Respond = HttpServer::Respond;
using StateResult = consensus::RegisterResult<wire::RegisterState>;

// Callers move on after a second of silence.
constexpr std::chrono::milliseconds kRegisterTimeout{700};
constexpr double kRetryAfterS = 0.1;

HttpAnswer fault(unsigned status, const std::string& message) {
    return {status, json_text(Json{{"error", message}}), std::nullopt};
}

HttpAnswer unavailable(const std::string& message) {
    HttpAnswer answer = fault(503, message);
    answer.retry_after_s = kRetryAfterS;
    return answer;
}

std::optional<std::int64_t> whole_number(const std::string& text) {
    std::int64_t value = 0;
    const auto [at, wrong] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (wrong != std::errc() || at != text.data() + text.size() || value < 0) return std::nullopt;
    return value;
}

HttpAnswer answer_of(const OrderAttempt& attempt, const StateResult& result) {
    switch (attempt.answer(result)) {
        case OrderAnswer::acknowledged:
            return {200, json_text(Json{{"version", attempt.order().version}}), std::nullopt};
        case OrderAnswer::not_above:
            return fault(400, "`version` must be above the current one");
        case OrderAnswer::other_version:
            return fault(412, "`Based-On` is not the current version; read the settings and build on them");
        case OrderAnswer::unavailable:
            break;
    }
    if (result.error().failure != RegisterFailure::rejected)
        return unavailable(result.error().message + "; send the same order again");
    if (attempt.last() == OrderDecision::forgotten)
        return unavailable("whether so old an order was taken is not known any more; read the settings");
    return unavailable("another change came between; send the same order again");
}

struct Retirement {
    std::string node;
    RetirementNeeds needs;
    RetirementDecision last = RetirementDecision::unknown;

    std::optional<wire::RegisterState> apply(const wire::RegisterState& current) {
        last = decide_retirement(current, node, needs);
        if (last != RetirementDecision::begin) return std::nullopt;
        return retiring(current, node);
    }
};

HttpAnswer answer_of(const Retirement& attempt, const StateResult& result, bool heard) {
    const HttpAnswer taken{200, json_text(Json{{"node", attempt.node}}), std::nullopt};
    if (result) return taken;
    if (result.error().failure != RegisterFailure::rejected) return unavailable(result.error().message);
    switch (attempt.last) {
        case RetirementDecision::too_few:
            return fault(409, "too few storage machines would remain to bear a loss; add one first");
        case RetirementDecision::not_yet:
            return unavailable(
                "a storage machine that has to remain is not there, or not filled yet; try again");
        case RetirementDecision::unknown:
            if (heard) return unavailable("this machine is about to join; try again");
            return fault(404, "there is no storage machine of this name");
        default:
            return taken;
    }
}

// Whether a target has only bytes that one may have (RFC 3986, 2).
bool is_visible_ascii(const std::string& target) {
    return std::all_of(target.begin(), target.end(), [](char c) { return c > ' ' && c < 127; });
}

HttpAnswer answer_of(const RolloutAttempt& attempt, const StateResult& result) {
    using Outcome = RolloutAttempt::Outcome;
    const rollout::Order& order = attempt.order();
    const HttpAnswer taken{
        200, json_text(Json{{"service", order.service}, {"newVersion", order.new_version}}), std::nullopt};
    if (result) return taken;
    if (result.error().failure != RegisterFailure::rejected)
        return unavailable(result.error().message + "; send the same order again");
    switch (attempt.outcome()) {
        case Outcome::taken:
            return taken;
        case Outcome::no_configuration:
            return unavailable("no configuration has been taken yet; send the same order again later");
        case Outcome::unknown_service:
            return fault(404, "the configuration has no such service");
        case Outcome::conflict:
            break;
        default:
            return unavailable("another change came between; send the same order again");
    }
    switch (attempt.decision()) {
        case rollout::OrderDecision::rejected_before:
            return fault(409, "this version was reverted before; bring it in under another name");
        case rollout::OrderDecision::runs_already:
            return fault(409, "the service runs this version already");
        default:
            return fault(409, "a rollout of this service to another version has not ended; wait for its end");
    }
}

// NAME of START/NAME/VERB.
std::optional<std::string> named_in(const std::string& path, const std::string& start,
                                    const std::string& verb) {
    const std::string end = "/" + verb;
    if (!path.starts_with(start) || !path.ends_with(end) || path.size() <= start.size() + end.size())
        return std::nullopt;
    return path.substr(start.size(), path.size() - start.size() - end.size());
}

constexpr const char* kRetire = "/retire/";
constexpr const char* kRollouts = "/rollouts/";

}  // namespace

OperatorApi::OperatorApi(consensus::RegisterService& reg, Options options)
    : register_(reg), options_(std::move(options)) {}

void OperatorApi::handle(HttpRequest request, Respond respond) {
    if (!is_visible_ascii(request.target))
        return respond(fault(400, "the path has a byte that none may have; write it as %XX"));
    const std::string path = request.target.substr(0, request.target.find('?'));
    const bool post = request.method == "POST";
    const bool get = request.method == "GET";
    if (post && path == "/settings/replace") return replace(std::move(request), std::move(respond));
    if (get && path == "/settings/read") return read(std::move(respond));
    if (post)
        if (const auto node = named_in(path, kRetire, "begin"))
            return begin_retirement(*node, std::move(respond));
    if (get)
        if (const auto node = named_in(path, kRetire, "read"))
            return read_retirement(*node, std::move(respond));
    if (post && path == "/rollouts/begin") return begin_rollout(request, std::move(respond));
    if (get)
        if (const auto service = named_in(path, kRollouts, "read"))
            return read_rollout(*service, std::move(respond));
    if (get && serve_page(path, respond)) return;
    respond(fault(404, "there is no such page"));
}

void OperatorApi::replace(HttpRequest request, Respond respond) {
    const auto configuration = serving::parse_configuration(request.body);
    if (!configuration) return respond(fault(400, configuration.error().message));
    const auto based_on = whole_number(request.based_on.value_or(""));
    if (!based_on) return respond(fault(400, "`Based-On` must be the version that the order builds on"));
    SettingsOrder order{*based_on,
                        configuration.value()->version,
                        digest_of(request.body),
                        {},
                        configuration.value()->longest_keep_for_s()};
    order.body = std::move(request.body);
    const auto attempt = std::make_shared<OrderAttempt>(std::move(order));
    register_.change([attempt](const wire::RegisterState& current) { return attempt->apply(current); },
                     kRegisterTimeout,
                     [attempt, respond = std::move(respond)](StateResult result) {
                         respond(answer_of(*attempt, result));
                     });
}

void OperatorApi::read(Respond respond) {
    register_.read(kRegisterTimeout, [respond = std::move(respond)](StateResult result) {
        if (!result) return respond(unavailable(result.error().message));
        if (result.value().version == 0) return respond(unavailable("no configuration has been taken yet"));
        respond({200, std::move(result).value().configuration, std::nullopt});
    });
}

void OperatorApi::begin_retirement(const std::string& node, Respond respond) {
    const auto attempt = std::make_shared<Retirement>();
    attempt->node = node;
    attempt->needs = {options_.survive, options_.storages_voting()};
    register_.change(
        [attempt](const wire::RegisterState& current) { return attempt->apply(current); }, kRegisterTimeout,
        [attempt, heard = options_.storage_heard(node), respond = std::move(respond)](StateResult result) {
            respond(answer_of(*attempt, result, heard));
        });
}

void OperatorApi::read_retirement(const std::string& node, Respond respond) {
    register_.read(kRegisterTimeout, [node, respond = std::move(respond)](StateResult result) {
        if (!result) return respond(unavailable(result.error().message));
        switch (retirement_progress(result.value(), node)) {
            case RetirementProgress::serving:
                return respond({200, R"({"state":"serving"})", std::nullopt});
            case RetirementProgress::finished:
                return respond({200, R"({"state":"finished"})", std::nullopt});
            case RetirementProgress::unknown:
                return respond(fault(404, "there is no storage machine of this name"));
        }
    });
}

void OperatorApi::begin_rollout(const HttpRequest& request, Respond respond) {
    auto order = parse_rollout_order(request.body);
    if (!order) return respond(fault(400, order.error().message));
    const std::string service = order.value().service;
    const auto attempt = std::make_shared<RolloutAttempt>(
        std::move(order).value(), options_.listed_versions ? options_.listed_versions(service)
                                                           : std::vector<servers_list::VersionId>());
    register_.change([attempt](const wire::RegisterState& current) { return attempt->apply(current); },
                     kRegisterTimeout,
                     [attempt, respond = std::move(respond)](StateResult result) {
                         respond(answer_of(*attempt, result));
                     });
}

void OperatorApi::read_rollout(const std::string& service, Respond respond) {
    register_.read(kRegisterTimeout, [service, respond = std::move(respond)](StateResult result) {
        if (!result) return respond(unavailable(result.error().message));
        const wire::Rollout* const newest = rollout::find_rollout(result.value(), service);
        if (!newest) return respond(fault(404, "there has been no rollout of this service"));
        respond({200,
                 json_text(Json{{"state", operator_state(*newest)}, {"newVersion", newest->new_version}}),
                 std::nullopt});
    });
}

bool OperatorApi::serve_page(const std::string& path, const Respond& respond) const {
    const std::function<std::string()>* page = nullptr;
    if (path == "/members") page = &options_.members;
    if (path == "/acceptors") page = &options_.acceptors;
    if (path == "/leases") page = &options_.leases;
    if (path == "/replicas") page = &options_.replicas;
    if (path == "/openings") page = &options_.openings;
    if (path == "/overlay") page = &options_.overlay;
    if (path == "/list") page = &options_.list;
    if (path == "/status") page = &options_.status;
    if (path == "/rollouts") page = &options_.rollouts;
    if (!page || !*page) return false;
    respond({200, (*page)(), std::nullopt});
    return true;
}

}  // namespace whinledge::control_plane
