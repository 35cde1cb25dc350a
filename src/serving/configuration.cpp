#include "serving/configuration.hpp"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <tuple>
#include <utility>

namespace whinledge::serving {
namespace {

using Json = nlohmann::json;
using Result = ConfigurationResult<std::shared_ptr<const Configuration>>;

// Thrown and caught in this file only: a check deep inside ends the reading.
struct Invalid {
    ConfigurationError error;
};

[[noreturn]] void fail(ConfigurationFault fault, std::string message) {
    throw Invalid{ConfigurationError{fault, std::move(message)}};
}

[[noreturn]] void bad_field(const std::string& where, const char* key, const std::string& remedy) {
    fail(ConfigurationFault::bad_field, where + ": `" + key + "` " + remedy);
}

char lower(char c) { return static_cast<char>(std::tolower(static_cast<unsigned char>(c))); }

std::string lower(std::string text) {
    for (char& c : text) c = lower(c);
    return text;
}

// The host without its port.
std::string_view bare_host(std::string_view host) {
    const auto colon = host.rfind(':');
    return colon == std::string_view::npos || host.ends_with(']') ? host : host.substr(0, colon);
}

// Orders a host of any case against one in lower case.
int compare_host(std::string_view known, std::string_view asked) {
    const std::size_t shared = std::min(known.size(), asked.size());
    for (std::size_t i = 0; i < shared; ++i) {
        const char c = lower(asked[i]);
        if (known[i] != c)
            return static_cast<unsigned char>(known[i]) < static_cast<unsigned char>(c) ? -1 : 1;
    }
    if (known.size() == asked.size()) return 0;
    return known.size() < asked.size() ? -1 : 1;
}

// One object of the document with the words for messages about it.
class Object {
public:
    Object(const Json& json, std::string where) : json_(json), where_(std::move(where)) {
        if (!json_.is_object()) fail(ConfigurationFault::bad_field, where_ + " must be an object");
    }

    const std::string& where() const { return where_; }
    void rename(std::string where) { where_ = std::move(where); }

    const Json* member(const char* key) const {
        const auto found = json_.find(key);
        return found == json_.end() || found->is_null() ? nullptr : &*found;
    }

    std::string text(const char* key) const {
        const Json* value = member(key);
        if (!value || !value->is_string() || value->get_ref<const std::string&>().empty())
            bad_field(where_, key, "must be a text that is not empty");
        return value->get<std::string>();
    }
    std::string text_or(const char* key, std::string otherwise) const {
        const Json* value = member(key);
        if (!value) return otherwise;
        if (!value->is_string()) bad_field(where_, key, "must be a text");
        return value->get<std::string>();
    }
    double number_or(const char* key, double otherwise) const {
        const Json* value = member(key);
        if (!value) return otherwise;
        if (!value->is_number()) bad_field(where_, key, "must be a number");
        const double number = value->get<double>();
        if (!std::isfinite(number) || number < 0) bad_field(where_, key, "must be a number of at least 0");
        return number;
    }
    template <class Integer>
    Integer integer_or(const char* key, Integer otherwise) const {
        const double number = number_or(key, static_cast<double>(otherwise));
        constexpr Integer kMost = std::numeric_limits<Integer>::max() / 2;
        return static_cast<Integer>(std::min(number, static_cast<double>(kMost)));
    }
    bool flag_or(const char* key, bool otherwise) const {
        const Json* value = member(key);
        if (!value) return otherwise;
        if (!value->is_boolean()) bad_field(where_, key, "must be true or false");
        return value->get<bool>();
    }
    const Json& list(const char* key) const {
        const Json* value = member(key);
        if (!value || !value->is_array()) bad_field(where_, key, "must be a list");
        return *value;
    }

private:
    const Json& json_;
    std::string where_;
};

RouteKind read_kind(const Object& route) {
    const std::string kind = route.text("kind");
    if (kind == "repeatable") return RouteKind::repeatable;
    if (kind == "one_shot") return RouteKind::one_shot;
    if (kind == "streaming") return RouteKind::streaming;
    bad_field(route.where(), "kind", "must be repeatable, one_shot or streaming");
}

std::vector<WeightedService> read_split(const Object& route) {
    if (!route.member("split")) return {{route.text("service"), 1}};
    std::vector<WeightedService> split;
    double sum = 0;
    for (const Json& json : route.list("split")) {
        const Object part(json, route.where() + ", a part of `split`");
        split.push_back({part.text("service"), part.number_or("weight", 1)});
        sum += split.back().weight;
    }
    if (!(sum > 0))
        fail(ConfigurationFault::no_weight,
             route.where() + ": its weights sum to 0; give one service a weight above 0");
    return split;
}

Route read_route(const Json& json, std::size_t position) {
    Object fields(json, std::string("route ").append(std::to_string(position + 1)));
    Route route;
    route.name = fields.text_or("name", "");
    if (!route.name.empty()) fields.rename("route " + route.name);
    route.host = lower(fields.text("host"));
    route.path_start = fields.text("pathStart");
    if (route.path_start.front() != '/' || route.path_start.back() != '/')
        bad_field(fields.where(), "pathStart", "must begin and end with a slash");
    route.kind = read_kind(fields);
    route.timeout_ms = fields.number_or("timeoutMs", 0);
    if (!(route.timeout_ms > 0))
        fail(ConfigurationFault::no_timeout, fields.where() + ": `timeoutMs` must be above 0");
    route.target_ms = fields.number_or("targetMs", 0);
    route.priority = fields.integer_or<int>("priority", 0);
    route.split = read_split(fields);
    route.tries = std::max(1, fields.integer_or<int>("tries", 1));
    route.remembered = fields.flag_or("remembered", false);
    route.keep_for_s = fields.number_or("keepForS", 0);
    route.sticky = fields.flag_or("sticky", false);
    route.resume = fields.flag_or("resume", false);
    route.gap_aim_ms = fields.number_or("gap_aim_ms", 0);
    return route;
}

Service read_service(const Json& json, std::size_t position) {
    Object fields(json, std::string("service ").append(std::to_string(position + 1)));
    Service service;
    service.name = fields.text("name");
    fields.rename("service " + service.name);
    service.health_path = fields.text_or("healthPath", "");
    service.max_connections = fields.integer_or<int>("maxConns", 0);
    if (const Json* json_engine = fields.member("engine")) {
        const Object of(*json_engine, fields.where() + ", `engine`");
        Engine engine;
        engine.slots = of.integer_or<int>("slots", 0);
        engine.memory_tokens = of.integer_or<std::int64_t>("memoryTokens", 0);
        engine.chunk_tokens = std::max(1, of.integer_or<int>("chunkTokens", 1));
        service.engine = engine;
    }
    return service;
}

ClientLimits read_limits(const Json& json) {
    const Object fields(json, "`limits`");
    ClientLimits limits;
    limits.header_bytes = fields.integer_or("headerBytes", limits.header_bytes);
    limits.body_bytes = fields.integer_or("bodyBytes", limits.body_bytes);
    limits.header_ms = fields.number_or("headerMs", limits.header_ms);
    limits.idle_ms = fields.number_or("idleMs", limits.idle_ms);
    return limits;
}

std::int64_t read_version(const Object& fields) {
    const Json* version = fields.member("version");
    if (!version || !version->is_number_integer() || version->get<std::int64_t>() <= 0)
        bad_field(fields.where(), "version", "must be a whole number above 0");
    return version->get<std::int64_t>();
}

void check_services(const Configuration& configuration) {
    for (const Route& route : configuration.routes)
        for (const WeightedService& part : route.split)
            if (!configuration.service(part.service))
                fail(ConfigurationFault::unknown_service, "route " + route.name + ": there is no service " +
                                                              part.service +
                                                              " in `services`; add it or name another");
}

void check_places(const Configuration& configuration) {
    std::set<std::pair<std::string_view, std::string_view>> places;
    for (const Route& route : configuration.routes)
        if (!places.emplace(route.host, route.path_start).second)
            fail(ConfigurationFault::same_place, "route " + route.name + ": another route has the host " +
                                                     route.host + " and the prefix " + route.path_start +
                                                     " too; remove one of them");
}

std::shared_ptr<Configuration> read(std::string_view text) {
    const Json json = Json::parse(text.begin(), text.end(), nullptr, false);
    if (json.is_discarded())
        fail(ConfigurationFault::unreadable,
             "the configuration is no whole JSON document: send all of it again");
    const Object fields(json, "the configuration");
    auto configuration = std::make_shared<Configuration>();
    configuration->version = read_version(fields);
    for (const Json& service : fields.list("services"))
        configuration->services.push_back(read_service(service, configuration->services.size()));
    for (const Json& route : fields.list("routes"))
        configuration->routes.push_back(read_route(route, configuration->routes.size()));
    if (const Json* limits = fields.member("limits")) configuration->limits = read_limits(*limits);
    configuration->index();
    check_services(*configuration);
    check_places(*configuration);
    return configuration;
}

}  // namespace

ConfigurationResult<std::shared_ptr<const Configuration>> parse_configuration(std::string_view json) {
    try {
        return Result(std::shared_ptr<const Configuration>(read(json)));
    } catch (Invalid& invalid) {
        return std::move(invalid.error);
    } catch (const Json::exception& error) {
        return ConfigurationError{ConfigurationFault::unreadable,
                                  std::string("the configuration can't be read: ") + error.what()};
    }
}

void Configuration::index() {
    services_.clear();
    for (std::size_t i = 0; i < services.size(); ++i) services_.push_back(i);
    std::stable_sort(services_.begin(), services_.end(),
                     [this](std::size_t a, std::size_t b) { return services[a].name < services[b].name; });
    std::vector<std::size_t> order(routes.size());
    for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
    std::stable_sort(order.begin(), order.end(), [this](std::size_t a, std::size_t b) {
        const Route& first = routes[a];
        const Route& second = routes[b];
        return std::tie(first.host, first.path_start) < std::tie(second.host, second.path_start);
    });
    hosts_.clear();
    for (const std::size_t i : order) {
        if (hosts_.empty() || hosts_.back().host != routes[i].host) hosts_.push_back({routes[i].host, 0, {}});
        hosts_.back().routes.push_back(i);
        hosts_.back().longest = std::max(hosts_.back().longest, routes[i].path_start.size());
    }
}

int Configuration::longest_keep_for_s() const {
    double longest = 0;
    for (const Route& route : routes)
        if (route.remembered) longest = std::max(longest, std::ceil(route.keep_for_s));
    constexpr double kMost = 1e9;
    return static_cast<int>(std::min(longest, kMost));
}

const Service* Configuration::service(std::string_view name) const {
    const auto found = std::lower_bound(
        services_.begin(), services_.end(), name,
        [this](std::size_t at, std::string_view asked) { return services[at].name < asked; });
    return found != services_.end() && services[*found].name == name ? &services[*found] : nullptr;
}

const Route* Configuration::find(std::string_view host, std::string_view path) const {
    host = bare_host(host);
    const auto at = std::lower_bound(
        hosts_.begin(), hosts_.end(), host,
        [](const HostRoutes& known, std::string_view asked) { return compare_host(known.host, asked) < 0; });
    if (at == hosts_.end() || compare_host(at->host, host) != 0) return nullptr;
    // The prefixes that may begin the path end at its slashes: the longest is tried first.
    std::string_view prefix = path.substr(0, at->longest);
    for (auto slash = prefix.rfind('/'); slash != std::string_view::npos; slash = prefix.rfind('/')) {
        const std::string_view tried = prefix.substr(0, slash + 1);
        const auto found = std::lower_bound(
            at->routes.begin(), at->routes.end(), tried,
            [this](std::size_t route, std::string_view asked) { return routes[route].path_start < asked; });
        if (found != at->routes.end() && routes[*found].path_start == tried) return &routes[*found];
        prefix = prefix.substr(0, slash);
    }
    return nullptr;
}

}  // namespace whinledge::serving
