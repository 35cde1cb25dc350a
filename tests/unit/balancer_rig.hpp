// What the tests of the balancer share: requests in ones, threes and at once, and the servers and sidecars
// that they begin with.
#pragma once

#include "rig/rig.hpp"

namespace kestrelhall::test {

// Sends one request and ends it so; returns the server that got it. Fails the test if it was not sent.
inline ServerId one(Rig& rig, Outcome outcome, Millis after = 20, std::uint32_t class_index = 0) {
    const RequestId id = rig.request(class_index);
    if (!rig.out(id)) {
        ADD_FAILURE() << "not sent";
        return 0;
    }
    const ServerId server = rig.where(id);
    rig.end(id, outcome, after);
    return server;
}

// Three requests at a time; those that reach `bad` end as given, the others are served. First all are, until
// the windows are full: the mechanism is at home where traffic is not thin.
// Returns how many ended so; no more than `most` do.
inline int drive(Rig& rig, int requests, ServerId bad, Outcome outcome, int most = 1000) {
    if (rig.requests.empty() && bad != 0) drive(rig, 240, 0, Outcome::completed);
    int ended = 0;
    for (int i = 0; i < requests; i += 3)
        for (const RequestId id : rig.burst(3))
            while (rig.out(id)) {
                const bool hit = rig.where(id) == bad && ended < most;
                ended += hit;
                rig.end(id, hit ? outcome : Outcome::completed, 10);
            }
    return ended;
}

// Requests that reach a server, three at a time.
inline int reach(Rig& rig, int requests, ServerId server) {
    return drive(rig, requests, server, Outcome::completed);
}

inline int share_to(Rig& rig, int requests, ServerId server) {
    int hits = 0;
    for (int i = 0; i < requests; ++i) hits += one(rig, Outcome::completed, 10) == server;
    return hits;
}

// `count` requests at once, so that each server gets its part: the slow servers' answers take `late`, the
// others' come 5 ms after each other.
template <class Slow>
inline void at_once(Rig& rig, int count, Slow slow, Millis late) {
    const std::vector<RequestId> ids = rig.burst(count, 5000);
    for (const RequestId id : ids)
        if (rig.out(id) && !slow(rig.where(id))) rig.end(id, Outcome::completed, 5);
    rig.serve(ids, late);
}

// The first of `count` servers has just started.
inline void restart_first(Rig& rig, ServerId count) {
    std::vector<ServerInfo> servers = make_servers(count);
    servers[0].online_since = rig.now;
    rig.list(ListKind::full, servers);
}

// What is busy uses many servers: `count` requests at once, answered quickly.
inline void widen(Rig& rig, int count) { rig.serve(rig.burst(count), 5); }

// One of so many sidecars, which knows `count` servers.
inline Rig among(std::uint32_t siblings, ServerId count) {
    Settings s = make_settings();
    s.siblings = siblings;
    Rig rig(s);
    rig.list(ListKind::full, make_servers(count));
    return rig;
}

inline Settings once_settings() { return make_settings({make_class(Effect::once)}); }

// Crowds a rig: answers take nearly twice the aim for a while.
inline void crowd(Rig& rig, int count = 100) {
    for (int round = 0; round < 6; ++round) {
        rig.serve(rig.burst(count, 2000), 700);
        rig.pass(0);
    }
}

}  // namespace kestrelhall::test
