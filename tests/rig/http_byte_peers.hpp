// Both ends of the sidecar, read without the parser under test: messages taken as strictly as can be, a
// connection that gathers what comes, and a server that answers each whole request.
#pragma once

#include <array>
#include <boost/beast/core/string.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "rig/net_rig.hpp"

namespace whinledge::test::http_bytes {

inline bool same_name(std::string_view one, std::string_view other) {
    return boost::beast::iequals({one.data(), one.size()}, {other.data(), other.size()});
}

struct Message {
    std::string first;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(std::string_view name) const {
        for (const auto& [own, value] : fields)
            if (same_name(own, name)) return value;
        return "";
    }
};

// What is wrong with a line of a head, if anything is; else it is kept.
inline const char* take_line(Message& message, const std::string& line) {
    for (const char c : line)
        if ((static_cast<unsigned char>(c) < ' ' && c != '\t') || c == 127) return "unsound: control byte";
    if (message.first.empty()) return message.first = line, line.empty() ? "unsound: no first line" : nullptr;
    const std::size_t colon = line.find(": ");
    if (colon == 0 || colon == std::string::npos || line.find_first_of(" \t") < colon)
        return "unsound: field";
    message.fields.emplace_back(line.substr(0, colon), line.substr(colon + 2));
    return nullptr;
}

// Takes one whole message off the front, as strictly as can be: what the sidecar writes needs no leniency.
// The answer to a HEAD has no body, whatever it states.
inline std::optional<Message> take_message(std::string& bytes, bool to_head = false) {
    const std::size_t end = bytes.find("\r\n\r\n");
    if (end == std::string::npos) return std::nullopt;
    Message message;
    const char* fault = nullptr;
    for (std::size_t at = 0, stop = 0; !fault && at < end; at = stop + 2) {
        stop = bytes.find("\r\n", at);
        fault = take_line(message, bytes.substr(at, stop - at));
    }
    const std::string length = message.field("Content-Length");
    if (length.size() > 9 || length.find_first_not_of("0123456789") != std::string::npos)
        fault = "unsound: length";
    if (fault) {
        bytes.clear();
        return Message{fault, {}, ""};
    }
    const std::size_t size = length.empty() || to_head ? 0 : std::stoul(length);
    if (bytes.size() < end + 4 + size) return std::nullopt;
    message.body = bytes.substr(end + 4, size);
    bytes.erase(0, end + 4 + size);
    return message;
}

// One end of a connection: gathers what comes.
struct ByteConnection : std::enable_shared_from_this<ByteConnection> {
    explicit ByteConnection(Tcp::socket s) : socket(std::move(s)) {}
    void read() {
        const auto came_some = [self = shared_from_this()](error_code failed, std::size_t size) {
            if (failed) {
                self->ended = true;
                return;
            }
            self->got.append(self->chunk.data(), size);
            if (self->came) self->came();
            self->read();
        };
        socket.async_read_some(asio::buffer(chunk), came_some);
    }
    void send(const std::string& bytes) {
        error_code ignored;  // the other end may have had enough
        asio::write(socket, asio::buffer(bytes), ignored);
    }
    // By a reset: thousands of these must not leave their ports waiting.
    void close() {
        error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

    Tcp::socket socket;
    std::string got;
    bool ended = false;
    std::function<void()> came;
    std::array<char, 4096> chunk{};
};
using ByteConnectionPtr = std::shared_ptr<ByteConnection>;

// Answers each whole request with 200 and the request's id.
class PlainServer {
public:
    explicit PlainServer(asio::io_context& io) : acceptor_(io, any_port) { accept(); }
    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
    // Bytes that are no whole request.
    std::string loose() const {
        std::string bytes;
        for (const auto& weak : connections_)
            if (const ByteConnectionPtr connection = weak.lock()) bytes += connection->got;
        return bytes;
    }
    std::vector<Message> seen;

private:
    void accept() {
        acceptor_.async_accept([this](error_code failed, Tcp::socket socket) {
            if (failed) return;
            std::erase_if(connections_, [](const auto& weak) { return weak.expired(); });
            const auto connection = std::make_shared<ByteConnection>(std::move(socket));
            connections_.push_back(connection);
            connection->came = [this, connection = connection.get()] { take(*connection); };
            connection->read();
            accept();
        });
    }
    void take(ByteConnection& connection) {
        while (auto message = take_message(connection.got)) {
            connection.send(response("200 OK", message->field("Request-Id")));
            seen.push_back(std::move(*message));
        }
    }
    Tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<ByteConnection>> connections_;
};

}  // namespace whinledge::test::http_bytes
