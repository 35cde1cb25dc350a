// What servers may answer with: each status, each way to say where a body ends, and each way in which the
// connection goes on behind it. Whether such an answer is whole is stated here without the code under test.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "fuzz/http_reader.hpp"
#include "http/chunks.hpp"

namespace whinledge::test {

struct AnswerEnding {
    enum class Framing { length, chunks, none };
    enum class End { kept, closed, reset, closed_within, reset_within };

    std::string method, status;
    Framing framing;
    End end;

    std::string name() const {
        static const std::vector<std::string> framings{"with a length", "in chunks", "without a length"};
        static const std::vector<std::string> ends{"kept", "closed", "reset", "closed within",
                                                   "reset within"};
        return method + ", " + status + ", " + framings.at(static_cast<std::size_t>(framing)) + ", " +
               ends.at(static_cast<std::size_t>(end));
    }
    unsigned code() const { return static_cast<unsigned>(std::stoul(status.substr(0, 3))); }
    bool is_success() const { return code() / 100 == 2; }
    bool has_body() const { return method != "HEAD" && code() != 204 && code() != 304; }
    // Whether all of it has come, by the standard (RFC 9112, 6.3 and 8).
    bool is_whole() const {
        if (!has_body()) return true;
        if (framing == Framing::none) return end == End::closed;
        return end == End::kept || end == End::closed || end == End::reset;
    }
    bool closes() const { return end == End::closed || end == End::closed_within; }
    bool resets() const { return end == End::reset || end == End::reset_within; }

    // As it goes out, with `fields` in its head; cut off behind half of its body where it ends within that.
    std::string bytes(const std::string& fields, const std::string& body) const {
        std::string head = "HTTP/1.1 " + status + "\r\n" + fields;
        std::string framed = body;
        if (framing == Framing::length) head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        if (framing == Framing::chunks) {
            head += "Transfer-Encoding: chunked\r\n";
            framed.clear();
            append_chunk(framed, body);
            append_last_chunk(framed);
        }
        if (!has_body()) framed.clear();
        if (end == End::closed_within || end == End::reset_within) framed.resize(framed.size() / 2);
        return head + "\r\n" + framed;
    }
};

// What is left out: an answer without a length on a connection that stays (it never ends), and one that is
// closed within its body (that is its end).
inline std::vector<AnswerEnding> answer_endings() {
    using Framing = AnswerEnding::Framing;
    using End = AnswerEnding::End;
    std::vector<AnswerEnding> endings;
    const auto add_all = [&](const std::string& method, const std::string& status) {
        for (const Framing framing : {Framing::length, Framing::chunks, Framing::none})
            for (const End end :
                 {End::kept, End::closed, End::reset, End::closed_within, End::reset_within}) {
                const AnswerEnding ending{method, status, framing, end};
                const bool without = framing == Framing::none && ending.has_body();
                if (without && (end == End::kept || end == End::closed_within)) continue;
                // The standard forbids chunks there, and whoever reads on takes them for another answer.
                if (framing == Framing::chunks && !ending.has_body() && method != "HEAD") continue;
                endings.push_back(ending);
            }
    };
    for (const char* const status :
         {"200 OK", "201 Created", "202 Accepted", "203 Other", "206 Partial", "226 Used", "204 No Content",
          "301 Moved", "304 Not Modified", "400 Bad Request", "404 Not Found", "409 Conflict", "429 Too Many",
          "500 Oops", "502 Bad Gateway", "503 Unavailable", "504 Too Late"})
        add_all("POST", status);
    for (const char* const status : {"200 OK", "404 Not Found", "500 Oops"}) add_all("HEAD", status);
    return endings;
}

// A client has got a server's answer as it was. `fields`: whether those of the server are there.
inline void expect_passed_on_whole(const AnswerEnding& ending, const fuzz::Message& heard, bool fields,
                                   const std::string& body) {
    EXPECT_EQ(heard.got, fuzz::Got::whole);
    EXPECT_EQ(heard.status, ending.code());
    EXPECT_TRUE(fields) << "not the server's";
    EXPECT_EQ(heard.body, ending.has_body() ? body : "");
}

// A client has got the beginning of a server's answer, and can tell that it was cut off.
inline void expect_visibly_cut_off(const AnswerEnding& ending, const fuzz::Message& heard,
                                   const std::string& body) {
    EXPECT_FALSE(ending.is_whole());
    EXPECT_EQ(heard.status, ending.code());
    EXPECT_EQ(heard.got, fuzz::Got::more) << "what is cut off looks whole";
    EXPECT_TRUE(body.starts_with(heard.body)) << heard.body;
}

}  // namespace whinledge::test
