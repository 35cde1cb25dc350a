// Timers of requests and of the list's renewal.
#include <optional>
#include <utility>

#include "policy/balancer_impl.hpp"

namespace kestrelhall {

TimerToken Balancer::Impl::set_timer(Millis at, std::optional<RequestId> request) {
    const TimerToken token = next_token++;
    timers[token] = request;
    act(SetTimer{at, token});
    return token;
}

// Kept until they are due, timers of a busy sidecar would outnumber its open requests many times.
void Balancer::Impl::drop_timer(TimerToken& timer) {
    if (timer == 0) return;
    const TimerToken token = std::exchange(timer, 0);
    if (timers.erase(token) > 0) act(DropTimer{token});
}

void Balancer::Impl::on(const TimerFired& e) {
    const auto timer = timers.find(e.token);
    if (timer == timers.end()) return;
    const std::optional<RequestId> id = timer->second;
    timers.erase(timer);
    if (!id) {
        renewing = false;
        return act(Subscribe{true});
    }
    const auto it = requests.find(*id);
    if (it == requests.end() || it->second.ended) return;
    if (now >= it->second.deadline)
        finish(it->second);
    else if (!it->second.any_out())
        place(it->second);
}

}  // namespace kestrelhall
