// Whose an LDAP operation is: binds that wait, break off and run out of time, in several steps, and who may
// speak for others.
#include <set>

#include "rig/ldap_rig.hpp"

namespace whinledge::test {
namespace {

using ldap::Op;

TEST_F(Ldap, ARebindWaitsForWhatIsOpen) {
    for (const bool proxied : {true, false}) {
        SCOPED_TRACE(proxied);
        one.seen.clear();
        one.script = [](const auto& seen) {
            DirectoryServer::Fault fault;
            fault.delay_ms = seen.dn.starts_with("ou=people") ? 60 : 0;
            return fault;
        };
        start_with({&one}, proxied);
        RawClient& client = raw_ldap();
        ask_raw(client, 1, RawLdap::bind(1, "uid=anna," + base, "anna-secret"));
        client.send(RawLdap::search(2, "ou=people," + base) + RawLdap::search(3, "ou=people," + base) +
                    RawLdap::bind(4, "uid=berta," + base, "berta-secret") +
                    RawLdap::search(5, "uid=u1,ou=people," + base) + RawLdap::modify(6, "cn=x," + base));
        until([&] { return has_final(client, 5) && has_final(client, 6); });
        std::vector<ldap::MessageId> order;
        for (const auto& each : got(client))
            if (each.op != Op::entry) order.push_back(each.id);
        ASSERT_EQ(order.size(), 6u);
        EXPECT_EQ(std::set<int>(order.begin() + 1, order.begin() + 3), (std::set<int>{2, 3}));
        EXPECT_EQ(order[3], 4);
        for (const auto& seen : one.seen) {
            if (seen.dn == "ou=people," + base) {
                EXPECT_EQ(seen.as, "uid=anna," + base);
            }
            if (seen.op == Op::modify || seen.dn.starts_with("uid=u1")) {
                EXPECT_EQ(seen.as, "uid=berta," + base);
            }
        }
        forget_clients();
        daemon.reset();
    }
}

// Its connection to the directory, and with it who it is, is gone: it is told to come again.
TEST_F(Ldap, ABoundClientIsNobodyElseAfterItsConnectionIsLost) {
    start_with({&one, &two}, false);
    RawClient& client = raw_ldap();
    ask_raw(client, 1, RawLdap::bind(1, "uid=anna," + base, "anna-secret"));
    for (DirectoryServer* const server : {&one, &two})
        for (const auto& c : server->connections) {
            error_code ignored;
            c->ended = true;
            c->socket.close(ignored);
        }
    until([&] { return client.ended; });
    const auto all = got(client);
    ASSERT_EQ(all.size(), 2u);
    EXPECT_EQ(all[1].oid, ldap::oid::notice_of_disconnection);
    EXPECT_EQ(all[1].code, ldap::unavailable);
}

TEST_F(Ldap, ABindThatWasBrokenOffMakesNobodyAnybody) {
    for (const bool proxied : {true, false}) {
        SCOPED_TRACE(proxied);
        one.seen.clear();
        one.script = [](const auto& seen) {
            DirectoryServer::Fault fault;
            fault.delay_ms = seen.op == Op::bind && seen.dn.starts_with("uid=anna") ? 100 : 0;
            return fault;
        };
        start_with({&one}, proxied);
        RawClient& first = raw_ldap();
        first.send(RawLdap::bind(1, "uid=anna," + base, "anna-secret"));
        until([&] {
            return std::any_of(one.seen.begin(), one.seen.end(),
                               [&](const auto& s) { return s.dn == "uid=anna," + base; });
        });
        first.close();
        RawClient& second = raw_ldap();
        for (int id = 1; id < 30; ++id) {
            ask_raw(second, id, RawLdap::search(id, "uid=u1,ou=people," + base));
            rest(6);
        }
        for (const auto& seen : one.seen) {
            if (seen.op == Op::search) {
                EXPECT_EQ(seen.as, "");
            }
        }
        forget_clients();
        daemon.reset();
    }
}

// Nor does one that ran out of time: nobody knows how it ended.
TEST_F(Ldap, ABindThatRanOutOfTimeLeavesNothingBehind) {
    one.script = [](const auto& seen) {
        DirectoryServer::Fault fault;
        fault.delay_ms = seen.op == Op::bind ? 300 : 0;
        return fault;
    };
    start_with({&one}, false, "timeout = \"120ms\"");
    RawClient& client = raw_ldap();
    EXPECT_EQ(ask_raw(client, 1, RawLdap::bind(1, "uid=anna," + base, "anna-secret")).code,
              ldap::time_limit_exceeded);
    rest(350);
    EXPECT_EQ(ask_raw(client, 2, RawLdap::search(2, "uid=u1,ou=people," + base)).code, ldap::success);
    EXPECT_EQ(one.seen.back().as, "");
    EXPECT_NE(one.seen.back().connection, one.seen.front().connection);
}

TEST_F(Ldap, AClientCanNotSpeakForOthers) {
    start_with({&one}, true);
    RawClient& client = raw_ldap();
    ask_raw(client, 1, RawLdap::bind(1, "uid=anna," + base, "anna-secret"));
    const std::string control = RawLdap::control(ldap::oid::proxied, true, "dn:uid=berta," + base);
    EXPECT_EQ(ask_raw(client, 2, RawLdap::search(2, "ou=people," + base, 0, control)).code,
              ldap::authorization_denied);
    EXPECT_EQ(one.count(Op::search), 0u);
    EXPECT_EQ(ask_raw(client, 3, RawLdap::sasl(3, "first")).code, ldap::auth_method_not_supported);
    // The bind that failed has ended what it was.
    ask_raw(client, 4, RawLdap::search(4, "uid=u1,ou=people," + base));
    EXPECT_EQ(one.seen.back().as, "");
}

TEST_F(Ldap, ASaslBindOfSeveralStepsStaysWhereItBegan) {
    start_with({&one, &two, &three}, false);
    for (int i = 0; i < 10; ++i) {
        RawClient& client = raw_ldap();
        EXPECT_EQ(ask_raw(client, 1, RawLdap::sasl(1, "first")).code, ldap::sasl_bind_in_progress);
        EXPECT_EQ(ask_raw(client, 2, RawLdap::sasl(2, "second")).code, ldap::success);
        EXPECT_EQ(ask_raw(client, 3, RawLdap::search(3, "uid=u1,ou=people," + base)).code, ldap::success);
    }
    for (DirectoryServer* const server : servers())
        for (const auto& seen : server->seen) {
            if (seen.op == Op::search) {
                EXPECT_EQ(seen.as, "sasl");
            }
        }
}

}  // namespace
}  // namespace whinledge::test
