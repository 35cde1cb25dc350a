// How many proxies are live, as one control process can tell: from those that watch it and from the numbers
// that the other control processes tell of theirs. Pure: the caller brings the time.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "control_plane/membership.hpp"

namespace whinledge::control_plane {

class ProxyCensus {
public:
    // A proxy counts for so long after its last word: longer than a restart takes.
    static constexpr Span kRemembered{10000};
    // A control process that has just started has not heard of all of them.
    static constexpr Span kSettling{3000};
    // Hellos come once a second.
    static constexpr Span kHelloHolds{3000};

    explicit ProxyCensus(Instant started) : started_(started) {}

    // Another control process says how many watch it.
    void told(const std::string& control, std::size_t watching, Instant now);
    // `watching`: proxies heard here. `watched_at_once`: control processes that each proxy watches, where
    // there are so many. None: not known yet.
    std::optional<std::size_t> live(std::size_t watching, std::size_t watched_at_once, Instant now);

private:
    struct Told {
        std::size_t watching = 0;
        Instant at{};
    };
    void forget(Instant now);

    Instant started_;
    std::map<std::string, Told> told_;  // by address of the control process
};

}  // namespace whinledge::control_plane
