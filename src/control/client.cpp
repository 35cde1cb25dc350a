#include "control/client.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>

namespace whinledge::control {

namespace asio = boost::asio;
using boost::system::error_code;
using Local = asio::local::stream_protocol;

namespace {

// One line, or why there is none; without a time it waits for as long as it takes.
class Line {
public:
    Line(asio::io_context& io, Local::socket& socket) : io_(io), socket_(socket) {}
    std::optional<std::string> next(std::optional<std::chrono::milliseconds> wait, error_code& failed) {
        std::optional<std::size_t> size;
        asio::async_read_until(socket_, asio::dynamic_buffer(buffer_), '\n',
                               [&](error_code error, std::size_t n) { failed = error, size = n; });
        io_.restart();
        wait ? io_.run_for(*wait) : io_.run();
        if (!size) {  // its time is over
            error_code ignored;
            socket_.close(ignored);
            io_.restart();
            io_.run();
            failed = asio::error::timed_out;
        }
        if (failed) return std::nullopt;
        std::string line = buffer_.substr(0, *size);
        buffer_.erase(0, *size);
        return line;
    }

private:
    asio::io_context& io_;
    Local::socket& socket_;
    std::string buffer_;
};

}  // namespace

void ask(const std::string& path, const nlohmann::json& request, double wait,
         const std::function<bool(const nlohmann::json& line)>& take) {
    asio::io_context io;
    Local::socket socket(io);
    error_code failed;
    try {
        socket.connect(Local::endpoint(path), failed);
    } catch (const boost::system::system_error& error) {  // longer than an address may be
        failed = error.code();
    }
    if (failed) throw std::runtime_error(path + ": no process answers here: " + failed.message());
    asio::write(socket, asio::buffer(request.dump() + "\n"), failed);
    Line lines(io, socket);
    std::optional<std::chrono::milliseconds> patience(static_cast<std::int64_t>(wait));
    for (bool first = true;; first = false) {
        const auto line = lines.next(patience, failed);
        if (!line && first) throw std::runtime_error(path + ": no answer: " + failed.message());
        if (!line) return;
        patience.reset();  // events come when they come
        const auto json = nlohmann::json::parse(*line, nullptr, false);
        if (json.is_discarded()) throw std::runtime_error(path + ": an answer that can't be read");
        if (!take(json)) return;
    }
}

}  // namespace whinledge::control
