// What the parsing of HTTP holds today, byte for byte: tables of what clients and servers may send, each with
// its one verdict, however its bytes are split on their way.
#include <algorithm>
#include <iostream>
#include <map>
#include <set>
#include <string_view>

#include "rig/net_rig.hpp"

namespace whinledge::test {
namespace {

using namespace std::string_literals;

// ---- Splitting -------------------------------------------------------------------------------------------

using Cuts = std::vector<std::size_t>;

// After every byte; long runs of one byte are filler and go in one piece, their ends apart.
Cuts every_byte(const std::string& bytes) {
    constexpr std::size_t kEnd = 8;
    Cuts cuts;
    std::size_t run = 0;  // where it ends
    for (std::size_t i = 1, begin = 0; i < bytes.size(); ++i) {
        if (bytes[i] != bytes[i - 1]) begin = i;
        if (run <= i) run = std::min(bytes.find_first_not_of(bytes[i], i), bytes.size());
        if (i < begin + kEnd || i + kEnd > run) cuts.push_back(i);
    }
    return cuts;
}

// Once, at each place where a parser may have to stop: beside line ends, blanks and separators.
std::vector<Cuts> halves(const std::string& bytes) {
    const auto edge = [](char c) { return std::string_view("\r\n:; \t").find(c) != std::string_view::npos; };
    constexpr std::size_t kMost = 100;  // the first and the last ones
    std::vector<Cuts> all;
    for (std::size_t i = 1; i < bytes.size(); ++i)
        if (edge(bytes[i - 1]) || edge(bytes[i])) all.push_back({i});
    if (all.size() > kMost) all.erase(all.begin() + kMost / 2, all.end() - kMost / 2);
    return all;
}

std::vector<std::string> pieces(const std::string& bytes, const Cuts& cuts) {
    std::vector<std::string> parts;
    std::size_t from = 0;
    for (const std::size_t cut : cuts) {
        parts.push_back(bytes.substr(from, cut - from));
        from = cut;
    }
    parts.push_back(bytes.substr(from));
    return parts;
}

std::string replaced(std::string text, const std::string& from, const std::string& to) {
    for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size())
        text.replace(at, from.size(), to);
    return text;
}

// In print, on one line; what repeats one byte, shorter.
std::string shown(const std::string& bytes) {
    constexpr std::string_view digits = "0123456789abcdef";
    if (bytes.size() > 64 && bytes.find_first_not_of(bytes[0]) == std::string::npos)
        return std::to_string(bytes.size()) + " times " + bytes[0];
    std::string text;
    for (const char c : bytes) {
        const auto code = static_cast<unsigned char>(c);
        if (code >= ' ' && code < 127)
            text += c;
        else if (c == '\r' || c == '\n')
            text += c == '\r' ? "\\r" : "\\n";
        else
            text += "\\x"s + digits[code / 16] + digits[code % 16];
    }
    return text;
}

// ---- Verdicts --------------------------------------------------------------------------------------------

// An entry's verdict is among those allowed, and the same however its bytes are split.
template <class Entry, class Judge>
std::string hold(const Entry& entry, const Judge& verdict) {
    const std::string whole = verdict(Cuts{});
    EXPECT_TRUE(std::find(entry.allowed.begin(), entry.allowed.end(), whole) != entry.allowed.end())
        << "is:     " << whole << "\nshould: " << entry.allowed[0];
    std::vector<Cuts> splits = halves(entry.bytes);
    splits.push_back(every_byte(entry.bytes));
    for (const Cuts& cuts : splits) {
        if (testing::Test::HasFatalFailure()) break;
        const std::string split = verdict(cuts);
        EXPECT_EQ(split, whole) << "in " << cuts.size() + 1 << " pieces, the first of "
                                << (cuts.empty() ? 0 : cuts[0]);
        if (split != whole) break;
    }
    return whole;
}

template <class Entry, class Check>
void hold_all(const std::vector<Entry>& entries, const Check& check) {
    for (const Entry& entry : entries) {
        SCOPED_TRACE(entry.name + ": " + shown(entry.bytes).substr(0, 500));
        try {
            check(entry);
        } catch (const std::exception& error) {  // it went through the loop that the program runs
            ADD_FAILURE() << "thrown: " << error.what();
        }
        if (testing::Test::HasFatalFailure()) return;
    }
}

// ---- Both ends of the sidecar, read without the parser under test ----------------------------------------

bool same_name(std::string_view one, std::string_view other) {
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
const char* take_line(Message& message, const std::string& line) {
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
std::optional<Message> take_message(std::string& bytes, bool to_head = false) {
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
struct Line : std::enable_shared_from_this<Line> {
    explicit Line(Tcp::socket s) : socket(std::move(s)) {}
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
using LinePtr = std::shared_ptr<Line>;

// Answers each whole request with 200 and the request's id.
class PlainServer {
public:
    explicit PlainServer(asio::io_context& io) : acceptor_(io, any_port) { accept(); }
    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
    // Bytes that are no whole request.
    std::string loose() const {
        std::string bytes;
        for (const auto& weak : lines_)
            if (const LinePtr line = weak.lock()) bytes += line->got;
        return bytes;
    }
    std::vector<Message> seen;

private:
    void accept() {
        acceptor_.async_accept([this](error_code failed, Tcp::socket socket) {
            if (failed) return;
            std::erase_if(lines_, [](const auto& weak) { return weak.expired(); });
            const auto line = std::make_shared<Line>(std::move(socket));
            lines_.push_back(line);
            line->came = [this, line = line.get()] { take(*line); };
            line->read();
            accept();
        });
    }
    void take(Line& line) {
        while (auto message = take_message(line.got)) {
            line.send(response("200 OK", message->field("Request-Id")));
            seen.push_back(std::move(*message));
        }
    }
    Tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<Line>> lines_;
};

// ---- Requests --------------------------------------------------------------------------------------------

// Nothing to tell of: as it stands in each request that is passed on.
bool is_usual(const std::string& name, const std::string& value, const Message& message) {
    if (same_name(name, "Host")) return value == "app.svc";
    if (same_name(name, "Request-Timeout-Ms")) return value.size() <= 5 && std::atoi(value.c_str()) > 0;
    if (same_name(name, "Content-Length")) return value == std::to_string(message.body.size());
    if (same_name(name, "Request-Class")) return message.first.find(" /" + value) != std::string::npos;
    return same_name(name, "Request-Id");
}

// A request as a server saw it: first line, body, id, and each field that is not usual, comes again or lacks.
std::string text_of(const Message& message) {
    std::string text = shown(replaced(message.first, " HTTP/1.1", "")) + " [" + shown(message.body) + "] " +
                       message.field("Request-Id");
    for (auto at = message.fields.begin(); at != message.fields.end(); ++at) {
        const auto& [name, value] = *at;
        const bool again = std::any_of(message.fields.begin(), at,
                                       [&, &name = name](const auto& f) { return same_name(f.first, name); });
        if (again || !is_usual(name, value, message)) text += " {" + name + ": " + shown(value) + "}";
    }
    for (const char* name : {"Host", "Request-Class", "Request-Timeout-Ms"})
        if (message.field(name).empty()) text += " {no "s + name + "}";
    return text;
}

// Verdicts are text: each answer's status, of a 200 also its body, which is the id of the request that it is
// for; whether the connection is then open or closed; and what servers saw.
std::string refused(int status) { return std::to_string(status) + " closed"; }
std::string served(const std::string& first, const std::string& body = "", const std::string& fields = "") {
    return "200:<id> open < " + first + " [" + shown(body) + "] <id>" + fields;
}
std::string got(const std::string& fields = "") { return served("GET /listen/a", "", fields); }
std::string filed(const std::string& body, const std::string& fields = "") {
    return served("POST /deposit", body, fields);
}
std::string closing(const std::string& verdict) { return replaced(verdict, " open", " closed"); }

std::size_t answers_in(const std::string& verdict) {
    const std::string answers = verdict.substr(0, verdict.find(" <"));
    return static_cast<std::size_t>(std::count(answers.begin(), answers.end(), ' '));
}

struct Entry {
    std::string name, bytes;
    std::vector<std::string> allowed;  // mostly one; which one must not depend on how the bytes are split
    bool leaves = false;  // the client closes when it has its answers: what it has sent ends within a request
};
struct Table : std::vector<Entry> {
    void add(std::string_view name, const std::string& bytes, std::string_view verdict, bool leaves = false) {
        push_back({std::string(name), bytes, {std::string(verdict)}, leaves});
    }
};

// ---- Tables of requests ----------------------------------------------------------------------------------

// `<id>` stands for an id that has not been.
std::string usual(const std::string& name) {
    return "Host: app.svc\r\nRequest-Id: <id>\r\nRequest-Class: " + name +
           "\r\nRequest-Timeout-Ms: 5000\r\n" + (name == "annotate" ? "Idempotency-Key: k\r\n" : "");
}
std::string line(const std::string& first) { return first + "\r\n" + usual("listen") + "\r\n"; }
std::string get(const std::string& fields = "") {
    return "GET /listen/a HTTP/1.1\r\n" + usual("listen") + fields + "\r\n";
}
std::string post(const std::string& fields, const std::string& body = "") {
    return "POST /deposit HTTP/1.1\r\n" + usual("deposit") + fields + "\r\n" + body;
}
std::string note(const std::string& fields = "") {
    return "POST /annotate HTTP/1.1\r\n" + usual("annotate") + "Content-Length: 2\r\n" + fields + "\r\nno";
}
std::string chunked(const std::string& body) { return post("Transfer-Encoding: chunked\r\n", body); }
std::string sized(const std::string& length, const std::string& body = "abcd") {
    return post("Content-Length: " + length + "\r\n", body);
}
std::string coded(const std::string& coding, const std::string& body = "4\r\nabcd\r\n0\r\n\r\n") {
    return post("Transfer-Encoding: " + coding + "\r\n", body);
}
// The usual request with another line in the place of the one of that name.
std::string with(const std::string& name, const std::string& other, const std::string& bytes = get()) {
    const std::size_t at = bytes.find("\r\n" + name + ": ") + 2;
    return bytes.substr(0, at) + other + bytes.substr(bytes.find("\r\n", at) + 2);
}
// What must never be served, hidden within another.
std::string hidden() {
    return replaced("POST /deposit/hidden HTTP/1.1\r\n" + usual("deposit") + "Content-Length: 0\r\n\r\n",
                    "<id>", "<id>h");
}
// A request whose head has that many bytes.
std::string head_of(std::size_t size) {
    return get("X: " + std::string(size - get("X: \r\n").size(), 'x') + "\r\n");
}
std::string repeated(std::size_t times, const std::string& text) {
    std::string all;
    while (times-- > 0) all += text;
    return all;
}

Table request_lines() {
    Table table;
    const auto target = [&](std::string_view name, std::string_view of, bool good) {
        const std::string first = "GET " + std::string(of);
        table.add(name, line(first + " HTTP/1.1"), good ? served(first) : refused(400));
    };
    const auto bad = [&](std::string_view name, std::string_view first) {
        table.add(name, line(std::string(first)), refused(400));
    };
    table.add("usual", get(), got());
    bad("method in lower case", "get /listen/a HTTP/1.1");
    bad("method in mixed case", "Get /listen/a HTTP/1.1");
    bad("method with more", "GETS /listen/a HTTP/1.1");
    bad("method cut short", "GE /listen/a HTTP/1.1");
    bad("method no token", "G@T /listen/a HTTP/1.1");
    bad("method with colon", "GET: /listen/a HTTP/1.1");
    bad("method with high byte", "G\xc3\x8bT /listen/a HTTP/1.1");
    bad("method with NUL", "GET\0 /listen/a HTTP/1.1"s);
    bad("method unknown", "BREW /listen/a HTTP/1.1");
    bad("method very long", std::string(5000, 'G') + " /listen/a HTTP/1.1");
    bad("HEAD", "HEAD /listen/a HTTP/1.1");
    bad("PUT", "PUT /listen/a HTTP/1.1");
    bad("DELETE", "DELETE /listen/a HTTP/1.1");
    bad("PATCH", "PATCH /listen/a HTTP/1.1");
    bad("TRACE", "TRACE /listen/a HTTP/1.1");
    bad("OPTIONS", "OPTIONS /listen/a HTTP/1.1");
    bad("OPTIONS in asterisk form", "OPTIONS * HTTP/1.1");
    bad("GET in asterisk form", "GET * HTTP/1.1");
    bad("CONNECT in authority form", "CONNECT app.svc:80 HTTP/1.1");
    bad("CONNECT to a path", "CONNECT /listen/a HTTP/1.1");
    bad("GET in authority form", "GET app.svc:80 HTTP/1.1");
    bad("absolute form", "GET http://app.svc/listen/a HTTP/1.1");
    bad("absolute form of another host", "GET http://other.svc/listen/a HTTP/1.1");
    bad("absolute form in upper case", "GET HTTP://app.svc/listen/a HTTP/1.1");
    bad("relative target", "GET listen/a HTTP/1.1");
    bad("preface of HTTP/2", "PRI * HTTP/2.0");
    table.add("preface of HTTP/2, bare", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0"s, refused(400));
    bad("no method", " /listen/a HTTP/1.1");
    bad("no target", "GET HTTP/1.1");
    bad("empty target", "GET  HTTP/1.1");
    bad("no version", "GET /listen/a");
    bad("no version, blank", "GET /listen/a ");
    table.add("HTTP/0.9", "GET /listen/a\r\n\r\n", refused(400));
    bad("method alone", "GET");
    bad("two blanks ahead of the target", "GET  /listen/a HTTP/1.1");
    bad("two blanks ahead of the version", "GET /listen/a  HTTP/1.1");
    bad("tab ahead of the target", "GET\t/listen/a HTTP/1.1");
    bad("tab ahead of the version", "GET /listen/a\tHTTP/1.1");
    bad("blank at the front", " GET /listen/a HTTP/1.1");
    bad("blank at the end", "GET /listen/a HTTP/1.1 ");
    bad("tab at the end", "GET /listen/a HTTP/1.1\t");
    bad("more behind the version", "GET /listen/a HTTP/1.1 x");
    bad("two targets", "GET /listen/a /listen/b HTTP/1.1");
    table.add("empty line at the front", "\r\n" + get(), refused(400));
    table.add("bare LF at the front", "\n" + get(), refused(400));
    table.add("byte order mark", "\xef\xbb\xbf" + get(), refused(400));
    table.add("TLS", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03"s, refused(400));
    table.add("bare LF ends it", replaced(get(), "HTTP/1.1\r\n", "HTTP/1.1\n"), refused(400));
    table.add("bare CR ends it", replaced(get(), "HTTP/1.1\r\n", "HTTP/1.1\r"), refused(400));
    table.add("two CR end it", replaced(get(), "HTTP/1.1\r\n", "HTTP/1.1\r\r\n"), refused(400));
    bad("CR within", "GET /listen/a\r HTTP/1.1");
    table.add("HTTP/1.0", line("GET /listen/a HTTP/1.0"), closing(got()));
    table.add("HTTP/1.0 kept", replaced(get("Connection: keep-alive\r\n"), "HTTP/1.1", "HTTP/1.0"), got());
    bad("HTTP/1.2", "GET /listen/a HTTP/1.2");
    bad("HTTP/2.0", "GET /listen/a HTTP/2.0");
    bad("HTTP/0.9 in full", "GET /listen/a HTTP/0.9");
    bad("HTTP/1.10", "GET /listen/a HTTP/1.10");
    bad("HTTP/01.1", "GET /listen/a HTTP/01.1");
    bad("HTTP/11", "GET /listen/a HTTP/11");
    bad("HTTP/1", "GET /listen/a HTTP/1");
    bad("HTTP/1,1", "GET /listen/a HTTP/1,1");
    bad("HTTP/1.x", "GET /listen/a HTTP/1.x");
    bad("HTTP with a sign", "GET /listen/a HTTP/+1.1");
    bad("HTTP with a blank", "GET /listen/a HTTP /1.1");
    bad("http in lower case", "GET /listen/a http/1.1");
    bad("HTTPS", "GET /listen/a HTTPS/1.1");
    bad("another protocol", "GET /listen/a ICY/1.1");
    target("class alone", "/listen", true);
    target("class and a slash", "/listen/", true);
    target("class and an empty query", "/listen?", true);
    target("class and a query", "/listen?part=2&x=%20", true);
    target("query with marks", "/listen/a?b?c/d", true);
    target("empty part", "/listen//a", true);
    target("percent encoding", "/listen/a%2Fb%41", true);
    target("characters with a meaning", "/listen/a;v=1,2:3@4!$&'()*+=~-._", true);
    target("another class", "/deposit/a", false);
    target("no class", "/", false);
    target("class in upper case", "/LISTEN/a", false);
    target("class with more", "/listens", false);
    target("class and a parameter", "/listen;x/a", false);
    target("class in percent encoding", "/%6cisten/a", false);
    target("slash in percent encoding", "/listen%2fa", false);
    target("two slashes at the front", "//listen/a", false);
    target("dot at the front", "/./listen/a", false);
    target("class and a fragment", "/listen#a", false);
    target("backslash at the front", "\\listen/a", false);
    target("class and a backslash", "/listen\\a", false);
    target("NUL in the target", "/listen/\0a"s, false);
    target("control byte in the target", "/listen/\x01", false);
    target("escape in the target", "/listen/\x1b[31m", false);
    target("vertical tab in the target", "/listen/\x0b", false);
    target("DEL in the target", "/listen/\x7f", false);
    target("fragment", "/listen/a#b", false);
    target("fragment behind a query", "/listen?a#b", false);
    target("backslash", "/listen/..\\a", false);
    target("high bytes", "/listen/\xc3\xa9", false);
    target("quotes and brackets", "/listen/\"<>^`{|}", false);
    target("percent and no digits", "/listen/%zz", false);
    target("percent at the end", "/listen/a%", false);
    target("dots that leave the class", "/listen/../deposit", false);
    target("encoded dots that leave the class", "/listen/%2e%2E/deposit", false);
    table.add("head as long as may be", head_of(16384),
              got(" {X: " + shown(std::string(16384 - get("X: \r\n").size(), 'x')) + "}"));
    table.add("head one byte longer", head_of(16385), refused(431));
    table.add("head far longer", head_of(60000), refused(431));
    table.add("head without end", "GET /listen/a HTTP/1.1\r\nX: " + std::string(17000, 'x'), refused(431));
    target("very long", "/listen/" + std::string(16000, 'y'), true);
    table.add("too long", line("GET /listen/" + std::string(17000, 'y') + " HTTP/1.1"), refused(431));
    return table;
}

Table header_lines() {
    Table table;
    const auto bad = [&](std::string_view name, std::string_view fields) {
        table.add(name, get(std::string(fields)), refused(400));
    };
    const auto good = [&](std::string_view name, std::string_view fields, std::string_view passed = "") {
        table.add(name, get(std::string(fields)), got(std::string(passed)));
    };
    good("another", "X: y\r\n", " {X: y}");
    good("no blank", "X:y\r\n", " {X: y}");
    good("blanks round a value", "X: \t y \t \r\n", " {X: y}");
    good("blanks and tabs within a value", "X: a \t b\r\n", " {X: " + shown("a \t b") + "}");
    good("empty value", "X:\r\n", " {X: }");
    good("value of blanks", "X:  \t\r\n", " {X: }");
    good("high bytes in a value", "X: \xc3\xa9\xff\r\n", " {X: " + shown("\xc3\xa9\xff") + "}");
    good("colons in a value", "X: :a: b:\r\n", " {X: :a: b:}");
    good("the same twice", "X: a\r\nX: b\r\n", " {X: a} {X: b}");
    good("every mark of a name", "!#$%&'*+-.^_`|~0Az: y\r\n", " {!#$%&'*+-.^_`|~0Az: y}");
    good("names with underscores", "Content_Length: 4\r\nTransfer_Encoding: chunked\r\nRequest_Id: y\r\n",
         " {Content_Length: 4} {Transfer_Encoding: chunked} {Request_Id: y}");
    table.add("usual names in lower case", replaced(get(), "Request-Id", "request-id"), got());
    table.add("usual names in upper case", replaced(get(), "Request-Class", "REQUEST-CLASS"), got());
    table.add("many", get(repeated(500, "X: y\r\n")), got(repeated(500, " {X: y}")));
    bad("folded", "X: a\r\n b\r\n");
    bad("folded with a tab", "X: a\r\n\tb\r\n");
    bad("folded, empty", "X: a\r\n \r\n");
    table.add("folded first", replaced(get(), "Host:", " Host:"), refused(400));
    table.add("tab at the first", replaced(get(), "Host:", "\tHost:"), refused(400));
    table.add("folded into an empty value", with("Request-Id", "Request-Id:\r\n <id>\r\n"), refused(400));
    bad("blank ahead of the colon", "X : y\r\n");
    bad("tab ahead of the colon", "X\t: y\r\n");
    bad("blank within the name", "X Y: z\r\n");
    bad("empty name", ": y\r\n");
    bad("no colon", "X\r\n");
    bad("no colon, with a blank", "X y\r\n");
    bad("NUL in a name", "X\0: y\r\n"s);
    bad("control byte in a name", "X\x01: y\r\n");
    bad("high byte in a name", "X\xc3\xa9: y\r\n");
    bad("at sign in a name", "X@Y: z\r\n");
    bad("parenthesis in a name", "X(: z\r\n");
    bad("comma in a name", "X,Y: z\r\n");
    bad("slash in a name", "X/Y: z\r\n");
    bad("quote in a name", "\"X\": z\r\n");
    bad("NUL in a value", "X: a\0b\r\n"s);
    bad("escape in a value", "X: a\x1b\r\n");
    bad("vertical tab in a value", "X: a\x0b b\r\n");
    bad("form feed in a value", "X: \x0c\r\n");
    bad("backspace in a value", "X: a\x08\r\n");
    bad("DEL in a value", "X: a\x7f\r\n");
    bad("CR in a value", "X: a\rb\r\n");
    bad("CR at the end of a value", "X: a\r\r\n");
    bad("CR ahead of a name", "\rX: a\r\n");
    bad("LF in a value", "X: a\nb\r\n");
    bad("LF that hides a field", "X: a\nTransfer-Encoding: chunked\r\n");
    bad("CR that hides a field", "X: a\rTransfer-Encoding: chunked\r\n");
    bad("LF ends a line", "X: a\n");
    table.add("LF ends the head", get().substr(0, get().size() - 2) + "\n", refused(400));
    table.add("LF LF ends the head", get().substr(0, get().size() - 4) + "\n\n", refused(400));
    table.add("LF CR LF ends the head", get().substr(0, get().size() - 4) + "\n\r\n", refused(400));
    table.add("CR CR LF ends the head", get().substr(0, get().size() - 2) + "\r\r\n", refused(400));
    table.add("LF ends all lines", replaced(get(), "\r\n", "\n"), refused(400));
    table.add("CR ends all lines", replaced(get(), "\r\n", "\r"), refused(400), true);
    table.add("LF CR ends all lines", replaced(get(), "\r\n", "\n\r"), refused(400));
    good("Connection: keep-alive", "Connection: keep-alive\r\n");
    good("hop by hop",
         "TE: trailers\r\nTrailer: X\r\nKeep-Alive: 5\r\nProxy-Connection: x\r\n"
         "Proxy-Authorization: x\r\n");
    good("Connection of nothing", "Connection: \r\n");
    good("Connection of commas", "Connection: , ,x\r\n");
    table.add("Connection: close", get("Connection: close\r\n"), closing(got()));
    table.add("Connection: CLOSE", get("connection: CLOSE\r\n"), closing(got()));
    table.add("Connection: close in a list", get("Connection: x, close\r\n"), closing(got()));
    table.add("Connection: close and keep-alive", get("Connection: keep-alive, close\r\n"), closing(got()));
    table.add("Connection twice", get("Connection: keep-alive\r\nConnection: close\r\n"), closing(got()));
    bad("Connection that is no list", "Connection: \"close\"\r\n");
    good("Upgrade", "Connection: Upgrade\r\nUpgrade: websocket\r\n");
    good("Upgrade to HTTP/2",
         "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMA\r\n");
    good("named by Connection", "Connection: X-Hop\r\nX-Hop: y\r\n");
    table.add("its length named by Connection",
              post("Connection: close, Content-Length\r\nContent-Length: 4\r\n", "abcd"),
              closing(filed("abcd")));
    table.push_back({"its key named by Connection",
                     note("Connection: Idempotency-Key\r\n"),
                     {served("POST /annotate", "no", " {Idempotency-Key: k}"), refused(400)}});
    table.push_back({"its id named by Connection", get("Connection: Request-Id\r\n"), {got(), refused(400)}});
    return table;
}

Table protocol_rules() {
    Table table;
    const auto bad = [&](std::string_view name, const std::string& bytes) {
        table.add(name, bytes, refused(400));
    };
    const auto field = [&](std::string_view name, std::string_view other) {
        const std::string own(name), line(other);
        table.add(line.empty() ? "no " + own : shown(line), with(own, line), refused(400));
    };
    const auto time = [&](std::string_view of, std::string_view verdict) {
        const std::string value(of), name = "Request-Timeout-Ms";
        table.add("time of '" + shown(value) + "'", with(name, name + ": " + value + "\r\n"), verdict);
    };
    const std::string long_id(252, 'i'), long_name(256, 'n');
    const std::string health = "GET /_health HTTP/1.1\r\nHost: app.svc\r\n", kept = "200:OK open";
    const std::string noted = served("POST /annotate", "no", " {Idempotency-Key: k}");
    field("Host", "");
    field("Host", "Host:\r\n");
    field("Host", "Host: app.svc\r\nHost: app.svc\r\n");
    field("Host", "Host: app.svc\r\nhost: other.svc\r\n");
    field("Host", "Host : app.svc\r\n");
    table.add("another host", with("Host", "Host: other.svc:80\r\n"), got(" {Host: other.svc:80}"));
    table.add("host as long as may be", with("Host", "Host: " + long_name + "\r\n"),
              got(" {Host: " + shown(long_name) + "}"));
    table.add("host too long", with("Host", "Host: n" + long_name + "\r\n"), refused(400));
    table.add("host with a comma", with("Host", "Host: app.svc, other.svc\r\n"), refused(400));
    table.add("host with a blank", with("Host", "Host: app.svc other.svc\r\n"), refused(400));
    field("Request-Id", "");
    field("Request-Id", "Request-Id:\r\n");
    field("Request-Id", "Request-Id: \t \r\n");
    field("Request-Id", "Request-Id: <id>\r\nRequest-Id: <id>\r\n");
    field("Request-Id", "Request-Id: <id>\r\nREQUEST-ID: <id>b\r\n");
    field("Request-Id", "Request-Id: <id>\r\nRequest-Id:\r\n");
    field("Request-Id", "Request-Id : <id>\r\n");
    field("Request-Id", "Request_Id: <id>\r\n");
    table.add("blanks round the id", with("Request-Id", "Request-Id: \t<id> \t\r\n"), got());
    table.add("id as long as may be", with("Request-Id", "Request-Id: <id>" + long_id + "\r\n"),
              replaced(got(), "<id>", "<id>" + long_id));
    table.add("id too long", with("Request-Id", "Request-Id: <id>i" + long_id + "\r\n"), refused(400));
    field("Request-Class", "");
    field("Request-Class", "Request-Class:\r\n");
    field("Request-Class", "Request-Class: listen\r\nRequest-Class: listen\r\n");
    field("Request-Class", "Request-Class: listen\r\nRequest-Class: deposit\r\n");
    field("Request-Class", "Request-Class: LISTEN\r\n");
    field("Request-Class", "Request-Class: listen, listen\r\n");
    field("Request-Class", "Request-Class: listen;q=1\r\n");
    field("Request-Class", "Request-Class: deposit\r\n");
    field("Request-Class", "Request-Class: bequest\r\n");
    field("Request-Timeout-Ms", "");
    field("Request-Timeout-Ms", "Request-Timeout-Ms: 900\r\nRequest-Timeout-Ms: 900\r\n");
    field("Request-Timeout-Ms", "Request-Timeout-Ms: 900\r\nRequest-Timeout-Ms: 1\r\n");
    time("900", got());
    time("00900", got());
    time("4294967295", got());
    time("4294967296", refused(400));
    time("99999999999999999999", refused(400));
    table.push_back(
        {"time of none", with("Request-Timeout-Ms", "Request-Timeout-Ms: 0\r\n"), {"503 open", "504 open"}});
    time("", refused(400));
    time("-5", refused(400));
    time("-0", refused(400));
    time("+5", refused(400));
    time("5.0", refused(400));
    time("5e3", refused(400));
    time("0x384", refused(400));
    time("900ms", refused(400));
    time("900, 900", refused(400));
    time("9 00", refused(400));
    time("nan", refused(400));
    time("inf", refused(400));
    time("\xd9\xa5", refused(400));
    bad("GET of a class that is not safe", replaced(get(), "listen", "deposit"));
    bad("POST of a safe class", replaced(get(), "GET", "POST"));
    bad("POST of a safe class with a body",
        replaced(replaced(sized("4"), "deposit", "listen"), "GET", "POST"));
    bad("PUT of a class that is not safe", replaced(sized("4"), "POST", "PUT"));
    table.add("keyed", note(), noted);
    table.add("key as long as may be",
              with("Idempotency-Key", "Idempotency-Key: " + long_name + "\r\n", note()),
              replaced(noted, ": k}", ": " + shown(long_name) + "}"));
    bad("key too long", with("Idempotency-Key", "Idempotency-Key: n" + long_name + "\r\n", note()));
    bad("no key", with("Idempotency-Key", "", note()));
    bad("empty key", with("Idempotency-Key", "Idempotency-Key:\r\n", note()));
    bad("key of blanks", with("Idempotency-Key", "Idempotency-Key: \t\r\n", note()));
    bad("key twice", note("Idempotency-Key: k\r\n"));
    bad("two keys", note("idempotency-key: l\r\n"));
    bad("key of a safe class", get("Idempotency-Key: k\r\n"));
    bad("empty key of a safe class", get("Idempotency-Key:\r\n"));
    bad("key of a class without", post("Idempotency-Key: k\r\nContent-Length: 4\r\n", "abcd"));
    table.add("no body and no length", post(""), filed(""));
    table.add("body of a safe one, empty", get("Content-Length: 0\r\n"), got());
    bad("body of a safe one", get("Content-Length: 4\r\n") + "abcd");
    bad("body of a safe one, a request",
        get("Content-Length: " + std::to_string(hidden().size()) + "\r\n") + hidden());
    bad("body of a safe one, chunked", get("Transfer-Encoding: chunked\r\n") + "4\r\nabcd\r\n0\r\n\r\n");
    bad("body of a safe one, chunked and empty", get("Transfer-Encoding: chunked\r\n") + "0\r\n\r\n");
    bad("tenant twice", get("Tenant: one\r\nTenant: two\r\n"));
    table.add("odd hints", get("Work-Hint: nan\r\nTenant: nobody\r\nClient-Retry: 2\r\n"),
              got(" {Work-Hint: nan} {Tenant: nobody} {Client-Retry: 2}"));
    table.add("hint beyond bounds", get("Work-Hint: 1e999\r\n"), got(" {Work-Hint: 1e999}"));
    table.add("hint below zero", get("Work-Hint: -5\r\n"), got(" {Work-Hint: -5}"));
    table.add("health", health + "\r\n", kept);
    table.add("health, closed", health + "Connection: close\r\n\r\n", closing(kept));
    table.add("health in HTTP/1.0", "GET /_health HTTP/1.0\r\n\r\n", closing(kept));
    table.add("health, empty body", health + "Content-Length: 0\r\n\r\n", kept);
    table.add("health, posted", replaced(health, "GET", "POST") + "Content-Length: 0\r\n\r\n", "405 open");
    table.add("health, asked with HEAD", replaced(health, "GET", "HEAD") + "\r\n", "405 open");
    bad("health with a body", health + "Content-Length: 4\r\n\r\nabcd");
    bad("health with chunks", health + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    bad("health with two lengths", health + "Content-Length: 0\r\nContent-Length: 0\r\n\r\n");
    bad("health with a query", replaced(health, "_health", "_health?x") + "\r\n");
    bad("health with more", replaced(health, "_health", "_health/x") + "\r\n");
    bad("health in upper case", replaced(health, "_health", "_HEALTH") + "\r\n");
    bad("health in absolute form", replaced(health, "/_health", "http://app.svc/_health") + "\r\n");
    table.add("health that expects a miracle", health + "Expect: a miracle\r\n\r\n", refused(417));
    return table;
}

Table framing() {
    Table table;
    const auto length = [&](const std::string& value, bool good) {
        table.add("length of '" + shown(value) + "'", sized(value), good ? filed("abcd") : refused(400));
    };
    const auto coding = [&](const std::string& value, bool good) {
        table.add("coding of '" + shown(value) + "'", coded(value), good ? filed("abcd") : refused(400));
    };
    const auto bad = [&](std::string_view name, std::string_view fields, std::string_view body) {
        table.add(name, post(std::string(fields), std::string(body)), refused(400));
    };
    const std::string both = "0\r\n\r\n" + hidden(), size = std::to_string(both.size());
    const std::string four = "4\r\nabcd\r\n0\r\n\r\n", te = "Transfer-Encoding: chunked\r\n",
                      cl = "Content-Length: " + size + "\r\n";
    const std::string whole(65536, 'b');
    table.add("length of 4, modulo 2^32", sized("4294967300"), refused(413));
    table.add("no colon", post("Content-Length 4\r\n", "abcd"), refused(400));
    table.add("length without a blank", post("Content-Length:4\r\n", "abcd"), filed("abcd"));
    table.add("length in lower case", post("content-length: 4\r\n", "abcd"), filed("abcd"));
    bad("length, blank ahead of the colon", "Content-Length : 4\r\n", "abcd");
    bad("length, tab ahead of the colon", "Content-Length\t: 4\r\n", "abcd");
    bad("length, CR ahead of the name", "\rContent-Length: 4\r\n", "abcd");
    bad("length, folded", "Content-Length:\r\n 4\r\n", "abcd");
    bad("length twice", "Content-Length: 4\r\nContent-Length: 4\r\n", "abcd");
    bad("two lengths", "Content-Length: 4\r\nContent-Length: 5\r\n", "abcd");
    bad("two lengths, one of none", "Content-Length: 4\r\nContent-Length: 0\r\n", "abcd");
    bad("two lengths, the first of none", "Content-Length: 0\r\ncontent-length: 4\r\n", "abcd");
    bad("two lengths, apart", "Content-Length: 4\r\nX: y\r\nContent-Length: 4\r\n", "abcd");
    table.add("body as long as may be", sized("65536", whole), filed(whole));
    table.add("body one byte longer", sized("65537", whole + "b"), refused(413));
    table.add("body that never comes", sized("62914560"), refused(413));
    table.add("body, bytes of all kinds", sized("9", "\0\r\n\r\n\xff\x01\x7f "s),
              filed("\0\r\n\r\n\xff\x01\x7f "s));
    table.add("body like a request", sized(std::to_string(hidden().size()), hidden()), filed(hidden()));
    table.add("no length and a body", post("", "abcd"), filed(""), true);
    table.add("no length and a body that can't begin a request", post("", "\x01"),
              "200:<id> 400 closed < POST /deposit [] <id>");
    table.add("more than the length", sized("4", "abcd\x01"),
              "200:<id> 400 closed < POST /deposit [abcd] <id>");
    table.add("length of none and a request", sized("0", replaced(get(), "<id>", "<id>b")),
              "200:<id> 200:<id>b open < POST /deposit [] <id> < GET /listen/a [] <id>b");
    table.add("coding without a blank", post("Transfer-Encoding:chunked\r\n", four), filed("abcd"));
    table.add("coding in lower case", post("transfer-encoding: chunked\r\n", four), filed("abcd"));
    bad("coding, blank ahead of the colon", "Transfer-Encoding : chunked\r\n", both);
    bad("coding, tab ahead of the colon", "Transfer-Encoding\t: chunked\r\n", both);
    bad("coding, blank ahead of the name", "X: y\r\n Transfer-Encoding: chunked\r\n", both);
    bad("coding, CR ahead of the name", "\rTransfer-Encoding: chunked\r\n", both);
    bad("coding, vertical tab ahead of the name", "\x0bTransfer-Encoding: chunked\r\n", both);
    bad("coding, CR behind the name", "Transfer-Encoding\r: chunked\r\n", both);
    bad("coding, NUL behind the name", "Transfer-Encoding\0: chunked\r\n"s, both);
    bad("coding, no colon", "Transfer-Encoding chunked\r\n", both);
    bad("coding twice", te + te, both);
    bad("coding and identity", te + "Transfer-Encoding: identity\r\n", both);
    bad("identity and coding", "Transfer-Encoding: identity\r\n" + te, both);
    bad("coding and an unknown one", te + "Transfer-encoding: cow\r\n", both);
    bad("an empty one and coding", "Transfer-Encoding:\r\n" + te, both);
    bad("length and coding", cl + te, both);
    bad("coding and length", te + cl, both);
    bad("length of none and coding", "Content-Length: 0\r\n" + te, both);
    bad("coding and an empty length", te + "Content-Length:\r\n", both);
    bad("length and an unknown coding", cl + "Transfer-Encoding: x\r\n", both);
    bad("length and identity", cl + "Transfer-Encoding: identity\r\n", both);
    bad("length and an empty coding", cl + "Transfer-Encoding:\r\n", both);
    bad("length and a coding with a tab", cl + "Transfer-Encoding\t: chunked\r\n", both);
    bad("coding, far apart from length", te + repeated(50, "X: y\r\n") + cl, both);
    table.add("length and the coding's name with an underscore",
              post(cl + "Transfer_Encoding: chunked\r\n", both),
              filed(both, " {Transfer_Encoding: chunked}"));
    table.add("coding and the length's name with an underscore", post(te + "Content_Length: 1\r\n", four),
              filed("abcd", " {Content_Length: 1}"));
    table.add("coding in HTTP/1.0", replaced(chunked("4\r\nabcd\r\n0\r\n\r\n"), "HTTP/1.1", "HTTP/1.0"),
              refused(400));
    table.add("length in HTTP/1.0", replaced(sized("4"), "HTTP/1.1", "HTTP/1.0"), closing(filed("abcd")));
    for (const std::string& value : std::vector<std::string>{"4", " \t4\t ", "04", "000000000000000004"})
        length(value, true);
    for (const std::string& value : std::vector<std::string>{"0000000000000000000000000000004",
                                                             "",
                                                             "+4",
                                                             "-4",
                                                             "-0",
                                                             "4,4",
                                                             "4, 4",
                                                             "4,5",
                                                             "4,",
                                                             ",4",
                                                             "4 4",
                                                             "4;x",
                                                             "4.0",
                                                             "4e0",
                                                             "0x4",
                                                             "4h",
                                                             "a",
                                                             "\"4\"",
                                                             "\xd9\xa4",
                                                             "4\xa0",
                                                             "4\0"s,
                                                             "4\x0b",
                                                             "18446744073709551620"})
        length(value, false);
    for (const std::string& value :
         std::vector<std::string>{"chunked", "Chunked", "CHUNKED", " \tchunked\t "})
        coding(value, true);
    for (const std::string& value : std::vector<std::string>{"",
                                                             "xchunked",
                                                             "chunkedx",
                                                             "chunk",
                                                             "chunked, chunked",
                                                             "chunked,chunked",
                                                             "chunked,",
                                                             ",chunked",
                                                             "chunked;q=1",
                                                             "\"chunked\"",
                                                             "'chunked'",
                                                             "chunked chunked",
                                                             "identity",
                                                             "identity, chunked",
                                                             "chunked, identity",
                                                             "gzip",
                                                             "gzip, chunked",
                                                             "chunked, gzip",
                                                             "\x0b"
                                                             "chunked",
                                                             "chunked\x0b",
                                                             "\x0c"
                                                             "chunked",
                                                             "chunked\0"s,
                                                             "\xa0"
                                                             "chunked",
                                                             "chun\tked",
                                                             "chunked\r\n x",
                                                             "\r\n chunked",
                                                             "x\nTransfer-Encoding: chunked"})
        coding(value, false);
    return table;
}

Table chunks() {
    Table table;
    const std::string rest = "\r\nabcd\r\n0\r\n\r\n", four = "4\r\nabcd\r\n", last = "0\r\n\r\n";
    const auto good = [&](std::string_view name, std::string_view body, std::string_view read = "abcd") {
        table.add(name, chunked(std::string(body)), filed(std::string(read)));
    };
    const auto bad = [&](std::string_view name, std::string_view body, int status = 400) {
        table.add(name, chunked(std::string(body)), refused(status));
    };
    // Whether they are refused or left out, they change nothing of the request.
    const auto trailer = [&](const std::string& fields) {
        table.push_back({"trailer " + shown(fields),
                         chunked(four + "0\r\n" + fields + "\r\n"),
                         {filed("abcd"), refused(400)}});
    };
    const std::string half(32768, 'b'), filler(70000, 'e');
    const std::vector<std::string> bounded{refused(400), refused(413), refused(431)};
    good("one", four + last);
    good("none", last, "");
    good("several", "1\r\na\r\n2\r\nbc\r\n1\r\nd\r\n" + last);
    good("size in lower case", "a\r\n0123456789\r\n" + last, "0123456789");
    good("size in upper case", "A\r\n0123456789\r\n" + last, "0123456789");
    good("size with zeros", "0004" + rest);
    good("size with many zeros", std::string(40, '0') + "4" + rest);
    good("last size with zeros", four + "0000\r\n\r\n");
    good("data like the end", "5\r\n0\r\n\r\n\r\n" + last, "0\r\n\r\n");
    good("data like a request", "29\r\nPOST /deposit HTTP/1.1\r\nHost: app.svc\r\n\r\n\r\n" + last,
         "POST /deposit HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    good("many", repeated(1000, "1\r\nb\r\n") + last, std::string(1000, 'b'));
    good("as much as may be", "8000\r\n" + half + "\r\n8000\r\n" + half + "\r\n" + last, half + half);
    bad("one byte more", "8000\r\n" + half + "\r\n8000\r\n" + half + "\r\n1\r\nb\r\n" + last, 413);
    bad("one byte more in one", "10001\r\n" + half + half + "b\r\n" + last, 413);
    bad("huge size", "7fffffffffffffff" + rest, 413);
    bad("size that sums up to little", four + "fffffffffffffffc\r\nabcd\r\n" + last, 413);
    bad("size beyond 64 bits", "10000000000000004" + rest);
    bad("size far beyond 64 bits", "fffffffffffffffffffffff4" + rest);
    bad("size with 0x", "0x4" + rest);
    bad("size with 0X", "0X4" + rest);
    bad("size with h", "4h" + rest);
    bad("size with a plus", "+4" + rest);
    bad("size with a minus", "-4" + rest);
    bad("size of minus none", four + "-0\r\n\r\n");
    bad("size with a point", "4.0" + rest);
    bad("size with a comma", "4,4" + rest);
    bad("size with an underscore", "0_4" + rest);
    bad("size in quotes", "\"4\"" + rest);
    bad("size no number", "zz" + rest);
    bad("size empty", rest);
    bad("size empty with an extension", ";a" + rest);
    bad("blank ahead of a size", " 4" + rest);
    bad("tab ahead of a size", "\t4" + rest);
    bad("blank behind a size", "4 " + rest);
    bad("tab behind a size", "4\t" + rest);
    bad("two sizes", "4 4" + rest);
    bad("NUL behind a size", "4\0"s + rest);
    bad("high byte behind a size", "4\xa0" + rest);
    bad("LF ends a size", "4\nabcd\r\n" + last);
    bad("CR ends a size", "4\rabcd\r\n" + last);
    bad("CR CR LF ends a size", "4\r\r\nabcd\r\n" + last);
    bad("LF ends data", "4\r\nabcd\n" + last);
    bad("CR ends data", "4\r\nabcd\r" + last);
    bad("nothing ends data", "4\r\nabcd" + last);
    bad("two line ends behind data", "4\r\nabcd\r\n\r\n" + last);
    bad("more data than the size", "4\r\nabcde\r\n" + last);
    bad("less data than the size", "4\r\nabc\r\n" + last);
    bad("far less data than the size", "10\r\nabc\r\n" + last + "POST /deposit/hidden HTTP/1.1\r\n\r\n");
    bad("LF ends the last size", four + "0\n\r\n\r\n");
    bad("LF LF ends the last size", four + "0\n\n\r\n\r\n");
    bad("LF ends all", four + "0\r\n\n\r\n\r\n");
    bad("CR CR LF ends all", four + "0\r\n\r\r\n\r\n\r\n");
    bad("data behind the last size", four + "0\r\nabcd\r\n\r\n");
    good("extension", "4;a" + rest);
    good("extension with a value", "4;a=b;c=1" + rest);
    good("extension in quotes", "4;a=\"b;c\\\"=\"" + rest);
    good("extension of the last size", four + "0;a=b\r\n\r\n");
    good("blank ahead of an extension", "4 ;a" + rest);
    good("blank within an extension", "4; a" + rest);
    good("blank ahead of a value", "4;a= b" + rest);
    bad("blank behind an extension", "4;a " + rest);
    bad("extension without a name", "4;=b" + rest);
    bad("extension without a value", "4;a=" + rest);
    bad("extension of nothing", "4;" + rest);
    bad("extension of two semicolons", "4;;a" + rest);
    bad("extension without a semicolon", "4 a=b" + rest);
    bad("extension that is no token", "4;a@b" + rest);
    bad("extension with an open quote", "4;a=\"b" + rest + "\r\n\"\r\n");
    bad("extension with LF", "4;a\nb" + rest);
    bad("extension with CR", "4;a\rb" + rest);
    bad("extension with a quoted LF", "4;a=\"\n\"" + rest);
    bad("extension with a quoted CR", "4;a=\"\r\"" + rest);
    bad("extension with a quoted line end", "4;a=\"\r\n\"" + rest);
    bad("extension with a quoted NUL", "4;a=\"\0\""s + rest);
    bad("extension with NUL", "4;a\0"s + rest);
    bad("extension with a high byte", "4;\xc3\xa9" + rest);
    bad("last size, extension with a quoted LF", four + "0;a=\"\n\"\r\n\r\n");
    table.push_back({"extension without bound", chunked("4;" + filler + rest), bounded});
    table.push_back({"extensions without bound",
                     chunked(repeated(100, "1;" + std::string(1000, 'e') + "\r\nb\r\n") + last), bounded});
    table.push_back({"size without bound", chunked(std::string(70000, '0') + "4" + rest), bounded});
    table.push_back({"trailer without bound", chunked(four + "0\r\nX: " + filler + "\r\n\r\n"), bounded});
    trailer("X: y\r\n");
    trailer("Content-Length: 9\r\n");
    trailer("Transfer-Encoding: chunked\r\n");
    trailer("Transfer-Encoding: gzip\r\n");
    trailer("Host: other.svc\r\n");
    trailer("Request-Id: <id>b\r\n");
    trailer("Request-Class: listen\r\n");
    trailer("Request-Timeout-Ms: 1\r\n");
    trailer("Idempotency-Key: k\r\n");
    trailer("Tenant: t\r\n");
    trailer("Connection: close\r\n");
    trailer("Expect: a miracle\r\n");
    trailer("Server-Load: x\r\nNot-Started: 1\r\n");
    bad("trailer without a colon", four + "0\r\nX\r\n\r\n");
    bad("trailer without a name", four + "0\r\n: y\r\n\r\n");
    bad("trailer, blank ahead of the colon", four + "0\r\nX : y\r\n\r\n");
    bad("trailer, folded", four + "0\r\nX: y\r\n z\r\n\r\n");
    bad("trailer with LF", four + "0\r\nX: y\nZ: z\r\n\r\n");
    bad("trailer with CR", four + "0\r\nX: y\rZ: z\r\n\r\n");
    bad("trailer with NUL", four + "0\r\nX: \0\r\n\r\n"s);
    bad("trailer that is a request", four + "0\r\n" + hidden());
    return table;
}

Table sequences() {
    Table table;
    const auto other = [&](const std::string& bytes) { return replaced(bytes, "<id>", "<id>b"); };
    const std::string first = "GET /listen/a [] <id>", second = " < GET /listen/a [] <id>b";
    const std::string body = chunked("4\r\nabcd\r\n0\r\n\r\n");
    table.add("two", get() + other(get()), "200:<id> 200:<id>b open < " + first + second);
    table.add("three", get() + other(get()) + other(other(get())),
              "200:<id> 200:<id>b 200:<id>bb open < " + first + second + " < GET /listen/a [] <id>bb");
    table.add("one behind a length", sized("4") + other(get()),
              "200:<id> 200:<id>b open < POST /deposit [abcd] <id>" + second);
    table.add("one behind chunks", body + other(get()),
              "200:<id> 200:<id>b open < POST /deposit [abcd] <id>" + second);
    table.add("one behind health", "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n" + get(),
              "200:OK 200:<id> open < " + first);
    table.add("health behind one", get() + "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n",
              "200:<id> 200:OK open < " + first);
    table.add("the same twice", get() + get(), "200:<id> 409 closed < " + first);
    table.add("the same id behind a length", sized("4") + get(),
              "200:<id> 409 closed < POST /deposit [abcd] <id>");
    table.add("noise behind one", get() + "\x01\x02", "200:<id> 400 closed < " + first);
    table.add("a NUL behind one", get() + "\0"s, "200:<id> 400 closed < " + first);
    table.add("TLS behind one", get() + "\x16\x03\x01", "200:<id> 400 closed < " + first);
    table.add("an empty line between", get() + "\r\n" + other(get()), "200:<id> 400 closed < " + first);
    table.add("an empty line behind a length", sized("4") + "\r\n",
              "200:<id> 400 closed < POST /deposit [abcd] <id>");
    table.add("LF between", get() + "\n" + other(get()), "200:<id> 400 closed < " + first);
    table.add("a refused one behind one", get() + other(get("X\r\n")) + other(other(get())),
              "200:<id> 400 closed < " + first);
    table.add("one behind a refused one", get("X\r\n") + other(get()), refused(400));
    table.add("one behind a refused length", sized("4, 4") + other(get()), refused(400));
    table.add("one behind an expectation", get("Expect: a miracle\r\n") + other(get()), refused(417));
    table.add("one behind a close", get("Connection: close\r\n") + other(get()),
              "200:<id> closed < " + first);
    table.add("one behind HTTP/1.0", line("GET /listen/a HTTP/1.0") + other(get()),
              "200:<id> closed < " + first);
    table.add("one behind an upgrade", get("Connection: Upgrade\r\nUpgrade: h2c\r\n") + other(get()),
              "200:<id> 200:<id>b open < " + first + second);
    table.add("half behind one", get() + "GET /lis", "200:<id> open < " + first, true);
    table.add("a head but for its end behind one", get() + other(get()).substr(0, get().size() - 1),
              "200:<id> open < " + first, true);
    table.add("a body but for its end behind one", get() + other(sized("5")), "200:<id> open < " + first,
              true);
    table.add("chunks but for their end behind one", get() + other(body).substr(0, body.size() - 2),
              "200:<id> open < " + first, true);
    table.add("an expected continue", post("Expect: 100-continue\r\nContent-Length: 4\r\n", "abcd"),
              filed("abcd"));
    table.add("an expected continue in another case",
              post("Expect: 100-Continue\r\nContent-Length: 4\r\n", "abcd"), filed("abcd"));
    table.add("an expected continue of chunks",
              post("Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n", "4\r\nabcd\r\n0\r\n\r\n"),
              filed("abcd"));
    table.add("an expected continue without a body", get("Expect: 100-continue\r\n"), got());
    table.add("an empty expectation", get("Expect:\r\n"), got());
    table.add("an expected continue of too much", post("Expect: 100-continue\r\nContent-Length: 65537\r\n"),
              refused(413));
    table.add("an expected continue of two lengths",
              post("Expect: 100-continue\r\nContent-Length: 4\r\nContent-Length: 4\r\n"), refused(400));
    table.add("another expectation", post("Expect: 200-ok\r\nContent-Length: 4\r\n", "abcd"), refused(417));
    table.add("an expected continue and another",
              post("Expect: 100-continue, x\r\nContent-Length: 4\r\n", "abcd"), refused(417));
    table.add("an expected continue with a parameter",
              post("Expect: 100-continue;x\r\nContent-Length: 4\r\n", "abcd"), refused(417));
    table.add("an expected continue in quotes",
              post("Expect: \"100-continue\"\r\nContent-Length: 4\r\n", "abcd"), refused(417));
    return table;
}

// The application's end of a connection.
class Caller {
public:
    Caller(asio::io_context& io, const Tcp::endpoint& address, bool asks_head = false)
        : asks_head_(asks_head), line_(std::make_shared<Line>(Tcp::socket(io))) {
        line_->socket.connect(address);
        line_->socket.set_option(Tcp::no_delay(true));
        line_->came = [this] { take(); };
        line_->read();
    }
    ~Caller() {
        line_->came = nullptr;
        line_->close();
    }
    Caller(const Caller&) = delete;

    Line& line() { return *line_; }
    bool ended() const { return line_->ended; }
    bool told_to_go_on() const { return interim_ > 0; }
    std::vector<std::string> answers;  // those that are whole: status, and the body of a 200
    bool closes = false;               // as the last one says

private:
    void take() {
        while (const auto answer = take_message(line_->got, std::exchange(asks_head_, false))) {
            const std::string status =
                answer->first.substr(0, 9) == "HTTP/1.1 " ? answer->first.substr(9, 3) : answer->first;
            if (status == "100") {
                ++interim_;
                continue;
            }
            answers.push_back(status == "200" ? status + ":" + answer->body : status);
            closes = same_name(answer->field("Connection"), "close");
        }
    }
    bool asks_head_;
    LinePtr line_;
    std::size_t interim_ = 0;
};

struct RequestBytes : NetRig {
    PlainServer server{io};
    std::size_t ids = 0;

    void SetUp() override { start({{"s-a", server.address()}}); }

    // As long as what it stands for.
    std::string fresh_id() {
        constexpr std::string_view digits = "0123456789abcdefghijklmnopqrstuvwxyz";
        const std::size_t n = ids++;
        return "~"s + digits[n / 1296 % 36] + digits[n / 36 % 36] + digits[n % 36];
    }
    // Each piece may be read before the next is written.
    void send(Caller& caller, const std::vector<std::string>& parts) {
        for (const std::string& part : parts) {
            caller.line().send(part);
            io.poll();
        }
    }
    // A usual request: what the connection or the sidecar has had before must not change how it is read.
    bool serves(Caller& caller) {
        const std::string id = fresh_id(), passed = replaced("GET /listen/a [] <id>", "<id>", id);
        const std::size_t before = caller.answers.size();
        caller.line().send(replaced(get(), "<id>", id));
        until([&] { return caller.ended() || caller.answers.size() > before; });
        const auto at = std::find_if(server.seen.begin(), server.seen.end(),
                                     [&](const Message& m) { return text_of(m) == passed; });
        if (caller.answers.size() != before + 1 || caller.answers.back() != "200:" + id ||
            at == server.seen.end())
            return false;
        server.seen.erase(at);
        return true;
    }
    // What servers have seen, once nothing is under way.
    std::string passed_on() {
        until([&] { return sidecar->clients() == 0 && sidecar->records() == 0; });
        EXPECT_EQ(sidecar->held().requests, 0u);
        std::string text;
        for (const Message& message : std::exchange(server.seen, {})) text += " < " + text_of(message);
        return text + (server.loose().empty() ? "" : " < loose: " + shown(server.loose()));
    }

    std::string answers_to(const Entry& entry, const std::vector<std::string>& parts) {
        const std::size_t most = answers_in(entry.allowed[0]);
        Caller caller(io, sidecar->address(), entry.bytes.starts_with("HEAD "));
        send(caller, parts);
        until([&] { return caller.ended() || caller.answers.size() >= most; });
        if (caller.closes) until([&] { return caller.ended(); });
        const std::size_t count = caller.answers.size();
        std::string end = caller.closes ? "closed" : "cut";
        if (!caller.ended()) end = entry.leaves || serves(caller) ? "open" : "out of step";
        if (!caller.line().got.empty()) end += ", loose: " + shown(caller.line().got);
        std::string text;
        for (std::size_t i = 0; i < count; ++i) text += caller.answers[i] + " ";
        return text + end;
    }
    std::string verdict(const Entry& entry, const Cuts& cuts) {
        const std::string id = fresh_id();
        const std::string answers = answers_to(entry, pieces(replaced(entry.bytes, "<id>", id), cuts));
        {
            Caller after(io, sidecar->address());
            EXPECT_TRUE(serves(after)) << "a usual request is served after it";
        }
        return replaced(answers + passed_on(), id, "<id>");
    }
};

const std::map<std::string, Table (*)()> request_tables{{"RequestLines", request_lines},
                                                        {"HeaderLines", header_lines},
                                                        {"ProtocolRules", protocol_rules},
                                                        {"Framing", framing},
                                                        {"Chunks", chunks},
                                                        {"Sequences", sequences}};

struct RequestTable : RequestBytes, testing::WithParamInterface<std::string> {
    void check_table() {
        hold_all(request_tables.at(GetParam())(), [this](const Entry& entry) {
            hold(entry, [&](const Cuts& cuts) { return verdict(entry, cuts); });
        });
    }
};
TEST_P(RequestTable, HasOneVerdictHoweverSplit) { check_table(); }
INSTANTIATE_TEST_SUITE_P(All, RequestTable,
                         testing::Values("RequestLines", "HeaderLines", "ProtocolRules", "Framing", "Chunks",
                                         "Sequences"),
                         [](const auto& info) { return info.param; });

// Requests of which nothing may be passed on before their last byte: who never sends it is told so, who ends
// or breaks the connection is forgotten.
TEST_F(RequestBytes, WhatIsNotWholeIsNotPassedOn) {
    const std::string body = "4\r\nabcd\r\n0\r\n\r\n", whole = chunked(body);
    std::vector<std::string> unfinished{"G",
                                        "GET /listen/a HTTP/1.1",
                                        "GET /listen/a HTTP/1.1\r",
                                        "GET /listen/a HTTP/1.1\r\n",
                                        get().substr(0, get().size() - 1),
                                        get().substr(0, get().size() - 2),
                                        get().substr(0, get().size() - 3),
                                        get("X").substr(0, get("X").size() - 2),
                                        sized("4", ""),
                                        sized("4", "a"),
                                        sized("4", "abc"),
                                        sized("65536", std::string(65535, 'b')),
                                        post("Expect: 100-continue\r\nContent-Length: 4\r\n"),
                                        chunked("4;a=\"b")};
    for (std::size_t size = 0; size < body.size(); ++size)
        unfinished.push_back(chunked(body.substr(0, size)));
    std::list<Caller> staying, ending;
    for (const std::string& bytes : unfinished)
        for (const Cuts& cuts : {Cuts{}, every_byte(bytes)})
            for (const int way : {0, 1, 2}) {
                Caller& caller = (way == 0 ? staying : ending).emplace_back(io, sidecar->address());
                send(caller, pieces(replaced(bytes, "<id>", fresh_id()), cuts));
                if (way == 1) caller.line().socket.shutdown(Tcp::socket::shutdown_send);
                if (way == 2) caller.line().close();
            }
    const auto ended = [](const Caller& caller) { return caller.ended(); };
    until([&] { return std::all_of(ending.begin(), ending.end(), ended); });
    for (const Caller& caller : ending) EXPECT_TRUE(caller.answers.empty());
    until([&] { return std::all_of(staying.begin(), staying.end(), ended); });
    for (const Caller& caller : staying) EXPECT_EQ(caller.answers, std::vector<std::string>{"408"});
    staying.clear();
    ending.clear();
    EXPECT_EQ(passed_on(), "");
}

// Who is told to go on with a body: only those that wait for it.
struct Expecting {
    std::string name, head, body;
    bool told;
};
std::vector<Expecting> expecting() {
    const std::string expects = "Expect: 100-continue\r\n", four = "Content-Length: 4\r\n";
    return {
        {"told to go on", post(expects + four), "abcd", true},
        {"told to go on, in another case", post("expect: 100-CONTINUE\r\n" + four), "abcd", true},
        {"told to go on with chunks", post(expects + "Transfer-Encoding: chunked\r\n"), "0\r\n\r\n", true},
        {"not told: a first byte has come", post(expects + four, "a"), "bcd", false},
        {"not told: no expectation", post(four), "abcd", false},
        {"not told: an empty one", post("Expect:\r\n" + four), "abcd", false},
        {"not told: nothing is to come", post(expects + "Content-Length: 0\r\n"), "", false},
        {"not told: no body", get(expects), "", false},
        {"not told: HTTP/1.0", replaced(post(expects + four), "HTTP/1.1", "HTTP/1.0"), "abcd", false}};
}
TEST_F(RequestBytes, AContinueIsSentToThoseThatWaitForIt) {
    for (const auto& [name, head, body, told] : expecting()) {
        SCOPED_TRACE(name);
        Caller caller(io, sidecar->address());
        caller.line().send(replaced(head, "<id>", fresh_id()));
        io.poll();
        if (told) until([&] { return caller.told_to_go_on() || caller.ended(); });
        caller.line().send(body);
        until([&] { return !caller.answers.empty() || caller.ended(); });
        ASSERT_EQ(caller.answers.size(), 1u);
        EXPECT_EQ(caller.answers[0].substr(0, 4), "200:");
        EXPECT_EQ(caller.told_to_go_on(), told);
    }
}

// ---- Answers of servers ----------------------------------------------------------------------------------

// Verdicts: the outcome, of a served one its body and fields, and whether the connection is used again.
// "waits": more is to come. Then what it is when the server closes behind the bytes, where that is another
// outcome.
struct Answer {
    std::string name, bytes;
    std::vector<std::string> allowed;  // mostly one
    std::string when_closed{};
};
struct Answers : std::vector<Answer> {
    void add(std::string_view name, const std::string& bytes, std::string_view verdict,
             std::string_view when_closed = "") {
        push_back({std::string(name), bytes, {std::string(verdict)}, std::string(when_closed)});
    }
};

std::string ok(const std::string& fields, const std::string& body = "") {
    return "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body;
}
std::string full(const std::string& fields, const std::string& body = "") {
    return "HTTP/1.1 503 Full\r\n" + fields + "\r\n" + body;
}
const std::string four = "Content-Length: 4\r\n", none = "Content-Length: 0\r\n",
                  proof = "Not-Started: 1\r\n", in_chunks = "Transfer-Encoding: chunked\r\n";
const std::string again = "completed [abcd] again", once = "completed [abcd] new",
                  empty = "completed [] again", error = "errored again", last_error = "errored new",
                  turned = "saturated again", last_turned = "saturated new", broken = "severed new",
                  waits = "waits";

Answers status_lines() {
    Answers table;
    const auto first = [&](std::string_view text, std::string_view verdict) {
        const std::string line(text);
        table.add(shown(line), line + "\r\n" + none + "\r\n", verdict);
    };
    first("HTTP/1.1 200 OK", empty);
    first("HTTP/1.1 200 ", empty);
    first("HTTP/1.1 200 Not Found", empty);
    first("HTTP/1.1 200 \t OK  ", empty);
    first("HTTP/1.1 200 \xc3\xa9\xff", empty);
    first("HTTP/1.1 200 " + std::string(8000, 'r'), empty);
    first("HTTP/1.1 200", broken);
    first("HTTP/1.1 200OK", broken);
    first("HTTP/1.1 200\tOK", broken);
    first("HTTP/1.1  200 OK", broken);
    first("HTTP/1.1\t200 OK", broken);
    first("HTTP/1.1 200 O\x01K", broken);
    first("HTTP/1.1 200 O\0K"s, broken);
    first("HTTP/1.1 200 O\x7fK", broken);
    first("HTTP/1.1 200 O\rK", broken);
    first("HTTP/1.1 200 O\nK", broken);
    first("HTTP/1.1 20 OK", broken);
    first("HTTP/1.1 000 Word", broken);
    first("HTTP/1.1 099 Word", broken);
    first("HTTP/1.1 2000 OK", broken);
    first("HTTP/1.1 0200 OK", broken);
    first("HTTP/1.1 +200 OK", broken);
    first("HTTP/1.1 2x0 OK", broken);
    first("HTTP/1.1 2 0 OK", broken);
    first("HTTP/1.1 2.0 OK", broken);
    first("HTTP/1.1 -20 OK", broken);
    first("HTTP/1.1 OK", broken);
    first("HTTP/1.1 ", broken);
    first("HTTP/1.1", broken);
    first("HTTP/1.0 200 OK", "completed [] new");
    first("HTTP/1.0 500 Oops", last_error);
    first("HTTP/1.2 200 OK", broken);
    first("HTTP/2.0 200 OK", broken);
    first("HTTP/0.9 200 OK", broken);
    first("HTTP/1.10 200 OK", broken);
    first("HTTP/11 200 OK", broken);
    first("HTTP/1 200 OK", broken);
    first("http/1.1 200 OK", broken);
    first("HTTPS/1.1 200 OK", broken);
    first("ICY 200 OK", broken);
    first(" HTTP/1.1 200 OK", broken);
    first("200 OK", broken);
    first("GET / HTTP/1.1", broken);
    table.add("empty line at the front", "\r\n" + ok(four, "abcd"), broken);
    table.add("LF at the front", "\n" + ok(four, "abcd"), broken);
    table.add("HTTP/1.0 kept", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n" + four + "\r\nabcd", again);
    table.add("TLS alert", "\x15\x03\x03\x00\x02\x02\x28"s, broken);
    table.add("frame of HTTP/2", "\0\0\x06\4\0\0\0\0\0"s, broken);
    table.add("text", "hello", waits, "severed");
    table.add("nothing", "", waits, "severed");
    table.add("half a line", "HTTP/1.1 20", waits, "severed");
    table.add("a line", "HTTP/1.1 200 OK\r\n", waits, "severed");
    table.add("a head but for its end", full(none + proof).substr(0, full(none + proof).size() - 1), waits,
              "severed");
    for (const char* status : {"201", "202", "203", "205", "206", "299", "300", "301", "302", "307", "400",
                               "401", "403", "404", "408", "409", "413", "421", "425", "429", "431", "499",
                               "500", "501", "502", "503", "504", "505", "507", "599", "600", "999"})
        first("HTTP/1.1 "s + status + " Word", error);
    return table;
}

Answers proofs() {
    Answers table;
    const auto refusal = [&](std::string_view name, std::string_view fields, std::string_view verdict) {
        table.add(name, full(none + std::string(fields)), verdict);
    };
    const auto value = [&](std::string_view of, std::string_view verdict) {
        const std::string text(of);
        refusal("proof of '" + shown(text) + "'", "Not-Started: " + text + "\r\n", verdict);
    };
    value("1", turned);
    value(" 1", turned);
    value("1 ", turned);
    value("\t1\t", turned);
    value("", error);
    value("0", error);
    value("01", error);
    value("1.0", error);
    value("+1", error);
    value("-1", error);
    value("11", error);
    value("1, 1", error);
    value("1,", error);
    value("1;x", error);
    value("1 1", error);
    value("\"1\"", error);
    value("true", error);
    value("yes", error);
    value("\xef\xbc\x91", error);
    value("0x1", error);
    refusal("proof without a blank", "Not-Started:1\r\n", turned);
    refusal("proof in lower case", "not-started: 1\r\n", turned);
    refusal("proof with an underscore", "Not_Started: 1\r\n", error);
    refusal("proof with more of a name", "X-Not-Started: 1\r\n", error);
    refusal("proof twice", proof + proof, error);
    refusal("proof and its contrary", proof + "Not-Started: 0\r\n", error);
    refusal("a contrary and the proof", "Not-Started: 0\r\n" + proof, error);
    refusal("proof and nothing", proof + "Not-Started:\r\n", error);
    refusal("proof, blank ahead of the colon", "Not-Started : 1\r\n", broken);
    refusal("proof, folded", "Not-Started:\r\n 1\r\n", broken);
    refusal("proof behind LF", "X: y\nNot-Started: 1\r\n", broken);
    refusal("proof behind CR", "X: y\rNot-Started: 1\r\n", broken);
    refusal("proof and a close", proof + "Connection: close\r\n", last_turned);
    table.add("proof, 504", replaced(full(none + proof), "503", "504"), turned);
    table.add("proof, 500", replaced(full(none + proof), "503", "500"), error);
    table.add("proof, 429", replaced(full(none + proof), "503", "429"), error);
    table.add("proof, 502", replaced(full(none + proof), "503", "502"), error);
    table.add("proof, 200", ok(four + proof, "abcd"), "completed [abcd] {Not-Started: 1} again");
    table.add("proof in HTTP/1.0", replaced(full(none + proof), "HTTP/1.1", "HTTP/1.0"), last_turned);
    table.add("proof in the body", full("Content-Length: 16\r\n", proof), error);
    table.add("proof and a body", full(four + proof, "abcd"), turned);
    table.add("proof and chunks", full(in_chunks + proof, "4\r\nabcd\r\n0\r\n\r\n"), turned);
    table.add("proof and no length", full(proof, "abcd"), last_turned);
    table.add("no proof and no length", full("", "abcd"), last_error);
    table.add("proof and a body cut off", full(four + proof, "ab"), waits, "saturated");
    table.add("no proof and a body cut off", full(four, "ab"), waits, "errored");
    table.add("proof and no body at all", full(four + proof), waits, "saturated");
    table.add("proof and chunks cut off", full(in_chunks + proof, "4\r\nab"), waits, "saturated");
    table.add("proof and spoilt chunks", full(in_chunks + proof, "zz\r\n"), last_turned);
    table.add("no proof and spoilt chunks", full(in_chunks, "zz\r\n"), last_error);
    table.add("proof and a body too long", full("Content-Length: 65537\r\n" + proof), last_turned);
    table.add("proof and two lengths", full(none + none + proof), broken);
    table.add("proof, length and coding", full(none + in_chunks + proof), broken);
    table.add("proof in a trailer", full(in_chunks, "4\r\nabcd\r\n0\r\n" + proof + "\r\n"), error);
    table.add("proof in a trailer, 504",
              replaced(full(in_chunks, "1\r\na\r\n0\r\n" + proof + "\r\n"), "503", "504"), error);
    table.add("a contrary in a trailer", full(in_chunks + proof, "1\r\na\r\n0\r\nNot-Started: 0\r\n\r\n"),
              turned);
    table.add("proof in an answer ahead", "HTTP/1.1 100 Continue\r\n" + proof + "\r\n" + full(none), error);
    table.add("proof in an answer ahead, and no other", "HTTP/1.1 100 Continue\r\n" + proof + "\r\n", waits,
              "severed");
    table.add("proof behind an answer ahead", "HTTP/1.1 100 Continue\r\n\r\n" + full(none + proof), turned);
    return table;
}

Answers bodies() {
    Answers table;
    const auto broke = [&](std::string_view name, std::string_view fields) {
        table.add(name, ok(std::string(fields), "abcd"), broken);
    };
    const auto length = [&](const std::string& value, bool good) {
        table.add("length of '" + shown(value) + "'", ok("Content-Length: " + value + "\r\n", "abcd"),
                  good ? again : broken);
    };
    const auto coding = [&](const std::string& value, bool good) {
        table.add("coding of '" + shown(value) + "'",
                  ok("Transfer-Encoding: " + value + "\r\n", "4\r\nabcd\r\n0\r\n\r\n"),
                  good ? again : broken);
    };
    const std::string whole(65536, 'b'), interim = "HTTP/1.1 102 Processing\r\n\r\n";
    const std::string served_whole = "completed [" + shown(whole) + "] again";
    const std::string room(16384 - ok(four + "X: \r\n").size(), 'x');
    table.add("length of none, nothing", ok(none), empty);
    table.add("length of none and a body", ok(none, "abcd"), "completed [] new");
    table.add("length not reached", ok("Content-Length: 5\r\n", "abcd"), waits, "severed");
    table.add("length and nothing", ok(four), waits, "severed");
    table.add("length exceeded", ok(four, "abcde"), once);
    table.add("body as long as may be", ok("Content-Length: 65536\r\n", whole), served_whole);
    table.add("body one byte longer", ok("Content-Length: 65537\r\n", whole + "b"), broken);
    table.add("body as long as may be, in chunks", ok(in_chunks, "10000\r\n" + whole + "\r\n0\r\n\r\n"),
              served_whole);
    table.add("body one byte longer, in a chunk", ok(in_chunks, "10001\r\n" + whole + "b\r\n0\r\n\r\n"),
              broken);
    table.add("body one byte longer, in chunks",
              ok(in_chunks, "10000\r\n" + whole + "\r\n1\r\nb\r\n0\r\n\r\n"), broken);
    table.add("body like an answer", ok("Content-Length: 19\r\n", ok("")),
              "completed [" + shown(ok("")) + "] again");
    broke("length, blank ahead of the colon", "Content-Length : 4\r\n");
    broke("length, folded", "Content-Length:\r\n 4\r\n");
    broke("length twice", four + four);
    broke("two lengths", four + "Content-Length: 5\r\n");
    broke("two lengths, one of none", none + four);
    broke("length and coding", four + in_chunks);
    broke("coding and length", in_chunks + four);
    broke("coding and length of none", in_chunks + none);
    broke("length and identity", four + "Transfer-Encoding: identity\r\n");
    broke("length and an empty coding", four + "Transfer-Encoding:\r\n");
    broke("neither length nor coding", "");
    broke("neither, and a close", "Connection: close\r\n");
    broke("bare LF", "X: y\n" + four);
    broke("bare CR", "X: y\r" + four);
    broke("CR CR LF", "X: y\r\r\n" + four);
    broke("folded", "X: y\r\n z\r\n" + four);
    broke("NUL", "X: \0\r\n"s + four);
    broke("escape", "X: \x1b\r\n" + four);
    broke("no colon", "X\r\n" + four);
    broke("no name", ": y\r\n" + four);
    broke("name that is no token", "X@Y: z\r\n" + four);
    broke("blank ahead of the colon", "X : y\r\n" + four);
    table.add("fields", ok("Server-Load: util=0.5\r\nX:y\r\nx: \xc3\xa9\r\n" + four, "abcd"),
              "completed [abcd] {Server-Load: util=0.5} {X: y} {x: \\xc3\\xa9} again");
    table.add("head as long as may be", ok(four + "X: " + room + "\r\n", "abcd"),
              "completed [abcd] {X: " + shown(room) + "} again");
    table.add("head one byte longer", ok(four + "X: x" + room + "\r\n", "abcd"), broken);
    table.add("head without end", "HTTP/1.1 200 OK\r\nX: " + std::string(17000, 'x'), broken);
    table.add("another behind it", ok(four, "abcd") + ok(four, "abcd"), once);
    table.add("an empty line behind it", ok(four, "abcd") + "\r\n", once);
    table.add("a NUL behind it", ok(four, "abcd") + "\0"s, once);
    table.add("an answer ahead behind it", ok(four, "abcd") + interim, once);
    table.add("noise behind chunks", ok(in_chunks, "4\r\nabcd\r\n0\r\n\r\nx"), once);
    table.add("noise behind an error", full(none) + "x", last_error);
    table.add("noise behind a proof", full(none + proof) + "x", last_turned);
    table.add("close", ok("Connection: close\r\n" + four, "abcd"), once);
    table.add("close in another case", ok("connection: CLOSE\r\n" + four, "abcd"), once);
    table.add("close in a list", ok("Connection: x, close\r\n" + four, "abcd"), once);
    table.add("close and keep-alive", ok("Connection: keep-alive, close\r\n" + four, "abcd"), once);
    table.add("close behind keep-alive", ok("Connection: keep-alive\r\nConnection: close\r\n" + four, "abcd"),
              once);
    table.add("keep-alive", ok("Connection: keep-alive\r\nKeep-Alive: timeout=5\r\n" + four, "abcd"),
              "completed [abcd] {Keep-Alive: timeout=5} again");
    table.add("an error and a close", "HTTP/1.1 500 Oops\r\nConnection: close\r\n" + none + "\r\n",
              last_error);
    table.add("one ahead", "HTTP/1.1 100 Continue\r\n\r\n" + ok(four, "abcd"), again);
    table.add("one ahead with fields", "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n" + ok(four, "abcd"),
              again);
    table.add("one ahead with a length", "HTTP/1.1 102 Processing\r\n" + four + "\r\n" + ok(four, "abcd"),
              again);
    table.add("one ahead with a body", "HTTP/1.1 102 Processing\r\n" + four + "\r\nabcd" + ok(four, "abcd"),
              broken);
    table.add("one ahead with two lengths",
              "HTTP/1.1 102 Processing\r\n" + none + none + "\r\n" + ok(four, "abcd"), broken);
    table.add("one ahead of an unknown kind", "HTTP/1.1 199 X\r\n\r\n" + ok(four, "abcd"), again);
    table.push_back({"one ahead that closes",
                     "HTTP/1.1 100 Continue\r\nConnection: close\r\n\r\n" + ok(four, "abcd"),
                     {again, once}});
    table.add("one ahead alone", interim, waits, "severed");
    table.add("one ahead and half of one", interim + "HTTP/1.1 200", waits, "severed");
    table.add("one ahead and noise", interim + "\x01", broken);
    table.add("one ahead of an error", interim + full(none), error);
    table.add("eight ahead", repeated(8, interim) + ok(four, "abcd"), again);
    table.add("nine ahead", repeated(9, interim) + ok(four, "abcd"), broken);
    table.add("101", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n",
              broken);
    table.add("101 and an answer", "HTTP/1.1 101 Switching Protocols\r\n\r\n" + ok(four, "abcd"), broken);
    table.add("204", "HTTP/1.1 204 No Content\r\n\r\n", error);
    table.add("204 and a length of none", "HTTP/1.1 204 No Content\r\n" + none + "\r\n", error);
    table.add("204 and a length", "HTTP/1.1 204 No Content\r\n" + four + "\r\n", error);
    table.add("204 and a body", "HTTP/1.1 204 No Content\r\n" + four + "\r\nabcd", last_error);
    table.add("204 and chunks", "HTTP/1.1 204 No Content\r\n" + in_chunks + "\r\n0\r\n\r\n", last_error);
    table.add("304 and a length", "HTTP/1.1 304 Not Modified\r\n" + four + "\r\n", error);
    table.add("304 and a body", "HTTP/1.1 304 Not Modified\r\n" + four + "\r\nabcd", last_error);
    table.add("205 and no length", "HTTP/1.1 205 Reset\r\n\r\n", last_error);
    table.add("500 and no length", "HTTP/1.1 500 Oops\r\n\r\nabcd", last_error);
    table.add("500 and a length not reached", "HTTP/1.1 500 Oops\r\n" + four + "\r\nab", waits, "errored");
    table.add("500 and two lengths", "HTTP/1.1 500 Oops\r\n" + four + four + "\r\nabcd", broken);
    broke("coding twice", in_chunks + in_chunks);
    broke("coding, blank ahead of the colon", "Transfer-Encoding : chunked\r\n");
    table.add("coding in HTTP/1.0", replaced(ok(in_chunks, "4\r\nabcd\r\n0\r\n\r\n"), "HTTP/1.1", "HTTP/1.0"),
              broken);
    for (const std::string& value : std::vector<std::string>{"4", "04", " \t4\t "}) length(value, true);
    for (const std::string& value : std::vector<std::string>{
             "", "+4", "-4", "4,4", "4, 4", "0x4", "4.0", "4 4", "four", "18446744073709551620", "4294967300",
             "0000000000000000000000000000004", "\"4\""})
        length(value, false);
    for (const std::string& value : std::vector<std::string>{"chunked", "CHUNKED", " \tchunked\t "})
        coding(value, true);
    for (const std::string& value : std::vector<std::string>{
             "", "xchunked", "chunked,", "chunked, chunked", "identity", "gzip", "gzip, chunked",
             "chunked, gzip", "identity, chunked", "chunked;q=1", "\"chunked\"",
             "\x0b"
             "chunked",
             "chunked\r\n x"})
        coding(value, false);
    return table;
}

Answers chunked_bodies() {
    Answers table;
    const auto body = [&](std::string_view name, std::string_view bytes, std::string_view verdict,
                          std::string_view closed = "") {
        table.add(name, ok(in_chunks, std::string(bytes)), verdict, closed);
    };
    const std::string rest = "\r\nabcd\r\n0\r\n\r\n", data = "4\r\nabcd\r\n", last = "0\r\n\r\n",
                      filler(70000, 'e');
    const auto trailer = [&](const std::string& fields) {
        table.push_back({"trailer " + shown(fields),
                         ok(in_chunks, data + "0\r\n" + fields + "\r\n"),
                         {again, broken},
                         ""});
    };
    body("one", data + last, again);
    body("none", last, empty);
    body("several", "1\r\na\r\n2\r\nbc\r\n1\r\nd\r\n" + last, again);
    body("size with zeros", "0004" + rest, again);
    body("size in upper case", "A\r\n0123456789\r\n" + last, "completed [0123456789] again");
    body("extension", "4;a=b;c=\"d;\\\"\"" + rest, again);
    body("nothing yet", "", waits, "severed");
    body("size alone", "4\r\n", waits, "severed");
    body("half of the data", "4\r\nab", waits, "severed");
    body("no last size", data, waits, "severed");
    body("half of the last size", data + "0\r", waits, "severed");
    body("no end", data + "0\r\n", waits, "severed");
    body("half of the end", data + "0\r\n\r", waits, "severed");
    body("half of a trailer", data + "0\r\nX: y\r\n", waits, "severed");
    body("size empty", rest, broken);
    body("size no number", "zz" + rest, broken);
    body("size with 0x", "0x4" + rest, broken);
    body("size with a plus", "+4" + rest, broken);
    body("size with a minus", "-4" + rest, broken);
    body("size with a point", "4.0" + rest, broken);
    body("blank ahead of a size", " 4" + rest, broken);
    body("blank behind a size", "4 " + rest, broken);
    body("size beyond 64 bits", "10000000000000004" + rest, broken);
    body("size that sums up to little", data + "fffffffffffffffc\r\nabcd\r\n" + last, broken);
    body("huge size", "7fffffffffffffff" + rest, broken);
    body("LF ends a size", "4\nabcd\r\n" + last, broken);
    body("CR ends a size", "4\rabcd\r\n" + last, broken);
    body("LF ends data", "4\r\nabcd\n" + last, broken);
    body("nothing ends data", "4\r\nabcd" + last, broken);
    body("more data than the size", "4\r\nabcde\r\n" + last, broken);
    body("less data than the size", "4\r\nabc\r\n" + last, broken);
    body("LF LF ends the last size", data + "0\n\n\r\n\r\n", broken);
    body("extension of nothing", "4;" + rest, broken);
    body("extension with NUL", "4;a\0"s + rest, broken);
    body("extension with LF", "4;a\nb" + rest, broken);
    body("extension with a quoted LF", "4;a=\"\n\"" + rest, broken);
    body("extension with a quoted line end", "4;a=\"\r\n\"" + rest, broken);
    body("extension without bound", "4;" + filler + rest, broken);
    body("size without bound", std::string(70000, '0') + "4" + rest, broken);
    body("trailer without bound", data + "0\r\nX: " + filler + "\r\n\r\n", broken);
    trailer("X: y\r\n");
    trailer("Content-Length: 9\r\n");
    trailer("Transfer-Encoding: gzip\r\n");
    trailer("Content-Type: x\r\n");
    trailer("Not-Started: 1\r\n");
    trailer("Server-Load: util=0\r\n");
    table.push_back({"trailer Connection: close",
                     ok(in_chunks, data + "0\r\nConnection: close\r\n\r\n"),
                     {again, once, broken}});
    body("trailer without a colon", data + "0\r\nX\r\n\r\n", broken);
    body("trailer, blank ahead of the colon", data + "0\r\nX : y\r\n\r\n", broken);
    body("trailer, folded", data + "0\r\nX: y\r\n z\r\n\r\n", broken);
    body("trailer with LF", data + "0\r\nX: y\nZ: z\r\n\r\n", broken);
    body("trailer with NUL", data + "0\r\nX: \0\r\n\r\n"s, broken);
    body("trailer that is an answer", data + "0\r\n" + ok(none), broken);
    return table;
}

struct AnswerBytes : testing::Test {
    asio::io_context io;
    struct End {
        Outcome outcome;
        Upstream::Response response;
    };

    static std::string text_of_end(const End& end) {
        switch (end.outcome) {
            case Outcome::completed:
                break;
            case Outcome::errored:
                return "errored";
            case Outcome::saturated:
                return "saturated";
            case Outcome::severed:
                return "severed";
            default:
                return "another outcome";
        }
        std::string text = "completed [" + shown(end.response.body()) + "]";
        for (const auto& field : end.response) {
            const std::string name(field.name_string()), value(field.value());
            if (name != "Content-Length" && name != "Transfer-Encoding" && !same_name(name, "Connection"))
                text += " {" + name + ": " + shown(value) + "}";
        }
        return text;
    }

    ScriptedServer server{io, [this](const auto&) {
                              return Reply{server.requests.size() == 1 ? "" : response("200 OK", "second")};
                          }};
    Log log;
    Upstream upstream{io, log, {}};
    std::vector<End> ends;
    std::size_t opened = 0;  // connections, before the exchange

    AnswerBytes() { upstream.set_server(1, server.endpoint(), 0); }

    ExchangeId start() {
        Upstream::Request request;
        request.head = HeadText::request("POST", "/deposit").add("Content-Length", "0").whole();
        return upstream
            .start(1, std::move(request),
                   [this](Outcome outcome, Upstream::Response response, const Trailers&) {
                       ends.push_back({outcome, std::move(response)});
                   })
            .exchange;
    }
    // An exchange on a new connection, up to where the server answers. Those of before end by resets:
    // thousands must not leave their ports waiting.
    ExchangeId first_request() {
        for (const auto& connection : server.connections) {
            error_code ignored;
            connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
            connection->socket.close(ignored);
        }
        run_until(io, [&] { return upstream.stats().open == 0; });
        server.requests.clear();
        server.connections.clear();
        ends.clear();
        opened = upstream.stats().opened;
        const ExchangeId exchange = start();
        run_until(io, [&] { return server.requests.size() == 1; });
        return exchange;
    }
    // Each piece may be read before the next is written.
    void answer(const std::vector<std::string>& parts) {
        Tcp::socket& socket = server.connections.at(0)->socket;
        error_code ignored;  // the sidecar may have had enough
        socket.set_option(Tcp::no_delay(true), ignored);
        for (const std::string& part : parts) {
            asio::write(socket, asio::buffer(part), ignored);
            io.poll();
        }
    }

    // Nothing in what it allows says that the connection is used again.
    static bool ends_connection(const Answer& entry) {
        return std::none_of(entry.allowed.begin(), entry.allowed.end(),
                            [](const std::string& v) { return v == waits || v.ends_with(" again"); });
    }
    std::string verdict(const Answer& entry, const Cuts& cuts) {
        const ExchangeId first = first_request();
        answer(pieces(entry.bytes, cuts));
        if (entry.allowed[0] == waits && ends.empty()) {
            EXPECT_TRUE(upstream.stop(first));
            return waits;
        }
        const bool closes = ends_connection(entry);
        run_until(io, [&] { return !ends.empty() && (!closes || upstream.stats().open == 0); });
        if (ends.empty()) return waits;
        start();
        run_until(io, [&] { return ends.size() == 2; });
        if (ends.size() != 2 || text_of_end(ends[1]) != "completed [second]") return "no second";
        const bool again = server.connections.size() == 1;
        EXPECT_EQ(upstream.stats().opened - opened, again ? 1u : 2u);
        EXPECT_EQ(upstream.stats().open, 1u);
        return text_of_end(ends[0]) + (again ? " again" : " new");
    }
    std::string verdict_when_closed(const Answer& entry, const Cuts& cuts) {
        first_request();
        answer(pieces(entry.bytes, cuts));
        error_code ignored;  // the sidecar may have been first
        server.connections.at(0)->socket.shutdown(Tcp::socket::shutdown_send, ignored);
        run_until(io, [&] { return !ends.empty() && upstream.stats().open == 0; });
        return ends.empty() ? waits : text_of_end(ends[0]);
    }
    void check(const Answer& entry) {
        const std::string open = hold(entry, [&](const Cuts& cuts) { return verdict(entry, cuts); });
        const std::string closed =
            entry.when_closed.empty() ? open.substr(0, open.rfind(' ')) : entry.when_closed;
        for (const Cuts& cuts : {Cuts{}, every_byte(entry.bytes)}) {
            if (HasFatalFailure()) return;
            EXPECT_EQ(verdict_when_closed(entry, cuts), closed)
                << "in " << cuts.size() + 1 << " pieces, with a close behind them";
        }
    }
};

const std::map<std::string, Answers (*)()> answer_tables{
    {"StatusLines", status_lines}, {"Proofs", proofs}, {"Bodies", bodies}, {"ChunkedBodies", chunked_bodies}};

struct AnswerTable : AnswerBytes, testing::WithParamInterface<std::string> {
    void check_table() {
        hold_all(answer_tables.at(GetParam())(), [this](const Answer& entry) { check(entry); });
    }
};
TEST_P(AnswerTable, HasOneVerdictHoweverSplit) { check_table(); }
INSTANTIATE_TEST_SUITE_P(All, AnswerTable,
                         testing::Values("StatusLines", "Proofs", "Bodies", "ChunkedBodies"),
                         [](const auto& info) { return info.param; });

// ---- The tables themselves -------------------------------------------------------------------------------

TEST(Bytes, EveryEntryHasANameOfItsOwn) {
    std::set<std::string> names;
    const auto add = [&](const std::string& table, const auto& entries) {
        for (const auto& entry : entries)
            EXPECT_TRUE(names.insert(table + ": " + entry.name).second)
                << table << ": " << entry.name << ", twice";
    };
    for (const auto& [table, entries] : request_tables) add(table, entries());
    for (const auto& [table, entries] : answer_tables) add(table, entries());
    add("Continue", expecting());
    EXPECT_GT(names.size(), 500u);
}

}  // namespace
}  // namespace whinledge::test
