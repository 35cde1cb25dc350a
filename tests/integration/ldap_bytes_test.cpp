// Raw bytes: of clients, which are to be turned away with nothing passed on, and of servers, whose nonsense
// is a failed attempt that may have run.
#include <malloc.h>

#include "rig/ldap_rig.hpp"

namespace whinledge::test {
namespace {

using ldap::BerWriter;
using ldap::Op;

std::string operator""_hex(const char* digits, std::size_t size) {
    std::string bytes;
    int high = -1;
    for (std::size_t i = 0; i < size; ++i) {
        const char c = digits[i];
        const int digit = c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
        if (digit < 0) continue;
        if (high < 0) {
            high = digit;
        } else {
            bytes.push_back(static_cast<char>(high * 16 + digit));
            high = -1;
        }
    }
    return bytes;
}

std::string raw(const char* bytes, std::size_t size) { return {bytes, size}; }

// A message of id 7 around that operation.
std::string message(const std::string& operation, const std::string& id = "\x02\x01\x07") {
    const std::string inner = id + operation;
    std::string bytes = "\x30\x82";
    bytes.push_back(static_cast<char>(inner.size() >> 8));
    bytes.push_back(static_cast<char>(inner.size()));
    return bytes + inner;
}
std::string element(int tag, const std::string& body) {
    std::string bytes(1, static_cast<char>(tag));
    if (body.size() < 128) {
        bytes.push_back(static_cast<char>(body.size()));
    } else {
        bytes += "\x83";
        bytes.push_back(static_cast<char>(body.size() >> 16));
        bytes.push_back(static_cast<char>(body.size() >> 8));
        bytes.push_back(static_cast<char>(body.size()));
    }
    return bytes + body;
}
std::string seq(const std::string& body) { return element(0x30, body); }
std::string str(const std::string& text) { return element(0x04, text); }
std::string num(int value) { return "\x02\x01" + std::string(1, static_cast<char>(value)); }
std::string en(int value) { return "\x0a\x01" + std::string(1, static_cast<char>(value)); }
std::string no() { return std::string("\x01\x01\x00", 3); }
std::string search_with(const std::string& filter, const std::string& rest = seq("")) {
    return message(element(0x63, str("dc=x") + en(2) + en(0) + num(0) + num(0) + no() + filter + rest));
}
std::string nested(int depth) {
    std::string filter = element(0x87, "a");
    for (int i = 0; i < depth; ++i) {
        filter = element(0xa2, filter);
        if (filter.size() > 60000) break;
    }
    return filter;
}
std::string with_controls(const std::string& controls) {
    return message(element(0x4a, "dc=x") + element(0xa0, controls));
}

struct Bad {
    const char* name;
    std::string bytes;
};
std::vector<Bad> bad_messages() {
    const std::string present = element(0x87, "a");
    std::string deep = element(0x87, "a");
    for (int i = 0; i < 10000; ++i) deep = element(0xa2, deep);
    std::string wide;
    for (int i = 0; i < 10001; ++i) wide += element(0x87, "a");
    std::string many_attributes;
    for (int i = 0; i < 10001; ++i) many_attributes += str("a");
    std::string many_controls;
    for (int i = 0; i < 17; ++i) many_controls += seq(str("1.2.3"));
    const std::string attribute = seq(str("a") + element(0x31, str("v")));
    return {
        // Framing.
        {"text", "GET / HTTP/1.1\r\n\r\n"},
        {"no sequence", "310c020107"_hex},
        {"a length of nothing", "3000"_hex},
        {"an indefinite length", "3080020107420000 00"_hex},
        {"a length in five octets", "3085000000000c020107"_hex},
        {"a length in 126 octets", "30fe0000000000000000"_hex},
        {"a length beyond the limit", "308400200000020107"_hex},
        {"a length of 2^32 - 1", "3084ffffffff020107"_hex},
        {"a negative length", "3084800000000201074200"_hex},
        {"a sequence with an id alone", "3003020107"_hex},
        {"an operation that is longer than the message", "30050201074205"_hex},
        {"an id that is longer than the message", "3005020901014200"_hex},
        // Ids.
        {"id 0", message(element(0x4a, "dc=x"), raw("\x02\x01\0", 3))},
        {"a negative id", message(element(0x4a, "dc=x"), "\x02\x01\xff")},
        {"id 2^31", message(element(0x4a, "dc=x"), raw("\x02\x05\x00\x80\x00\x00\x00", 7))},
        {"an id of four octets, negative",
         message(element(0x4a, "dc=x"), raw("\x02\x04\x80\x00\x00\x00", 6))},
        {"an id of no octets", message(element(0x4a, "dc=x"), raw("\x02\x00", 2))},
        {"an id that is a text", message(element(0x4a, "dc=x"), "\x04\x01\x07")},
        {"id 0 of an unbind", message(raw("\x42\x00", 2), raw("\x02\x01\0", 3))},
        // Operations.
        {"an unknown operation", message(element(0x7e, "x"))},
        {"an operation of another class", message(element(0xa3, "x"))},
        {"a tag of several octets", message("7f8101"_hex + std::string("\x01x"))},
        {"a primitive search", message(element(0x43, "x"))},
        {"a constructed delete", message(element(0x6a, str("dc=x")))},
        {"a constructed unbind", message(element(0x62, ""))},
        {"an unbind with contents", message(element(0x42, "x"))},
        {"bytes behind the operation", message(element(0x4a, "dc=x") + "x")},
        {"a second operation", message(element(0x4a, "dc=x") + element(0x4a, "dc=y"))},
        {"controls twice", message(element(0x4a, "dc=x") + element(0xa0, "") + element(0xa0, ""))},
        // Responses that a client sends.
        {"a bind response", message(element(0x61, en(0) + str("") + str("")))},
        {"an entry", message(element(0x64, str("dc=x") + seq("")))},
        {"a search's end", message(element(0x65, en(0) + str("") + str("")))},
        {"a modify response", message(element(0x67, en(0) + str("") + str("")))},
        {"an extended response", message(element(0x78, en(0) + str("") + str("")))},
        {"an intermediate response", message(element(0x79, ""))},
        {"a notice of disconnection", std::string(ldap::notice(52, "x"))},
        // Binds.
        {"a bind of nothing", message(element(0x60, ""))},
        {"an LDAPv2 bind", message(element(0x60, num(2) + str("") + element(0x80, "")))},
        {"a bind of version 0", message(element(0x60, num(0) + str("") + element(0x80, "")))},
        {"a bind of version 128",
         message(element(0x60, raw("\x02\x02\x00\x80", 4) + str("") + element(0x80, "")))},
        {"a bind without credentials", message(element(0x60, num(3) + str("")))},
        {"a bind of an unknown kind", message(element(0x60, num(3) + str("") + element(0x84, "x")))},
        {"a SASL bind without a mechanism", message(element(0x60, num(3) + str("") + element(0xa3, "")))},
        {"a SASL bind with more than there is",
         message(element(0x60, num(3) + str("") + element(0xa3, str("X") + str("a") + str("b"))))},
        {"bytes behind a bind", message(element(0x60, num(3) + str("") + element(0x80, "") + str("x")))},
        // Searches.
        {"a search of nothing", message(element(0x63, ""))},
        {"a search without a filter",
         message(element(0x63, str("dc=x") + en(2) + en(0) + num(0) + num(0) + no()))},
        {"a search without attributes",
         message(element(0x63, str("dc=x") + en(2) + en(0) + num(0) + num(0) + no() + present))},
        {"a search of scope 4",
         message(element(0x63, str("dc=x") + en(4) + en(0) + num(0) + num(0) + no() + present + seq("")))},
        {"a search that derefs 4",
         message(element(0x63, str("dc=x") + en(2) + en(4) + num(0) + num(0) + no() + present + seq("")))},
        {"a negative size limit",
         message(element(0x63, str("dc=x") + en(2) + en(0) + num(-1) + num(0) + no() + present + seq("")))},
        {"a negative time limit",
         message(element(0x63, str("dc=x") + en(2) + en(0) + num(0) + num(-1) + no() + present + seq("")))},
        {"a flag of two octets", message(element(0x63, str("dc=x") + en(2) + en(0) + num(0) + num(0) +
                                                           raw("\x01\x02\x00\x00", 4) + present + seq("")))},
        {"an unknown filter", search_with(element(0xaf, "x"))},
        {"a negation of nothing", search_with(element(0xa2, ""))},
        {"a negation of two", search_with(element(0xa2, present + present))},
        {"a comparison of one part", search_with(element(0xa3, str("a")))},
        {"a comparison of three parts", search_with(element(0xa5, str("a") + str("b") + str("c")))},
        {"substrings of nothing", search_with(element(0xa4, str("a") + seq("")))},
        {"substrings out of order",
         search_with(element(0xa4, str("a") + seq(element(0x82, "x") + element(0x80, "y"))))},
        {"an extensible filter without a value", search_with(element(0xa9, element(0x81, "x")))},
        {"a filter within nothing", search_with(element(0xa0, "\xa0\x7f"))},
        {"filters nested 10,000 deep", search_with(deep)},
        {"filters nested 65 deep", search_with(nested(65))},
        {"10,001 filters", search_with(element(0xa0, wide))},
        {"10,001 attributes", search_with(present, seq(many_attributes))},
        {"bytes behind a search", search_with(present, seq("") + str("x"))},
        {"attributes that are numbers", search_with(present, seq(num(1)))},
        // Changes.
        {"a modify of nothing", message(element(0x66, str("dc=x")))},
        {"a modify of kind 4", message(element(0x66, str("dc=x") + seq(seq(en(4) + attribute))))},
        {"a modify without values", message(element(0x66, str("dc=x") + seq(seq(en(2) + seq(str("a"))))))},
        {"a modify with a list of values",
         message(element(0x66, str("dc=x") + seq(seq(en(2) + seq(str("a") + seq(""))))))},
        {"an add of no list", message(element(0x68, str("dc=x")))},
        {"an add of texts", message(element(0x68, str("dc=x") + seq(str("a"))))},
        {"a rename without a name", message(element(0x6c, str("dc=x")))},
        {"a rename with bytes behind it",
         message(element(0x6c, str("dc=x") + str("cn=y") + no() + element(0x80, "dc=z") + str("x")))},
        {"a compare of nothing", message(element(0x6e, str("dc=x")))},
        {"a compare of one part", message(element(0x6e, str("dc=x") + seq(str("a"))))},
        // The rest.
        {"an abandon of a text", message(element(0x50, "text!"))},
        {"an abandon of nothing", message(element(0x50, ""))},
        {"an extended request of nothing", message(element(0x77, ""))},
        {"an extended request of no OID", message(element(0x77, element(0x80, "hello")))},
        {"an extended request of two dots", message(element(0x77, element(0x80, "1..2")))},
        {"bytes behind an extended request",
         message(element(0x77, element(0x80, "1.2") + element(0x81, "x") + str("y")))},
        {"a cancel of nothing", message(element(0x77, element(0x80, "1.3.6.1.1.8") + element(0x81, "x")))},
        {"controls that are none", with_controls("x")},
        {"a control that is a text", with_controls(str("1.2"))},
        {"a control without a name", with_controls(seq(""))},
        {"a control of no OID", with_controls(seq(str("hello")))},
        {"a control of three parts", with_controls(seq(str("1.2") + no() + str("x") + str("y")))},
        {"a control of a flag of two octets", with_controls(seq(str("1.2") + raw("\x01\x02\x00\x00", 4)))},
        {"17 controls", with_controls(many_controls)},
    };
}

struct LdapBytes : LdapRig {};

TEST_F(LdapBytes, WhatIsNoRequestIsTurnedAwayAndReachesNobody) {
    const auto all = bad_messages();
    ASSERT_GE(all.size(), 60u);
    start_with({&one}, false);
    // A server connection of somebody is up.
    ask_raw(raw_ldap(), 1, RawLdap::search(1, "ou=people," + base));
    const std::size_t before = one.seen.size(), connections = one.connections.size();
    for (const Bad& bad : all) {
        SCOPED_TRACE(bad.name);
        RawClient& client = raw_ldap();
        client.send(bad.bytes);
        until([&] { return client.ended; });
        const auto told = got(client);
        ASSERT_FALSE(told.empty());
        EXPECT_EQ(told.back().id, 0);
        EXPECT_EQ(told.back().oid, ldap::oid::notice_of_disconnection);
        EXPECT_EQ(told.back().code, ldap::protocol_error) << told.back().text;
    }
    EXPECT_EQ(one.seen.size(), before);
    EXPECT_EQ(one.connections.size(), connections);
    EXPECT_EQ(open(), 0u);
}

// Cut off anywhere: nobody hears of it.
TEST_F(LdapBytes, HalvesAndClosesReachNobody) {
    start_with({&one}, true);
    const std::string whole = RawLdap::modify(1, "cn=x," + base) + RawLdap::search(2, "ou=people," + base);
    const std::size_t first = RawLdap::modify(1, "cn=x," + base).size();
    for (std::size_t size = 0; size < first; ++size) {
        RawClient& client = raw_ldap();
        client.send(whole.substr(0, size));
        size % 2 ? client.close() : client.half_close();
    }
    until([&] { return daemon->clients() == 0; });
    EXPECT_EQ(one.seen.size(), 0u);
    // Whole, in pieces of a byte.
    RawClient& client = raw_ldap();
    for (const char c : whole) {
        client.send(std::string(1, c));
        io.restart();
        io.poll();
    }
    until([&] { return has_final(client, 1) && has_final(client, 2); });
    EXPECT_EQ(final_of(client, 1).code, ldap::success);
    EXPECT_EQ(changes("cn=x," + base), 1);
}

TEST_F(LdapBytes, AnIdThatIsInUseEndsTheConnection) {
    one.script = [](const auto&) {
        DirectoryServer::Fault fault;
        fault.delay_ms = 50;
        return fault;
    };
    start_with({&one}, true);
    RawClient& client = raw_ldap();
    client.send(RawLdap::modify(9, "cn=x," + base) + RawLdap::modify(9, "cn=y," + base));
    until([&] { return client.ended; });
    ASSERT_EQ(got(client).size(), 1u);
    EXPECT_EQ(got(client)[0].code, ldap::protocol_error);
    until([&] { return open() == 0; });
    EXPECT_LE(changes("cn=x," + base), 1);
    EXPECT_EQ(changes("cn=y," + base), 0);
    // Once answered, it may be used again.
    RawClient& other = raw_ldap();
    EXPECT_EQ(ask_raw(other, 1, RawLdap::search(1, "ou=people," + base)).code, ldap::success);
    other.text.clear();
    EXPECT_EQ(ask_raw(other, 1, RawLdap::search(1, "ou=people," + base)).code, ldap::success);
}

TEST_F(LdapBytes, AHalfMessageHasItsTime) {
    start(ldap_listener("head_timeout = \"150ms\"\nidle_timeout = \"300ms\"\n") +
          ldap_pool("people", {&one}, true) + ldap_route("all", "people"));
    RawClient& half = raw_ldap();
    half.send(RawLdap::search(1, "ou=people," + base).substr(0, 20));
    RawClient& idle = raw_ldap();
    until([&] { return half.ended && idle.ended; });
    EXPECT_EQ(got(half).back().oid, ldap::oid::notice_of_disconnection);
    EXPECT_EQ(got(idle).back().code, ldap::unavailable);
}

// A length is believed by nobody ahead of its bytes.
TEST_F(LdapBytes, ALengthTakesNoMemory) {
    start(ldap_listener("ldap = { message_limit = \"64MiB\" }\nhead_timeout = \"30s\"\n") +
          ldap_pool("people", {&one}, true) + ldap_route("all", "people"));
    ask_raw(raw_ldap(), 1, RawLdap::search(1, "ou=people," + base));
    const std::size_t before = ::mallinfo2().uordblks + ::mallinfo2().hblkhd;
    std::list<Tcp::socket> sockets;
    for (int i = 0; i < 50; ++i) {
        sockets.emplace_back(io);
        sockets.back().connect(edge());
        asio::write(sockets.back(), asio::buffer("308403f00000 020107"_hex));
    }
    until([&] { return daemon->clients() == 51; });
    rest(50);
    const std::size_t after = ::mallinfo2().uordblks + ::mallinfo2().hblkhd;
    EXPECT_LT(after, before + (4 << 20)) << "50 messages of 66 MB that are announced";
}

// ---- Of servers

std::string response_to(ldap::MessageId id, const std::string& operation) {
    return std::string(ldap::with_id(id, operation));
}
std::vector<std::pair<const char*, std::function<std::string(ldap::MessageId)>>> spoilt_answers() {
    const std::string ok = en(0) + str("") + str("");
    return {
        {"text", [](auto) { return std::string("HTTP/1.1 200 OK\r\n\r\n"); }},
        {"an indefinite length", [](auto) { return "3080"_hex; }},
        {"a length beyond the limit", [](auto) { return "30847fffffff"_hex; }},
        {"nothing in it", [](auto) { return "3000"_hex; }},
        {"an unknown operation", [](auto id) { return response_to(id, element(0x7e, "x")); }},
        {"a request", [](auto id) { return response_to(id, element(0x4a, "dc=x")); }},
        {"a search's answer", [ok](auto id) { return response_to(id, element(0x65, ok)); }},
        {"an add's answer", [ok](auto id) { return response_to(id, element(0x69, ok)); }},
        {"an entry", [](auto id) { return response_to(id, element(0x64, str("dc=x") + seq(""))); }},
        {"a result without a code",
         [](auto id) { return response_to(id, element(0x67, str("") + str(""))); }},
        {"a negative code",
         [](auto id) { return response_to(id, element(0x67, en(-1) + str("") + str(""))); }},
        {"a code that is a number",
         [](auto id) { return response_to(id, element(0x67, num(0) + str("") + str(""))); }},
        {"a result without a text", [](auto id) { return response_to(id, element(0x67, en(0) + str(""))); }},
        {"bytes behind a result", [ok](auto id) { return response_to(id, element(0x67, ok + str("x"))); }},
        {"a referral that is none",
         [ok](auto id) { return response_to(id, element(0x67, ok + element(0xa3, "x"))); }},
        {"bytes behind the operation", [ok](auto id) { return response_to(id, element(0x67, ok) + "x"); }},
        {"controls that are none",
         [ok](auto id) { return response_to(id, element(0x67, ok) + element(0xa0, "x")); }},
        {"a response to nothing", [ok](auto id) { return response_to(id + 1000, element(0x67, ok)); }},
        {"a negative id", [ok](auto) { return message(element(0x67, ok), "\x02\x01\xff"); }},
        {"an id of five octets",
         [ok](auto) { return message(element(0x67, ok), raw("\x02\x05\x01\x00\x00\x00\x01", 7)); }},
    };
}

TEST_F(LdapBytes, SpoiltAnswersAreFailedAttemptsThatMayHaveRun) {
    for (const bool proxied : {true, false}) {
        SCOPED_TRACE(proxied);
        start_with({&one, &two, &three}, proxied);
        int number = 0;
        for (const auto& [name, bytes] : spoilt_answers()) {
            SCOPED_TRACE(name);
            const std::size_t before = seen(Op::modify);
            for (DirectoryServer* const server : servers())
                server->script = [&bytes = bytes](const auto& seen) {
                    DirectoryServer::Fault fault;
                    if (seen.op == Op::modify) fault.raw = bytes(seen.id);
                    return fault;
                };
            RawClient& client = raw_ldap();
            const std::string dn = "cn=s" + std::to_string(++number) + "," + base;
            const auto got = ask_raw(client, 1, RawLdap::modify(1, dn));
            EXPECT_EQ(got.code, ldap::other) << got.text;
            EXPECT_EQ(got.text, "failed: it may have run");
            EXPECT_EQ(seen(Op::modify), before + 1) << "never sent again";
            until([&] { return open() == 0; });
        }
        forget_clients();
        daemon.reset();
    }
}

// Of a search, which may be sent again, the client never sees it.
TEST_F(LdapBytes, SpoiltAnswersToSearchesAreNotPassedOn) {
    const std::string ok = en(0) + str("") + str("");
    const std::vector<std::function<std::string(ldap::MessageId)>> spoilt{
        [&](auto id) { return response_to(id, element(0x64, str("dc=x") + seq(str("a")))); },
        [&](auto id) { return response_to(id, element(0x64, str("dc=x") + seq("")) + "x"); },
        [&](auto id) { return response_to(id, element(0x73, "")); },
        [&](auto id) { return response_to(id, element(0x67, ok)); },
    };
    int id = 0;
    for (const auto& bytes : spoilt) {
        one.script = [&](const auto& seen) {
            DirectoryServer::Fault fault;
            if (seen.op == Op::search) fault.raw = bytes(seen.id);
            return fault;
        };
        start_with({&one, &two}, true);
        RawClient& client = raw_ldap();
        for (int i = 0; i < 12; ++i) {
            ++id;
            EXPECT_EQ(ask_raw(client, id, RawLdap::search(id, "ou=people," + base)).code, ldap::success);
            EXPECT_EQ(got(client, id).size(), 7u);
        }
        forget_clients();
        daemon.reset();
    }
    EXPECT_GE(one.count(Op::search), 3u) << "it was met";
}

}  // namespace
}  // namespace whinledge::test
