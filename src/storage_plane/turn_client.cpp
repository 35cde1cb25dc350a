#include "storage_plane/turn_client.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cmath>
#include <sstream>
#include <unordered_map>
#include <utility>
#include <variant>

#include "storage_plane/calls.hpp"
#include "storage_plane/turn_cache.hpp"
#include "storage_plane/turn_quorum.hpp"

namespace whinledge::storage_plane {
namespace {

using Clock = std::chrono::steady_clock;

constexpr double kWakeGridMs = 10;  // wake-ups are brought together to multiples of this

double now_ms() { return std::chrono::duration<double, std::milli>(Clock::now().time_since_epoch()).count(); }

Clock::time_point at(double ms) {
    return Clock::time_point(
        std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double, std::milli>(ms)));
}

TurnQuorumOptions quorum_options(const TurnClient::Options& options) {
    TurnQuorumOptions quorum;
    quorum.zone = options.zone;
    quorum.survive = options.survive;
    return quorum;
}

}  // namespace

// Gives the quorum core its clock, timer and calls.
class TurnClient::Impl : public std::enable_shared_from_this<Impl> {
public:
    using BeginDone = std::function<void(BegunTurn)>;
    using EndDone = std::function<void(bool)>;

    Impl(boost::asio::io_context& io, rpc::Client& client, const Options& options)
        : io_(io),
          client_(client),
          timer_(io),
          load_(options.load),
          loads_told_(options.loads_told),
          cache_(options.cache_bytes),
          quorum_(quorum_options(options), cache_) {}

    void set_map(const wire::StorageMap& map) {
        quorum_.set_map(map, now_ms());
        flush_later();
    }
    bool has_map() const { return quorum_.map().epoch > 0; }

    void begin(const TurnStart& turn, double timeout_ms, BeginDone done) {
        const std::uint64_t operation = quorum_.begin(turn, timeout_ms, now_ms());
        begins_.emplace(operation, std::move(done));
        flush_later();
    }

    void end(const TurnEnd& turn, double timeout_ms, EndDone done) {
        const std::uint64_t operation = quorum_.end(turn, timeout_ms, now_ms());
        if (done) ends_.emplace(operation, std::move(done));
        flush_later();
    }

    std::string counters() const {
        const TurnCounters& counters = quorum_.counters();
        std::ostringstream text;
        text << "turns: begun=" << counters.begun << " budget_spent=" << counters.budget_spent
             << " no_such_turn=" << counters.no_such_turn << " unavailable=" << counters.unavailable
             << " chain_broken=" << counters.chain_broken << " chain_unsure=" << counters.chain_unsure
             << " budget_in_doubt=" << counters.budget_in_doubt << " cached_chains=" << counters.cached_chains
             << " hedged_reads=" << counters.hedged_reads << " durable=" << counters.durable
             << " not_durable=" << counters.not_durable << " hedged_copies=" << counters.hedged_copies
             << " sends=" << counters.sends << " failed_sends=" << counters.failed_sends
             << " late_replies=" << counters.late_replies << " stale_maps=" << counters.stale_maps
             << " under_way=" << quorum_.operations() << " cache_bytes=" << cache_.bytes()
             << " map_epoch=" << quorum_.map().epoch;
        return text.str();
    }

    void stop() { timer_.cancel(); }

private:
    // Outcomes may start further operations: each takes what is there.
    void flush() {
        send_all();
        for (TurnOutcome& outcome : quorum_.take_outcomes()) deliver(std::move(outcome));
    }

    // For calls from outside, whose `done` must not run within them.
    void flush_later() {
        send_all();
        if (!quorum_.has_outcomes()) return;
        boost::asio::post(io_, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) self->flush();
        });
    }

    void send_all() {
        for (TurnSend& send : quorum_.take_sends()) call(std::move(send));
        arm();
    }

    void call(TurnSend send) {
        const rpc::Client::Duration timeout(static_cast<std::int64_t>(std::ceil(send.timeout_ms)));
        std::visit(
            [&](auto& request) {
                using Request = std::decay_t<decltype(request)>;
                if constexpr (std::is_same_v<Request, wire::BeginTurnRequest>) {
                    if (load_) request.__set_load(load_(true));
                    client_.call(send.address, kBeginTurn, request, timeout,
                                 take_begun(send.id, request.load.asked));
                } else if constexpr (std::is_same_v<Request, wire::EndTurnRequest>) {
                    if (load_) request.__set_load(load_(false));
                    client_.call(send.address, kEndTurn, request, timeout, take<wire::EndTurnReply>(send.id));
                } else {
                    client_.call(send.address, kReadTurns, request, timeout,
                                 take<wire::ReadTurnsReply>(send.id));
                }
            },
            send.request);
    }

    std::function<void(rpc::Result<wire::BeginTurnReply>)> take_begun(std::uint64_t send,
                                                                      std::vector<std::int32_t> asked) {
        return [weak = weak_from_this(), send, asked = std::move(asked),
                asked_ms = now_ms()](rpc::Result<wire::BeginTurnReply> reply) {
            const auto self = weak.lock();
            if (!self) return;
            if (reply) self->tell_loads(asked, asked_ms, reply.value());
            self->replied(send, std::move(reply));
        };
    }

    template <class Reply>
    std::function<void(rpc::Result<Reply>)> take(std::uint64_t send) {
        return [weak = weak_from_this(), send](rpc::Result<Reply> reply) {
            if (const auto self = weak.lock()) self->replied(send, std::move(reply));
        };
    }

    void tell_loads(const std::vector<std::int32_t>& asked, double asked_ms,
                    const wire::BeginTurnReply& reply) {
        if (loads_told_) loads_told_({asked, reply.other_requests, reply.load_age_ms + now_ms() - asked_ms});
    }

    template <class Reply>
    void replied(std::uint64_t send, rpc::Result<Reply> reply) {
        const TurnReply typed = reply ? TurnReply(std::move(reply.value())) : TurnReply(NoReply());
        quorum_.replied(send, typed, now_ms());
        flush();
    }

    void deliver(TurnOutcome outcome) {
        if (auto* begun = std::get_if<BegunTurn>(&outcome.result)) {
            const auto found = begins_.find(outcome.operation);
            if (found == begins_.end()) return;
            const BeginDone done = std::move(found->second);
            begins_.erase(found);
            done(std::move(*begun));
        } else {
            const auto found = ends_.find(outcome.operation);
            if (found == ends_.end()) return;
            const EndDone done = std::move(found->second);
            ends_.erase(found);
            done(std::get<bool>(outcome.result));
        }
    }

    void arm() {
        const double wake_ms = quorum_.wake_at_ms();
        if (wake_ms == TurnQuorum::kNever) return;
        const double grid_ms = std::ceil(wake_ms / kWakeGridMs) * kWakeGridMs;
        if (armed_ms_ <= grid_ms) return;
        armed_ms_ = grid_ms;
        timer_.expires_at(at(grid_ms));
        timer_.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
            const auto self = weak.lock();
            if (error || !self) return;
            self->armed_ms_ = TurnQuorum::kNever;
            self->quorum_.wake(now_ms());
            self->flush();
        });
    }

    boost::asio::io_context& io_;
    rpc::Client& client_;
    boost::asio::steady_timer timer_;
    std::function<wire::LoadReport(bool)> load_;
    std::function<void(const ToldLoads&)> loads_told_;
    TurnCache cache_;
    TurnQuorum quorum_;
    double armed_ms_ = TurnQuorum::kNever;
    std::unordered_map<std::uint64_t, BeginDone> begins_;
    std::unordered_map<std::uint64_t, EndDone> ends_;
};

TurnClient::TurnClient(boost::asio::io_context& io, rpc::Client& client, Options options)
    : impl_(std::make_shared<Impl>(io, client, options)) {}

TurnClient::~TurnClient() { impl_->stop(); }

void TurnClient::set_map(const wire::StorageMap& map) { impl_->set_map(map); }

bool TurnClient::has_map() const { return impl_->has_map(); }

void TurnClient::begin(const TurnStart& turn, double timeout_ms, std::function<void(BegunTurn)> done) {
    impl_->begin(turn, timeout_ms, std::move(done));
}

void TurnClient::end(const TurnEnd& turn, double timeout_ms, std::function<void(bool durable)> done) {
    impl_->end(turn, timeout_ms, std::move(done));
}

std::string TurnClient::counters() const { return impl_->counters(); }

}  // namespace whinledge::storage_plane
