// What processes tell each other of openings: the leading parts of prompts that several programs share, and
// how often requests of late begin with them. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace whinledge::openings {

using Millis = double;

struct Opening {
    std::uint64_t key = 0;    // of its last part and the model: alike in all processes
    std::int64_t tokens = 0;  // of all its parts
    double rate = 0;          // requests a second that begin with it

    // Tokens a second that it spares where it is kept.
    double weight() const { return rate * static_cast<double>(tokens); }
    bool operator==(const Opening&) const = default;
};

// Requests to the model servers of one service.
struct ServiceTraffic {
    std::string service;
    double rate = 0;                  // requests a second, all of them
    std::vector<Opening> openings{};  // heaviest first

    bool operator==(const ServiceTraffic&) const = default;
};

using Traffic = std::vector<ServiceTraffic>;  // by name of the service

// What one node, or one sum, tells at most, over all services.
inline constexpr std::size_t kMostServices = 16;
inline constexpr std::size_t kMostToldOpenings = 16;
inline constexpr std::size_t kMostSummedOpenings = 32;
// Of a subtotal between control processes, so that what is light at each and heavy in all is seen.
inline constexpr std::size_t kMostSubtotalOpenings = 64;

// The heaviest openings of all services, so many in all; services without traffic are left out.
Traffic heaviest(Traffic traffic, std::size_t most);

// Whether others should hear of the second who hold the first: another opening, or a figure that is another
// by more than a fifth of itself.
bool differs(const Traffic& told, const Traffic& now);

// Adds traffic up, service by service and opening by opening.
class TrafficSum {
public:
    void add(const Traffic& traffic);
    Traffic heaviest(std::size_t most) const;

private:
    struct Service {
        double rate = 0;
        std::map<std::uint64_t, Opening> openings;
    };
    std::map<std::string, Service> services_;
};

}  // namespace whinledge::openings
