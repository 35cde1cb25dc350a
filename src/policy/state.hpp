// What the decisions know of each server and each request. Nothing here decides anything.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <vector>

#include "policy/support.hpp"

namespace kestrelhall {

// Whether an optional list has no say or names the value.
template <class T>
bool holds(const std::optional<std::vector<T>>& list, T value) {
    return !list || std::find(list->begin(), list->end(), value) != list->end();
}

enum class Standing { live, removed, trial };

struct Server {
    ServerInfo info;
    bool listed = true;
    int outstanding = 0;
    Standing standing = Standing::live;
    struct Result {
        std::uint32_t class_index;
        bool success;
    };
    std::deque<Result> window;                      // last outcomes
    std::map<std::uint32_t, Millis> shunned_until;  // by class
    Millis backoff_until = 0;
    Millis doubted_until = 0;  // Settings::doubt
    double tokens = 0;         // sends a cold server may still take
    Millis tokens_at = 0;
    Millis answered_at = 0;  // when anything last came from it
    Tally carried;           // its completed attempts
    bool in_use = false;     // in our part of the pool
    std::size_t seat = 0;    // its place there
    Millis sent_at = 0;      // when it last got a request
    bool warm = true;        // counted as warm
    Mean pace;               // its answers' time against their aim, of late

    bool on() const { return listed && info.phase == Phase::on; }
    double successes() const {
        return static_cast<double>(
            std::count_if(window.begin(), window.end(), [](const Result& w) { return w.success; }));
    }
    auto failures_of(std::uint32_t class_index) const {
        return std::count_if(window.begin(), window.end(),
                             [&](const Result& w) { return w.class_index == class_index && !w.success; });
    }
    // The share of successes in the window, of one class or of all the others; 0 where too few are there to
    // tell.
    double share_of(std::uint32_t class_index, bool own, double few) const {
        double good = 0, all = 0;
        for (const Result& w : window)
            if ((w.class_index == class_index) == own) ++all, good += w.success;
        return all >= few ? good / all : 0;
    }
};

struct Attempt {
    ServerInfo to;
    Millis sent_at = 0;
    bool out = true, may_have_run = true;
    bool trial = false, cold = false;
    bool proof = false;  // sent to see whether it is still hopeless
};

struct Request {
    RequestId id = 0;
    std::uint32_t class_index = 0;
    RequestClass kind;
    // The client's. Not the aim: giving up there makes clients repeat what a server is still working on,
    // while a late answer, worth as little, keeps them quiet.
    Millis deadline = 0;
    std::uint64_t order = 0;           // of arrival
    ServerId bound_to = 0;             // it may go there alone; 0: anywhere
    std::vector<ServerId> candidates;  // worth it for this one, ahead of all others; empty: all
    bool excess = false;               // beyond its tenant's share
    double work = 1;                   // in means, as far as anyone tells
    bool repeat = false, ended = false, streaming = false;
    bool waiting = false;                           // has its hold timer
    Millis hold_until = 0;                          // what waits for room is refused after this
    TimerToken deadline_timer = 0, hold_timer = 0;  // 0: none
    std::vector<Attempt> attempts;

    bool any_out() const {
        return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; });
    }
    const Attempt* first_possible_run() const {
        for (const Attempt& a : attempts)
            if (a.may_have_run) return &a;
        return nullptr;
    }
    bool tried(ServerId server) const {
        return std::any_of(attempts.begin(), attempts.end(),
                           [&](const Attempt& a) { return a.to.id == server; });
    }
};

}  // namespace kestrelhall
