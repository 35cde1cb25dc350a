#include "openings_fleet.hpp"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <utility>

namespace whinledge::openings {

namespace {

constexpr Millis kLook = 50, kTick = 50;  // as data_plane/openings_share and control_plane/openings_service
constexpr std::size_t kFailuresUntilNext = 2;

template <class Message>
std::size_t bytes_of(const Message& message) {
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(buffer);
    message.write(&protocol);
    return buffer->available_read();
}

}  // namespace

OpeningsFleet::OpeningsFleet(const Options& options) : options_(options), random_(options.seed) {
    for (std::size_t control = 0; control < options.controls; ++control) {
        controls_.emplace_back(random_() | 1);
        at(std::uniform_real_distribution<Millis>(0, kTick)(random_), [this, control] { tick(control); });
    }
    for (std::size_t node = 0; node < options.nodes; ++node) {
        nodes_.emplace_back();
        nodes_.back().identity = random_();
        nodes_.back().control = node % options.controls;
        at(std::uniform_real_distribution<Millis>(0, kLook)(random_), [this, node] { look(node); });
    }
}

void OpeningsFleet::run_until(Millis end) {
    while (!queue_.empty() && queue_.begin()->first <= end) {
        now_ = queue_.begin()->first;
        const auto what = std::move(queue_.begin()->second);
        queue_.erase(queue_.begin());
        what();
    }
    now_ = end;
}

Millis OpeningsFleet::way() {
    Millis way = options_.way * std::uniform_real_distribution<Millis>(1, 2)(random_);
    for (Millis again = options_.sent_again; std::bernoulli_distribution(options_.lost)(random_); again *= 2)
        way += again;
    return way;
}

void OpeningsFleet::restart(std::size_t node) {
    Node& restarted = nodes_[node];
    restarted.teller = Teller();
    restarted.identity = random_();
    ++restarted.life;
}

void OpeningsFleet::restart_control(std::size_t control) { controls_[control] = Merger(random_() | 1); }

void OpeningsFleet::look(std::size_t node) {
    at(now_ + kLook, [this, node] { look(node); });
    Node& teller = nodes_[node];
    teller.teller.sum(now_);
    const auto word = teller.teller.due(seen(node, now_), now_);
    if (word) tell(node, to_wire(teller.identity, *word));
}

void OpeningsFleet::fail(std::size_t node) {
    Node& failed = nodes_[node];
    failed.teller.failed();
    if (++failed.failures % kFailuresUntilNext == 0) failed.control = (failed.control + 1) % controls_.size();
}

void OpeningsFleet::tell(std::size_t node, const wire::OpeningsRequest& request) {
    const Millis there = way(), back = way();
    const std::size_t control = nodes_[node].control;
    const std::uint64_t life = nodes_[node].life;
    const bool arrives = !cut_.contains(node) && !stopped_.contains(control);
    const bool in_time = arrives && there + back < options_.call_timeout;
    node_bytes_ += bytes_of(request);
    if (!in_time)
        at(now_ + options_.call_timeout, [this, node, life] {
            if (nodes_[node].life == life) fail(node);
        });
    if (!arrives) return;
    at(now_ + there, [this, node, control, life, request, back, in_time] {
        const wire::OpeningsReply reply = answer(controls_[control], request, now_);
        node_bytes_ += bytes_of(reply);
        if (!in_time) return;
        at(now_ + back, [this, node, life, reply] {
            if (nodes_[node].life == life) nodes_[node].teller.answered(from_wire(reply), now_);
        });
    });
}

void OpeningsFleet::tick(std::size_t control) {
    at(now_ + kTick, [this, control] { tick(control); });
    if (stopped_.contains(control)) return;
    const auto subtotal = controls_[control].subtotal(now_);
    if (!subtotal) return;
    const wire::OpeningsSubtotal message = to_wire(*subtotal);
    for (std::size_t other = 0; other < controls_.size(); ++other) {
        if (other == control) continue;
        control_bytes_ += bytes_of(message);
        at(now_ + way(), [this, other, message] {
            if (!stopped_.contains(other)) controls_[other].heard(from_wire(message), now_);
        });
    }
}

}  // namespace whinledge::openings
