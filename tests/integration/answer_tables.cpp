// What a server's answer may be: its first line, the proof that nothing ran, its body and its chunks.
#include "integration/answer_tables.hpp"

namespace whinledge::test::http_bytes {

namespace {

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
                  turned = "saturated again", last_turned = "saturated new", broken = "severed new";

}  // namespace

AnswerEntries status_lines() {
    AnswerEntries table;
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

AnswerEntries proofs() {
    AnswerEntries table;
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

AnswerEntries bodies() {
    AnswerEntries table;
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
    table.add("neither length nor coding", ok("", "abcd"), waits, "completed [abcd]");
    table.add("neither, and a close", ok("Connection: close\r\n", "abcd"), waits, "completed [abcd]");
    table.add("neither, and nothing", ok(""), waits, "completed []");
    table.add("neither, and half a head", "HTTP/1.1 200 OK\r\nX: y\r\n", waits, "severed");
    table.add("neither, and too much", ok("", std::string(65537, 'x')), broken);
    table.add("neither, in HTTP/1.0", replaced(ok("", "abcd"), "HTTP/1.1", "HTTP/1.0"), waits,
              "completed [abcd]");
    table.add("neither, behind one ahead", interim + ok("", "abcd"), waits, "completed [abcd]");
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

AnswerEntries chunked_bodies() {
    AnswerEntries table;
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

}  // namespace whinledge::test::http_bytes
