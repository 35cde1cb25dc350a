#include "control_plane/servers_list_reader.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <optional>
#include <utility>

#include "control_plane/list_replica.hpp"

namespace whinledge::control_plane {
namespace {

Instant now() { return std::chrono::steady_clock::now(); }

// From the beginning of a reading to that of the next; longer where the pages would take more than a part of
// the calls that the platform accepts.
constexpr Span kReadEvery{850};
constexpr double kPartOfCalls = 0.4;
constexpr Span kIdle{200};  // between looks at the lease
constexpr Span kAliveFor{1250};
constexpr Span kNewsTimeout{800};
constexpr Span kSayReadingEvery{400};  // while the platform has no calls left for a reading
// A reader that can't read lets another try.
constexpr Span kGiveUpAfter{1500};
constexpr Span kStandAside{3000};
constexpr Span kLongestBackoff{2000};
// In milliseconds: a reading waits so long for calls that others have taken. Begun anew it would need more of
// them.
constexpr Millis kPatience = 2000;

// In the order of ids, each once.
void make_tidy(std::vector<wire::ListedServer>& servers) {
    std::stable_sort(servers.begin(), servers.end(),
                     [](const wire::ListedServer& a, const wire::ListedServer& b) { return a.id < b.id; });
    const auto same_id = [](const wire::ListedServer& a, const wire::ListedServer& b) {
        return a.id == b.id;
    };
    servers.erase(std::unique(servers.begin(), servers.end(), same_id), servers.end());
}

}  // namespace

class ServersListReader::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(boost::asio::io_context& io, rpc::Client& client, LeaseService& leases, Options options)
        : client_(client),
          leases_(leases),
          options_(std::move(options)),
          platform_(io, options_.list_address),
          timer_(io) {}

    void start() { step(); }
    void stop() {
        stopped_ = true;
        timer_.cancel();
    }

    const wire::ServersList& list() const { return replica_.list(); }
    std::optional<wire::ServersDifference> difference_since(std::int64_t term, std::int64_t sequence) const {
        return replica_.difference_since(term, sequence);
    }
    bool alive() const { return now() - alive_at_ < kAliveFor; }
    void seen(std::int64_t term) {
        if (term > list().term) leases_.raise_fencing(kServersListLease, term);
    }

    wire::ListNewsReply take(const wire::ListNews& news) {
        const ListReplica::Taken taken = replica_.take(news);
        if (taken.living_reader) alive_at_ = now();
        if (taken.changed) {
            ++told_;
            options_.on_change();
        }
        return taken.reply;
    }

    std::string counters() const {
        return std::string("read=").append(std::to_string(read_)) + " failed=" + std::to_string(failed_) +
               " calls=" + std::to_string(calls_) + " changes=" + std::to_string(changes_) +
               " told=" + std::to_string(told_) + " servers=" + std::to_string(list().servers.size()) +
               " waits=" + std::to_string(waits_) + " told_whole=" + std::to_string(replica_.told_whole()) +
               " mismatches=" + std::to_string(replica_.mismatches());
    }

private:
    void step_after(Span delay) {
        timer_.expires_after(delay);
        timer_.async_wait([weak = weak_from_this()](boost::system::error_code cancelled) {
            const auto self = weak.lock();
            if (!cancelled && self && !self->stopped_) self->step();
        });
    }

    void step() {
        if (!leases_.held(kServersListLease)) {
            read_ok_at_ = Instant::max();
            return step_after(kIdle);
        }
        if (read_ok_at_ == Instant::max()) read_ok_at_ = now();  // it has just been got
        began_ = now();
        const auto weak = weak_from_this();
        platform_.fetch(
            [weak](feed::ListResult<feed::ServersListClient::Reading> result) {
                const auto self = weak.lock();
                if (!self || self->stopped_) return;
                if (result)
                    self->took(std::move(result).value());
                else
                    self->could_not(result.error());
            },
            kPatience,
            [weak] {
                if (const auto self = weak.lock()) self->say_reading();
            });
    }

    // The platform answers, but others take its calls: told that somebody reads for all, they leave them.
    void say_reading() {
        ++waits_;
        const Instant at = now();
        if (stopped_ || at - said_at_ < kSayReadingEvery || !leases_.held(kServersListLease)) return;
        said_at_ = alive_at_ = at;
        tell_others();
    }

    void took(feed::ServersListClient::Reading reading) {
        ++read_;
        calls_ += static_cast<std::uint64_t>(reading.calls);
        read_ok_at_ = now();
        backoff_ = Span(0);
        // Frozen meanwhile, or cut off: another may read by now, and what was read is old.
        if (!leases_.held(kServersListLease)) return step_after(kIdle);
        publish(std::move(reading.servers));
        const auto pace =
            Span(static_cast<long>(reading.calls * 1000.0 / (options_.calls_per_second * kPartOfCalls)));
        const auto due = began_ + std::max(kReadEvery, pace);
        step_after(std::max(Span(0), std::chrono::ceil<Span>(due - now())));
    }

    void could_not(const feed::ListError& error) {
        ++failed_;
        LOG_EVERY_N(WARNING, 100) << error.message;
        if (error.failure == feed::ListFailure::rate_limited)
            backoff_ = std::min(kLongestBackoff, backoff_ * 2 + kReadEvery);
        else
            backoff_ = kReadEvery / 4;
        const bool hopeless =
            now() - read_ok_at_ > kGiveUpAfter && error.failure != feed::ListFailure::rate_limited;
        if (hopeless) {
            leases_.release(kServersListLease, kStandAside);
            read_ok_at_ = Instant::max();
        }
        step_after(backoff_);
    }

    void publish(std::vector<wire::ListedServer> servers) {
        const std::int64_t term = leases_.fencing(kServersListLease);
        make_tidy(servers);
        said_at_ = alive_at_ = now();
        // The voters had forgotten the number that this list came under: ours goes above it at the next
        // renewal.
        if (term < list().term) return leases_.raise_fencing(kServersListLease, list().term);
        const bool changed = replica_.publish(term, std::move(servers));
        if (changed) ++changes_;
        tell_others();
        if (changed) options_.on_change();
    }

    void tell_others() {
        for (const std::string& address : options_.others()) tell(address);
    }
    void tell(const std::string& address) {
        ListReplica::News news = replica_.news_for(address);
        news.message.node = options_.node;
        client_.call<wire::ListNews, wire::ListNewsReply>(
            address, kListNews, news.message, kNewsTimeout,
            [weak = weak_from_this(), address, asked = news.asks](rpc::Result<wire::ListNewsReply> reply) {
                const auto self = weak.lock();
                if (self && !self->stopped_) self->heard(address, asked, reply);
            });
    }
    void heard(const std::string& address, bool asked, const rpc::Result<wire::ListNewsReply>& reply) {
        if (!reply) return replica_.failed(address);
        const bool again = replica_.answered(address, asked, reply.value());
        seen(reply.value().term);
        if (again) tell(address);
    }

    rpc::Client& client_;
    LeaseService& leases_;
    Options options_;
    feed::ServersListClient platform_;
    boost::asio::steady_timer timer_;
    ListReplica replica_;
    Instant alive_at_{}, said_at_{}, began_{}, read_ok_at_ = Instant::max();
    Span backoff_{0};
    std::uint64_t read_ = 0, failed_ = 0, calls_ = 0, waits_ = 0, changes_ = 0, told_ = 0;
    bool stopped_ = false;
};

ServersListReader::ServersListReader(boost::asio::io_context& io, rpc::Client& client, rpc::Server& server,
                                     LeaseService& leases, Options options)
    : impl_(std::make_shared<Impl>(io, client, leases, std::move(options))) {
    server.on<wire::ListNews, wire::ListNewsReply>(
        kListNews, [weak = std::weak_ptr<Impl>(impl_)](const wire::ListNews& news,
                                                       rpc::Server::Responder<wire::ListNewsReply> respond) {
            if (const auto impl = weak.lock()) respond(impl->take(news));
        });
}

ServersListReader::~ServersListReader() { impl_->stop(); }
void ServersListReader::start() { impl_->start(); }
const wire::ServersList& ServersListReader::list() const { return impl_->list(); }
std::optional<wire::ServersDifference> ServersListReader::difference_since(std::int64_t term,
                                                                           std::int64_t sequence) const {
    return impl_->difference_since(term, sequence);
}
bool ServersListReader::alive() const { return impl_->alive(); }
void ServersListReader::seen(std::int64_t term) { impl_->seen(term); }
std::string ServersListReader::counters() const { return impl_->counters(); }

}  // namespace whinledge::control_plane
