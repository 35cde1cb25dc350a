#include "control/server.hpp"

#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <deque>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace whinledge::control {

namespace asio = boost::asio;
using boost::system::error_code;
using Json = nlohmann::json;

namespace {

constexpr std::chrono::milliseconds kAcceptAgain{100};

// What is said of bytes of ours is always text; names from a file are ASCII, texts of the system may not be.
std::string line_of(const Json& json) {
    return json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

Json json_of(const Answer& answer) {
    Json json{{"status", answer.done ? 0 : 1}};
    if (answer.done)
        json["result"] = answer.result ? *answer.result : Json::object();
    else
        json["error"] = answer.reason;
    return json;
}

// The file's identity; 0: there is none.
std::uint64_t inode_of(const std::string& path) {
    struct stat status {};
    return ::lstat(path.c_str(), &status) == 0 && S_ISSOCK(status.st_mode) ? status.st_ino : 0;
}

// Who was killed leaves its socket behind; who is alive answers at it.
void clear_way(asio::io_context& io, const std::string& path) {
    if (inode_of(path) == 0) return;
    Local::socket probe(io);
    error_code failed;
    probe.connect(Local::endpoint(path), failed);
    if (!failed) throw std::runtime_error(path + ": another process answers at this control socket");
    if (failed == asio::error::connection_refused) ::unlink(path.c_str());
}

// For a moment files are made for their owner alone.
class OwnerOnly {
public:
    OwnerOnly() : before_(::umask(0177)) {}
    ~OwnerOnly() { ::umask(before_); }

private:
    mode_t before_;
};

}  // namespace

class Server::Client : public std::enable_shared_from_this<Client> {
public:
    Client(Server& server, Local::socket socket) : server_(&server), socket_(std::move(socket)) {}

    void read() {
        asio::async_read_until(socket_, asio::dynamic_buffer(in_, kLongestRequest), '\n',
                               [self = shared_from_this()](error_code failed, std::size_t size) {
                                   if (!self->server_) return;
                                   if (failed) return self->end();
                                   const std::string line = self->in_.substr(0, size);
                                   self->in_.erase(0, size);
                                   self->asked(line);
                               });
    }
    void write(const std::string& line) {
        unread_ += line.size();
        if (unread_ > kMostUnread) return end();
        out_.push_back(line);
        if (out_.size() == 1) send();
    }
    bool watches() const { return watches_; }
    // The server forgets it, and it the server.
    void close() {
        server_ = nullptr;
        error_code ignored;
        socket_.close(ignored);
    }

private:
    void end() {
        if (Server* const server = std::exchange(server_, nullptr)) server->forget(*this);
    }
    void asked(const std::string& line) {
        const auto self = shared_from_this();
        server_->clients_.splice(server_->clients_.end(), server_->clients_,
                                 std::find(server_->clients_.begin(), server_->clients_.end(), self));
        const Json request = Json::parse(line, nullptr, false);
        Answer answer{false, "a request is one JSON object with a text \"command\"", nullptr, false};
        if (request.is_object() && request.contains("command") && request["command"].is_string())
            answer = server_->handler_(request);
        write(line_of(json_of(answer)));
        watches_ |= answer.watches && answer.done;
        if (server_) read();
    }
    void send() {
        asio::async_write(socket_, asio::buffer(out_.front()),
                          [self = shared_from_this()](error_code failed, std::size_t) {
                              if (!self->server_) return;
                              if (failed) return self->end();
                              self->unread_ -= self->out_.front().size();
                              self->out_.pop_front();
                              if (!self->out_.empty()) self->send();
                          });
    }

    Server* server_;
    Local::socket socket_;
    std::string in_;
    std::deque<std::string> out_;
    std::size_t unread_ = 0;
    bool watches_ = false;
};

Server::Server(asio::io_context& io, std::string path, Handler handler)
    : io_(io), path_(std::move(path)), handler_(std::move(handler)), acceptor_(io), again_(io) {
    clear_way(io, path_);
    try {
        acceptor_.open(Local());
        const OwnerOnly owner;
        acceptor_.bind(Local::endpoint(path_));
        inode_ = inode_of(path_);
        acceptor_.listen();
    } catch (const boost::system::system_error& error) {
        throw std::runtime_error(path_ + ": no control socket can be made here: " + error.code().message());
    }
    accept();
}

Server::~Server() {
    for (const auto& client : clients_) client->close();
    if (inode_ != 0 && inode_of(path_) == inode_) ::unlink(path_.c_str());
}

void Server::accept() {
    acceptor_.async_accept(
        [this, here = std::weak_ptr<void>(here_)](error_code failed, Local::socket socket) {
            if (here.expired() || failed == asio::error::operation_aborted) return;
            if (failed) {  // for want of a descriptor, mostly
                again_.after(kAcceptAgain, [this] { accept(); });
                return;
            }
            make_room();
            clients_.push_back(std::make_shared<Client>(*this, std::move(socket)));
            clients_.back()->read();
            accept();
        });
}

// Whoever watches is silent by its nature; the others go first.
void Server::make_room() {
    if (clients_.size() < kMostClients) return;
    auto longest =
        std::find_if(clients_.begin(), clients_.end(), [](const auto& c) { return !c->watches(); });
    if (longest == clients_.end()) longest = clients_.begin();
    (*longest)->close();
    clients_.erase(longest);
}

void Server::forget(Client& client) {
    std::erase_if(clients_, [&](const auto& one) {
        if (one.get() != &client) return false;
        one->close();
        return true;
    });
}

void Server::tell(const Json& event) {
    std::string line;
    const auto all = clients_;  // writing may end some
    for (const auto& client : all) {
        if (!client->watches()) continue;
        if (line.empty()) line = line_of(event);
        client->write(line);
    }
}

}  // namespace whinledge::control
