// The rules, counted over thousands of LDAP operations at servers that fail at random.
#include <map>
#include <random>

#include "rig/ldap_rig.hpp"

namespace whinledge::test {
namespace {

using ldap::Op;

struct LdapRules : LdapRig {
    std::mt19937 random{7};
    DirectoryServer::Fault draw(const DirectoryServer::Seen& seen) {
        DirectoryServer::Fault fault;
        const bool bind = seen.op == Op::bind;
        switch (random() % (bind ? 200 : 80)) {
            case 0:
                fault.close = true;
                break;
            case 1:
                fault.reset = true;
                break;
            case 2:
                fault.half = true;
                break;
            case 3:
                fault.code = ldap::busy;
                break;
            case 4:
                fault.code = ldap::unavailable;
                break;
            case 5:
                fault.silent = !bind;
                break;
            case 6:
                if (seen.op == Op::search) fault.entries = random() % 4;
                break;
            case 7:
                fault.delay_ms = static_cast<int>(random() % 30);
                break;
            case 8:
                if (random() % 8 == 0) fault.raw = "\x30\x03\x02\x01";
                break;
            default:
                break;
        }
        return fault;
    }
    struct Asked {
        RawClient* client;
        ldap::MessageId id;
        std::string dn;  // of changes
    };
    // So many operations, a third of them changes, each of an entry of its own.
    void play(bool proxied, int clients, int each) {
        for (DirectoryServer* const server : servers())
            server->script = [this](const auto& seen) { return draw(seen); };
        start_with({&one, &two, &three}, proxied, "timeout = \"300ms\"");
        std::vector<Asked> asked;
        int number = 0;
        std::vector<RawClient*> all;
        std::vector<int> sent(static_cast<std::size_t>(clients), 0);
        for (int i = 0; i < clients; ++i) all.push_back(&raw_ldap());
        const int total = clients * each;
        while (number < total) {
            for (std::size_t i = 0; i < all.size() && number < total; ++i) {
                if (all[i]->ended) all[i] = &raw_ldap();  // told to come again
                std::string bytes;
                for (int k = 0; k < 5 && number < total; ++k) {
                    const ldap::MessageId id = ++sent[i];
                    ++number;
                    const bool change = number % 3 == 0;
                    const std::string dn = "cn=c" + std::to_string(number) + "," + base;
                    asked.push_back({all[i], id, change ? dn : ""});
                    bytes += change ? RawLdap::modify(id, dn) : RawLdap::search(id, "ou=people," + base);
                }
                try {
                    all[i]->send(bytes);
                } catch (const std::exception&) {  // it was told to come again just now
                }
            }
            io.restart();
            io.run_for(std::chrono::milliseconds(2));
            until([&] { return open() < 20; });
        }
        std::map<RawClient*, std::pair<std::size_t, std::size_t>> heard;  // finals among so many bytes
        const auto settled = [&] {
            std::map<RawClient*, std::size_t> wanted;
            for (const Asked& a : asked) ++wanted[a.client];
            for (const auto& [client, count] : wanted) {
                auto& [bytes, finals] = heard[client];
                if (client->ended) continue;
                if (bytes != client->text.size()) {
                    bytes = client->text.size();
                    finals = 0;
                    for (const auto& each_got : got(*client)) finals += each_got.op != Op::entry;
                }
                if (finals < count) return false;
            }
            return open() == 0;
        };
        until(settled);
        rest(30);
        std::map<std::pair<RawClient*, ldap::MessageId>, std::vector<RawLdap::Got>> finals;
        for (RawClient& client : raw)
            for (const auto& each_got : got(client))
                if (each_got.op != Op::entry && each_got.id != 0)
                    finals[{&client, each_got.id}].push_back(each_got);
        int served = 0, lost = 0;
        for (const Asked& a : asked) {
            const auto& ends = finals[{a.client, a.id}];
            EXPECT_LE(ends.size(), 1u) << "one outcome";
            // Without an end is only what a connection held that was closed with a notice.
            if (ends.empty()) {
                EXPECT_TRUE(a.client->ended) << a.id;
                ++lost;
            }
            const int ran = a.dn.empty() ? 0 : changes(a.dn);
            EXPECT_LE(ran, 1) << a.dn << ": rule 2";
            if (ends.empty()) continue;
            served += ends[0].code == ldap::success;
            if (a.dn.empty()) continue;
            if (ends[0].code == ldap::success) {
                EXPECT_EQ(ran, 1) << a.dn;
            }
            if (ends[0].code == ldap::busy) {
                EXPECT_EQ(ran, 0) << a.dn << ": called harmless";
            }
        }
        EXPECT_GT(served, total / 2);
        if (proxied) {
            EXPECT_EQ(lost, 0);
        }
    }
};

TEST_F(LdapRules, HoldOverTenThousandOperationsOfTheService) { play(true, 20, 500); }
TEST_F(LdapRules, HoldOverConnectionsOfClients) { play(false, 20, 100); }

}  // namespace
}  // namespace whinledge::test
