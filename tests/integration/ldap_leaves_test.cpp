// LDAP's clients that leave while they are not read, and what idles where a connect wants its descriptor.
#include "rig/ldap_rig.hpp"
#include "rig/no_sockets.hpp"
#include "rig/starved.hpp"

namespace whinledge::test {
namespace {

struct LdapLeaves : LdapRig {
    const std::string search = RawLdap::search(1, "ou=people," + base);
    // A bind waits for what is open, and nothing behind it is read.
    const std::string bind = RawLdap::bind(2, "uid=anna," + base, "anna-secret");

    void start_two() { start_with({&one, &two}, false, "timeout = \"5s\""); }
    void until_forgotten() {
        const RunTime since;
        until([&] { return daemon->clients() == 0 && open() == 0; });
        EXPECT_LT(since.ms(), 100);
    }
};

TEST_F(LdapLeaves, ItsEndIsSeenBehindWhatNobodyReads) {
    one.script = two.script = [](const auto&) {
        DirectoryServer::Fault fault;
        fault.silent = true;
        return fault;
    };
    for (const bool reset : {false, true}) {
        SCOPED_TRACE(reset);
        start_two();
        RawClient& c = raw_ldap();
        const std::size_t before = seen(ldap::Op::search);
        c.send(search + bind);
        until([&] { return seen(ldap::Op::search) > before; });
        c.send(bind);  // lies unread
        if (reset) c.socket().set_option(asio::socket_base::linger(true, 0));
        c.close();
        until_forgotten();
        forget_clients();
        daemon.reset();
    }
}

// The proof that its attempt never ran is there ahead of the next look for who has gone.
TEST_F(LdapLeaves, NoFurtherAttemptBeginsForWhoIsNotRead) {
    one.script = two.script = [](const auto&) {
        DirectoryServer::Fault fault;
        fault.code = ldap::busy;
        return fault;
    };
    for (int round = 0; round < 5; ++round) {
        SCOPED_TRACE(round);
        one.freeze();
        two.freeze();
        start_two();
        const std::size_t before = seen(ldap::Op::search);
        RawClient& c = raw_ldap();
        c.send(search + bind);
        until([&] { return open() == 1; });
        c.close();
        one.thaw();
        two.thaw();
        until_forgotten();
        EXPECT_LE(seen(ldap::Op::search), before + 1) << "sent on for nobody";
        forget_clients();
        daemon.reset();
    }
}

TEST_F(LdapLeaves, AServersConnectLetsGoWhoIdles) {
    start_two();
    RawClient& idle = raw_ldap();
    EXPECT_EQ(ask_raw(idle, 1, search).code, ldap::success);
    RawClient& busy = raw_ldap();
    until([&] { return daemon->clients() == 2; });
    const NoSockets wanting(1);
    EXPECT_EQ(ask_raw(busy, 3, RawLdap::search(3, "ou=people," + base)).code, ldap::success);
    EXPECT_EQ(wanting.refused(), 1u);
    until([&] { return idle.ended; });
    EXPECT_FALSE(busy.ended);
}

}  // namespace
}  // namespace whinledge::test
