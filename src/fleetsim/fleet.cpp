#include "fleetsim/fleet.hpp"

#include <algorithm>
#include <utility>

namespace whinledge::fleetsim {

namespace {

constexpr std::size_t kSocketBuffer = 256;  // datagrams that wait for a process that stands still

}  // namespace

Fleet::Fleet(const Options& options) : loss(options.loss), options_(options), random_(options.seed) {
    nodes_.resize(options.members);
    std::vector<Key> all;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        nodes_[i].key = fleet::key_of(name(i));
        by_key_.emplace_back(nodes_[i].key, i);
        all.push_back(nodes_[i].key);
    }
    std::sort(by_key_.begin(), by_key_.end());
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        nodes_[i].configured = all;
        start(i, 0);
        // Its first tick comes later; until then it hears.
        nodes_[i].wakes_at =
            options.start_within * static_cast<double>(i) / static_cast<double>(nodes_.size());
        happenings_.push({nodes_[i].wakes_at, next_order_++, i, i, true, {}});
    }
}

std::optional<std::size_t> Fleet::index(Key key) const {
    const auto at = std::lower_bound(by_key_.begin(), by_key_.end(), std::pair{key, std::size_t{0}});
    if (at == by_key_.end() || at->first != key) return std::nullopt;
    return at->second;
}

void Fleet::start(std::size_t i, Millis clock_off) {
    Node& node = nodes_[i];
    fleet::MembershipSettings settings;
    settings.fleet = fleet_;
    settings.self = node.key;
    settings.period = options_.period;
    settings.seed = random_();
    settings.members = node.configured;
    settings.tuning = options_.tuning;
    settings.born = node.born = static_cast<fleet::Incarnation>(kEpoch + now_ + clock_off);
    node.membership = std::make_unique<fleet::Membership>(settings);
    node.stopped = false;
    node.waiting.clear();
    ++node.life;
}

void Fleet::wake(std::size_t i) {
    Node& node = nodes_[i];
    if (!node.membership || node.stopped) return;
    const Millis due = std::max(now_, node.membership->due());
    if (due >= node.wakes_at) return;
    node.wakes_at = due;
    happenings_.push({due, next_order_++, i, i, true, {}});
}

void Fleet::run(Millis until) {
    while (!happenings_.empty() && happenings_.top().at <= until) {
        Happening next = happenings_.top();
        happenings_.pop();
        now_ = std::max(now_, next.at);
        Node& node = nodes_[next.to];
        if (!next.tick) {
            handle(next.to, next.from, next.bytes);
            continue;
        }
        if (next.at != node.wakes_at) continue;  // another one has taken its place
        node.wakes_at = 1e300;
        if (!node.membership || node.stopped) continue;
        fleet::FleetActions actions;
        node.membership->tick(now_, actions);
        carry_out(next.to, actions);
        wake(next.to);
    }
    now_ = std::max(now_, until);
}

std::optional<Millis> Fleet::run_until(const std::function<bool()>& holds, Millis until, Millis step) {
    for (; now_ < until; run(std::min(until, now_ + step)))
        if (holds()) return now_;
    return holds() ? std::optional(now_) : std::nullopt;
}

void Fleet::handle(std::size_t to, std::size_t from, const std::vector<std::uint8_t>& bytes) {
    Node& node = nodes_[to];
    if (!node.membership) return;
    if (node.stopped) {
        if (node.waiting.size() < kSocketBuffer) node.waiting.emplace_back(from, bytes);
        return;
    }
    const fleet::Decoded read = fleet::decode(bytes, fleet_);
    // From another's address it is nobody's.
    if (!read.datagram || read.datagram->from != nodes_[from].key) {
        ++counts_.unreadable;
        return;
    }
    fleet::FleetActions actions;
    node.membership->receive(now_, *read.datagram, actions);
    carry_out(to, actions);
    wake(to);
}

void Fleet::carry_out(std::size_t i, const fleet::FleetActions& actions) {
    for (const fleet::FleetAction& action : actions) {
        if (const auto* const tell = std::get_if<fleet::Tell>(&action)) {
            const auto to = index(tell->to);
            std::vector<std::uint8_t> bytes = fleet::encode(tell->datagram);
            ++counts_.datagrams;
            ++nodes_[i].sent;
            counts_.bytes += bytes.size();
            counts_.longest = std::max<std::uint64_t>(counts_.longest, bytes.size());
            if (!to) continue;
            const bool lost = (loss > 0 && unit() < loss) || (passes && !passes(i, *to));
            if (lost) {
                ++counts_.lost;
                continue;
            }
            if (takes && takes(i, *to, bytes)) continue;
            deliver(i, *to, std::move(bytes),
                    options_.least_delay + unit() * (options_.most_delay - options_.least_delay));
        } else if (const auto* const changed = std::get_if<fleet::Changed>(&action)) {
            if (on_change) on_change(i, *changed);
        } else if (const auto* const standing = std::get_if<fleet::StandingChanged>(&action)) {
            if (on_standing) on_standing(i, *standing);
        } else {
            ++counts_.disputed;
        }
    }
}

void Fleet::deliver(std::size_t from, std::size_t to, std::vector<std::uint8_t> bytes, Millis delay) {
    happenings_.push({now_ + delay, next_order_++, to, from, false, std::move(bytes)});
}

void Fleet::kill(std::size_t i) {
    nodes_[i].membership.reset();
    nodes_[i].waiting.clear();
}

void Fleet::restart(std::size_t i, Millis clock_off) {
    start(i, clock_off);
    nodes_[i].wakes_at = 1e300;
    wake(i);
}

void Fleet::stop(std::size_t i) { nodes_[i].stopped = true; }

void Fleet::go_on(std::size_t i) {
    Node& node = nodes_[i];
    if (!node.stopped) return;
    node.stopped = false;
    node.wakes_at = 1e300;
    // Timers and sockets are both ready; which comes first is chance.
    const auto waiting = std::exchange(node.waiting, {});
    if (random_() % 2) wake(i), run(now_);
    for (const auto& [from, bytes] : waiting) handle(i, from, bytes);
    wake(i);
}

void Fleet::leave(std::size_t i) {
    act(i, [&](fleet::Membership& m, fleet::FleetActions& actions) { m.leave(now_, actions); });
    kill(i);
}

void Fleet::configure(std::size_t i, const std::vector<std::size_t>& members) {
    nodes_[i].configured.clear();
    for (const std::size_t m : members) nodes_[i].configured.push_back(nodes_[m].key);
    if (!up(i)) return;
    act(i, [&](fleet::Membership& m, fleet::FleetActions& actions) {
        m.configure(now_, nodes_[i].configured, actions);
    });
}

void Fleet::act(std::size_t i, const std::function<void(fleet::Membership&, fleet::FleetActions&)>& what) {
    fleet::FleetActions actions;
    what(*nodes_[i].membership, actions);
    carry_out(i, actions);
    wake(i);
}

bool Fleet::all_hold(std::size_t i, fleet::State state,
                     const std::function<bool(std::size_t)>& counted) const {
    for (std::size_t m = 0; m < nodes_.size(); ++m) {
        if (m == i || !nodes_[m].membership || (counted && !counted(m))) continue;
        const auto peer = nodes_[m].membership->peer(nodes_[i].key);
        if (!peer || peer->state != state) return false;
    }
    return true;
}

bool Fleet::views_equal(const std::function<bool(std::size_t)>& counted) const {
    std::optional<std::uint32_t> first;
    for (std::size_t m = 0; m < nodes_.size(); ++m) {
        if (!nodes_[m].membership || (counted && !counted(m))) continue;
        const std::uint32_t view = nodes_[m].membership->view();
        if (first.value_or(view) != view) return false;
        first = view;
    }
    return true;
}

}  // namespace whinledge::fleetsim
