// What the tests of many, lost and draining streams share: their requests, turns that begin when the test
// says so, and answers with their chunks taken off.
#pragma once

#include <cstddef>
#include <string>

#include "edge_rig.hpp"

namespace whinledge::data_plane::test {

inline const std::string kFirstEvent = "id: 1\ndata: one\n\n";
inline const std::string kSecondEvent = "id: 2\ndata: two\n\n";

// The body of an answer in chunks, as far as it has come.
struct ChunkedBody {
    std::string bytes;
    bool ended = false;      // by the last chunk, with nothing behind it
    bool misframed = false;  // what came is no chunk, or goes on behind the last one
};

inline ChunkedBody chunked_body(const std::string& heard) {
    constexpr int kHexadecimal = 16;
    ChunkedBody body;
    const std::size_t head_end = heard.find("\r\n\r\n");
    if (head_end == std::string::npos) return body;
    std::size_t at = head_end + 4;
    while (at < heard.size() && !body.ended && !body.misframed) {
        const std::size_t line_end = heard.find("\r\n", at);
        if (line_end == std::string::npos) return body;
        const std::string size_line = heard.substr(at, line_end - at);
        if (size_line.empty() || size_line.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos) {
            body.misframed = true;
            return body;
        }
        const std::size_t size = std::stoul(size_line, nullptr, kHexadecimal);
        const std::size_t begin = line_end + 2;
        body.bytes += heard.substr(begin, size);
        if (heard.size() < begin + size + 2) return body;
        body.misframed = heard.compare(begin + size, 2, "\r\n") != 0;
        body.ended = size == 0 && !body.misframed;
        at = begin + size + 2;
    }
    body.misframed = body.misframed || (body.ended && at < heard.size());
    return body;
}

struct StreamRig : EdgeRig {
    using EdgeRig::EdgeRig;

    // Fields of a turn that a budget bears.
    static std::string turn_fields(const std::string& program = "p") {
        return "Program: " + program + "\r\nBudget: 500\r\nToken-Count: 10,30\r\n";
    }
    static std::string request_to(const std::string& path, const std::string& id,
                                  const std::string& fields = "") {
        return "POST " + path + " HTTP/1.1\r\nHost: app.example\r\nTry-Id: " + id + "\r\n" + fields +
               "Content-Length: 5\r\n\r\ninput";
    }
    void begin_turn(std::size_t turn) {
        storage_plane::BegunTurn outcome;
        outcome.status = storage_plane::BeginStatus::ok;
        turns.begun.at(turn).done(outcome);
    }
    // Sends a request on a connection of its own; one that is a turn has begun then.
    RawClient& send_begun(const std::string& bytes, bool is_turn) {
        const std::size_t begun_before = turns.begun.size();
        RawClient& c = client();
        c.send(bytes);
        if (!is_turn) return c;
        until([&] { return turns.begun.size() > begun_before; });
        begin_turn(begun_before);
        return c;
    }
    // Nothing is open at the engine, and what that has still caused has been done.
    void settled() {
        until([&] { return engine.open() == 0; });
        io.poll();
    }
};

}  // namespace whinledge::data_plane::test
