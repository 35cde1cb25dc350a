#include "control_plane/http_server.hpp"

#include <glog/logging.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdio>
#include <exception>
#include <memory>
#include <utility>

namespace whinledge::control_plane {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

namespace {

constexpr std::uint64_t kMostBodyBytes = 8U << 20;
constexpr std::uint32_t kMostHeaderBytes = 32U << 10;
constexpr std::chrono::seconds kIdle{30};
constexpr std::chrono::seconds kWriting{10};
constexpr std::chrono::milliseconds kAcceptAgain{100};

std::string seconds_text(double seconds) {
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", seconds);
    return text;
}

}  // namespace

class HttpServer::State : public std::enable_shared_from_this<State> {
public:
    State(asio::io_context& io, const Tcp::endpoint& address, Handler its_handler)
        : handler(std::move(its_handler)), acceptor_(io, address, true), again_(io) {}

    void accept();
    void stop() {
        draining = true;
        error_code ignored;
        acceptor_.close(ignored);
        again_.cancel();
    }
    Tcp::endpoint address() const { return acceptor_.local_endpoint(); }

    Handler handler;
    bool draining = false;
    std::size_t owed = 0;

private:
    Tcp::acceptor acceptor_;
    asio::steady_timer again_;
};

class HttpServer::Session : public std::enable_shared_from_this<Session> {
public:
    Session(std::shared_ptr<State> server, Tcp::socket socket)
        : server_(std::move(server)), stream_(std::move(socket)) {
        error_code ignored;
        stream_.socket().set_option(Tcp::no_delay(true), ignored);
    }

    void read() {
        parser_.emplace();
        parser_->body_limit(kMostBodyBytes);
        parser_->header_limit(kMostHeaderBytes);
        stream_.expires_after(kIdle);
        http::async_read_header(
            stream_, buffer_, *parser_,
            [self = shared_from_this()](error_code failed, std::size_t) { self->header(failed); });
    }

private:
    void header(error_code failed) {
        if (failed) return refuse(failed);
        if (beast::iequals(parser_->get()[http::field::expect], "100-continue")) return say_continue();
        body();
    }

    void say_continue() {
        auto go_on = std::make_shared<http::response<http::empty_body>>(http::status::continue_, 11);
        http::async_write(stream_, *go_on,
                          [self = shared_from_this(), go_on](error_code failed, std::size_t) {
                              if (!failed) self->body();
                          });
    }

    void body() {
        http::async_read(
            stream_, buffer_, *parser_,
            [self = shared_from_this()](error_code failed, std::size_t) { self->whole(failed); });
    }

    void whole(error_code failed) {
        if (failed) return refuse(failed);
        auto message = parser_->release();
        keep_alive_ = message.keep_alive();
        HttpRequest request{std::string(message.method_string()), std::string(message.target()), std::nullopt,
                            std::move(message.body())};
        const auto based_on = message.find("Based-On");
        if (based_on != message.end()) request.based_on = std::string(based_on->value());
        stream_.expires_never();
        ++server_->owed;
        const Respond respond = respond_once();
        try {
            server_->handler(std::move(request), respond);
        } catch (const std::exception& error) {
            LOG(ERROR) << "a request of the operator was not handled: " << error.what();
            respond({500, R"({"error":"this request can't be handled; see the log"})", std::nullopt});
        }
    }

    // Whoever answers first; the copies share that.
    Respond respond_once() {
        return [self = shared_from_this(), answered = std::make_shared<bool>(false)](HttpAnswer answer) {
            if (std::exchange(*answered, true)) return;
            --self->server_->owed;
            self->answer(std::move(answer));
        };
    }

    // Of what can't be read as a request.
    void refuse(error_code failed) {
        if (failed != http::error::body_limit && failed != http::error::header_limit) return close();
        keep_alive_ = false;
        answer({413, R"({"error":"the message is too large; send less"})", std::nullopt});
    }

    void answer(HttpAnswer answer) {
        if (server_->draining) keep_alive_ = false;
        response_ = {};
        response_.version(11);
        response_.result(answer.status);
        response_.set(http::field::content_type, "application/json");
        if (answer.retry_after_s)
            response_.set(http::field::retry_after, seconds_text(*answer.retry_after_s));
        response_.body() = std::move(answer.body);
        response_.keep_alive(keep_alive_);
        response_.prepare_payload();
        stream_.expires_after(kWriting);
        http::async_write(stream_, response_, [self = shared_from_this()](error_code failed, std::size_t) {
            if (failed || !self->keep_alive_) return self->close();
            self->read();
        });
    }

    void close() {
        error_code ignored;
        stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
        stream_.close();
    }

    std::shared_ptr<State> server_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> response_;
    bool keep_alive_ = false;
};

void HttpServer::State::accept() {
    acceptor_.async_accept([self = shared_from_this()](error_code failed, Tcp::socket socket) {
        if (self->draining) return;
        if (!failed) {
            std::make_shared<Session>(self, std::move(socket))->read();
            return self->accept();
        }
        // No descriptors, say: after a moment.
        self->again_.expires_after(kAcceptAgain);
        self->again_.async_wait([self](error_code cancelled) {
            if (!cancelled && !self->draining) self->accept();
        });
    });
}

HttpServer::HttpServer(asio::io_context& io, const Tcp::endpoint& address, Handler handler)
    : state_(std::make_shared<State>(io, address, std::move(handler))) {
    state_->accept();
}

HttpServer::~HttpServer() {
    state_->stop();
    state_->handler = [](HttpRequest, const Respond& respond) {
        respond({503, R"({"error":"this process ends; ask another"})", 0.1});
    };
}

Tcp::endpoint HttpServer::address() const { return state_->address(); }
void HttpServer::drain() { state_->stop(); }
std::size_t HttpServer::owed() const { return state_->owed; }

}  // namespace whinledge::control_plane
