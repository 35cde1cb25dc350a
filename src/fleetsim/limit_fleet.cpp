#include "fleetsim/limit_fleet.hpp"

#include <algorithm>
#include <cmath>

namespace whinledge::fleetsim {

using fleet::Millis;

namespace {

constexpr Millis kStep = 5;  // members look at their clocks so often

}  // namespace

LimitFleet::LimitFleet(const Options& options) : options_(options), random_(options.seed) {
    demand.assign(options.members, 0);
    nodes_.resize(options.members);
    for (std::size_t i = 0; i < options.members; ++i) keys_.push_back(fleet::key_of(name(i)));
    for (std::size_t i = 0; i < options.members; ++i) start(i);
}

void LimitFleet::start(std::size_t i) {
    nodes_[i].life = next_life_++;
    nodes_[i].limits = std::make_unique<fleet::Limits>(keys_[i], nodes_[i].life, random_());
    nodes_[i].limits->configure(now_, {options_.spec}, keys_);
}

void LimitFleet::send(std::size_t i, const std::vector<fleet::Limits::Send>& all) {
    for (const fleet::Limits::Send& one : all) {
        ++datagrams_;
        ++nodes_[i].sent;
        const auto to =
            static_cast<std::size_t>(std::find(keys_.begin(), keys_.end(), one.to) - keys_.begin());
        if (!options_.shared_out || unit() < options_.loss || (passes && !passes(i, to))) continue;
        const Millis delay = options_.least_delay + unit() * (options_.most_delay - options_.least_delay);
        events_.push({now_ + delay, order_++, to, i, nodes_[i].life, Event::datagram, one.item});
    }
}

void LimitFleet::ask(std::size_t i) {
    ++asked_;
    if (!up(i) || at(i).take(now_)) return;
    ++nodes_[i].admitted;
    admitted_.push_back(now_);
    if (options_.spec.kind != fleet::LimitSpec::Kind::open) return;
    most_open_ = std::max(most_open_, ++open_);
    events_.push({now_ + open_for, order_++, i, i, nodes_[i].life, Event::done, {}});
}

void LimitFleet::step(Millis until) {
    while (!events_.empty() && events_.top().at <= until) {
        const Event e = events_.top();
        events_.pop();
        now_ = std::max(now_, e.at);
        if (e.what == Event::done) {
            --open_;
            if (up(e.to) && nodes_[e.to].life == e.life) at(e.to).give_back(now_);
        } else if (up(e.to)) {
            std::vector<fleet::Limits::Send> out;
            nodes_[e.to].limits->receive(now_, keys_[e.from], e.item, out);
            send(e.to, out);
        }
    }
    now_ = until;
}

void LimitFleet::run(Millis until) {
    while (now_ < until) {
        step(std::min(until, now_ + kStep));
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            // Gaps of a Poisson process; where the rate has changed they are drawn anew.
            Node& node = nodes_[i];
            const auto gap = [&] { return -std::log(1 - unit()) * 1000 / demand[i]; };
            if (demand[i] != node.drawn_for) node.next_request = now_ + (demand[i] > 0 ? gap() : 1e18);
            node.drawn_for = demand[i];
            for (; node.next_request <= now_; node.next_request += gap()) ask(i);
            if (!up(i) || now_ < node.limits->due()) continue;
            std::vector<fleet::Limits::Send> out;
            node.limits->tick(now_, {}, out);
            send(i, out);
        }
    }
}

std::size_t LimitFleet::most_in(Millis window) const {
    std::size_t most = 0, first = 0;
    for (std::size_t last = 0; last < admitted_.size(); ++last) {
        while (admitted_[last] - admitted_[first] >= window) ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

double LimitFleet::use(Millis from, Millis until) const {
    const auto count = std::upper_bound(admitted_.begin(), admitted_.end(), until) -
                       std::upper_bound(admitted_.begin(), admitted_.end(), from);
    const bool rate = options_.spec.kind == fleet::LimitSpec::Kind::rate;
    const double most = rate ? options_.spec.rate : options_.spec.open * 1000.0 / open_for;
    return static_cast<double>(count) * 1000 / (until - from) / most;
}

}  // namespace whinledge::fleetsim
