#include "consensus/register_service.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <random>
#include <sstream>
#include <utility>

#include "consensus/acceptor_store.hpp"
#include "consensus/acceptor_writer.hpp"
#include "consensus/register_calls.hpp"
#include "consensus/register_core.hpp"

namespace whinledge::consensus {

namespace asio = boost::asio;

namespace {

RegisterCore::Options core_options(const RegisterService::Options& options, const AcceptorStore& store) {
    RegisterCore::Options core;
    core.self = options.self;
    core.self.identity = store.identity();
    core.founder = store.founder();
    core.seeds = options.seeds;
    core.reconfiguration.survive = options.survive;
    core.reconfiguration.survive.machines = std::max(options.survive.machines, 1);
    return core;
}

std::unique_ptr<AcceptorLog> log_for(const RegisterService::Options& options,
                                     std::unique_ptr<AcceptorStore> store) {
    return options.wrap_log ? options.wrap_log(std::move(store)) : std::move(store);
}

const rpc::Call<wire::PrepareRequest, wire::AcceptorReply>& call_of(const wire::PrepareRequest&) {
    return kPrepare;
}
const rpc::Call<wire::AcceptRequest, wire::AcceptorReply>& call_of(const wire::AcceptRequest&) {
    return kAccept;
}
const rpc::Call<wire::QueryRequest, wire::AcceptorReply>& call_of(const wire::QueryRequest&) {
    return kQuery;
}

}  // namespace

// Network, disk and time of one core.
class RegisterService::Impl : public RegisterHost, public std::enable_shared_from_this<Impl> {
public:
    Impl(asio::io_context& io, rpc::Client& client, const Options& options, RegisterService& owner)
        : Impl(io, client, options, owner,
               std::make_unique<AcceptorStore>(options.data_folder, options.first_boot)) {}
    Impl(asio::io_context& io, rpc::Client& client, const Options& options, RegisterService& owner,
         std::unique_ptr<AcceptorStore> store)
        : io_(io),
          client_(client),
          owner_(owner),
          random_(static_cast<std::uint64_t>(store->identity()) ^
                  (std::uint64_t{std::random_device()()} << 20) ^
                  static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count())),
          core_(*this, core_options(options, *store), store->opened()),
          writer_(io, log_for(options, std::move(store))) {}

    void listen(rpc::Server& server) {
        serve(server, kPrepare);
        serve(server, kAccept);
        serve(server, kQuery);
        server.on<wire::ShareRequest, wire::ShareReply>(
            kShare, [weak = weak_from_this()](const wire::ShareRequest& request, auto respond) {
                const auto self = weak.lock();
                if (self && !self->stopped_) respond(self->core_.handle(request));
            });
    }

    // No owner any more: nothing is told to anybody.
    void stop() { stopped_ = true; }

    Millis now() const override {
        return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch())
            .count();
    }
    std::uint64_t random() override { return random_(); }

    void after(Millis delay, std::function<void()> act) override {
        auto guarded = [weak = weak_from_this(), act = std::move(act)] {
            const auto self = weak.lock();
            if (self && !self->stopped_) act();
        };
        if (delay <= 0) return asio::post(io_, std::move(guarded));
        auto timer = std::make_shared<asio::steady_timer>(io_, Duration(delay));
        timer->async_wait([timer, guarded = std::move(guarded)](const boost::system::error_code& fault) {
            if (!fault) guarded();
        });
    }

    void persist(AcceptorWrite write, std::function<void(bool synced)> done) override {
        writer_.write(std::move(write),
                      [weak = weak_from_this(), done = std::move(done)](const DiskResult<void>& written) {
                          const auto self = weak.lock();
                          if (!self || self->stopped_) return;
                          done(written.has_value());
                          self->tell_of_disk(written);
                      });
    }

    void send(const std::string& address, const AcceptorRequest& request, Millis timeout,
              std::function<void(std::optional<wire::AcceptorReply>)> done) override {
        std::visit([&](const auto& one) { call(address, call_of(one), one, timeout, std::move(done)); },
                   request);
    }
    void send(const std::string& address, const wire::ShareRequest& request, Millis timeout,
              std::function<void(std::optional<wire::ShareReply>)> done) override {
        call(address, kShare, request, timeout, std::move(done));
    }

    void chosen(const wire::ChosenValue& value) override {
        if (value.epoch != told_epoch_) {
            told_epoch_ = value.epoch;
            std::string names;
            for (const wire::Acceptor& acceptor : value.acceptors) names += " " + acceptor.node;
            LOG(INFO) << "register: epoch " << value.epoch << ", acceptors" << names;
        }
        if (value.entry.state.sequence <= told_sequence_) return;
        told_sequence_ = value.entry.state.sequence;
        if (!stopped_ && owner_.on_chosen) owner_.on_chosen(value.entry.state);
    }

    RegisterCore& core() { return core_; }
    const LogFigures& log_figures() const { return writer_.figures(); }

private:
    // Once for each time that the disk begins or ceases to count as one that refuses.
    void tell_of_disk(const DiskResult<void>& written) {
        if (std::exchange(disk_refuses_, core_.disk_refuses()) == core_.disk_refuses()) return;
        if (!disk_refuses_) {
            LOG(INFO) << "register: the disk takes writes again: others are told that this acceptor is there";
            return;
        }
        const std::string reason = written ? std::string() : written.error().message;
        LOG(ERROR) << "register: " << reason
                   << "; the disk has refused every write of late: others are told that this acceptor is not "
                      "there, and replace it or do without it where enough are left. It comes back by itself "
                      "once the disk takes writes";
    }

    template <class Request>
    void serve(rpc::Server& server, const rpc::Call<Request, wire::AcceptorReply>& what) {
        server.on<Request, wire::AcceptorReply>(
            what, [weak = weak_from_this()](const Request& request, auto respond) {
                const auto self = weak.lock();
                if (!self || self->stopped_) return;
                self->core_.handle(AcceptorRequest(request),
                                   [respond](const std::optional<wire::AcceptorReply>& reply) {
                                       if (reply) respond(*reply);
                                   });
            });
    }
    template <class Request, class Reply>
    void call(const std::string& address, const rpc::Call<Request, Reply>& what, const Request& request,
              Millis timeout, std::function<void(std::optional<Reply>)> done) {
        client_.call<Request, Reply>(
            address, what, request, Duration(timeout),
            [weak = weak_from_this(), done = std::move(done)](rpc::Result<Reply> reply) {
                const auto self = weak.lock();
                if (!self || self->stopped_) return;
                done(reply ? std::optional<Reply>(std::move(reply.value())) : std::nullopt);
            });
    }

    asio::io_context& io_;
    rpc::Client& client_;
    RegisterService& owner_;
    std::mt19937_64 random_;
    RegisterCore core_;
    AcceptorWriter writer_;
    std::int64_t told_epoch_ = 0, told_sequence_ = 0;
    bool disk_refuses_ = false;  // as was told last
    bool stopped_ = false;
};

RegisterService::RegisterService(asio::io_context& io, rpc::Client& client, rpc::Server& server,
                                 Options options)
    : impl_(std::make_shared<Impl>(io, client, options, *this)) {
    impl_->listen(server);
    // Once what stands around this object is ready to be told of values.
    asio::post(io, [weak = std::weak_ptr<Impl>(impl_)] {
        if (const auto impl = weak.lock()) impl->core().start();
    });
}

RegisterService::~RegisterService() { impl_->stop(); }

std::int64_t RegisterService::identity() const { return impl_->core().acceptor().identity(); }

void RegisterService::read(Duration timeout, std::function<void(RegisterResult<wire::RegisterState>)> done) {
    impl_->core().read(timeout.count(), std::move(done));
}

void RegisterService::change(Transform transform, Duration timeout,
                             std::function<void(RegisterResult<wire::RegisterState>)> done) {
    impl_->core().change(std::move(transform), timeout.count(), std::move(done));
}

const wire::RegisterState& RegisterService::known() const { return impl_->core().known().entry.state; }

void RegisterService::set_present(const std::vector<wire::NodeInfo>& present) {
    impl_->core().set_present(present);
}

std::vector<wire::Acceptor> RegisterService::acceptors() const { return impl_->core().known().acceptors; }

std::int64_t RegisterService::epoch() const { return impl_->core().known().epoch; }

bool RegisterService::epoch_ends() const {
    const Acceptor& acceptor = impl_->core().acceptor();
    return acceptor.installed().epoch == epoch() && !acceptor.entry().seal.empty();
}

std::optional<bool> RegisterService::takes_writes(const std::string& address) const {
    return impl_->core().takes_writes(address);
}

std::string RegisterService::counters() const {
    const RegisterCore& core = impl_->core();
    const RegisterCounters& counted = core.counters();
    const LogFigures& log = impl_->log_figures();
    std::ostringstream line;
    line << "epoch=" << core.known().epoch << " acceptors=" << core.known().acceptors.size()
         << " sequence=" << core.known().entry.state.sequence << " reads=" << counted.reads
         << " rounds=" << counted.rounds << " conflicts=" << counted.conflicts
         << " changes=" << counted.changes << " seals=" << counted.seals << " finished=" << counted.finished
         << " refused_writes=" << counted.refused_writes << " turned_away=" << counted.turned_away
         << " disk_refuses=" << core.disk_refuses() << " withdrawn=" << core.withdrawals()
         << " waits_for_disk=" << core.waiting_for_disk() << " syncs=" << log.syncs
         << " segment_bytes=" << log.bytes;
    return line.str();
}

}  // namespace whinledge::consensus
