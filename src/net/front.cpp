#include "net/front.hpp"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "net/clock.hpp"
#include "net/message.hpp"
#include "site.hpp"

namespace kestrelhall::net {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr Millis kAcceptPause = 20;    // when no descriptor is to be had
constexpr Millis kLongestRead = 5000;  // of one request, from its first byte

std::string text(boost::beast::string_view view) { return {view.data(), view.size()}; }

Front::Answer plain(http::status status) {
    Front::Answer answer(status, 11);
    answer.body() = text(http::obsolete_reason(status));
    answer.set(http::field::content_type, "text/plain");
    return answer;
}

// The first part of the path.
std::string first_part(boost::beast::string_view target) {
    target.remove_prefix(target.starts_with('/') ? 1 : 0);
    return text(target.substr(0, target.find_first_of("/?")));
}

// None: not a request as the protocol words it.
std::optional<Front::Arrival> read_arrival(const Front::Message& message) {
    Front::Arrival arrival;
    const std::string timeout = text(message["Request-Timeout-Ms"]), hint = text(message["Work-Hint"]);
    if (message["Request-Id"].empty() || !parse(timeout, arrival.time_left) || !(arrival.time_left >= 0) ||
        arrival.time_left > 1e7)
        return std::nullopt;
    if (parse(hint, arrival.effort)) arrival.effort /= 1000;  // microseconds
    if (!(arrival.effort >= 0 && arrival.effort < 1e7)) arrival.effort = 0;
    arrival.class_name = text(message["Request-Class"]);
    if (arrival.class_name.empty()) arrival.class_name = first_part(message.target());
    arrival.tenant = text(message["Tenant"]);
    arrival.repeat = message["Client-Retry"] == "1";
    return arrival;
}

}  // namespace

// One connection of the application: idle, sending a request, waiting for its answer, or being answered.
class Front::Client : public std::enable_shared_from_this<Client> {
public:
    Client(Front& owner, Tcp::socket socket) : owner_(&owner), socket_(std::move(socket)), timer_(owner.io_) {
        error_code ignored;
        socket_.set_option(Tcp::no_delay(true), ignored);
        socket_.non_blocking(true, ignored);
    }

    void next() {
        phase_ = Phase::idle;
        since_ = std::chrono::steady_clock::now();
        if (buffer_.size() > 0 || std::exchange(readable_, false)) return read();
        buffer_.shrink_to_fit();
        wait_readable();
        owner_->rested();
    }

    // Idle, with nothing of a request come.
    bool idle() {
        char byte;
        error_code error;
        if (phase_ != Phase::idle) return false;
        socket_.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
        return error == asio::error::would_block || error == asio::error::eof;
    }
    std::chrono::steady_clock::time_point since() const { return since_; }

    void answer(Answer answer) {
        phase_ = Phase::answering;
        request_.reset();
        answer.version(11);
        answer.keep_alive(keep_ && !owner_->draining_);
        answer.prepare_payload();
        answer_ = std::make_shared<Answer>(std::move(answer));
        http::async_write(socket_, *answer_,
                          [self = shared_from_this(), answer = answer_](error_code failed, std::size_t) {
                              if (!self->owner_) return;
                              self->answer_.reset();
                              if (failed || !answer->keep_alive()) return self->finish();
                              self->next();
                          });
    }

    void close() {
        if (!owner_) return;
        Front* const owner = std::exchange(owner_, nullptr);
        error_code ignored;
        socket_.close(ignored);
        timer_.cancel();
        if (phase_ == Phase::waiting) {
            owner->held_.erase(id_);
            owner->callbacks_.gone(id_);
        }
        owner->closed(shared_from_this());
    }

private:
    enum class Phase { idle, reading, waiting, answering, finishing };

    // One wait at a time: for a request while idle, for the client's end while it waits.
    void wait_readable() {
        if (waiting_) return;
        waiting_ = true;
        socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](error_code failed) {
            self->waiting_ = false;
            if (self->owner_) self->readable(failed);
        });
    }

    void readable(error_code failed) {
        if (failed) return close();
        if (phase_ == Phase::idle) return read();
        char byte;
        error_code error;
        socket_.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
        if (!error)
            readable_ = true;  // its next request, early: read after this one's answer
        else if (error == asio::error::would_block)
            wait_readable();
        else if (phase_ != Phase::answering)
            close();
        else
            readable_ = true;  // its end: the answer goes out as far as it will
    }

    void read() {
        phase_ = Phase::reading;
        parser_.emplace();
        close_after(kLongestRead);
        async_read_bounded(socket_, buffer_, *parser_, kBodyLimit,
                           [self = shared_from_this()](error_code failed) {
                               if (!self->owner_) return;
                               self->timer_.cancel();
                               self->arrived(failed);
                           });
    }

    void arrived(error_code failed) {
        if (failed) return malformed(failed) ? reject() : close();
        keep_ = parser_->keep_alive();
        request_ = std::make_shared<const Message>(parser_->release());
        parser_.reset();
        if (request_->target() == "/_health")
            return answer(plain(request_->method() == http::verb::get ? http::status::ok
                                                                      : http::status::method_not_allowed));
        auto arrival = read_arrival(*request_);
        if (!arrival) return reject();
        arrival->id = id_ = owner_->next_request_++;
        arrival->message = request_;
        phase_ = Phase::waiting;
        owner_->held_[id_] = shared_from_this();
        if (buffer_.size() == 0) wait_readable();
        owner_->callbacks_.arrived(std::move(*arrival));
    }

    void reject() {
        keep_ = false;
        answer(plain(http::status::bad_request));
    }

    // Closing over unread bytes would reset the connection and could take the answer with it: the client's
    // end is awaited, for a while.
    void finish() {
        phase_ = Phase::finishing;
        error_code ignored;
        socket_.shutdown(Tcp::socket::shutdown_send, ignored);
        close_after(kLinger);
        discard();
    }
    void discard() {
        socket_.async_read_some(asio::buffer(scrap_),
                                [self = shared_from_this()](error_code failed, std::size_t) {
                                    if (failed) return self->close();
                                    if (self->owner_) self->discard();
                                });
    }

    void close_after(Millis length) {
        timer_.expires_after(span(length));
        timer_.async_wait([weak = weak_from_this(), phase = phase_](error_code cancelled) {
            const auto self = weak.lock();
            if (!cancelled && self && self->phase_ == phase) self->close();
        });
    }

    static constexpr Millis kLinger = 300;

    Front* owner_;  // none: closed
    Tcp::socket socket_;
    asio::steady_timer timer_;
    boost::beast::flat_buffer buffer_{kHeaderLimit + kBodyLimit};
    std::optional<http::request_parser<http::string_body>> parser_;
    std::shared_ptr<const Message> request_;
    std::shared_ptr<Answer> answer_;
    std::array<char, 512> scrap_{};
    Phase phase_ = Phase::idle;
    RequestId id_ = 0;
    std::chrono::steady_clock::time_point since_;
    bool keep_ = true, waiting_ = false, readable_ = false;
};

Front::Front(asio::io_context& io, const Tcp::endpoint& listen, std::size_t clients, Callbacks callbacks)
    : io_(io),
      acceptor_(io, listen, true),
      address_(acceptor_.local_endpoint()),
      most_clients_(clients),
      callbacks_(std::move(callbacks)),
      timer_(io),
      drain_timer_(io) {
    acceptor_.non_blocking(true);
    acceptor_.listen(asio::socket_base::max_listen_connections);
    accept();
}

Front::~Front() {
    callbacks_.gone = [](RequestId) {};
    callbacks_.drained = nullptr;
    for (const ClientPtr& client : std::exchange(clients_, {})) client->close();
}

void Front::accept() {
    if (accepting_ || !acceptor_.is_open() || !make_room()) return;
    accepting_ = true;
    acceptor_.async_accept([this](error_code failed, Tcp::socket socket) {
        if (failed == asio::error::operation_aborted) return;
        accepting_ = false;
        if (!failed) {
            accepted(std::move(socket));
            return accept();
        }
        timer_.expires_after(span(kAcceptPause));  // out of descriptors, most likely
        timer_.async_wait([this](error_code cancelled) {
            if (!cancelled) accept();
        });
    });
}

void Front::accepted(Tcp::socket socket) {
    const auto client = std::make_shared<Client>(*this, std::move(socket));
    clients_.insert(client);
    client->next();
}

// At the bound, the client that has been idle longest makes room; where none is, accepting waits for one.
bool Front::make_room() {
    if (clients_.size() < most_clients_) return true;
    ClientPtr oldest;
    for (const ClientPtr& client : clients_)
        if ((!oldest || client->since() < oldest->since()) && client->idle()) oldest = client;
    if (oldest) oldest->close();
    return clients_.size() < most_clients_;
}

void Front::rested() {
    if (clients_.size() >= most_clients_) asio::post(io_, [this] { accept(); });
}

void Front::closed(const ClientPtr& client) {
    if (clients_.erase(client) == 0) return;
    asio::post(io_, [this] { accept(); });
    if (draining_ && !acceptor_.is_open() && clients_.empty() && callbacks_.drained)
        asio::post(io_, callbacks_.drained);
}

void Front::answer(RequestId request, Answer answer) {
    const auto at = held_.find(request);
    if (at == held_.end()) return;
    const ClientPtr client = at->second;
    held_.erase(at);
    client->answer(std::move(answer));
}

void Front::drain(Millis accepting) {
    if (draining_) return;
    draining_ = true;
    drain_timer_.expires_after(span(accepting));
    drain_timer_.async_wait([this](error_code cancelled) {
        if (!cancelled) stop_accepting();
    });
}

// What the machine has accepted by now is taken; what is idle after that is closed.
void Front::stop_accepting() {
    for (error_code failed; !failed;) {
        Tcp::socket socket(io_);
        acceptor_.accept(socket, failed);
        if (!failed) accepted(std::move(socket));
    }
    error_code ignored;
    acceptor_.close(ignored);
    timer_.cancel();
    for (const ClientPtr& client : std::vector<ClientPtr>(clients_.begin(), clients_.end()))
        if (client->idle()) client->close();
    if (clients_.empty() && callbacks_.drained) asio::post(io_, callbacks_.drained);
}

}  // namespace kestrelhall::net
