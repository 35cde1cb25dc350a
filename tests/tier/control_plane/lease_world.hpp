// Leases on a simulated network and clocks of different rates.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "control_plane/lease.hpp"

namespace whinledge::control_plane::test {

using Millis = long;

// Processes that vote and ask, each with a clock of its own rate.
class LeaseWorld {
public:
    struct Node {
        std::string address;
        double rate = 1;
        std::optional<LeaseGrantor> grantor;
        std::optional<LeaseHolder> holder;
        std::int64_t identity = 0;  // of this start
        Millis frozen_until = 0;
        Millis slow = 0;  // that each message takes longer to leave and to be taken
        std::vector<std::function<void()>> held_back;  // what came while it was frozen
    };

    LeaseWorld(int count, std::uint64_t seed, LeaseTimes its_times = {}) : times(its_times), random_(seed) {
        for (int i = 0; i < count; ++i) {
            nodes.emplace_back();
            nodes.back().address = std::string("n").append(std::to_string(i));
            all.addresses.push_back(nodes.back().address);
            boot(i, true);
        }
    }

    void boot(int i, bool nothing_forgotten = false) {
        Node& node = nodes[static_cast<std::size_t>(i)];
        const Instant from = nothing_forgotten ? Instant() : local(i) + times.grant;
        node.grantor.emplace(from, times.grant);
        node.identity = ++identities_;
        node.holder.emplace("duty", node.identity, node.address, random_(), times);
        node.held_back.clear();
    }

    Instant local(int i) const {
        return Instant(std::chrono::hours(1)) +
               std::chrono::duration_cast<Instant::duration>(std::chrono::duration<double, std::milli>(
                   static_cast<double>(now) * nodes[static_cast<std::size_t>(i)].rate));
    }
    bool held(int i) const { return nodes[static_cast<std::size_t>(i)].holder->held(local(i)); }
    std::vector<int> holders() const {
        std::vector<int> found;
        for (int i = 0; i < static_cast<int>(nodes.size()); ++i)
            if (held(i)) found.push_back(i);
        return found;
    }
    bool frozen(int i) const { return nodes[static_cast<std::size_t>(i)].frozen_until > now; }
    void freeze(int i, Millis span) { nodes[static_cast<std::size_t>(i)].frozen_until = now + span; }

    void step() {
        ++now;
        for (auto at = due_.begin(); at != due_.end() && at->first <= now; at = due_.erase(at)) {
            const auto act = at->second;
            act();
        }
        for (int i = 0; i < static_cast<int>(nodes.size()); ++i) {
            Node& node = nodes[static_cast<std::size_t>(i)];
            if (frozen(i)) continue;
            for (const auto& act : std::exchange(node.held_back, {})) act();
            if ((now + i * 7) % 50 == 0) tick(i);
        }
    }
    void run(Millis span) {
        for (const Millis end = now + span; now < end;) step();
    }

    std::vector<Node> nodes;
    LeaseVoters all;  // vote where `voters_of` is not set
    // As a node knows them, and whether it has accepted the end of their epoch.
    std::function<LeaseVoters(int)> voters_of;
    std::function<bool(int)> epoch_ends = [](int) { return false; };
    std::function<void(wire::LeaseRequest&)> tamper;  // with requests on their way
    LeaseTimes times;
    Millis now = 0;
    int lost_in_100 = 0;
    Millis longest_delay = 2;
    std::function<bool(int, int)> cut = [](int, int) { return false; };

private:
    LeaseVoters voters(int node) const { return voters_of ? voters_of(node) : all; }
    int index(const std::string& address) const { return std::stoi(address.substr(1)); }

    void tick(int i) {
        Node& node = nodes[static_cast<std::size_t>(i)];
        auto sends = node.holder->tick(local(i), voters(i), 1000 + now);
        for (const LeaseHolder::Send& send : sends)
            ask(i, index(send.to), send.request, node.holder->round());
    }
    // As LeaseService asks: a call without a reply in time has ended, and its late reply is nobody's.
    void ask(int from, int to, wire::LeaseRequest request, std::uint64_t round) {
        if (tamper) tamper(request);
        const auto open = std::make_shared<bool>(true);
        const auto end = [this, from, to, round, open,
                          asker = request.holder](const wire::LeaseReply* reply) {
            Node& node = nodes[static_cast<std::size_t>(from)];
            if (!std::exchange(*open, false) || node.identity != asker) return;  // or restarted since
            node.holder->on_reply(round, nodes[static_cast<std::size_t>(to)].address, reply, local(from));
        };
        at_own_time(from, now + times.reply.count(), [end] { end(nullptr); });
        carry(from, to, [this, from, to, request, end] {
            LeaseGrantor& voter = *nodes[static_cast<std::size_t>(to)].grantor;
            if (voters(to).epoch > 0) voter.observe(voters(to).epoch, epoch_ends(to), local(to));
            const wire::LeaseReply reply = voter.handle(request, local(to));
            carry(to, from, [reply, end] { end(&reply); });
        });
    }
    void at_own_time(int node, Millis when, std::function<void()> act) {
        due_.emplace(when, [this, node, act] {
            if (frozen(node))
                nodes[static_cast<std::size_t>(node)].held_back.push_back(act);
            else
                act();
        });
    }
    void carry(int from, int to, std::function<void()> act) {
        if (from != to && (cut(from, to) || static_cast<int>(random_() % 100) < lost_in_100)) return;
        const Millis delay =
            from == to
                ? 0
                : 1 + static_cast<Millis>(random_() % static_cast<unsigned long>(longest_delay)) +
                      nodes[static_cast<std::size_t>(from)].slow + nodes[static_cast<std::size_t>(to)].slow;
        at_own_time(to, now + delay, act);
    }

    std::mt19937_64 random_;
    std::multimap<Millis, std::function<void()>> due_;
    std::int64_t identities_ = 0;
};

}  // namespace whinledge::control_plane::test
