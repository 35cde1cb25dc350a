// HTTP/1.1 for the stand-ins over Beast.
#pragma once

#include "tier/world.hpp"
// After world.hpp.
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>

namespace whinledge::tier_rig {

namespace beast = boost::beast;
namespace http = beast::http;
using Stream = beast::tcp_stream;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

inline std::string text(beast::string_view view) { return {view.data(), view.size()}; }

// Listens on one address and answers with `answer`, which returns whether the connection goes on.
class HttpService : public std::enable_shared_from_this<HttpService> {
public:
    using Answer = std::function<Task<bool>(Stream&, Request&)>;

    // Throws boost::system::system_error where it can't listen.
    HttpService(World& world, const Tcp::endpoint& address, Answer answer,
                std::size_t most_connections = 100000);
    // After this it is as if the process had died: connections are reset.
    void stop();
    void start();
    std::size_t connections() const { return open_.size(); }
    std::uint64_t accepted() const { return accepted_; }  // connections, since its start

private:
    static Task<void> accept(std::shared_ptr<HttpService> self);
    static Task<void> serve(std::shared_ptr<HttpService> self, std::shared_ptr<Stream> stream);

    World& world_;
    Tcp::acceptor acceptor_;
    Answer answer_;
    std::size_t most_;
    std::set<std::shared_ptr<Stream>> open_;
    std::uint64_t accepted_ = 0;
    bool stopped_ = false;
};

// Writes a whole answer; false: the connection is gone or is to end.
Task<bool> respond(Stream& stream, Response response);

// Whether the other side has closed.
bool is_closed(Stream& stream);

// One exchange on a connection of its own; none: no whole answer within the limit.
Task<std::optional<Response>> exchange(World& world, Tcp::endpoint address, Request request, Millis limit);

}  // namespace whinledge::tier_rig
