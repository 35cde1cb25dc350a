#include "control_plane/lease_service.hpp"

#include <utility>

namespace whinledge::control_plane {
namespace {

std::int64_t unix_ms() {
    return std::chrono::duration_cast<Span>(std::chrono::system_clock::now().time_since_epoch()).count();
}

Instant now() { return std::chrono::steady_clock::now(); }

// Leases that are known by name; requests for others of a newer version are bounded.
constexpr std::size_t kMostLeases = 64;

}  // namespace

class LeaseService::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(rpc::Client& client, Options options)
        : client_(client),
          options_(std::move(options)),
          grants_from_(options_.nothing_forgotten ? Instant() : now() + LeaseTimes().grant) {}

    wire::LeaseReply handle(const wire::LeaseRequest& request) {
        if (!grantors_.count(request.lease) && grantors_.size() >= kMostLeases) return {};
        LeaseGrantor& voter = grantor(request.lease);
        voter.observe(options_.voters().epoch, options_.epoch_ends(), now());
        return voter.handle(request, now());
    }

    void seek(const std::string& lease) {
        holders_.emplace(lease, LeaseHolder(lease, options_.holder, options_.node,
                                            static_cast<std::uint64_t>(options_.holder)));
    }

    void tick() {
        if (stopped_) return;
        const Instant at = now();
        for (auto& [lease, holder] : holders_) {
            // Whoever votes knows when it is of no use to ask.
            if (!holder.held(at) && grantor(lease).taken_by_other(options_.holder, at)) continue;
            auto sends = holder.tick(at, options_.voters(), unix_ms());
            send(lease, std::move(sends), holder.round());
        }
    }

    bool held(const std::string& lease) const {
        const auto holder = holders_.find(lease);
        return !stopped_ && holder != holders_.end() && holder->second.held(now());
    }
    std::int64_t fencing(const std::string& lease) const {
        const auto holder = holders_.find(lease);
        return holder == holders_.end() ? 0 : holder->second.fencing();
    }
    void raise_fencing(const std::string& lease, std::int64_t seen) {
        const auto holder = holders_.find(lease);
        if (holder != holders_.end()) holder->second.raise_fencing(seen);
    }
    void release(const std::string& lease, Span pause) {
        const auto holder = holders_.find(lease);
        if (holder == holders_.end()) return;
        const Instant at = now();
        auto sends = holder->second.release(at, at + pause);
        send(lease, std::move(sends), holder->second.round());
    }
    void release_all() {
        for (auto& [lease, holder] : holders_) release(lease, std::chrono::hours(1));
        stopped_ = true;
    }
    void stop() { stopped_ = true; }

    std::vector<View> views() const {
        std::vector<View> views;
        for (const auto& [lease, grantor] : grantors_)
            views.push_back(
                {lease, grantor.held(now()) ? grantor.node() : "", grantor.fencing(), held(lease)});
        return views;
    }

private:
    LeaseGrantor& grantor(const std::string& lease) {
        return grantors_.try_emplace(lease, LeaseGrantor(grants_from_)).first->second;
    }

    void send(const std::string& lease, std::vector<LeaseHolder::Send> sends, std::uint64_t round) {
        for (const LeaseHolder::Send& one : sends)
            client_.call<wire::LeaseRequest, wire::LeaseReply>(
                one.to, kLease, one.request, LeaseTimes().reply,
                [weak = weak_from_this(), lease, to = one.to, round](rpc::Result<wire::LeaseReply> reply) {
                    const auto self = weak.lock();
                    if (!self || self->stopped_) return;
                    self->holders_.at(lease).on_reply(round, to, reply ? &reply.value() : nullptr, now());
                });
    }

    rpc::Client& client_;
    Options options_;
    Instant grants_from_;
    std::map<std::string, LeaseGrantor> grantors_;
    std::map<std::string, LeaseHolder> holders_;
    bool stopped_ = false;
};

LeaseService::LeaseService(rpc::Client& client, rpc::Server& server, Options options)
    : impl_(std::make_shared<Impl>(client, std::move(options))) {
    server.on<wire::LeaseRequest, wire::LeaseReply>(
        kLease, [weak = std::weak_ptr<Impl>(impl_)](const wire::LeaseRequest& request,
                                                    rpc::Server::Responder<wire::LeaseReply> respond) {
            if (const auto impl = weak.lock()) respond(impl->handle(request));
        });
}

LeaseService::~LeaseService() { impl_->stop(); }
void LeaseService::seek(const std::string& lease) { impl_->seek(lease); }
void LeaseService::tick() { impl_->tick(); }
bool LeaseService::held(const std::string& lease) const { return impl_->held(lease); }
std::int64_t LeaseService::fencing(const std::string& lease) const { return impl_->fencing(lease); }
void LeaseService::raise_fencing(const std::string& lease, std::int64_t seen) {
    impl_->raise_fencing(lease, seen);
}
void LeaseService::release(const std::string& lease, Span pause) { impl_->release(lease, pause); }
void LeaseService::release_all() { impl_->release_all(); }
std::vector<LeaseService::View> LeaseService::views() const { return impl_->views(); }

}  // namespace whinledge::control_plane
