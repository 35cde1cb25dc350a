#include "tier/http.hpp"

#include <sys/socket.h>

namespace whinledge::tier_rig {
namespace {

constexpr std::uint64_t kLargestBody = 16 << 20;
constexpr auto kIdle = std::chrono::seconds(30);

}  // namespace

HttpService::HttpService(World& world, const Tcp::endpoint& address, Answer answer,
                         std::size_t most_connections)
    : world_(world), acceptor_(world.io, address), answer_(std::move(answer)), most_(most_connections) {}

void HttpService::start() { begin(world_, accept(shared_from_this())); }

void HttpService::stop() {
    stopped_ = true;
    error_code ignored;
    acceptor_.close(ignored);
    for (const auto& stream : open_) {
        stream->socket().set_option(asio::socket_base::linger(true, 0), ignored);
        stream->socket().close(ignored);
    }
}

Task<void> HttpService::accept(std::shared_ptr<HttpService> self) {
    while (!self->stopped_) {
        error_code error;
        Tcp::socket socket = co_await self->acceptor_.async_accept(caught(error));
        if (self->stopped_) co_return;
        if (error) {
            co_await sleep_for(self->world_, 20);
            continue;
        }
        error_code ignored;
        if (self->open_.size() >= self->most_) {
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
            socket.close(ignored);
            continue;
        }
        socket.set_option(Tcp::no_delay(true), ignored);
        ++self->accepted_;
        auto stream = std::make_shared<Stream>(std::move(socket));
        self->open_.insert(stream);
        begin(self->world_, serve(self, stream));
    }
}

Task<void> HttpService::serve(std::shared_ptr<HttpService> self, std::shared_ptr<Stream> stream) {
    beast::flat_buffer buffer;
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(kLargestBody);
        error_code error;
        stream->expires_after(kIdle);
        co_await http::async_read(*stream, buffer, parser, caught(error));
        if (error || self->stopped_) break;
        Request request = parser.release();
        const bool goes_on = co_await self->answer_(*stream, request);
        if (!goes_on || self->stopped_) break;
    }
    error_code ignored;
    stream->socket().shutdown(Tcp::socket::shutdown_both, ignored);
    self->open_.erase(stream);
}

Task<bool> respond(Stream& stream, Response response) {
    response.prepare_payload();
    const bool keep = response.keep_alive();
    error_code error;
    stream.expires_after(kIdle);
    co_await http::async_write(stream, response, caught(error));
    co_return !error && keep;
}

bool is_closed(Stream& stream) {
    char byte;
    const ssize_t got = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

Task<std::optional<Response>> exchange(World& world, Tcp::endpoint address, Request request, Millis limit) {
    Stream stream(world.io);
    stream.expires_after(span(limit));
    error_code error;
    co_await stream.async_connect(address, caught(error));
    if (error) co_return std::nullopt;
    request.prepare_payload();
    co_await http::async_write(stream, request, caught(error));
    if (error) co_return std::nullopt;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(kLargestBody);
    co_await http::async_read(stream, buffer, parser, caught(error));
    if (error) co_return std::nullopt;
    co_return parser.release();
}

}  // namespace whinledge::tier_rig
