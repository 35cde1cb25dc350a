#include "ctl/operator_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <thread>
#include <utility>

#include "io/address.hpp"

namespace whinledge::ctl {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using Steady = std::chrono::steady_clock;

namespace {

constexpr int kMostRedirects = 2;
constexpr std::chrono::milliseconds kOneCall{1500};
constexpr std::chrono::milliseconds kFirstPause{100}, kLongestPause{1000};
constexpr std::uint64_t kLongestAnswer = 16U << 20;
constexpr const char* kScheme = "http://";

struct Exchange {
    Answer answer;
    std::string location;
};

// One request on a connection of its own. None: silence, or a broken connection.
std::optional<Exchange> exchange(const Tcp::endpoint& address, const std::string& text,
                                 const Request& request) {
    boost::asio::io_context io;
    beast::tcp_stream stream(io);
    http::request<http::string_body> out{http::string_to_verb(request.method), request.path, 11};
    out.set(http::field::host, text);
    out.set(http::field::connection, "close");
    if (request.based_on) out.set("Based-On", std::to_string(*request.based_on));
    if (!request.body.empty()) out.set(http::field::content_type, "application/json");
    out.body() = request.body;
    out.prepare_payload();
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(kLongestAnswer);
    bool whole = false;
    stream.expires_after(kOneCall);
    stream.async_connect(address, [&](beast::error_code failed) {
        if (failed) return;
        http::async_write(stream, out, [&](beast::error_code write_failed, std::size_t) {
            if (write_failed) return;
            http::async_read(stream, buffer, parser,
                             [&](beast::error_code read_failed, std::size_t) { whole = !read_failed; });
        });
    });
    io.run();
    if (!whole) return std::nullopt;
    auto in = parser.release();
    return Exchange{{in.result_int(), std::move(in.body()), text}, std::string(in[http::field::location])};
}

bool is_final(unsigned status) { return status < 500 && status != 408 && status != 429; }

CallError no_address(const std::string& address) {
    std::string message = "'";
    message.append(address).append("' is not IP:PORT: give the address of a control process");
    return {CallFault::bad_address, std::move(message)};
}

CallError bad_location(const std::string& address, const std::string& location) {
    std::string message = address;
    message.append(" redirects to '").append(location).append("', which can't be followed");
    return {CallFault::bad_redirect, std::move(message)};
}

CallResult<std::optional<Answer>> ask(std::string address, Request request) {
    for (int redirects = 0; redirects <= kMostRedirects; ++redirects) {
        const auto endpoint = parse_endpoint<Tcp>(address);
        if (!endpoint) return no_address(address);
        auto result = exchange(*endpoint, address, request);
        if (!result || !is_final(result->answer.status)) return std::optional<Answer>();
        if (result->answer.status != 307) return std::optional<Answer>(std::move(result->answer));
        const std::string& location = result->location;
        const auto path = location.find('/', std::string(kScheme).size());
        if (!location.starts_with(kScheme) || path == std::string::npos)
            return bad_location(address, location);
        address = location.substr(std::string(kScheme).size(), path - std::string(kScheme).size());
        request.path = location.substr(path);
    }
    return CallError{CallFault::bad_redirect,
                     address + " redirects without end: ask another control process"};
}

}  // namespace

CallResult<Answer> call_operator_api(const std::vector<std::string>& addresses, const Request& request,
                                     std::chrono::milliseconds limit) {
    const Steady::time_point end = Steady::now() + limit;
    std::chrono::milliseconds pause = kFirstPause;
    do {
        for (const std::string& address : addresses) {
            auto answer = ask(address, request);
            if (!answer) return answer.error();
            if (answer.value()) return std::move(*answer.value());
        }
        std::this_thread::sleep_for(pause);
        pause = std::min(2 * pause, kLongestPause);
    } while (Steady::now() < end);
    std::string tried;
    for (const std::string& address : addresses) tried.append(tried.empty() ? "" : ", ").append(address);
    return CallError{CallFault::no_answer,
                     "no control process gave an answer (tried " + tried +
                         "): see that a majority of them runs and can reach each other"};
}

}  // namespace whinledge::ctl
