#include "control_plane/openings_service.hpp"

#include <chrono>
#include <memory>
#include <optional>
#include <utility>

#include "io/steady_millis.hpp"
#include "openings/calls.hpp"
#include "openings/messages.hpp"

namespace whinledge::control_plane {

namespace {

constexpr std::chrono::milliseconds kTick{50};
constexpr std::chrono::milliseconds kSubtotalTimeout{500};

}  // namespace

OpeningsService::OpeningsService(boost::asio::io_context& io, rpc::Client& client, rpc::Server& server,
                                 Options options)
    : client_(client), options_(std::move(options)), merger_(options_.source), timer_(io) {
    server.on<wire::OpeningsRequest, wire::OpeningsReply>(
        openings::kTellOpenings,
        [this, alive = std::weak_ptr<int>(alive_)](const wire::OpeningsRequest& request,
                                                   rpc::Server::Responder<wire::OpeningsReply> respond) {
            if (alive.expired()) return;
            ++words_;
            respond(openings::answer(merger_, request, steady_millis()));
            if (!ticking_) tick();
        });
    server.on<wire::OpeningsSubtotal, wire::OpeningsSubtotalReply>(
        openings::kOpeningsSubtotal, [this, alive = std::weak_ptr<int>(alive_)](
                                         const wire::OpeningsSubtotal& subtotal,
                                         rpc::Server::Responder<wire::OpeningsSubtotalReply> respond) {
            if (alive.expired()) return;
            merger_.heard(openings::from_wire(subtotal), steady_millis());
            wire::OpeningsSubtotalReply reply;
            reply.protocol = openings::kOpeningsProtocol;
            respond(reply);
        });
}

void OpeningsService::tick() {
    const std::optional<openings::Subtotal> subtotal = merger_.subtotal(steady_millis());
    ticking_ = subtotal || merger_.nodes() > 0;
    if (ticking_) timer_.after(kTick, [this] { tick(); });
    if (!subtotal) return;
    const wire::OpeningsSubtotal message = openings::to_wire(*subtotal);
    for (const std::string& address : options_.controls()) {
        ++subtotals_;
        client_.call<wire::OpeningsSubtotal, wire::OpeningsSubtotalReply>(
            address, openings::kOpeningsSubtotal, message, kSubtotalTimeout,
            [this, alive = std::weak_ptr<int>(alive_)](rpc::Result<wire::OpeningsSubtotalReply> reply) {
                if (!alive.expired() && !reply) ++failed_;
            });
    }
}

std::vector<openings::OpeningView> OpeningsService::views() { return merger_.views(steady_millis()); }

std::string OpeningsService::counters() const {
    return "nodes=" + std::to_string(merger_.nodes()) + " sources=" + std::to_string(merger_.sources()) +
           " words=" + std::to_string(words_) + " subtotals=" + std::to_string(subtotals_) +
           " failed=" + std::to_string(failed_) + " version=" + std::to_string(merger_.version());
}

}  // namespace whinledge::control_plane
