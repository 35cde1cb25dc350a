// Tables of what clients may send, each entry with its verdicts, and the words that they are written in.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "rig/byte_splits.hpp"

namespace whinledge::test::http_bytes {

// Verdicts are text: each answer's status, of a 200 also its body, which is the id of the request that it is
// for; whether the connection is then open or closed; and what servers saw.
inline std::string refused(int status) { return std::to_string(status) + " closed"; }
inline std::string served(const std::string& first, const std::string& body = "",
                          const std::string& fields = "") {
    return "200:<id> open < " + first + " [" + shown(body) + "] <id>" + fields;
}
inline std::string got(const std::string& fields = "") { return served("GET /listen/a", "", fields); }
inline std::string filed(const std::string& body, const std::string& fields = "") {
    return served("POST /deposit", body, fields);
}
inline std::string closing(const std::string& verdict) { return replaced(verdict, " open", " closed"); }

struct RequestEntry {
    std::string name, bytes;
    std::vector<std::string> allowed;  // mostly one; which one must not depend on how the bytes are split
    bool leaves = false;  // the client closes when it has its answers: what it has sent ends within a request
};
struct RequestEntries : std::vector<RequestEntry> {
    void add(std::string_view name, const std::string& bytes, std::string_view verdict, bool leaves = false) {
        push_back({std::string(name), bytes, {std::string(verdict)}, leaves});
    }
};

// `<id>` stands for an id that has not been.
inline std::string usual(const std::string& name) {
    return "Host: app.svc\r\nRequest-Id: <id>\r\nRequest-Class: " + name +
           "\r\nRequest-Timeout-Ms: 5000\r\n" + (name == "annotate" ? "Idempotency-Key: k\r\n" : "");
}
inline std::string line(const std::string& first) { return first + "\r\n" + usual("listen") + "\r\n"; }
inline std::string get(const std::string& fields = "") {
    return "GET /listen/a HTTP/1.1\r\n" + usual("listen") + fields + "\r\n";
}
inline std::string post(const std::string& fields, const std::string& body = "") {
    return "POST /deposit HTTP/1.1\r\n" + usual("deposit") + fields + "\r\n" + body;
}
inline std::string note(const std::string& fields = "") {
    return "POST /annotate HTTP/1.1\r\n" + usual("annotate") + "Content-Length: 2\r\n" + fields + "\r\nno";
}
inline std::string chunked(const std::string& body) { return post("Transfer-Encoding: chunked\r\n", body); }
inline std::string sized(const std::string& length, const std::string& body = "abcd") {
    return post("Content-Length: " + length + "\r\n", body);
}
inline std::string coded(const std::string& coding, const std::string& body = "4\r\nabcd\r\n0\r\n\r\n") {
    return post("Transfer-Encoding: " + coding + "\r\n", body);
}
// The usual request with another line in the place of the one of that name.
inline std::string with(const std::string& name, const std::string& other, const std::string& bytes = get()) {
    const std::size_t at = bytes.find("\r\n" + name + ": ") + 2;
    return bytes.substr(0, at) + other + bytes.substr(bytes.find("\r\n", at) + 2);
}
// What must never be served, hidden within another.
inline std::string hidden() {
    return replaced("POST /deposit/hidden HTTP/1.1\r\n" + usual("deposit") + "Content-Length: 0\r\n\r\n",
                    "<id>", "<id>h");
}
// A request whose head has that many bytes.
inline std::string head_of(std::size_t size) {
    return get("X: " + std::string(size - get("X: \r\n").size(), 'x') + "\r\n");
}

// The tables, each of one part of a request; `sequences` has several on one connection.
RequestEntries request_lines();
RequestEntries header_lines();
RequestEntries protocol_rules();
RequestEntries framing();
RequestEntries chunks();
RequestEntries sequences();

// By the names of the tests.
inline const std::map<std::string, RequestEntries (*)()> request_tables{{"RequestLines", request_lines},
                                                                        {"HeaderLines", header_lines},
                                                                        {"ProtocolRules", protocol_rules},
                                                                        {"Framing", framing},
                                                                        {"Chunks", chunks},
                                                                        {"Sequences", sequences}};

// Who is told to go on with a body: only those that wait for it.
struct Expecting {
    std::string name, head, body;
    bool told;
};
std::vector<Expecting> expecting();

}  // namespace whinledge::test::http_bytes
