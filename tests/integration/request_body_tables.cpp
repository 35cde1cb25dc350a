// What may follow a request's head: its framing, its chunks, and further requests on the connection.
#include "integration/request_tables.hpp"

namespace whinledge::test::http_bytes {

RequestEntries framing() {
    RequestEntries table;
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

RequestEntries chunks() {
    RequestEntries table;
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

RequestEntries sequences() {
    RequestEntries table;
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

}  // namespace whinledge::test::http_bytes
