#include "app/fleet_limits.hpp"

#include <algorithm>
#include <new>
#include <nlohmann/json.hpp>
#include <utility>

namespace whinledge {

namespace {

fleet::LimitSpec spec_of(const config::Fleet::Limit& limit) {
    fleet::LimitSpec spec;
    spec.kind = limit.open > 0 ? fleet::LimitSpec::Kind::open : fleet::LimitSpec::Kind::rate;
    spec.name = limit.name;
    spec.rate = limit.rate;
    spec.burst = limit.burst;
    spec.open = static_cast<fleet::Units>(limit.open);
    spec.lease = limit.lease;
    spec.tail = limit.open > 0 ? limit.longest : 0;
    return spec;
}

}  // namespace

FleetLimits::FleetLimits(boost::asio::io_context& io, const Clock& clock, std::uint64_t seed, Tell tell,
                         Absent absent)
    : clock_(clock),
      tell_(std::move(tell)),
      absent_(std::move(absent)),
      seed_(seed),
      wake_(io, clock, [this] { tick(); }) {}

void FleetLimits::configure(fleet::Key self, const std::vector<config::Fleet::Limit>& limits,
                            const std::vector<fleet::Key>& members) {
    const Millis now = clock_.now();
    if (!limits_ || self != self_) limits_.emplace(self, static_cast<std::uint64_t>(now), seed_);
    self_ = self;
    std::vector<fleet::LimitSpec> specs;
    for (const config::Fleet::Limit& limit : limits) specs.push_back(spec_of(limit));
    limits_->configure(now, specs, members);
    config_ = limits;
    wake_.at(limits_->due());
}

bool FleetLimits::covers(const config::Fleet::Limit& limit, const std::string& pool,
                         const std::string& request_class) const {
    return limit.pool == pool &&
           (limit.classes.empty() || std::ranges::count(limit.classes, request_class) > 0);
}

// What a later limit refuses, the earlier ones have back: those of what is open at once. Tokens that were
// taken are lost, which errs on the safe side.
std::optional<Millis> FleetLimits::admit(const std::string& pool, const std::string& request_class,
                                         Hold& hold) {
    const Millis now = clock_.now();
    for (const config::Fleet::Limit& limit : config_) {
        if (!covers(limit, pool, request_class)) continue;
        fleet::Limit& one = *limits_->find(limit.name);
        // Noted ahead of the taking: memory that is wanting must not lose what was taken.
        const bool kept = one.spec().kind == fleet::LimitSpec::Kind::open;
        if (kept) {
            hold.of_ = here_;
            hold.names_.push_back(limit.name);
        }
        const auto wait = one.take(now);
        if (wait && kept) hold.names_.pop_back();
        wake_.at(one.due());
        if (wait) return wait;
    }
    return std::nullopt;
}

FleetLimits::Hold::~Hold() {
    if (const auto of = of_.lock())
        for (const std::string& name : names_) try {
                (*of)->give_back(name);
            } catch (const std::bad_alloc&) {  // of the next wake alone: the next request wakes as well
            }
}

void FleetLimits::give_back(const std::string& name) {
    fleet::Limit* const limit = limits_->find(name);
    if (!limit) return;
    limit->give_back(clock_.now());
    wake_.at(limit->due());
}

void FleetLimits::receive(fleet::Key from, const fleet::Item& item) {
    std::vector<fleet::Limits::Send> out;
    limits_->receive(clock_.now(), from, item, out);
    send(std::move(out));
    wake_.at(limits_->due());
}

void FleetLimits::tick() {
    const Millis now = clock_.now();
    if (now >= limits_->due()) {
        std::vector<fleet::Limits::Send> out;
        limits_->tick(now, absent_(), out);
        send(std::move(out));
    }
    wake_.at(limits_->due());
}

// One datagram for what goes to the same member.
void FleetLimits::send(std::vector<fleet::Limits::Send> all) {
    std::stable_sort(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.to < b.to; });
    for (std::size_t i = 0; i < all.size();) {
        const fleet::Key to = all[i].to;
        std::vector<fleet::Item> items;
        for (; i < all.size() && all[i].to == to; ++i) items.push_back(std::move(all[i].item));
        tell_(to, items);
    }
}

nlohmann::json FleetLimits::report() const {
    const Millis now = clock_.now();
    nlohmann::json list = nlohmann::json::array();
    for (const fleet::Limit& limit : limits_->all()) {
        const fleet::Allotment& a = limit.allotment();
        const bool rate = limit.spec().kind == fleet::LimitSpec::Kind::rate;
        list.push_back({{"name", limit.spec().name},
                        {"kind", rate ? "rate" : "open"},
                        {"mode", "strict"},
                        {"limit", rate ? limit.spec().rate : limit.spec().open},
                        {"allotment", limit.share(a.usable(now))},
                        {"own", limit.share(a.own(now))},
                        {"own_from_ms", std::max(0.0, a.quiet_until() - now)},
                        {"lent", limit.share(a.lent(now))},
                        {"borrowed", limit.share(a.borrowed(now))},
                        {"wanted", limit.share(a.wanted())},
                        {"used", limit.used(now)},
                        {"over_bound", 0},
                        {"stale_ms", a.stale(now)},
                        {"admitted", limit.admitted()},
                        {"refused", limit.refused()}});
    }
    return list;
}

}  // namespace whinledge
