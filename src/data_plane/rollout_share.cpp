#include "data_plane/rollout_share.hpp"

#include <chrono>
#include <utility>

#include "data_plane/preferred_control.hpp"

namespace whinledge::data_plane {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kShortestPace{350}, kLongestPace{450};
constexpr milliseconds kTimeout{400};

}  // namespace

RolloutShare::RolloutShare(boost::asio::io_context& io, rpc::Client& client, Options options)
    : client_(client),
      options_(std::move(options)),
      timer_(io),
      random_(static_cast<std::minstd_rand::result_type>(options_.node)) {}

void RolloutShare::wake() {
    if (!awake_) look();
}

void RolloutShare::look() {
    const std::vector<wire::RolloutReport> reports = options_.reports();
    awake_ = !reports.empty();
    if (!awake_) return;
    for (const wire::RolloutReport& report : reports) tell(report);
    const auto pace =
        std::uniform_int_distribution<long>(kShortestPace.count(), kLongestPace.count())(random_);
    timer_.after(milliseconds(pace), [this] { look(); });
}

void RolloutShare::tell(const wire::RolloutReport& report) {
    const std::string address =
        preferred_control(options_.controls(), options_.zone, options_.node, failures_);
    if (address.empty()) return;
    ++reports_;
    client_.call<wire::RolloutReport, wire::RolloutReportReply>(
        address, rollout::kReportRollout, report, kTimeout,
        [this, alive = std::weak_ptr<int>(alive_),
         number = report.number](const rpc::Result<wire::RolloutReportReply>& reply) {
            if (alive.expired()) return;
            if (!reply || !reply.value().permitted) ++failures_;
            if (reply) options_.heard(number, reply.value());
        });
}

std::string RolloutShare::counters() const {
    return "rollouts: reports=" + std::to_string(reports_) + " unpermitted=" + std::to_string(failures_);
}

}  // namespace whinledge::data_plane
