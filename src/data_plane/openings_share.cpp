#include "data_plane/openings_share.hpp"

#include <chrono>
#include <optional>
#include <utility>

#include "data_plane/preferred_control.hpp"
#include "io/steady_millis.hpp"
#include "openings/calls.hpp"
#include "openings/messages.hpp"

namespace whinledge::data_plane {

namespace {

constexpr std::chrono::milliseconds kLook{50};
constexpr std::chrono::milliseconds kTimeout{400};
constexpr std::uint64_t kFailuresUntilNext = 2;

}  // namespace

OpeningsShare::OpeningsShare(boost::asio::io_context& io, rpc::Client& client, Options options)
    : client_(client), options_(std::move(options)), timer_(io) {}

void OpeningsShare::set_on(bool on) {
    if (std::exchange(on_, on) == on) return;
    if (on) return look();
    timer_.cancel();
    teller_.forget();
    alive_ = std::make_shared<int>(0);  // the word that is out is nobody's
    publish({});
}

void OpeningsShare::look() {
    timer_.after(kLook, [this] { look(); });
    const openings::Millis at = steady_millis();
    if (teller_.sum(at).empty() && holds_sum_) publish({});
    if (!teller_.is_open(at)) return;
    if (const auto word = teller_.due(options_.seen(), at)) tell(*word);
}

void OpeningsShare::tell(const openings::Teller::Word& word) {
    const std::string address =
        preferred_control(options_.controls(), options_.zone, options_.node, failures_ / kFailuresUntilNext);
    if (address.empty()) return teller_.failed();
    ++words_;
    client_.call<wire::OpeningsRequest, wire::OpeningsReply>(
        address, openings::kTellOpenings, openings::to_wire(options_.node, word), kTimeout,
        [this, alive = std::weak_ptr<int>(alive_)](rpc::Result<wire::OpeningsReply> reply) {
            if (alive.expired()) return;
            ended(reply.has_value());
            if (!reply) return teller_.failed();
            const openings::Millis at = steady_millis();
            if (teller_.answered(openings::from_wire(reply.value()), at)) publish(teller_.sum(at));
        });
}

void OpeningsShare::ended(bool answered) {
    if (answered) {
        failures_ -= failures_ % kFailuresUntilNext;
        return;
    }
    ++failures_;
    ++failed_;
}

void OpeningsShare::publish(const openings::Traffic& sum) {
    ++sums_;
    holds_sum_ = !sum.empty();
    options_.shared(sum);
}

std::string OpeningsShare::counters() const {
    return "openings: words=" + std::to_string(words_) + " failed=" + std::to_string(failed_) +
           " sums=" + std::to_string(sums_) + " shared=" + std::to_string(holds_sum_ ? 1 : 0);
}

}  // namespace whinledge::data_plane
