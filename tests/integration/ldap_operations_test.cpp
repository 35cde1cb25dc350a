// LDAP operations side by side: abandoned, cancelled, by the thousand, and for clients that read nothing.
#include "rig/ldap_rig.hpp"

namespace whinledge::test {
namespace {

using ldap::Op;

TEST_F(Ldap, AbandonedOperationsAreAnsweredByNobody) {
    for (const bool proxied : {true, false}) {
        SCOPED_TRACE(proxied);
        start_with({&one}, proxied);
        one.script = [](const auto& seen) {
            DirectoryServer::Fault fault;
            fault.silent = seen.dn.starts_with("cn=slow");
            return fault;
        };
        RawClient& client = raw_ldap();
        ask_raw(client, 1, RawLdap::search(1, "ou=people," + base));
        const std::size_t before = one.count(Op::search), abandons = one.count(Op::abandon);
        client.send(RawLdap::search(2, "cn=slow," + base));
        until([&] { return one.count(Op::search) > before; });
        const ldap::MessageId there = one.seen.back().id;
        client.send(RawLdap::abandon(3, 2));
        until([&] { return one.count(Op::abandon) > abandons; });
        EXPECT_EQ(one.seen.back().target, there) << "under the server's id";
        EXPECT_EQ(ask_raw(client, 4, RawLdap::search(4, "ou=people," + base)).code, ldap::success);
        EXPECT_TRUE(got(client, 2).empty());
        EXPECT_EQ(open(), 0u);
        // Of what is not open nothing is heard.
        client.send(RawLdap::abandon(5, 77));
        EXPECT_EQ(ask_raw(client, 6, RawLdap::search(6, "ou=people," + base)).code, ldap::success);
        forget_clients();
        daemon.reset();
    }
}

TEST_F(Ldap, AnAbandonMayCrossTheResult) {
    for (const bool proxied : {true, false}) {
        SCOPED_TRACE(proxied);
        int turn = 0;
        one.script = [&](const auto&) {
            DirectoryServer::Fault fault;
            fault.delay_ms = ++turn % 3;
            return fault;
        };
        start_with({&one}, proxied);
        RawClient& client = raw_ldap();
        int answered = 0;
        for (int i = 0; i < 300; ++i) {
            client.send(RawLdap::search(10 + 2 * i, "ou=people," + base));
            if (i % 4) rest(i % 4 - 1);
            client.send(RawLdap::abandon(11 + 2 * i, 10 + 2 * i));
        }
        EXPECT_EQ(ask_raw(client, 5, RawLdap::search(5, "ou=people," + base)).code, ldap::success);
        rest(20);
        for (int i = 0; i < 300; ++i) {
            const auto all = got(client, 10 + 2 * i);
            const auto finals =
                std::count_if(all.begin(), all.end(), [](const auto& g) { return g.op != Op::entry; });
            EXPECT_LE(finals, 1);
            answered += finals == 1;
            if (finals == 0) {
                EXPECT_TRUE(all.empty()) << "held back, so nothing of it goes out";
            }
        }
        EXPECT_LT(answered, 300);
        EXPECT_FALSE(client.ended);
        EXPECT_EQ(open(), 0u);
        forget_clients();
        daemon.reset();
    }
}

// RFC 3909.
TEST_F(Ldap, WhatIsCancelledSaysSo) {
    one.script = [](const auto& seen) {
        DirectoryServer::Fault fault;
        fault.silent = seen.op == Op::search || seen.op == Op::modify;
        return fault;
    };
    start_with({&one}, true, "timeout = \"500ms\"");
    RawClient& client = raw_ldap();
    client.send(RawLdap::search(2, "ou=people," + base));
    until([&] { return one.count(Op::search) == 1; });
    EXPECT_EQ(ask_raw(client, 3, RawLdap::cancel(3, 2)).code, ldap::success);
    EXPECT_EQ(final_of(client, 2).code, ldap::canceled);
    EXPECT_EQ(ask_raw(client, 4, RawLdap::cancel(4, 2)).code, ldap::no_such_operation);
    client.send(RawLdap::modify(5, "cn=x," + base));
    until([&] { return one.count(Op::modify) == 1; });
    EXPECT_EQ(ask_raw(client, 6, RawLdap::cancel(6, 5)).code, ldap::cannot_cancel);
    until([&] { return has_final(client, 5); });
    EXPECT_EQ(final_of(client, 5).code, ldap::time_limit_exceeded);
}

TEST_F(Ldap, AThousandOperationsOnOneConnection) {
    for (const bool proxied : {true, false}) {
        SCOPED_TRACE(proxied);
        start(ldap_listener("ldap = { operations = 100 }\n") + ldap_pool("people", {&one, &two}, proxied) +
              ldap_route("all", "people", "timeout = \"20s\""));
        RawClient& client = raw_ldap();
        std::string all;
        for (int id = 1; id <= 1000; ++id)
            all += id % 5 ? RawLdap::search(id, "ou=people," + base)
                          : RawLdap::modify(id, "cn=m" + std::to_string(id) + "," + base);
        std::thread sender([&] { client.send(all); });
        std::size_t most = 0;
        until([&] {
            most = std::max(most, open());
            return has_final(client, 1000) && got(client).size() >= 800 * 7 + 200;
        });
        sender.join();
        std::map<ldap::MessageId, int> finals;
        for (const auto& each : got(client))
            if (each.op != Op::entry) {
                ++finals[each.id];
                EXPECT_EQ(each.code, ldap::success) << each.text;
            }
        EXPECT_EQ(finals.size(), 1000u);
        for (const auto& [id, count] : finals) EXPECT_EQ(count, 1) << id;
        EXPECT_LE(most, 100u) << "no more is read than may be open";
        forget_clients();
        daemon.reset();
        for (DirectoryServer* const server : servers()) {
            for (const auto& [dn, count] : server->changed) EXPECT_EQ(count, 1) << dn;
            server->changed.clear();
        }
    }
}

// A client that reads nothing: its answer waits at its server, in bounded memory here, and others are served.
TEST_F(Ldap, AClientThatReadsNothingHoldsUpNobody) {
    for (int i = 0; i < 2000; ++i)
        for (DirectoryServer* const server : servers())
            server->add("uid=l" + std::to_string(i) + ",ou=large," + base, 10000);
    for (const bool proxied : {true, false}) {
        SCOPED_TRACE(proxied);
        start_with({&one}, proxied, "timeout = \"20s\"", proxied ? "stall = \"300ms\"\n" : "");
        Tcp::socket deaf(io);
        deaf.connect(edge());
        asio::write(deaf, asio::buffer(RawLdap::search(1, "ou=large," + base)));
        until([&] { return one.count(Op::search) >= 1; });
        rest(60);
        bool unsent = false;
        for (const auto& c : one.connections) unsent |= c->writing;
        EXPECT_TRUE(unsent) << "its server still has most of it";
        RawClient& client = raw_ldap();
        for (int id = 1; id <= 40; ++id)
            EXPECT_EQ(ask_raw(client, id, RawLdap::search(id, "ou=people," + base)).code, ldap::success)
                << id;
        if (proxied) {
            // Others shared its connection: it is let go.
            until([&] { return daemon->clients() == 1; });
            until([&] { return open() == 0; });
        } else {
            // A connection of its own: it may read when it likes.
            std::size_t size = 0;
            std::array<char, 65536> buffer;
            bool whole = false;
            std::string tail;
            std::function<void()> read = [&] {
                deaf.async_read_some(asio::buffer(buffer), [&](error_code failed, std::size_t n) {
                    size += n;
                    tail.append(buffer.data(), n);
                    if (tail.size() > 100) tail.erase(0, tail.size() - 100);
                    whole =
                        !failed && size > 20'000'000 && !RawLdap::read(tail.substr(tail.size() - 14)).empty();
                    if (!failed && !whole) read();
                });
            };
            read();
            until([&] { return whole; });
            EXPECT_GT(size, 2000u * 10000u);
        }
        forget_clients();
        deaf.close();
        daemon.reset();
        one.seen.clear();
    }
}

// References and intermediate responses go on as entries do.
TEST_F(Ldap, ReferencesAndIntermediateResponsesArePassedOn) {
    for (const bool whole : {true, false}) {
        one.script = [](const auto& seen) {
            DirectoryServer::Fault fault;
            if (seen.op != Op::search) return fault;
            ldap::BerWriter reference, intermediate;
            reference.begin(0x73).octets("ldap://other.example.org/dc=x").end();
            intermediate.begin(0x79).octets("1.2.3", 0x80).octets("value", 0x81).end();
            for (const ldap::Bytes& tail : {reference.take(), intermediate.take(),
                                            ldap::result_tail(Op::search_done, ldap::success, "done")})
                fault.raw += RawLdap::text(ldap::with_id(seen.id, tail));
            return fault;
        };
        start_with({&one}, true, whole ? "timeout = \"2s\"" : "timeout = \"2s\"\nbuffer = \"0KiB\"");
        RawClient& client = raw_ldap();
        EXPECT_EQ(ask_raw(client, 1, RawLdap::search(1, "ou=people," + base)).text, "done");
        const auto all = got(client, 1);
        ASSERT_EQ(all.size(), 3u);
        EXPECT_EQ(all[0].op, Op::reference);
        EXPECT_EQ(all[1].op, Op::intermediate);
        EXPECT_EQ(all[1].oid, "1.2.3");
        forget_clients();
        daemon.reset();
    }
}

// Descriptors are given back, whoever ends a connection.
TEST_F(Ldap, ConnectionsAreCountedOnce) {
    for (const bool proxied : {true, false}) {
        SCOPED_TRACE(proxied);
        start(ldap_listener() +
              ldap_pool("people", {&one, &two, &three}, proxied, "idle_close = \"150ms\"\n") +
              ldap_route("all", "people", "timeout = \"300ms\""));
        const auto held = [&] { return daemon->descriptors().held(daemon->pool("people")->id()); };
        two.script = [](const auto&) {
            DirectoryServer::Fault fault;
            fault.close = true;
            return fault;
        };
        three.freeze();
        std::vector<RawClient*> all;
        for (int i = 0; i < 12; ++i) all.push_back(&raw_ldap());
        for (int id = 1; id <= 5; ++id)
            for (RawClient* const c : all) c->send(RawLdap::search(id, "ou=people," + base));
        until([&] { return held() > 0; });
        until([&] { return open() == 0; });
        for (RawClient* const c : all) c->close();
        until([&] { return daemon->clients() == 0 && held() == 0; });
        EXPECT_EQ(daemon->descriptors().shares().used(), 1u) << "that of the next client";
        two.script = [](const auto&) { return DirectoryServer::Fault{}; };
        three.thaw();
        forget_clients();
        daemon.reset();
    }
}

}  // namespace
}  // namespace whinledge::test
