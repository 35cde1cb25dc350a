#include "feed/feed.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <tuple>
#include <utility>

#include "feed/known_controls.hpp"
#include "feed/told_controls.hpp"
#include "feed/view.hpp"
#include "feed/watch.hpp"

namespace whinledge::feed {
namespace {

using Steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

// How long a control process holds a poll while it has nothing new. The others than the main one are asked
// only whether there is something new, so as not to be sent everything several times; storage processes tell
// all of them how far they are.
constexpr milliseconds kWait{1000};
constexpr milliseconds kWaitForAnnouncement{2500};
constexpr milliseconds kFirstWait{200};  // of those that only announce, until the first state is confirmed
// Beyond the time that the other side may hold a poll.
constexpr milliseconds kReplySlack{800};
constexpr milliseconds kShortestRetry{200};
constexpr milliseconds kLongestRetry{500};
// The main channel's time to bring what another has announced.
constexpr milliseconds kAnnouncementGrace{60};
// The same for the first state and list of a process, which may be large and asked for by many at once;
// doubles with each channel that did not bring them, as a crowd that asks all of them delays them further.
constexpr milliseconds kFirstGrace{100}, kLongestFirstGrace{3200};
// Beyond kReplySlack, for a reply that is to bring the whole.
constexpr milliseconds kWholeSlack{4000};
constexpr milliseconds kRelayGrace{350};  // the overlay's time for the same, a graft included
// A reply without news that came sooner after its request is followed by a pause.
constexpr milliseconds kHasty{50};
constexpr int kFailuresUntilReplaced = 3;

}  // namespace

class Feed::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(Feed& owner, boost::asio::io_context& io, rpc::Client& client, Options options)
        : owner_(&owner),
          io_(io),
          client_(client),
          self_(std::move(options.self)),
          seeds_(std::move(options.seeds)),
          started_(Steady::now()),
          heard_at_(started_),
          random_(std::random_device{}()) {}

    void start() { choose_channels(); }

    void stop() {
        owner_ = nullptr;
        for (auto& [address, channel] : channels_) channel->timer.cancel();
        channels_.clear();
        main_.reset();
        fetching_.reset();
    }

    void set_seeds(std::vector<std::string> seeds) {
        seeds_ = std::move(seeds);
        choose_channels();
    }

    View view;
    KnownControls controls;
    std::string storage_note;

    double silence_ms(Steady::time_point since) const {
        return std::chrono::duration<double, std::milli>(Steady::now() - since).count();
    }
    double list_silence_ms() const {
        return alive_at_ ? silence_ms(*alive_at_) : std::numeric_limits<double>::infinity();
    }
    double control_silence_ms() const { return silence_ms(heard_at_); }

    std::string counters() const {
        return std::string("polls=").append(std::to_string(polls_)) + " failed=" + std::to_string(failed_) +
               " states=" + std::to_string(states_) + " lists=" + std::to_string(lists_) +
               " channels=" + std::to_string(channels_.size()) +
               " relayed=" + std::to_string(relayed_ ? 1 : 0) + " fetched=" + std::to_string(fetched_) +
               " sequence=" + std::to_string(view.state().sequence);
    }

private:
    struct Channel {
        Channel(boost::asio::io_context& io, std::string its_address)
            : address(std::move(its_address)), timer(io) {}
        const std::string address;
        boost::asio::steady_timer timer;
        bool healthy = true;
        bool relay = false;          // as it last said
        int failures = 0;            // in a row
        bool announce_only = false;  // of the poll that is out, or was last
        bool asked_fresh = false;    // the same
        Steady::time_point sent{};
        ToldControls told;
    };
    using ChannelPtr = std::shared_ptr<Channel>;

    // Orders addresses differently for each process, so that watchers spread over the control processes.
    std::size_t rank(const std::string& address) const {
        return std::hash<std::string>()(self_.node + '|' + address);
    }
    bool in_own_zone(const std::string& address) const { return controls.in_zone(address, self_.zone); }
    bool wears_out(const std::string& address) const {
        const auto channel = channels_.find(address);
        return channel != channels_.end() && channel->second->failures >= kFailuresUntilReplaced;
    }

    std::vector<std::string> candidates() const {
        std::vector<std::string> addresses = seeds_;
        for (const wire::NodeInfo& control : controls.all()) addresses.push_back(control.address);
        std::sort(addresses.begin(), addresses.end());
        addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
        const auto key = [this](const std::string& address) {
            return std::make_tuple(wears_out(address), !in_own_zone(address), rank(address));
        };
        std::sort(addresses.begin(), addresses.end(),
                  [&key](const std::string& a, const std::string& b) { return key(a) < key(b); });
        return addresses;
    }

    void choose_channels() {
        std::vector<std::string> wanted = candidates();
        const std::size_t most = relayed_ ? kMostChannelsBesideRelay : kMostChannels;
        if (wanted.size() > most) wanted.resize(most);
        for (auto at = channels_.begin(); at != channels_.end();) {
            if (std::find(wanted.begin(), wanted.end(), at->first) != wanted.end()) {
                ++at;
                continue;
            }
            at->second->timer.cancel();
            if (main_ == at->second) main_.reset();
            at = channels_.erase(at);
        }
        std::vector<ChannelPtr> added;
        for (const std::string& address : wanted)
            if (!channels_.count(address))
                added.push_back(
                    channels_.emplace(address, std::make_shared<Channel>(io_, address)).first->second);
        choose_main();
        for (const ChannelPtr& channel : added)
            if (current(channel)) poll(channel);
    }

    // The channel that brings states and lists whole: in the own zone, if one there answers.
    void choose_main() {
        if (main_ && main_->healthy && in_own_zone(main_->address)) return;
        ChannelPtr best = main_ && main_->healthy ? main_ : nullptr;
        for (const auto& [address, channel] : channels_) {
            if (!channel->healthy) continue;
            if (!best || (in_own_zone(address) && !in_own_zone(best->address))) best = channel;
        }
        if (best) main_ = best;
    }

    bool current(const ChannelPtr& channel) const {
        const auto at = channels_.find(channel->address);
        return owner_ && at != channels_.end() && at->second == channel;
    }

    void poll(const ChannelPtr& channel) {
        wire::WatchRequest request;
        request.protocol = kWatchProtocol;
        request.who = self_;
        request.sequence = view.state().sequence;
        request.list_term = view.servers().term;
        request.list_sequence = view.servers().sequence;
        // Until it is confirmed, one channel brings the whole, also where the overlay will later.
        const bool first = !view.confirmed();
        request.fresh = first && main_ == channel;
        request.announce_only = relayed_ && !first ? fetching_ != channel : main_ && main_ != channel;
        request.differences = view.wants_difference();
        request.storage_note = storage_note;
        if (owner_->storage_progress) request.__set_storage_progress(owner_->storage_progress());
        request.controls_version = channel->told.version();
        const bool seldom = request.announce_only && main_ != channel && self_.role == wire::NodeRole::edge;
        const bool soon = first && request.announce_only;
        const milliseconds wait = soon ? kFirstWait : seldom ? kWaitForAnnouncement : kWait;
        request.wait_ms = static_cast<std::int32_t>(wait.count());
        channel->sent = Steady::now();
        channel->announce_only = request.announce_only;
        channel->asked_fresh = request.fresh;
        ++polls_;
        const bool large = request.fresh && view.state().sequence == 0;
        const milliseconds slack = large ? kReplySlack + kWholeSlack : kReplySlack;
        client_.call<wire::WatchRequest, wire::WatchReply>(
            channel->address, kWatch, request, wait + slack,
            [weak = weak_from_this(), channel](rpc::Result<wire::WatchReply> reply) {
                const auto self = weak.lock();
                if (!self || !self->current(channel)) return;
                if (reply)
                    self->heard(channel, std::move(reply).value());
                else
                    self->failed(channel);
            });
    }

    void poll_later(const ChannelPtr& channel, milliseconds delay) {
        channel->timer.expires_after(delay);
        channel->timer.async_wait([weak = weak_from_this(), channel](boost::system::error_code cancelled) {
            const auto self = weak.lock();
            if (!cancelled && self && self->current(channel)) self->poll(channel);
        });
    }

    milliseconds retry_delay() {
        return milliseconds(
            std::uniform_int_distribution<long>(kShortestRetry.count(), kLongestRetry.count())(random_));
    }

    void failed(const ChannelPtr& channel) {
        ++failed_;
        ++channel->failures;
        channel->healthy = false;
        if (fetching_ == channel) fetching_.reset();
        poll_later(channel, retry_delay());
        const bool asked_whole = !channel->announce_only;
        if (view.confirmed())
            choose_main();
        else if (channel == main_ && asked_whole)
            give_way(channel);
        if (channel->failures % kFailuresUntilReplaced == 0) choose_channels();
    }

    void heard(const ChannelPtr& channel, wire::WatchReply reply) {
        const Steady::time_point now = Steady::now();
        channel->healthy = true;
        channel->failures = 0;
        heard_at_ = now;
        if (reply.list_alive) alive_at_ = now;
        if (fetching_ == channel) fetching_.reset();
        channel->relay = reply.relay;
        const bool behind = view.behind(reply);
        const View::News news = view.take(reply);
        if (channel->asked_fresh && !reply.fresh && !view.confirmed()) give_way(channel);
        choose_relay();
        const bool other_controls = controls.learn(channel->told.take(reply), now);
        if (current(channel)) next_poll(channel, behind, news.state || news.servers, now);
        if (other_controls) choose_channels();
        if (reply.__isset.proxies && reply.proxies > 0 && owner_ && owner_->on_proxies)
            owner_->on_proxies(static_cast<std::size_t>(reply.proxies));
        tell(news);
    }

    // It reaches no majority: another channel may.
    void give_way(const ChannelPtr& channel) {
        channel->healthy = false;
        choose_main();
        if (main_ != channel) return;
        auto next = channels_.upper_bound(channel->address);
        main_ = next == channels_.end() ? channels_.begin()->second : next->second;
    }

    void next_poll(const ChannelPtr& channel, bool was_behind, bool brought_news, Steady::time_point now) {
        // It became the main channel while its poll was out.
        const bool brings_all = !relayed_ || !view.confirmed();
        const bool just_main = channel == main_ && channel->announce_only && brings_all;
        if (was_behind && !brought_news && !just_main) return take_over_later(channel);
        const bool hasty = now - channel->sent < kHasty && !brought_news && !was_behind;
        if (hasty) return poll_later(channel, retry_delay());
        poll(channel);
    }

    milliseconds grace() const {
        if (!view.confirmed())
            return std::min(kFirstGrace * (1L << std::min(first_takeovers_, 6)), kLongestFirstGrace);
        return relayed_ ? kRelayGrace : kAnnouncementGrace;
    }

    // Another channel announced something. If the main one has not brought it after a moment, it is slow, and
    // this one takes its place.
    void take_over_later(const ChannelPtr& channel) {
        const auto had = std::make_tuple(view.state().sequence, view.servers().term, view.servers().sequence);
        channel->timer.expires_after(grace());
        channel->timer.async_wait([weak = weak_from_this(), channel,
                                   had](boost::system::error_code cancelled) {
            const auto self = weak.lock();
            if (cancelled || !self || !self->current(channel)) return;
            const View& view = self->view;
            if (had == std::make_tuple(view.state().sequence, view.servers().term, view.servers().sequence))
                self->take_over(channel);
            self->poll(channel);
        });
    }

    void take_over(const ChannelPtr& channel) {
        if (!view.confirmed()) ++first_takeovers_;
        if (relayed_ && view.confirmed()) {
            fetching_ = channel;
            ++fetched_;
            return;
        }
        if (main_) main_->healthy = false;
        channel->healthy = true;
        main_ = channel;
    }

    // Once one has said so, until none of those that are watched does.
    void choose_relay() {
        const bool relayed = owner_ && owner_->on_relay &&
                             std::any_of(channels_.begin(), channels_.end(),
                                         [](const auto& each) { return each.second->relay; });
        if (relayed == relayed_) return;
        relayed_ = relayed;
        fetching_.reset();
        choose_channels();
        owner_->on_relay(relayed_);
    }

public:
    void take(wire::WatchReply reply) {
        const View::News news = view.take(reply);
        if (news.servers) alive_at_ = Steady::now();
        tell(news);
    }

private:
    // Last, as the one who is told may do anything, end the feed included.
    void tell(const View::News& news) {
        const auto alive = shared_from_this();
        if (news.state) {
            ++states_;
            if (owner_ && owner_->on_state) owner_->on_state(view.state());
        }
        if (news.servers) {
            ++lists_;
            if (owner_ && owner_->on_servers) owner_->on_servers(view.servers());
        }
        if (news.confirmed && owner_ && owner_->on_confirmed) owner_->on_confirmed();
    }

    Feed* owner_;  // null: it has gone
    boost::asio::io_context& io_;
    rpc::Client& client_;
    wire::NodeInfo self_;
    std::vector<std::string> seeds_;
    std::map<std::string, ChannelPtr> channels_;
    ChannelPtr main_;
    ChannelPtr fetching_;      // brings what the overlay did not
    bool relayed_ = false;     // states and lists come by the overlay
    int first_takeovers_ = 0;  // channels that took over before this process was confirmed
    Steady::time_point started_;
    std::optional<Steady::time_point> alive_at_;  // the reader of the platform's list; none: never
    Steady::time_point heard_at_;                 // any control process
    std::minstd_rand random_;
    std::uint64_t polls_ = 0, failed_ = 0, states_ = 0, lists_ = 0, fetched_ = 0;
};

Feed::Feed(boost::asio::io_context& io, rpc::Client& client, Options options)
    : impl_(std::make_shared<Impl>(*this, io, client, std::move(options))) {}

Feed::~Feed() { impl_->stop(); }

void Feed::start() { impl_->start(); }
void Feed::set_seeds(std::vector<std::string> seeds) { impl_->set_seeds(std::move(seeds)); }
void Feed::take(wire::RegisterState state) {
    wire::WatchReply reply;
    reply.state = std::move(state);
    reply.__isset.state = true;
    impl_->take(std::move(reply));
}
void Feed::take(wire::ServersList servers) {
    wire::WatchReply reply;
    reply.servers = std::move(servers);
    reply.__isset.servers = true;
    impl_->take(std::move(reply));
}
bool Feed::take(wire::ServersDifference difference) {
    const auto had = std::make_pair(difference.term, difference.sequence);
    wire::WatchReply reply;
    reply.difference = std::move(difference);
    reply.__isset.difference = true;
    impl_->take(std::move(reply));
    return !list_is_newer(had.first, had.second, servers().term, servers().sequence);
}
void Feed::set_storage_note(std::string note) { impl_->storage_note = std::move(note); }
const wire::RegisterState& Feed::state() const { return impl_->view.state(); }
const wire::ServersList& Feed::servers() const { return impl_->view.servers(); }
const std::vector<wire::NodeInfo>& Feed::controls() const { return impl_->controls.all(); }
bool Feed::confirmed() const { return impl_->view.confirmed(); }
double Feed::list_silence_ms() const { return impl_->list_silence_ms(); }
double Feed::control_silence_ms() const { return impl_->control_silence_ms(); }
std::string Feed::counters() const { return impl_->counters(); }

}  // namespace whinledge::feed
