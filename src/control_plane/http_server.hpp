// A small HTTP/1.1 server for the operator: keep-alive, bodies with a length or in chunks, one loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace whinledge::control_plane {

struct HttpRequest {
    std::string method;
    std::string target;  // path and query
    std::optional<std::string> based_on;
    std::string body;
};

struct HttpAnswer {
    unsigned status = 200;
    std::string body;                       // JSON
    std::optional<double> retry_after_s{};  // seconds
};

class HttpServer {
public:
    using Respond = std::function<void(HttpAnswer)>;
    // Calls Respond once, at once or later on the loop's thread.
    using Handler = std::function<void(HttpRequest, Respond)>;

    // Listens at once. Throws boost::system::system_error where the address can't be had.
    HttpServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    boost::asio::ip::tcp::endpoint address() const;
    // Takes no more connections; answers that are owed still go out, with `Connection: close`.
    void drain();
    // Requests read that have no answer yet.
    std::size_t owed() const;

private:
    class State;
    class Session;
    std::shared_ptr<State> state_;
};

}  // namespace whinledge::control_plane
