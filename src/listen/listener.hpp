// A listener of whatever protocol: the daemon opens, drains and ends all of them alike.
#pragma once

#include "listen/door.hpp"

namespace whinledge {

// On the loop's thread.
class Listener {
public:
    virtual ~Listener() = default;
    virtual Door& door() = 0;
    const Door& door() const { return const_cast<Listener&>(*this).door(); }

    Door::Tcp::endpoint address() const { return door().address(); }
    std::size_t clients() const { return door().guests(); }
    // Goes on taking requests for that long (milliseconds), closing each connection with its answer; then
    // refuses what is still being read and finishes what it has taken.
    void drain(Millis accepting) { door().drain(accepting); }
    // Ends that time now.
    void stop_accepting() { door().stop_accepting(); }
    void hurry() { door().hurry(); }
};

}  // namespace whinledge
