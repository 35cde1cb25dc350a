// The operator's configuration: what it says, checked as a whole, and the routes compiled for lookup. Shared
// by the control plane, which takes it, and the data plane, which serves by it. Pure.
#pragma once

#include <boost/outcome/result.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace whinledge::serving {

enum class RouteKind { repeatable, one_shot, streaming };

struct WeightedService {
    std::string service;
    double weight = 1;
};

struct Route {
    std::string name;
    std::string host;        // lower case
    std::string path_start;  // begins and ends with a slash
    RouteKind kind = RouteKind::one_shot;
    double timeout_ms = 0;
    double target_ms = 0;
    int priority = 0;  // rank, 0 is highest
    std::vector<WeightedService> split;
    int tries = 1;  // servers to which one try may be sent, at most
    bool remembered = false;
    double keep_for_s = 0;
    bool sticky = false;
    bool resume = false;
    double gap_aim_ms = 0;  // longest pause between events that is in time; 0: not stated
};

struct Engine {  // of model servers
    int slots = 0;
    std::int64_t memory_tokens = 0;
    int chunk_tokens = 1;  // in each event
};

struct Service {
    std::string name;
    std::string health_path;
    int max_connections = 0;  // of a server, from all callers together
    std::optional<Engine> engine;
};

struct ClientLimits {
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = 4194304;
    double header_ms = 3000;
    double idle_ms = 15000;
};

enum class ConfigurationFault {
    unreadable,       // no JSON, or cut short
    bad_field,        // missing, or of the wrong type or range
    unknown_service,  // a route names a service that there is not
    same_place,       // two routes with one host and prefix
    no_weight,        // a route's weights sum to 0
    no_timeout,       // a route's timeoutMs is 0
};

struct ConfigurationError {
    ConfigurationFault fault = ConfigurationFault::unreadable;
    std::string message;  // names the route, service or key and the remedy
};

class Configuration {
public:
    std::int64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    ClientLimits limits;

    // The route of a request: of those of the host, the longest prefix that begins the path. Null: none.
    const Route* find(std::string_view host, std::string_view path) const;
    const Service* service(std::string_view name) const;
    // Seconds, rounded up, of the route that keeps its turns longest; 0: none keeps any.
    int longest_keep_for_s() const;

    // Of what find() needs; called by parse().
    void index();

private:
    struct HostRoutes {
        std::string host;
        std::size_t longest = 0;          // bytes of its longest prefix
        std::vector<std::size_t> routes;  // by prefix
    };
    std::vector<HostRoutes> hosts_;      // by name
    std::vector<std::size_t> services_;  // by name
};

template <class T>
using ConfigurationResult =
    boost::outcome_v2::result<T, ConfigurationError, boost::outcome_v2::policy::all_narrow>;

// Reads and checks a whole configuration. Unknown fields are ignored. Whether `version` is above the current
// one is the caller's to check.
ConfigurationResult<std::shared_ptr<const Configuration>> parse_configuration(std::string_view json);

}  // namespace whinledge::serving
