#include "tier/operator.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "io/address.hpp"

namespace whinledge::tier_rig {
namespace {

using nlohmann::json;

constexpr Millis kSilence = 1000, kLeastBackoff = 50, kMostBackoff = 800;
constexpr int kRedirects = 2, kOtherRefusals = 3;

const char* kind_name(RouteKind kind) {
    switch (kind) {
        case RouteKind::repeatable:
            return "repeatable";
        case RouteKind::one_shot:
            return "one_shot";
        case RouteKind::streaming:
            return "streaming";
    }
    return "";
}

json route_json(const RouteSpec& route) {
    json entry{{"name", route.name},
               {"host", route.host},
               {"pathStart", route.path_start},
               {"kind", kind_name(route.kind)},
               {"timeoutMs", route.timeout},
               {"targetMs", route.target},
               {"priority", route.priority},
               {"tries", route.tries},
               {"resume", false}};
    if (route.kind == RouteKind::streaming) {
        entry["remembered"] = route.remembered;
        entry["sticky"] = true;
        entry["gap_aim_ms"] = route.gap_aim;
        if (route.remembered) entry["keepForS"] = route.keep_for_s;
    }
    if (route.services.size() == 1) {
        entry["service"] = route.services.front();
    } else {
        entry["split"] = json::array();
        for (const std::string& service : route.services)
            entry["split"].push_back({{"service", service}, {"weight", 50}});
    }
    return entry;
}

json service_json(const std::string& name) {
    json entry{
        {"name", name}, {"healthPath", "/health"}, {"maxConns", 200}, {"protocol", "h1"}, {"tls", false}};
    if (name == "chat")
        entry["engine"] = {{"slots", 8},           {"memoryTokens", 60000}, {"tokenBytes", 131072},
                           {"linkMbps", 550000.0}, {"chunkTokens", 2},      {"models", {{{"name", "m"}}}}};
    return entry;
}

// The same for texts that mean the same.
std::string canonical(const std::string& text) {
    const json parsed = json::parse(text, nullptr, false);
    return parsed.is_discarded() ? text : parsed.dump();
}

}  // namespace

std::string configuration_json(std::int64_t version, const std::vector<RouteSpec>& routes) {
    json whole{
        {"version", version},
        {"routes", json::array()},
        {"services", json::array()},
        {"limits", {{"headerBytes", 16384}, {"bodyBytes", 4194304}, {"headerMs", 3000}, {"idleMs", 15000}}}};
    for (const RouteSpec& route : routes) whole["routes"].push_back(route_json(route));
    for (const char* service : {"chat", "search", "files"})
        whole["services"].push_back(service_json(service));
    return whole.dump();
}

Operator::Operator(World& world, std::function<std::vector<Tcp::endpoint>()> controls)
    : world_(world), controls_(std::move(controls)), next_(world.random() % 16) {}

Task<Operator::Reply> Operator::ask_once(Request request) {
    const std::vector<Tcp::endpoint> controls = controls_();
    if (controls.empty()) co_return Reply{};
    Tcp::endpoint at = controls[next_++ % controls.size()];
    for (int redirects = 0;; ++redirects) {
        request.set(http::field::host, at.address().to_string());
        const auto response = co_await exchange(world_, at, request, kSilence);
        if (!response) co_return Reply{};
        if (response->result_int() != 307 || redirects == kRedirects) {
            Reply reply;
            reply.status = static_cast<int>(response->result_int());
            reply.body = response->body();
            co_return reply;
        }
        std::string location = text((*response)[http::field::location]);
        if (location.starts_with("http://")) location.erase(0, 7);
        const auto slash = std::min(location.find('/'), location.size());
        const auto there = parse_endpoint<Tcp>(location.substr(0, slash));
        if (!there) co_return Reply{};
        at = *there;
        request.target(location.substr(slash));
    }
}

Task<Operator::Reply> Operator::ask(Request request, Millis limit) {
    const Millis until = world_.now() + limit;
    Millis backoff = kLeastBackoff;
    int refusals = 0;
    Reply reply;
    while (world_.now() < until) {
        reply = co_await ask_once(request);
        const int status = reply.status;
        if (is_success(status)) co_return reply;
        const bool ends = status == 400 || status == 404 || status == 409 || status == 412 || status == 413 ||
                          status == 422;
        const bool other = status >= 400 && status < 500 && status != 408 && status != 429;
        if (ends || (other && ++refusals >= kOtherRefusals)) co_return reply;
        co_await sleep_for(world_, backoff);
        backoff = std::min(backoff * 2, kMostBackoff);
    }
    reply.status = 0;
    co_return reply;
}

Task<const Order*> Operator::replace(Change change, Millis limit) {
    Order& order = world_.record.orders.emplace_back();
    order.version = change.version;
    order.based_on = change.based_on;
    order.routes = change.routes;
    order.valid = change.valid;
    order.sent = world_.now();
    const std::string text =
        change.text.empty() ? configuration_json(change.version, change.routes) : change.text;
    order.text = canonical(text);

    Request request(http::verb::post, "/settings/replace", 11);
    request.set("Based-On", std::to_string(change.based_on));
    request.set(http::field::content_type, "application/json");
    request.body() = text;
    const Reply reply = co_await ask(std::move(request), limit);
    if (is_success(reply.status)) order.acknowledged = world_.now();
    order.refused = reply.status >= 400 && reply.status < 500;
    co_return &order;
}

Task<void> Operator::read_back(Millis limit) {
    const Millis asked = world_.now();
    const Reply reply = co_await ask(Request(http::verb::get, "/settings/read", 11), limit);
    ReadBack read;
    read.came = is_success(reply.status);
    read.text = canonical(reply.body);
    read.asked = asked;
    world_.record.read_back = read;
}

Task<int> Operator::begin_retirement(std::string node, Millis limit) {
    Request request(http::verb::post, "/retire/" + node + "/begin", 11);
    request.set(http::field::content_type, "application/json");
    request.body() = "{\"withinS\":10}";
    const Reply reply = co_await ask(std::move(request), limit);
    co_return reply.status;
}

Task<bool> Operator::await_retirement(std::string node, Millis limit) {
    const Millis until = world_.now() + limit;
    while (world_.now() < until) {
        const Reply reply = co_await ask_once(Request(http::verb::get, "/retire/" + node + "/read", 11));
        const json state = json::parse(reply.body, nullptr, false);
        if (is_success(reply.status) && state.is_object() && state.value("state", "") == "finished")
            co_return true;
        co_await sleep_for(world_, 200);
    }
    co_return false;
}

}  // namespace whinledge::tier_rig
