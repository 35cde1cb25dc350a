// Our part of the pool: how many servers this sidecar spreads its requests over, and who leaves it.
#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>
#include <vector>

#include "policy/balancer_impl.hpp"

namespace kestrelhall {

namespace {

constexpr long kSlack = 2;

}  // namespace

// Our part of the pool: two servers more than we have attempts out. Over more of them a light sidecar
// fills no window; one that is removed leaves its place to another.
double Balancer::Impl::wanted_part() const { return std::max<double>(mean_out, outstanding) + 2; }

void Balancer::Impl::use(Server& s) {
    if (s.in_use) return;
    s.seat = used.size();
    used.push_back(&s);
    changing(s, [&] { s.in_use = true; });
}

void Balancer::Impl::leave(Server& s) {
    if (!s.in_use) return;
    changing(s, [&] { s.in_use = false; });
    used.back()->seat = s.seat;
    used[s.seat] = used.back();
    used.pop_back();
}

// A burst widens our part at once. After it those leave that are too many for every class that asks: idle
// ones, of the emptiest window first, and of these who was used least lately.
void Balancer::Impl::narrow() {
    need.add(wanted_part(), now, kRest);
    if (now < narrowed_at + kNarrow) return;
    const double share = 1 - fade(std::exchange(narrowed_at, now), now, kRateMemory);
    const long keep = static_cast<long>(std::ceil(need.value())), most = narrowing ? keep : kSlack * keep;
    const double excess = static_cast<double>(used.size()) - static_cast<double>(keep);
    narrowing = false;
    if (static_cast<long>(used.size()) <= most) return;
    std::vector<Server*> idle;
    some_of(random, used, kMost, [&](Server& s) {
        ++looked;
        if (s.outstanding == 0 && s.standing == Standing::live && s.warm) idle.push_back(&s);
    });
    std::sort(idle.begin(), idle.end(), [](const Server* a, const Server* b) {
        return std::tuple(a->window.size(), a->sent_at, a->info.id) <
               std::tuple(b->window.size(), b->sent_at, b->info.id);
    });
    double leaving = std::min(std::ceil(share * excess), kMost / 2.0);
    for (Server* s : idle) {
        if (leaving < 1) break;
        if (!spared(*s, most)) continue;
        leave(*s);
        leaving -= 1;
        narrowing = true;
    }
}

// Each class that asks has more than so many in use without it.
bool Balancer::Impl::spared(const Server& s, long most) const {
    for (std::uint32_t c = 0; c < asked_at.size(); ++c)
        if (now < asked_at[c] + 2 * kRest && open_to(c, s.info) && totals.open[c].used <= most) return false;
    return true;
}

}  // namespace kestrelhall
