// What one proxy may hold to a server, and what it believes of the others' number.
#include "data_plane/connection_share.hpp"

#include <gtest/gtest.h>

#include <sstream>
#include <string>

namespace whinledge::data_plane {
namespace {

TEST(ConnectionShare, AllSharesAndThoseOfAsManyNewcomersFitTheServer) {
    for (const std::size_t connections : {96U, 110U, 440U, 480U, 510U})
        for (std::size_t proxies = 1; proxies <= 300; ++proxies) {
            const std::size_t share = connection_share(connections, {proxies, false});
            const std::size_t of_newcomer = connection_share(connections, {2 * proxies, true});
            if (share == 1 || of_newcomer == 1) continue;  // no less is possible
            EXPECT_LE(proxies * (share + of_newcomer), connections) << proxies << " of " << connections;
        }
}

TEST(ConnectionShare, OneIsAlwaysLeft) {
    EXPECT_EQ(connection_share(96, {300, false}), 1U);
    EXPECT_EQ(connection_share(96, {300, true}), 1U);
    EXPECT_EQ(connection_share(1, {0, false}), 1U);
}

TEST(ConnectionShare, WithoutABoundThereIsNoShare) {
    EXPECT_EQ(connection_share(0, {6, false}), 0U);
    EXPECT_EQ(connection_share(0, {0, true}), 0U);
}

TEST(ConnectionShare, FewProxiesHaveNearlyAllOfIt) {
    EXPECT_EQ(connection_share(480, {1, false}), 240U);
    EXPECT_EQ(connection_share(480, {6, false}), 60U);
    EXPECT_EQ(connection_share(96, {6, false}), 12U);
    EXPECT_EQ(connection_share(510, {64, false}), 6U);
}

TEST(ConnectionShare, OfAnUnknownNumberItFitsAsManyProxiesAsEachGetsConnections) {
    EXPECT_EQ(connection_share(480, {0, false}), 21U);
    EXPECT_EQ(connection_share(480, {0, true}), 21U);
}

// Lines "TIME told COUNT -> WHAT IS BELIEVED"; a proxy that started at 0.
void play(const std::string& timeline) {
    ProxyCount count(0);
    std::istringstream lines(timeline);
    for (std::string line; std::getline(lines, line);) {
        Millis now = 0;
        std::size_t told = 0, believed = 0;
        std::string word;
        if (!(std::istringstream(line) >> now >> word >> told >> word >> believed)) continue;
        count.told(told, now);
        EXPECT_EQ(count.sharers(now).proxies, believed) << line;
    }
}

TEST(ProxyCount, AHigherCountHoldsAtOnceAndALowerOneLater) {
    play(R"(
            0  told   0  ->   0
          500  told  64  ->  64
         1500  told  32  ->  64
        10000  told  32  ->  64
        10600  told  32  ->  32
        10700  told  70  ->  70
        15000  told  70  ->  70
        24000  told  40  ->  70
        25500  told  30  ->  40)");
}

// A control process that is cut off hears of fewer; the others go on telling the right number.
TEST(ProxyCount, WhoTellsOfFewerBesideOthersIsNotBelieved) {
    play(R"(
            0  told  64  ->  64
          900  told   9  ->  64
         9000  told  63  ->  64
        11000  told   9  ->  63
        18000  told  63  ->  63
        22000  told   9  ->  63
        29000  told   9  ->   9)");
}

TEST(ProxyCount, AProxyIsANewcomerUntilOthersMustHaveHeardOfIt) {
    const ProxyCount count(1000);
    EXPECT_TRUE(count.sharers(1000 + ProxyCount::kNewcomer - 1).newcomer);
    EXPECT_FALSE(count.sharers(1000 + ProxyCount::kNewcomer).newcomer);
}

}  // namespace
}  // namespace whinledge::data_plane
