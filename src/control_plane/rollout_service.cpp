#include "control_plane/rollout_service.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "control_plane/json_text.hpp"
#include "control_plane/rollout_order.hpp"
#include "io/steady_millis.hpp"
#include "rollout/calls.hpp"
#include "rollout/trial_schedule.hpp"

namespace whinledge::control_plane {

namespace {

using Json = nlohmann::json;

constexpr Span kTick{250};
constexpr Span kExchangeTimeout{600};
constexpr Span kRecordTimeout{1000};

}  // namespace

RolloutService::RolloutService(boost::asio::io_context& io, rpc::Client& client, rpc::Server& server,
                               consensus::RegisterService& reg, LeaseService& leases, Options options)
    : client_(client),
      register_(reg),
      leases_(leases),
      options_(std::move(options)),
      follower_(options_.bad_share > 0 ? options_.bad_share : rollout::kDefaultBadShare),
      timer_(io) {
    server.on<wire::RolloutReport, wire::RolloutReportReply>(
        rollout::kReportRollout,
        [this, alive = std::weak_ptr<int>(alive_)](const wire::RolloutReport& report,
                                                   rpc::Server::Responder<wire::RolloutReportReply> respond) {
            if (alive.expired()) return;
            ++reports_;
            const double now = steady_millis();
            if (leases_.held(kRolloutsLease)) follower_.hear_holder(now);
            follower_.take(report, now);
            respond(follower_.reply_to(report, now));
        });
    server.on<wire::RolloutExchange, wire::RolloutExchangeReply>(
        rollout::kExchangeRollout, [this, alive = std::weak_ptr<int>(alive_)](
                                       const wire::RolloutExchange& exchange,
                                       rpc::Server::Responder<wire::RolloutExchangeReply> respond) {
            if (alive.expired()) return;
            const double now = steady_millis();
            if (exchange.holds_duty) follower_.hear_holder(now);
            for (const wire::RolloutReport& report : exchange.reports) follower_.take(report, now);
            if (exchange.number != 0) follower_.hear_elapsed(exchange.number, exchange.elapsed_ms, now);
            wire::RolloutExchangeReply reply;
            reply.protocol = rollout::kRolloutProtocol;
            respond(reply);
        });
}

void RolloutService::follow(const wire::RegisterState& state) {
    follower_.follow(state, steady_millis());
    if (follower_.is_following() && !ticking_) tick();
}

void RolloutService::tick() {
    ticking_ = follower_.is_following();
    if (!ticking_) return;
    timer_.after(kTick, [this] { tick(); });
    exchange();
    const std::vector<rollout::Step> steps = follower_.due(options_.proxies(), steady_millis());
    if (!leases_.held(kRolloutsLease) || recording_ || steps.empty()) return;
    record(steps.front());
}

void RolloutService::exchange() {
    wire::RolloutExchange message;
    message.protocol = rollout::kRolloutProtocol;
    message.node = options_.node;
    message.holds_duty = leases_.held(kRolloutsLease);
    message.reports = follower_.news();
    const auto views = follower_.views(steady_millis());
    for (const rollout::Follower::View& view : views) {
        message.number = view.number;
        message.elapsed_ms = view.elapsed_ms;
        for (const std::string& address : options_.others())
            client_.call<wire::RolloutExchange, wire::RolloutExchangeReply>(
                address, rollout::kExchangeRollout, message, kExchangeTimeout,
                [this, alive = std::weak_ptr<int>(alive_)](rpc::Result<wire::RolloutExchangeReply> reply) {
                    if (!alive.expired() && !reply) ++failed_;
                });
        message.reports.clear();
    }
}

void RolloutService::record(const rollout::Step& step) {
    recording_ = true;
    rollout::Step own = step;
    own.fencing = leases_.fencing(kRolloutsLease);
    register_.change(
        [this, alive = std::weak_ptr<int>(alive_),
         own](const wire::RegisterState& current) -> std::optional<wire::RegisterState> {
            if (alive.expired() || !leases_.held(kRolloutsLease)) return std::nullopt;
            return rollout::stepped(current, own);
        },
        kRecordTimeout,
        [this, alive = std::weak_ptr<int>(alive_),
         own](const consensus::RegisterResult<wire::RegisterState>& result) {
            if (alive.expired()) return;
            recording_ = false;
            if (!result) return;
            ++steps_;
            LOG(INFO) << "rollout " << own.number << " is " << state_name(own.to) << " after "
                      << own.elapsed_ms << " ms: " << own.evidence;
        });
}

std::string RolloutService::page() const {
    const auto views = follower_.views(steady_millis());
    Json rows = Json::array();
    for (const wire::Rollout& record : register_.known().rollouts) {
        Json row{{"service", record.service_name},
                 {"newVersion", record.new_version},
                 {"state", operator_state(record)},
                 {"phase", state_name(static_cast<rollout::Phase>(record.phase))},
                 {"withinMs", record.within_ms},
                 {"elapsedMs", record.elapsed_ms},
                 {"evidence", record.evidence},
                 {"proxies", nullptr}};
        const auto view = std::find_if(views.begin(), views.end(),
                                       [&](const auto& one) { return one.number == record.number; });
        if (view != views.end()) {
            row["elapsedMs"] = view->elapsed_ms;
            row["evidence"] = view->summary;
            row["proxies"] = view->proxies;
        }
        rows.push_back(std::move(row));
    }
    return json_text({{"self", options_.node}, {"rollouts", rows}});
}

std::string RolloutService::counters() const {
    return "reports=" + std::to_string(reports_) + " steps=" + std::to_string(steps_) +
           " failed=" + std::to_string(failed_);
}

}  // namespace whinledge::control_plane
