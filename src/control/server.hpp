// The control socket: a Unix socket of its owner alone. A request is one line of JSON, an answer too; a
// connection may ask again, or watch.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <functional>
#include <list>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "io/loop_timer.hpp"

namespace whinledge::control {

using Local = boost::asio::local::stream_protocol;

// What commands do and say. `request` is a JSON object with a text "command".
struct Answer {
    bool done = true;
    std::string reason;                            // where it is not done
    std::shared_ptr<const nlohmann::json> result;  // where it is
    bool watches = false;                          // events follow on this connection
};
using Handler = std::function<Answer(const nlohmann::json& request)>;

// On the loop's thread. Holds kMostClients descriptors at most, beside its own; when a further one comes, the
// one that has been silent for longest is let go. Requests of more than kLongestRequest bytes end their
// connection, and so does a client that leaves more than kMostUnread bytes unread.
class Server {
public:
    static constexpr std::size_t kMostClients = 8;
    static constexpr std::size_t kLongestRequest = 4096;
    static constexpr std::size_t kMostUnread = 4 << 20;

    // Throws std::runtime_error that names the path: another process answers there, or it can't be made. A
    // socket that nobody answers is replaced.
    Server(boost::asio::io_context& io, std::string path, Handler handler);
    // Takes the socket's file away, if it is still this one's.
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    // To all that watch: one line each.
    void tell(const nlohmann::json& event);
    const std::string& path() const { return path_; }
    std::size_t clients() const { return clients_.size(); }

private:
    class Client;
    void accept();
    void make_room();
    void forget(Client& client);

    boost::asio::io_context& io_;
    std::string path_;
    Handler handler_;
    Local::acceptor acceptor_;
    LoopTimer again_;  // after an accept that failed
    std::uint64_t inode_ = 0;
    std::list<std::shared_ptr<Client>> clients_;  // the one that asked last is at the end
    // Gone with this object: who had connected by then finds nobody.
    std::shared_ptr<void> here_ = std::make_shared<int>();
};

}  // namespace whinledge::control
