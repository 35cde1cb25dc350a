#include "storage_plane/storage_service.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <random>
#include <stdexcept>

#include "feed/feed.hpp"
#include "rpc/client.hpp"
#include "rpc/server.hpp"
#include "storage_plane/calls.hpp"
#include "storage_plane/files.hpp"
#include "storage_plane/repair.hpp"
#include "storage_plane/storage_node.hpp"

namespace whinledge::storage_plane {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kRest{1000};  // between looks at what is to be done
constexpr std::chrono::milliseconds kBusy{100};   // while something is to be pulled
constexpr std::chrono::milliseconds kAskTimeout{800};
constexpr std::chrono::milliseconds kCopyTimeout{3000};

std::int64_t steady_ms() {
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

std::int64_t time_of_day_ms() {
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

std::int64_t draw() {
    std::random_device device;
    std::int64_t drawn = 0;
    while (drawn == 0)
        drawn = static_cast<std::int64_t>((std::uint64_t{device()} << 32 | device()) & 0x7fffffffffffffffULL);
    return drawn;
}

rpc::Server::Tcp::endpoint endpoint_of(const node::Settings& settings) {
    return {asio::ip::make_address(settings.ip),
            static_cast<std::uint16_t>(std::stoi(settings.spare_ports.front()))};
}

std::unique_ptr<Folder> data_folder(const node::Settings& settings) {
    if (settings.data_folder.empty())
        throw std::runtime_error(
            "the setting dataFolder is missing: run storage on machines that have a disk");
    auto folder = open_folder(settings.data_folder);
    if (!folder) throw std::runtime_error(folder.error().message);
    return std::move(folder.value());
}

// The other members, over RPC.
class RemotePeers : public PeerCalls {
public:
    explicit RemotePeers(rpc::Client& client) : client_(client) {}
    void changes(const std::string& address, const wire::ChangesRequest& request,
                 Done<wire::ChangesReply> done) override {
        client_.call(address, kChanges, request, kAskTimeout, std::move(done));
    }
    void fetch(const std::string& address, const wire::FetchRequest& request,
               Done<wire::FetchReply> done) override {
        client_.call(address, kFetch, request, kCopyTimeout, std::move(done));
    }
    void digests(const std::string& address, const wire::DigestRequest& request,
                 Done<wire::DigestReply> done) override {
        client_.call(address, kDigests, request, kAskTimeout, std::move(done));
    }
    void store(const std::string& address, const wire::StoreRequest& request,
               Done<wire::StoreReply> done) override {
        client_.call(address, kStore, request, kCopyTimeout, std::move(done));
    }

private:
    rpc::Client& client_;
};

}  // namespace

class StorageService::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(asio::io_context& io, const node::Settings& settings)
        : io_(io),
          folder_(data_folder(settings)),
          node_(open_node(settings)),
          client_(io),
          peers_(client_),
          repair_(*node_, peers_, repair_options(settings)),
          feed_(io, client_, feed_options(settings)),
          server_(io, endpoint_of(settings)),
          timer_(io) {}

    void start() {
        answer(kBeginTurn, &StorageNode::begin);
        answer(kEndTurn, &StorageNode::end);
        answer(kReadTurns, &StorageNode::read);
        answer(kChanges, &StorageNode::changes);
        answer(kFetch, &StorageNode::fetch);
        answer(kDigests, &StorageNode::digests);
        answer(kStore, &StorageNode::store);
        feed_.on_state = [this](const wire::RegisterState& state) {
            const bool newer = state.storage.epoch > node_->map().epoch;
            node_->set_map(state.storage);
            if (!newer) return;
            step();
            rest();  // sooner than it was going to: members that know the map later are asked again
        };
        feed_.storage_progress = [this] { return repair_.progress(); };
        feed_.start();
        tell_note();
        step();
        rest();
        const SegmentLog::Replay& replayed = node_->replayed();
        LOG(INFO) << "storage member " << node_->identity() << ": " << replayed.records << " records, "
                  << replayed.bytes << " bytes read, " << replayed.cut_bytes << " of a torn tail cut, in "
                  << node_->started().ms << " ms, by "
                  << (node_->started().by_snapshot ? "a snapshot" : "the whole log");
    }

    void change(const node::Settings& settings) { feed_.set_seeds(settings.seed_rpc_addresses()); }

    std::string counters() const {
        return node_->counters() + " " + repair_.counters() + " " + feed_.counters() +
               " rpc: unreadable=" + std::to_string(server_.unreadable() + client_.stats().unreadable);
    }

private:
    std::unique_ptr<StorageNode> open_node(const node::Settings& settings) {
        StorageNode::Options options =
            member_options(static_cast<std::uint64_t>(std::max<std::int64_t>(settings.disk_mb, 0)),
                           static_cast<std::uint64_t>(std::max<std::int64_t>(settings.memory_mb, 0)));
        options.survive = settings.survive();
        options.steady_ms = steady_ms;
        options.time_of_day_ms = time_of_day_ms;
        options.draw = draw;
        options.commit_soon = [this] { commit_soon(); };
        auto node = StorageNode::open(*folder_, options);
        if (!node) throw std::runtime_error(node.error().message);
        return std::move(node.value());
    }

    static Repair::Options repair_options(const node::Settings& settings) {
        Repair::Options options;
        options.survive = settings.survive();
        return options;
    }

    feed::Feed::Options feed_options(const node::Settings& settings) const {
        feed::Feed::Options options;
        options.self.node = settings.node;
        options.self.zone = settings.zone;
        if (const auto region = settings.told_region()) options.self.__set_region(*region);
        options.self.address = settings.rpc_address();
        options.self.role = wire::NodeRole::storage;
        options.self.identity = node_->identity();
        options.self.started_ms = time_of_day_ms();
        options.seeds = settings.seed_rpc_addresses();
        return options;
    }

    template <class Request, class Reply>
    void answer(const rpc::Call<Request, Reply>& call,
                void (StorageNode::*handler)(const Request&, StorageNode::Done<Reply>)) {
        server_.on(call, std::function<void(const Request&, rpc::Server::Responder<Reply>)>(
                             [this, handler](const Request& request, rpc::Server::Responder<Reply> respond) {
                                 ((*node_).*handler)(request,
                                                     [respond](const Reply& reply) { respond(reply); });
                             }));
    }

    // Behind all that is ready to run now: what has come in meanwhile shares one sync.
    void commit_soon() {
        if (std::exchange(commit_posted_, true)) return;
        asio::post(io_, [self = weak_from_this()] {
            if (const auto impl = self.lock()) impl->commit();
        });
    }

    void commit() {
        commit_posted_ = false;
        node_->commit();
    }

    void step() {
        repair_.step(steady_ms());
        tell_note();
    }

    void tell_note() {
        if (std::string note = repair_.note(); note != note_) {
            LOG(INFO) << "repair: " << (note.empty() ? "under way" : note);
            feed_.set_storage_note(note_ = std::move(note));
        }
    }

    void rest() {
        const std::int64_t now = steady_ms();
        timer_.expires_after(repair_.wants_step_soon() ? kBusy : kRest);
        timer_.async_wait([self = weak_from_this(), now](boost::system::error_code cancelled) {
            const auto impl = self.lock();
            if (cancelled || !impl) return;
            if (now / kRest.count() != steady_ms() / kRest.count()) impl->node_->tick();
            if (impl->node_->must_restart())
                throw std::runtime_error(
                    "the data folder is damaged: started anew, this member reads all of it");
            impl->step();
            impl->rest();
        });
    }

    asio::io_context& io_;
    bool commit_posted_ = false;
    std::unique_ptr<Folder> folder_;
    std::unique_ptr<StorageNode> node_;
    rpc::Client client_;
    RemotePeers peers_;
    Repair repair_;
    feed::Feed feed_;
    rpc::Server server_;
    asio::steady_timer timer_;
    std::string note_;
};

StorageService::StorageService(asio::io_context& io, const node::Settings& settings)
    : impl_(std::make_shared<Impl>(io, settings)) {
    impl_->start();
}

StorageService::~StorageService() = default;

void StorageService::change(const node::Settings& settings) { impl_->change(settings); }

std::string StorageService::counters() const { return impl_->counters(); }

}  // namespace whinledge::storage_plane
