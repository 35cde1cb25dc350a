#include "http/transport.hpp"

#include <boost/asio/ip/address.hpp>
#include <stdexcept>
#include <utility>

#include "http/call.hpp"
#include "io/address.hpp"
#include "io/clock.hpp"
#include "io/loop_timer.hpp"

namespace whinledge {

void HttpTransport::set_machine(MachineId machine, const std::string& address, Millis started) {
    upstream_.set_server(machine, endpoint_of<boost::asio::ip::tcp>(address), started);
}

Transport::Begun HttpTransport::start(const Attempt& attempt, Key key, Listener& listener) noexcept {
    try {
        auto& call = static_cast<HttpCall&>(*attempt.call);
        Upstream::Request request = call.outgoing_to(attempt.member, attempt.time_left);
        request.careful = attempt.careful;
        request.pool = attempt.pool;
        if (const auto pool = pools_.find(attempt.pool); pool != pools_.end()) {
            request.connect_timeout = pool->second.connect_timeout;
            request.idle = pool->second.idle;
        }
        request.judge = &call;  // kept by request.keep
        request.wanted = [&call, &listener, key](std::string& head) {
            const Millis time_left = listener.attempt_time_left(key);
            if (time_left > 0) call.retell(head, time_left);
            return time_left > 0;
        };
        if (call.whole_up_to() > 0)
            request.pass_on = [&call, &listener, key](Upstream::Response head,
                                                      std::optional<std::uint64_t> length) {
                return listener.attempt_begun(key) ? call.pass_on(std::move(head), length) : nullptr;
            };
        const auto done = [&listener, key](Upstream::End end) {
            std::unique_ptr<Answer> answer;
            try {
                if (end.answer && (end.outcome == Outcome::completed || end.outcome == Outcome::errored))
                    answer = std::make_unique<HttpAnswer>(std::move(*end.answer), std::move(end.trailers));
            } catch (const std::exception&) {  // no memory for it: lost, and it has run
                end.outcome = Outcome::severed;
            }
            listener.attempt_ended(key, end.outcome, std::move(answer));
        };
        const Upstream::Begun begun = upstream_.start(attempt.machine, std::move(request), done);
        return {begun.exchange, begun.ended};
    } catch (const std::exception&) {  // out of memory
        return {0, Outcome::not_sent};
    }
}

void HttpTransport::probe(PoolId, MachineId machine, Millis timeout, Listener& listener) {
    Upstream::Request ping;
    ping.head = HeadText::request("GET", "/ping").add("Host", "ping").whole();
    const auto timer = std::make_shared<LoopTimer>(io_);
    const auto told = [machine, timer, &listener](Outcome outcome) {
        timer->cancel();
        listener.probe_ended(machine, outcome);
    };
    const auto [exchange, ended] =
        upstream_.start(machine, std::move(ping), [told](const Upstream::End& end) { told(end.outcome); });
    if (ended) return told(*ended);
    timer->after(span(timeout), [this, told, exchange = exchange] {
        told(upstream_.stop(exchange) ? Outcome::overdue : Outcome::refused_connection);
    });
}

}  // namespace whinledge
