#include "fleet/limits.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>

namespace whinledge::fleet {

namespace {

constexpr Millis kSecond = 1000;
constexpr double kTicks = 64;       // of a lease
constexpr double kHeadroom = 1.25;  // of what was asked for of late: an allotment that is just enough refuses
constexpr double kSure = 2;         // standard deviations of a count that are chance
constexpr Millis kLeastWait = 100, kMostWait = 10000;

AllotmentSettings settings_of(const LimitSpec& spec, const AllotmentSettings& fleet) {
    AllotmentSettings s = fleet;
    s.units = spec.kind == LimitSpec::Kind::rate ? Limit::kRateUnits : spec.open;
    s.lease = spec.lease;
    s.tail = spec.kind == LimitSpec::Kind::rate ? 0 : spec.tail;
    return s;
}

}  // namespace

// ---- One limit --------------------------------------------------------------------------------------------

void Limit::Coming::add(Millis now) {
    const auto at = static_cast<std::int64_t>(now / kSlot);
    if (first_ < 0) first_ = at;
    if (slots_.empty() || slots_.back().at != at) slots_.push_back({at, 0});
    ++slots_.back().count;
    while (slots_.front().at <= at - kSlots) slots_.pop_front();
}

double Limit::Coming::count(Millis now, std::int64_t slots) const {
    const auto after = static_cast<std::int64_t>(now / kSlot) - slots;
    double sum = 0;
    for (auto slot = slots_.rbegin(); slot != slots_.rend() && slot->at > after; ++slot) sum += slot->count;
    return sum;
}

// Few in a second are chance and count over ten; a rush counts within a fifth of a second, less what may be
// chance of it, and once it is over the mean of what was before it does not stand for more than what still
// comes.
double Limit::Coming::rate(Millis now) const {
    if (first_ < 0) return 0;
    const auto seen = std::clamp(static_cast<std::int64_t>(now / kSlot) - first_ + 1, kSecondSlots, kSlots);
    const double mean = count(now, kSlots) * kSecondSlots / static_cast<double>(seen);
    const double second = last_second(now), rush = count(now, kRushSlots);
    const auto at_most = [](double counted, double seconds) {
        return (counted + kSure * std::sqrt(counted) + kSure) / seconds;
    };
    const double still = std::min(at_most(second, 1), at_most(count(now, kLullSlots), 0.1 * kLullSlots));
    return std::max({std::min(mean, still), second - std::sqrt(second),
                     (rush - kSure * std::sqrt(rush)) * kSecondSlots / kRushSlots});
}

Limit::Limit(const LimitSpec& spec, const AllotmentSettings& fleet, Millis now)
    : spec_(spec), allotment_(settings_of(spec, fleet), key_of(spec.name), now), accrued_at_(now) {}

double Limit::rate_now(Millis now) const {
    return now < changed_until_ ? std::min(before_, spec_.rate) : spec_.rate;
}

double Limit::share(Units units) const {
    return spec_.kind == LimitSpec::Kind::open ? units : spec_.rate * units / kRateUnits;
}

// A part of less than one token could never be spent: each member may save one.
double Limit::cap(Units units) const {
    return units == 0 ? 0 : std::max(1.0, spec_.burst * units / kRateUnits);
}

// What became usable since counts from now on; what ended meanwhile does not count for any of that time.
void Limit::accrue(Millis now) {
    const Units units = allotment_.usable(now);
    if (spec_.kind == LimitSpec::Kind::rate) {
        const double a_ms = rate_now(now) * std::min(units, units_) / kRateUnits / kSecond;
        tokens_ = std::min(tokens_ + std::max(0.0, now - accrued_at_) * a_ms, cap(units));
    }
    accrued_at_ = now;
    units_ = units;
}

void Limit::judge_demand(Millis now) {
    if (spec_.kind == LimitSpec::Kind::open) {
        // Of what was refused in the last second, as much is wanted beside what is open.
        const double turned_away = std::max(0.0, asked_.last_second(now) - taken_.last_second(now));
        const double wanted = kHeadroom * static_cast<double>(open_) + turned_away;
        allotment_.demand(static_cast<Units>(std::min<double>(std::ceil(wanted), spec_.open)),
                          static_cast<Units>(std::min<std::size_t>(open_, spec_.open)));
        return;
    }
    const double wanted = kHeadroom * asked_.rate(now) * kRateUnits / spec_.rate;
    allotment_.demand(static_cast<Units>(std::min<double>(std::ceil(wanted), kRateUnits)));
}

void Limit::hurry(Millis now) { due_ = std::min(due_, std::max(now, ticked_at_ + spec_.lease / kTicks)); }

std::optional<Millis> Limit::take(Millis now) {
    accrue(now);
    asked_.add(now);
    hurry(now);
    const bool rate = spec_.kind == LimitSpec::Kind::rate;
    if (rate ? tokens_ >= 1 : open_ < units_) {
        if (rate)
            tokens_ -= 1;
        else
            ++open_;
        ++admitted_;
        taken_.add(now);
        return std::nullopt;
    }
    ++refused_;
    // By what is ours at this moment; more may be lent to us sooner.
    const double a_ms = rate ? rate_now(now) * units_ / kRateUnits / kSecond : 0;
    return std::clamp(a_ms > 0 ? (1 - tokens_) / a_ms : kSecond, kLeastWait, kMostWait);
}

void Limit::give_back(Millis now) {
    accrue(now);
    if (open_ > 0) --open_;
    hurry(now);
}

void Limit::change(Millis now, const LimitSpec& spec, const std::vector<Key>& members) {
    accrue(now);
    before_ = rate_now(now);
    changed_until_ = now + allotment_.lender_lease();
    spec_ = spec;
    allotment_.change(now, spec.kind == LimitSpec::Kind::rate ? kRateUnits : spec.open, members);
    accrue(now);
    hurry(now);
}

std::optional<Grant> Limit::receive(Millis now, Key from, Incarnation life, const Ask& ask) {
    accrue(now);
    judge_demand(now);
    const auto grant = allotment_.receive(now, from, life, ask);
    accrue(now);
    hurry(now);
    return grant;
}

bool Limit::receive(Millis now, Key from, const Grant& grant) {
    accrue(now);
    const bool taken = allotment_.receive(now, from, grant);
    accrue(now);
    hurry(now);
    return taken;
}

void Limit::receive_recall(Millis now, Key from) {
    allotment_.receive_recall(now, from);
    hurry(now);
}

std::vector<Allotment::Tell> Limit::tick(Millis now, const std::vector<Key>& absent) {
    accrue(now);
    judge_demand(now);
    ticked_at_ = now;
    auto tells = allotment_.tick(now, absent);
    accrue(now);  // what was given back is not ours any more
    const bool busy = allotment_.wanted() > 0 || allotment_.lent(now) > 0 || allotment_.borrowed(now) > 0;
    due_ = busy || !tells.empty() ? now + spec_.lease / kTicks : kNever;
    return tells;
}

double Limit::used(Millis now) const {
    return spec_.kind == LimitSpec::Kind::open ? static_cast<double>(open_) : taken_.last_second(now);
}

// ---- All of them, and their bytes -------------------------------------------------------------------------

namespace {

using Json = nlohmann::json;

// An item is one array: the limit's key, what it is, numbers. What a later version adds comes behind, under
// another number of `what`.
enum What : std::uint8_t { ask, grant, recall };

Item item_of(const Json& whole) {
    Item item;
    item.subsystem = Limits::kSubsystem;
    item.bytes = Json::to_msgpack(whole);
    return item;
}

Item item_of(Key limit, const Grant& g) { return item_of({limit, What::grant, g.number, g.amount}); }
Item item_of(Key limit, std::uint64_t life, const Allotment::Tell& tell) {
    if (const auto* const a = std::get_if<Ask>(&tell.what))
        return item_of({limit, What::ask, a->number, a->keep, a->want, a->lease, life});
    if (const auto* const g = std::get_if<Grant>(&tell.what)) return item_of(limit, *g);
    return item_of({limit, What::recall});
}

// The numbers of an item, all but a life within 32 bits; none: it is no item of ours.
std::optional<std::vector<std::uint64_t>> numbers_of(const Item& item) {
    constexpr std::size_t kLife = 6, sizes[] = {7, 4, 2};
    const Json whole = Json::from_msgpack(item.bytes, true, false);
    if (!whole.is_array() || whole.size() < 2 || whole.size() > kLife + 1) return std::nullopt;
    std::vector<std::uint64_t> numbers;
    for (const Json& one : whole) {
        if (!one.is_number_unsigned()) return std::nullopt;
        numbers.push_back(one.get<std::uint64_t>());
        if (numbers.size() <= kLife && numbers.back() > std::numeric_limits<std::uint32_t>::max())
            return std::nullopt;
    }
    if (numbers[1] > recall || numbers.size() != sizes[numbers[1]]) return std::nullopt;
    return numbers;
}

}  // namespace

Limit* Limits::find(std::string_view name) {
    const auto at =
        std::find_if(limits_.begin(), limits_.end(), [&](const Limit& l) { return l.spec().name == name; });
    return at == limits_.end() ? nullptr : &*at;
}
Limit* Limits::find(Key key) {
    const auto at = std::find_if(limits_.begin(), limits_.end(),
                                 [&](const Limit& l) { return key_of(l.spec().name) == key; });
    return at == limits_.end() ? nullptr : &*at;
}

void Limits::configure(Millis now, const std::vector<LimitSpec>& specs, const std::vector<Key>& members) {
    AllotmentSettings fleet;
    fleet.self = self_;
    fleet.members = members;
    fleet.seed = seed_;
    std::vector<Limit> next;
    for (const LimitSpec& spec : specs) {
        Limit* const known = find(spec.name);
        // Another lease is another limit: what was lent under the old one has to end first.
        if (known && known->spec().kind == spec.kind && known->spec().lease == spec.lease &&
            known->spec().tail == spec.tail) {
            known->change(now, spec, members);
            next.push_back(std::move(*known));
        } else {
            next.emplace_back(spec, fleet, now);
        }
    }
    limits_ = std::move(next);
}

void Limits::receive(Millis now, Key from, const Item& item, std::vector<Send>& out) {
    const auto n = numbers_of(item);
    const auto at = [&](std::size_t i) { return static_cast<std::uint32_t>((*n)[i]); };
    Limit* const limit = n ? find(Key{at(0)}) : nullptr;
    if (!limit) {
        ++unreadable_;
        return;
    }
    if (at(1) == ask) {
        if (const auto answer = limit->receive(now, from, (*n)[6], Ask{at(2), at(3), at(4), at(5)}))
            out.push_back({from, item_of(at(0), *answer)});
    } else if (at(1) == grant) {
        limit->receive(now, from, Grant{at(2), at(3)});
    } else {
        limit->receive_recall(now, from);
    }
}

void Limits::tick(Millis now, const std::vector<Key>& absent, std::vector<Send>& out) {
    for (Limit& limit : limits_) {
        if (now < limit.due()) continue;
        const Key key = key_of(limit.spec().name);
        for (const Allotment::Tell& tell : limit.tick(now, absent))
            out.push_back({tell.to, item_of(key, life_, tell)});
    }
}

Millis Limits::due() const {
    Millis due = kNever;
    for (const Limit& limit : limits_) due = std::min(due, limit.due());
    return due;
}

}  // namespace whinledge::fleet
