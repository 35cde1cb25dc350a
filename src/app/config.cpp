#include "app/config.hpp"

#include <map>
#include <nlohmann/json.hpp>

#include "discovery/member_json.hpp"

namespace whinledge {

namespace {

using Json = nlohmann::json;

// Descriptors: those that a sidecar needs beside its clients and servers, and the least it can serve with.
constexpr double kFewestSockets = 28, kMostSockets = 1 << 30;

[[noreturn]] void fail(const std::string& key, const std::string& what) {
    throw ConfigError("'" + key + "' " + what);
}

Json read_object(std::string_view text) {
    Json json = Json::parse(text, nullptr, false);
    if (!json.is_object()) throw ConfigError("no JSON object");
    return json;
}

const Json& member(const Json& object, const char* key) {
    const auto at = object.find(key);
    if (at == object.end() || at->is_null()) fail(key, "is missing");
    return *at;
}

template <class T>
T value(const Json& json, const std::string& key) {
    try {
        return json.get<T>();
    } catch (const Json::exception&) {
        fail(key, "has the wrong type");
    }
}
template <class T>
T get(const Json& object, const char* key) {
    return value<T>(member(object, key), key);
}
template <class T>
T get_or(const Json& object, const char* key, T fallback) {
    return object.contains(key) && !object[key].is_null() ? get<T>(object, key) : fallback;
}

template <class Protocol>
typename Protocol::endpoint endpoint(const std::string& text, const std::string& key) {
    const auto endpoint = parse_endpoint<Protocol>(text);
    if (!endpoint) fail(key, "is not ADDRESS:PORT");
    return *endpoint;
}
template <class Protocol>
typename Protocol::endpoint get_endpoint(const Json& object, const char* key) {
    return endpoint<Protocol>(get<std::string>(object, key), key);
}

// The settings' nested JSON by the paths that the simulator's wire uses for them.
class JsonFields : public Fields {
public:
    explicit JsonFields(const Json& settings) { add(settings, ""); }
    std::optional<std::string_view> find(std::string_view field) const override {
        const auto at = values_.find(field);
        return at == values_.end() ? std::nullopt : std::optional<std::string_view>(at->second);
    }
    std::string place() const override { return "settings"; }

private:
    static std::string scalar(const Json& json) {
        return json.is_string() ? json.get<std::string>() : json.dump();
    }
    void add(const Json& json, const std::string& path) {
        const std::string prefix = path.empty() ? "" : path + ".";
        if (json.is_object()) {
            for (const auto& [key, item] : json.items()) add(item, prefix + key);
        } else if (json.is_array() && !json.empty() && json.front().is_object()) {
            values_[prefix + "count"] = std::to_string(json.size());
            for (std::size_t i = 0; i < json.size(); ++i) add(json[i], prefix + std::to_string(i));
        } else if (json.is_array()) {
            std::string& list = values_[path];
            for (const Json& item : json) (list += list.empty() ? "" : ",") += scalar(item);
        } else if (!json.is_null()) {
            values_[path] = scalar(json);
        }
    }
    std::map<std::string, std::string, std::less<>> values_;
};

// Discovery's form of a list.
MemberList members(const Json& json) {
    try {
        return read_member_list(json.dump(), {.distinct_addresses = false});
    } catch (const MemberJsonError& error) {
        throw ConfigError(std::string("'known': ") + error.what());
    }
}

std::uint64_t read_seed(const std::string& hex) {
    std::uint64_t seed = 0;
    if (!parse(hex, seed, 16)) fail("seed", "is not a hexadecimal number");
    return seed;
}

std::size_t read_sockets(const Json& limits) {
    if (!limits.is_object()) fail("limits", "has the wrong type");
    const auto at = limits.find("sockets");
    if (at == limits.end() || at->is_null()) fail("limits.sockets", "is missing");
    const auto sockets = value<double>(*at, "limits.sockets");
    if (!(sockets >= kFewestSockets)) fail("limits.sockets", "is too few to work with");
    if (sockets > kMostSockets) fail("limits.sockets", "is too large");
    return static_cast<std::size_t>(sockets);
}

void read_settings(Config& config, const Json& json) {
    const JsonFields fields(json);
    try {
        config.site = read_site(fields);
        config.connect_timeout = fields.span("limits.connect-timeout-ms");
        config.idle_close = fields.time("limits.idle-close-ms");
        config.may_probe = fields.flag("limits.may-probe");
        config.may_tell = fields.flag("limits.may-tell");
    } catch (const FieldError& error) {
        throw ConfigError(error.what());
    }
}

}  // namespace

Config read_config(std::string_view text) {
    const Json json = read_object(text);
    Config config;
    config.name = get<std::string>(json, "name");
    config.listen = get_endpoint<Tcp>(json, "listen");
    config.discovery = get_endpoint<Tcp>(json, "discovery");
    config.seed = read_seed(get<std::string>(json, "seed"));
    config.sockets = read_sockets(member(json, "limits"));
    if (json.contains("peer_listen")) config.peer_listen = get_endpoint<Udp>(json, "peer_listen");
    if (json.contains("peers_all")) config.peers_all = get_endpoint<Udp>(json, "peers_all");
    for (const std::string& peer : get_or<std::vector<std::string>>(json, "peers", {}))
        config.peers.push_back(endpoint<Udp>(peer, "peers"));
    config.known = members(member(json, "known"));
    const Json& settings = member(json, "settings");
    if (!settings.is_object()) fail("settings", "has the wrong type");
    read_settings(config, settings);
    return config;
}

}  // namespace whinledge
