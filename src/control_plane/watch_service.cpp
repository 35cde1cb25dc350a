#include "control_plane/watch_service.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "feed/told_controls.hpp"

namespace whinledge::control_plane {
namespace {

using Steady = std::chrono::steady_clock;
using std::chrono::milliseconds;
using Responder = rpc::Server::Responder<wire::WatchReply>;

constexpr milliseconds kLongestWait{5000};
// Polls that end within one tick are answered together.
constexpr milliseconds kTick{50};

}  // namespace

class WatchService::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(boost::asio::io_context& io, Source source) : source_(std::move(source)), timer_(io) {}

    void take(const wire::WatchRequest& request, Responder respond) {
        source_.heard(request);
        Poll poll{request.sequence,
                  request.list_term,
                  request.list_sequence,
                  request.announce_only,
                  request.who.role != wire::NodeRole::control,
                  request.who.role == wire::NodeRole::storage,
                  request.who.role == wire::NodeRole::edge,
                  request.differences,
                  request.controls_version,
                  std::move(respond)};
        if (request.fresh) return read_for(std::move(poll));
        if (draining_ || request.wait_ms <= 0 || behind(poll)) return answer(poll, false);
        const milliseconds wait = std::min(milliseconds(request.wait_ms), kLongestWait);
        waiting_.emplace(Steady::now() + wait, std::move(poll));
        arm();
    }

    void changed() {
        for (auto at = waiting_.begin(); at != waiting_.end();) {
            if (!behind(at->second)) {
                ++at;
                continue;
            }
            answer(at->second, false);
            at = waiting_.erase(at);
        }
    }

    void drain() {
        draining_ = true;
        for (auto& [deadline, poll] : std::exchange(waiting_, {})) answer(poll, false);
        timer_.cancel();
    }

    void stop() {
        stopped_ = true;
        waiting_.clear();
        fresh_.clear();
        timer_.cancel();
    }

    std::size_t waiting() const { return waiting_.size() + fresh_.size(); }

private:
    struct Poll {
        std::int64_t sequence, list_term, list_sequence;
        bool announce_only;
        bool without_orders;  // the orders taken are of use to control processes only
        bool without_list;    // the servers list is of no use to storage processes
        bool with_proxies;    // edge processes share out connections among them
        bool differences;
        std::int64_t controls_version;
        Responder respond;
    };

    // The newest that is known to be chosen; a read may have found a newer one than the register has told of.
    const wire::RegisterState& state() const {
        const wire::RegisterState& told = source_.state();
        return read_.sequence > told.sequence ? read_ : told;
    }
    bool lacks_state(const Poll& poll) const { return state().sequence > poll.sequence; }
    bool lacks_list(const Poll& poll) const {
        if (poll.without_list) return false;
        const wire::ServersList& list = source_.servers();
        return feed::list_is_newer(list.term, list.sequence, poll.list_term, poll.list_sequence);
    }
    bool behind(const Poll& poll) const { return lacks_state(poll) || lacks_list(poll); }

    void answer(const Poll& poll, bool fresh) {
        wire::WatchReply reply;
        reply.protocol = feed::kWatchProtocol;
        reply.sequence = state().sequence;
        reply.list_term = poll.without_list ? poll.list_term : source_.servers().term;
        reply.list_sequence = poll.without_list ? poll.list_sequence : source_.servers().sequence;
        if (!poll.announce_only) {
            if (lacks_state(poll)) reply.__set_state(poll.without_orders ? stripped() : state());
            if (lacks_list(poll)) bring_list(poll, reply);
        }
        feed::tell_controls(source_.controls(), poll.controls_version, reply);
        reply.fresh = fresh;
        reply.list_alive = source_.list_alive();
        reply.relay = source_.relay && source_.relay();
        if (const auto proxies = poll.with_proxies && source_.proxies ? source_.proxies() : std::nullopt)
            reply.__set_proxies(static_cast<std::int32_t>(*proxies));
        poll.respond(reply);
    }

    void bring_list(const Poll& poll, wire::WatchReply& reply) const {
        std::optional<wire::ServersDifference> difference;
        if (poll.differences && source_.difference_since)
            difference = source_.difference_since(poll.list_term, poll.list_sequence);
        if (difference)
            reply.__set_difference(*difference);
        else
            reply.__set_servers(source_.servers());
    }

    const wire::RegisterState& stripped() {
        if (stripped_.sequence != state().sequence) {
            stripped_ = state();
            stripped_.taken.clear();
        }
        return stripped_;
    }

    // One read serves all who asked before it began.
    void read_for(Poll poll) {
        fresh_.push_back(std::move(poll));
        if (!reading_) read();
    }
    void read() {
        reading_ = true;
        source_.read([weak = weak_from_this(),
                      polls = std::exchange(fresh_, {})](std::optional<wire::RegisterState> state) {
            const auto self = weak.lock();
            if (!self || self->stopped_) return;
            self->reading_ = false;
            if (state && state->sequence > self->source_.state().sequence) self->read_ = *state;
            for (const Poll& poll : polls) self->answer(poll, state.has_value());
            if (!self->fresh_.empty()) self->read();
        });
    }

    void arm() {
        if (armed_ || waiting_.empty()) return;
        armed_ = true;
        timer_.expires_at(waiting_.begin()->first + kTick);
        timer_.async_wait([weak = weak_from_this()](boost::system::error_code cancelled) {
            const auto self = weak.lock();
            if (cancelled || !self || self->stopped_) return;
            self->armed_ = false;
            self->expire();
        });
    }
    void expire() {
        const Steady::time_point now = Steady::now();
        while (!waiting_.empty() && waiting_.begin()->first <= now) {
            answer(waiting_.begin()->second, false);
            waiting_.erase(waiting_.begin());
        }
        arm();
    }

    Source source_;
    boost::asio::steady_timer timer_;
    std::multimap<Steady::time_point, Poll> waiting_;
    std::vector<Poll> fresh_;
    wire::RegisterState read_;
    wire::RegisterState stripped_;  // of state(), without the orders taken
    bool reading_ = false, armed_ = false, draining_ = false, stopped_ = false;
};

WatchService::WatchService(boost::asio::io_context& io, rpc::Server& server, Source source)
    : impl_(std::make_shared<Impl>(io, std::move(source))) {
    server.on<wire::WatchRequest, wire::WatchReply>(
        feed::kWatch,
        [weak = std::weak_ptr<Impl>(impl_)](const wire::WatchRequest& request, Responder respond) {
            if (const auto impl = weak.lock()) impl->take(request, std::move(respond));
        });
}

WatchService::~WatchService() { impl_->stop(); }
void WatchService::changed() { impl_->changed(); }
void WatchService::drain() { impl_->drain(); }
std::size_t WatchService::waiting() const { return impl_->waiting(); }

}  // namespace whinledge::control_plane
