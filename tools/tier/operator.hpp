// The operator: sends configurations, good, bad and racing ones, orders retirements, and reads back.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tier/http.hpp"

namespace whinledge::tier_rig {

// A configuration as sent.
std::string configuration_json(std::int64_t version, const std::vector<RouteSpec>& routes);

class Operator {
public:
    // `controls`: the control ports of the sidecars that serve it, as the operator's list has them.
    Operator(World& world, std::function<std::vector<Tcp::endpoint>()> controls);

    struct Change {
        std::int64_t version = 0, based_on = 0;
        std::vector<RouteSpec> routes;
        bool valid = true;
        std::string text;  // in place of what the routes give
    };
    // Sends it until it is acknowledged or refused, or the limit has passed. The order stays in the record.
    Task<const Order*> replace(Change change, Millis limit);
    // Asks until it comes or the limit has passed.
    Task<void> read_back(Millis limit);
    // The status of the last answer; 0: none came.
    Task<int> begin_retirement(std::string node, Millis limit);
    // Whether it was said to be finished within the limit.
    Task<bool> await_retirement(std::string node, Millis limit);

private:
    struct Reply {
        int status = 0;  // 0: no answer
        std::string body;
    };
    // One call with its redirects, at the next sidecar of the list.
    Task<Reply> ask_once(Request request);
    // Until an answer ends the call or the limit has passed.
    Task<Reply> ask(Request request, Millis limit);

    World& world_;
    std::function<std::vector<Tcp::endpoint>()> controls_;
    std::size_t next_ = 0;
};

}  // namespace whinledge::tier_rig
