#include "overlay/overlay_service.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <utility>

#include "overlay/overlay_node.hpp"
#include "rpc/codec.hpp"
#include "servers_list/difference.hpp"

namespace whinledge::overlay {
namespace {

using Steady = std::chrono::steady_clock;
using Span = std::chrono::duration<double, std::milli>;

constexpr Topic kStateTopic = 1;
constexpr Topic kServersTopic = 2;
// Wake-ups cost: what is due within one of these is done together.
constexpr Millis kTick = 20;
// The whole list as bytes is let go once nobody has asked for it for so long.
constexpr Millis kWholeKept = 5000;
constexpr std::chrono::milliseconds kCallLimit{static_cast<long>(kCallTimeout)};

Contact contact_of(const wire::NodeInfo& info, std::int64_t incarnation) {
    Contact contact;
    contact.address = info.address;
    contact.incarnation = incarnation;
    contact.zone = info.zone;
    contact.control = info.role == wire::NodeRole::control;
    return contact;
}

CallFailure failure_of(const rpc::Error& error) {
    return error.failure == rpc::Failure::timed_out ? CallFailure::timed_out : CallFailure::refused;
}

}  // namespace

class OverlayService::Impl : public std::enable_shared_from_this<Impl>, private Keeper {
public:
    Impl(OverlayService& owner, boost::asio::io_context& io, rpc::Client& client, Options options)
        : owner_(&owner),
          client_(client),
          options_(std::move(options)),
          timer_(io),
          begin_(Steady::now()),
          random_(std::random_device{}()) {}

    void listen(rpc::Server& server) {
        server.on<wire::OverlayRequest, wire::OverlayReply>(
            kOverlay, [weak = weak_from_this()](const wire::OverlayRequest& request,
                                                rpc::Server::Responder<wire::OverlayReply> respond) {
                if (const auto self = weak.lock()) self->handle(request, respond);
            });
    }

    void start() {
        if (node_) return;
        OverlayNode::Options options;
        options.self = contact_of(options_.self, static_cast<std::int64_t>(random_() >> 1));
        options.seeds = options_.seeds;
        options.sizes = options.self.control ? ViewSizes::of_control() : ViewSizes::of_edge();
        options.started = now();
        options.random_seed = random_();
        options.keeper = this;
        node_.emplace(options);
        ++life_;
        step([this](Effects& effects) {
            for (const auto& [topic, published] : published_)
                node_->publish(now(), topic, published.first, published.second, effects);
            if (published_list_) publish_list({}, nullptr, effects);
        });
    }

    void stop() {
        node_.reset();
        timer_.cancel();
        armed_for_ = kNever;
    }

    void end() {
        owner_ = nullptr;
        stop();
    }

    bool running() const { return node_.has_value(); }

    void set_seeds(std::vector<std::string> seeds) {
        if (seeds == options_.seeds) return;
        options_.seeds = std::move(seeds);
        if (!node_) return;
        node_->view().set_seeds(options_.seeds);
        arm();
    }

    template <class Body>
    void publish(Topic topic, Version version, const Body& body) {
        auto& published = published_[topic];
        if (version <= published.first) return;
        published = {version, std::make_shared<const std::string>(rpc::encode_body(body))};
        if (!node_) return;
        step([&](Effects& effects) { node_->publish(now(), topic, version, published.second, effects); });
    }

    void publish(const wire::ServersList& list) {
        published_list_ = true;
        const wire::ServersList& known = list_.list();
        const Version base{known.term, known.sequence};
        if (Version{list.term, list.sequence} <= base) return;
        if (!node_) {
            list_.replace(list);
            return;
        }
        const auto change =
            std::make_shared<const std::string>(rpc::encode_body(servers_list::difference(known, list)));
        list_.replace(list);
        step([&](Effects& effects) { publish_list(base, change, effects); });
    }

    std::vector<LinkView> links() const {
        std::vector<LinkView> links;
        if (!node_) return links;
        for (const auto& [address, contact] : node_->view().active())
            links.push_back({address, contact.zone, contact.control, node_->tree().eager(address),
                             node_->tree().parent() == address});
        return links;
    }
    std::string counters() const {
        return std::string("running=").append(std::to_string(node_ ? 1 : 0)) +
               " links=" + std::to_string(node_ ? node_->view().active().size() : 0) +
               " contacts=" + std::to_string(node_ ? node_->view().passive().size() : 0) +
               " calls=" + std::to_string(calls_) + " failed=" + std::to_string(failed_) +
               " handled=" + std::to_string(handled_) + " delivered=" + std::to_string(delivered_) +
               " unreadable=" + std::to_string(unreadable_) + " differences=" + std::to_string(differences_) +
               " misfits=" + std::to_string(misfits_) + " wholes=" + std::to_string(wholes_) +
               " replaced=" + std::to_string(replaced_);
    }

private:
    // ---- Of the servers list
    bool apply(Topic topic, const std::string& bytes) override {
        if (topic != kServersTopic) return false;
        const rpc::Result<wire::ServersDifference> read = rpc::decode_body<wire::ServersDifference>(bytes);
        const bool fits = read && list_.apply(read.value()) != servers_list::Applied::mismatch &&
                          Version{list_.list().term, list_.list().sequence} >=
                              Version{read.value().term, read.value().sequence};
        ++(fits ? differences_ : misfits_);
        return fits;
    }
    bool replace(Topic topic, const std::string& bytes) override {
        if (topic != kServersTopic) return false;
        replacement_.reset();
        rpc::Result<wire::ServersList> read = rpc::decode_body<wire::ServersList>(bytes);
        if (!read) {
            ++unreadable_;
            return false;
        }
        ++replaced_;
        const wire::ServersList before = list_.list();
        if (!list_.replace(std::move(read).value())) return false;
        if (before.sequence > 0 || before.term > 0)
            replacement_ = std::make_shared<const std::string>(
                rpc::encode_body(servers_list::difference(before, list_.list())));
        return true;
    }
    std::shared_ptr<const std::string> replacement(Topic topic) override {
        return topic == kServersTopic ? std::exchange(replacement_, nullptr) : nullptr;
    }
    std::shared_ptr<const std::string> whole(Topic) override {
        const Version version{list_.list().term, list_.list().sequence};
        if (!whole_ || whole_version_ != version) {
            whole_ = std::make_shared<const std::string>(rpc::encode_body(list_.list()));
            whole_version_ = version;
            ++wholes_;
        }
        whole_used_ = now();
        return whole_;
    }
    // Its bytes are about a third of the list itself, and newcomers that need them come together.
    void forget_whole() {
        if (whole_ && now() - whole_used_ > kWholeKept) whole_.reset();
    }
    void publish_list(Version base, const std::shared_ptr<const std::string>& change, Effects& effects) {
        const Version version{list_.list().term, list_.list().sequence};
        if (change)
            node_->publish_change(now(), kServersTopic, base, version, change, effects);
        else
            node_->publish(now(), kServersTopic, version, nullptr, effects);
    }
    // A listener that can't use the difference gets the whole.
    void tell_list(const Delivery& delivery) {
        if (!owner_) return;
        if (delivery.difference && owner_->on_difference) {
            rpc::Result<wire::ServersDifference> read =
                rpc::decode_body<wire::ServersDifference>(*delivery.body);
            if (read && owner_->on_difference(std::move(read).value())) return;
        }
        if (owner_ && owner_->on_servers) owner_->on_servers(list_.list());
    }

    Millis now() const { return Span(Steady::now() - begin_).count(); }

    // Runs one step of the core and carries out what it asks for.
    template <class Step>
    void step(Step&& act) {
        Effects effects;
        act(effects);
        for (Outgoing& call : effects.calls) send(std::move(call));
        arm();
        deliver(effects.delivered);
    }

    void handle(const wire::OverlayRequest& request,
                const rpc::Server::Responder<wire::OverlayReply>& respond) {
        if (!node_) return respond(wire::OverlayReply());
        ++handled_;
        const auto alive = shared_from_this();
        step([&](Effects& effects) { respond(node_->handle(now(), request, effects)); });
    }

    void send(Outgoing outgoing) {
        ++calls_;
        const auto call = std::make_shared<const Outgoing>(std::move(outgoing));
        client_.call<wire::OverlayRequest, wire::OverlayReply>(
            call->to.address, kOverlay, call->request, kCallLimit,
            [weak = weak_from_this(), call, life = life_](rpc::Result<wire::OverlayReply> reply) {
                const auto self = weak.lock();
                if (!self || !self->node_ || self->life_ != life) return;
                self->step([&](Effects& effects) {
                    if (reply) {
                        self->node_->answered(self->now(), *call, reply.value(), effects);
                    } else {
                        ++self->failed_;
                        self->node_->failed(self->now(), *call, failure_of(reply.error()), effects);
                    }
                });
            });
    }

    void arm() {
        if (!node_) return;
        const Millis due = node_->due();
        if (due >= armed_for_) return;
        armed_for_ = due;
        const Millis wait = std::max(due - now(), 0.0) + kTick;
        timer_.expires_after(std::chrono::duration_cast<Steady::duration>(Span(wait)));
        timer_.async_wait([weak = weak_from_this()](boost::system::error_code cancelled) {
            const auto self = weak.lock();
            if (cancelled || !self || !self->node_) return;
            self->armed_for_ = kNever;
            self->forget_whole();
            self->step([&](Effects& effects) { self->node_->tick(self->now(), effects); });
        });
    }

    // Last, as the one who is told may do anything, end the service included.
    void deliver(const std::vector<Delivery>& deliveries) {
        const auto alive = shared_from_this();
        for (const Delivery& delivery : deliveries) {
            ++delivered_;
            if (delivery.topic == kStateTopic) tell<wire::RegisterState>(delivery, &OverlayService::on_state);
            if (delivery.topic == kServersTopic) tell_list(delivery);
        }
    }
    template <class Body>
    void tell(const Delivery& delivery, std::function<void(Body)> OverlayService::*listener) {
        if (!owner_ || !(owner_->*listener)) return;
        rpc::Result<Body> body = rpc::decode_body<Body>(*delivery.body);
        if (!body) {
            ++unreadable_;
            return;
        }
        (owner_->*listener)(std::move(body).value());
    }

    OverlayService* owner_;  // null: it has gone
    rpc::Client& client_;
    Options options_;
    boost::asio::steady_timer timer_;
    Steady::time_point begin_;
    std::mt19937_64 random_;
    std::optional<OverlayNode> node_;  // none: takes no part
    std::uint64_t life_ = 0;           // of the node: replies to an earlier one are nobody's
    std::map<Topic, std::pair<Version, std::shared_ptr<const std::string>>> published_;
    servers_list::KeptList list_;
    bool published_list_ = false;               // by this process
    std::shared_ptr<const std::string> whole_;  // the list as bytes, from when it was asked for
    Version whole_version_;
    Millis whole_used_ = 0;
    std::shared_ptr<const std::string> replacement_;  // made by the last replace()
    Millis armed_for_ = kNever;
    std::uint64_t differences_ = 0, misfits_ = 0, wholes_ = 0, replaced_ = 0;
    std::uint64_t calls_ = 0, failed_ = 0, handled_ = 0, delivered_ = 0, unreadable_ = 0;
};

OverlayService::OverlayService(boost::asio::io_context& io, rpc::Client& client, rpc::Server& server,
                               Options options)
    : impl_(std::make_shared<Impl>(*this, io, client, std::move(options))) {
    impl_->listen(server);
}

OverlayService::~OverlayService() { impl_->end(); }

void OverlayService::start() { impl_->start(); }
void OverlayService::stop() { impl_->stop(); }
bool OverlayService::running() const { return impl_->running(); }
void OverlayService::set_seeds(std::vector<std::string> seeds) { impl_->set_seeds(std::move(seeds)); }
void OverlayService::publish(const wire::RegisterState& state) {
    impl_->publish(kStateTopic, {0, state.sequence}, state);
}
void OverlayService::publish(const wire::ServersList& list) { impl_->publish(list); }
std::vector<OverlayService::LinkView> OverlayService::links() const { return impl_->links(); }
std::string OverlayService::counters() const { return impl_->counters(); }

}  // namespace whinledge::overlay
