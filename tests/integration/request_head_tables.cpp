// What a request's head may be: its first line, its fields, and the rules of the platform's protocol.
#include "integration/request_tables.hpp"

namespace whinledge::test::http_bytes {

RequestEntries request_lines() {
    RequestEntries table;
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

RequestEntries header_lines() {
    RequestEntries table;
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

RequestEntries protocol_rules() {
    RequestEntries table;
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

}  // namespace whinledge::test::http_bytes
