#include "overlay_fleet.hpp"

#include <algorithm>
#include <utility>

#include "rpc/codec.hpp"

namespace whinledge::overlay {
std::string OverlayFleet::address(std::size_t i) {
    return std::string("10.").append(std::to_string(i / 250 + 1)) + ".0." + std::to_string(i % 250 + 1) +
           ":7380";
}

OverlayFleet::OverlayFleet(const Options& options)
    : loss(options.loss), options_(options), random_(options.seed) {
    processes_.resize(options.controls + options.edges);
    for (std::size_t i = 0; i < size(); ++i) by_address_[address(i)] = i;
    // In any order.
    for (std::size_t i = 0; i < size(); ++i) {
        now_ = unit() * options.start_within;
        start(i);
        processes_[i].busy_until = now_;  // not there before
    }
    now_ = 0;
}

void OverlayFleet::start(std::size_t i) {
    Process& process = processes_[i];
    OverlayNode::Options options;
    options.self.address = address(i);
    options.self.incarnation = static_cast<std::int64_t>(next_order_ + 1);
    options.self.control = i < options_.controls;
    options.self.zone = std::string("zone-").append(std::to_string(i % options_.zones));
    for (std::size_t seed = 0; seed < std::min<std::size_t>(options_.controls, 3); ++seed)
        options.seeds.push_back(address(seed));
    options.sizes = options.self.control ? ViewSizes::of_control() : ViewSizes::of_edge();
    options.started = now_;
    options.random_seed = random_();
    options.grafts = options_.grafts;
    process.node = std::make_unique<OverlayNode>(options);
    ++process.life;
    process.frozen = process.dark = false;
    process.waiting.clear();
    process.delivered.clear();
    process.wakes_at = kNever;
    process.handling = options_.handling;
    wake(i);
}

void OverlayFleet::kill(std::size_t i) {
    processes_[i].node.reset();
    processes_[i].waiting.clear();
    processes_[i].frozen = false;
}

void OverlayFleet::power_off(std::size_t i) {
    kill(i);
    processes_[i].dark = true;
}

void OverlayFleet::freeze(std::size_t i) { processes_[i].frozen = true; }

void OverlayFleet::thaw(std::size_t i) {
    processes_[i].frozen = false;
    const std::deque<Happening> waiting = std::exchange(processes_[i].waiting, {});
    for (Happening happening : waiting) {
        happening.at = now_;
        happening.order = next_order_++;
        happenings_.push(std::move(happening));
    }
    wake(i);
}

// ---- Running
// -------------------------------------------------------------------------------------------------

void OverlayFleet::wake(std::size_t i) {
    Process& process = processes_[i];
    if (!process.node || process.frozen) return;
    const Millis due = std::max(now_, process.node->due());
    if (due >= process.wakes_at) return;
    process.wakes_at = due;
    happenings_.push({Happening::Kind::tick, due, next_order_++, i, nullptr, nullptr});
}

void OverlayFleet::later(Happening::Kind kind, Millis delay, std::size_t to, CallPtr call,
                         std::shared_ptr<wire::OverlayReply> reply) {
    happenings_.push({kind, now_ + delay, next_order_++, to, std::move(call), std::move(reply)});
}

void OverlayFleet::run(Millis duration) {
    const Millis until = now_ + duration;
    while (!happenings_.empty() && happenings_.top().at <= until) {
        Happening next = happenings_.top();
        happenings_.pop();
        now_ = std::max(now_, next.at);
        happen(std::move(next));
    }
    now_ = until;
}

std::optional<Millis> OverlayFleet::run_until(const std::function<bool()>& holds, Millis within,
                                              Millis step) {
    const Millis from = now_;
    for (; now_ < from + within; run(step))
        if (holds()) return now_ - from;
    return holds() ? std::optional(now_ - from) : std::nullopt;
}

void OverlayFleet::happen(Happening happening) {
    Process& process = processes_[happening.to];
    const bool tick = happening.kind == Happening::Kind::tick;
    if (tick && happening.at != process.wakes_at) return;  // another one has taken its place
    if (tick) process.wakes_at = kNever;
    if (process.frozen) {
        if (!tick) process.waiting.push_back(std::move(happening));
        return;
    }
    if (!process.node) {
        if (happening.kind == Happening::Kind::request && !process.dark)
            later(Happening::Kind::refusal, delay(), happening.call->from, happening.call);
        return;
    }
    const bool work = happening.kind == Happening::Kind::request || happening.kind == Happening::Kind::reply;
    if (work && process.busy_until > now_) {
        happening.at = process.busy_until;
        happenings_.push(std::move(happening));
        return;
    }
    if (work) process.busy_until = now_ + process.handling;
    handle(happening);
    wake(happening.to);
}

void OverlayFleet::handle(const Happening& happening) {
    if (happening.kind == Happening::Kind::request) return handle_request(happening);
    OverlayNode& node = *processes_[happening.to].node;
    Effects effects;
    if (happening.kind == Happening::Kind::tick) {
        node.tick(now_, effects);
        return carry_out(happening.to, effects);
    }
    Call& call = *happening.call;
    if (call.done || call.life != processes_[happening.to].life) return;
    call.done = true;
    if (happening.kind == Happening::Kind::reply) {
        if (happening.reply->relay.prune) tell(Event::Kind::prune, call.to, call.from);
        node.answered(now_, call.outgoing, *happening.reply, effects);
    } else {
        const bool refused = happening.kind == Happening::Kind::refusal;
        node.failed(now_, call.outgoing, refused ? CallFailure::refused : CallFailure::timed_out, effects);
    }
    carry_out(happening.to, effects);
}

void OverlayFleet::handle_request(const Happening& happening) {
    Process& process = processes_[happening.to];
    const Call& call = *happening.call;
    tell_request(call);
    Effects effects;
    auto reply =
        std::make_shared<wire::OverlayReply>(process.node->handle(now_, call.outgoing.request, effects));
    const std::size_t reply_bytes = rpc::encode_body(*reply).size();
    ++process.cost.messages;
    process.cost.bytes += reply_bytes;
    processes_[call.from].cost.by_kind[static_cast<std::size_t>(kind_of(call.outgoing.request))].bytes +=
        reply_bytes;
    for (const wire::TopicPush& push : call.outgoing.request.relay.pushes) {
        ++process.cost.pushes;
        if (call.from % options_.zones != call.to % options_.zones) ++process.cost.far_pushes;
        const bool fresh =
            std::any_of(effects.delivered.begin(), effects.delivered.end(),
                        [&push](const Delivery& each) { return each.topic == push.version.topic; });
        if (!fresh) ++process.cost.duplicates;
    }
    carry_out(happening.to, effects);
    if (!gets_lost(happening.to, call.from))
        later(Happening::Kind::reply, delay(), call.from, happening.call, std::move(reply));
}

void OverlayFleet::carry_out(std::size_t i, Effects& effects) {
    for (const Delivery& delivery : effects.delivered) {
        Version& had = processes_[i].delivered[delivery.topic];
        if (delivery.version <= had)
            faults_.push_back(address(i) + " went from " + std::to_string(had.sequence) + " to " +
                              std::to_string(delivery.version.sequence));
        had = delivery.version;
        most_hops_ = std::max(most_hops_, delivery.hops);
        tell(Event::Kind::deliver, i, i, delivery.version.sequence);
    }
    for (Outgoing& outgoing : effects.calls) send(i, std::move(outgoing));
}

OverlayFleet::Kind OverlayFleet::kind_of(const wire::OverlayRequest& request) {
    if (request.__isset.neighbour) return Kind::neighbour;
    if (request.__isset.forward_join) return Kind::walk;
    if (request.__isset.shuffle) return Kind::shuffle;
    if (request.disconnect) return Kind::disconnect;
    if (!request.relay.pushes.empty()) return Kind::push;
    return request.relay.grafts.empty() ? Kind::sign_of_life : Kind::graft;
}

bool OverlayFleet::gets_lost(std::size_t from, std::size_t to) {
    return (loss > 0 && unit() < loss) || (passes && !passes(from, to));
}

void OverlayFleet::send(std::size_t i, Outgoing outgoing) {
    const std::size_t request_bytes = rpc::encode_body(outgoing.request).size();
    Cost& cost = processes_[i].cost;
    ++cost.messages;
    cost.bytes += request_bytes;
    KindCost& of_kind = cost.by_kind[static_cast<std::size_t>(kind_of(outgoing.request))];
    ++of_kind.calls;
    of_kind.bytes += request_bytes;
    const auto to = by_address_.find(outgoing.to.address);
    const std::size_t target = to == by_address_.end() ? i : to->second;
    auto call = std::make_shared<Call>(Call{i, target, processes_[i].life, std::move(outgoing)});
    if (to == by_address_.end()) return later(Happening::Kind::refusal, delay(), i, call);
    later(Happening::Kind::timeout, kCallTimeout, i, call);
    if (gets_lost(i, target)) return tell(Event::Kind::lost, i, target);
    later(Happening::Kind::request, delay(), target, call);
}

// ---- What is seen
// --------------------------------------------------------------------------------------------

void OverlayFleet::tell(Event::Kind kind, std::size_t from, std::size_t to, std::int64_t sequence) {
    if (on_event) on_event({kind, from, to, sequence});
}

void OverlayFleet::tell_request(const Call& call) {
    if (!on_event || !call.outgoing.request.__isset.relay) return;
    const wire::RelayMessage& message = call.outgoing.request.relay;
    for (const wire::TopicPush& push : message.pushes)
        tell(Event::Kind::push, call.from, call.to, push.version.sequence);
    for (const wire::TopicVersion& graft : message.grafts)
        tell(Event::Kind::graft, call.from, call.to, graft.sequence);
    if (message.pushes.empty() && message.grafts.empty() && !message.held.empty())
        tell(Event::Kind::digest, call.from, call.to, message.held.front().sequence);
}

void OverlayFleet::publish(std::size_t i, Topic topic, std::int64_t sequence, std::size_t bytes) {
    Effects effects;
    processes_[i].node->publish(now_, topic, {0, sequence}, std::make_shared<const std::string>(bytes, 'x'),
                                effects);
    carry_out(i, effects);
    wake(i);
}

std::int64_t OverlayFleet::held(std::size_t i, Topic topic) const {
    return processes_[i].node->tree().held(topic).sequence;
}

bool OverlayFleet::all_hold(Topic topic, std::int64_t sequence,
                            const std::function<bool(std::size_t)>& counted) const {
    for (std::size_t i = 0; i < size(); ++i)
        if (up(i) && !frozen(i) && (!counted || counted(i)) && held(i, topic) < sequence) return false;
    return true;
}

std::size_t OverlayFleet::without(Topic topic, std::int64_t sequence) const {
    std::size_t count = 0;
    for (std::size_t i = 0; i < size(); ++i)
        if (up(i) && !frozen(i) && held(i, topic) < sequence) ++count;
    return count;
}

bool OverlayFleet::connected(const std::function<bool(std::size_t)>& counted) const {
    const auto in = [&](std::size_t i) { return up(i) && !frozen(i) && (!counted || counted(i)); };
    std::vector<bool> seen(size(), false);
    std::vector<std::size_t> ahead;
    std::size_t all = 0, reached = 0;
    for (std::size_t i = 0; i < size(); ++i) {
        if (!in(i)) continue;
        ++all;
        if (ahead.empty()) ahead.push_back(i);
    }
    if (ahead.empty()) return true;
    seen[ahead.front()] = true;
    while (!ahead.empty()) {
        const std::size_t i = ahead.back();
        ahead.pop_back();
        ++reached;
        for (const auto& [address, contact] : at(i).view().active()) {
            const std::size_t j = index(address);
            if (seen[j] || !in(j) || !at(j).view().linked(OverlayFleet::address(i))) continue;
            seen[j] = true;
            ahead.push_back(j);
        }
    }
    return reached == all;
}

OverlayFleet::Cost OverlayFleet::total() const {
    Cost sum;
    for (const Process& process : processes_) {
        sum.messages += process.cost.messages;
        sum.bytes += process.cost.bytes;
        sum.pushes += process.cost.pushes;
        sum.far_pushes += process.cost.far_pushes;
        sum.duplicates += process.cost.duplicates;
        for (std::size_t kind = 0; kind < kKinds; ++kind) {
            sum.by_kind[kind].calls += process.cost.by_kind[kind].calls;
            sum.by_kind[kind].bytes += process.cost.by_kind[kind].bytes;
        }
    }
    return sum;
}

void OverlayFleet::reset_costs() {
    for (Process& process : processes_) process.cost = {};
}

}  // namespace whinledge::overlay
