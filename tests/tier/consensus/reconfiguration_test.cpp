// Who should be the acceptors. Disks are letters; an address is the letter in lower case, whatever disk is
// there.
#include "consensus/reconfiguration.hpp"

#include <gtest/gtest.h>

#include <cctype>

#include "words.hpp"

namespace whinledge::consensus {
namespace {

using test::words;

constexpr Millis kNow = 100'000;

// "a" at address a; "a2" is the disk that came there after a wipe.
wire::Acceptor disk(const std::string& name) {
    wire::Acceptor acceptor;
    acceptor.identity = name[0] * 10 + (name.size() > 1 ? name[1] - '0' : 0);
    acceptor.node = acceptor.address = name.substr(0, 1);
    acceptor.zone = "zone-" + acceptor.node;
    return acceptor;
}

// `heard`: "a b:3000 c:900?": b was heard 3 s ago, and c, which did not answer when it was asked, 900 ms.
std::string next(const std::string& current, const std::string& heard, int losses = 1,
                 Millis watching_since = 0) {
    Acceptors acceptors;
    for (const std::string& name : words(current)) acceptors.push_back(disk(name));
    std::vector<HeardAcceptor> all;
    for (const std::string& word : words(heard)) {
        const std::size_t colon = word.find(':');
        const Millis age = colon == std::string::npos ? 0 : std::stoll(word.substr(colon + 1));
        const bool answered = age <= 2000 && !word.ends_with('?');
        all.push_back({disk(word.substr(0, colon)), kNow - age, 0, answered});
    }
    ReconfigurationLimits limits;
    limits.survive.machines = losses;
    limits.watching_since = watching_since;
    const auto result = next_acceptors(acceptors, all, kNow, limits);
    if (!result) return "stay";
    std::string line;
    for (const wire::Acceptor& acceptor : *result) {
        if (!line.empty()) line += ' ';
        line += static_cast<char>(acceptor.identity / 10);
        if (acceptor.identity % 10 != 0) line += std::to_string(acceptor.identity % 10);
    }
    return line;
}

TEST(Reconfiguration, StaysWhileAllAreThere) { EXPECT_EQ(next("a b c", "a b c"), "stay"); }

TEST(Reconfiguration, AWipedDiskGivesWayAtOnce) { EXPECT_EQ(next("a b c", "a b c2"), "a b c2"); }

TEST(Reconfiguration, ASpareIsAdded) { EXPECT_EQ(next("a b c", "a b c d"), "a b c d"); }

TEST(Reconfiguration, OneThatIsSilentIsReplacedByASpareWhereMoreIsBorneThen) {
    EXPECT_EQ(next("a b c", "a b c:1500? d"), "a b c d");  // it may come back
    EXPECT_EQ(next("a b c", "a b c:3000 d"), "a b d");
    EXPECT_EQ(next("a b c d", "a b c:3000 d"), "a b d");
    EXPECT_EQ(next("a b c d", "a b c d:3000 e"), "a b c d e");  // four of five bear as much as four of four
    EXPECT_EQ(next("a b c d", "a b c d:6000 e"), "a b c e");
}

TEST(Reconfiguration, OfSeveralThatAreSilentAsManyGoAsHelps) {
    EXPECT_EQ(next("a b c d e", "a b c d:3000 e:2500"), "a b c");
    EXPECT_EQ(next("a b c d e", "a b c d:3000 e:1500?"), "stay");
    EXPECT_EQ(next("a b c d e", "a b c d:3000 e:2500", 2), "stay");
    EXPECT_EQ(next("a b c d e", "a b c d:3000 e:2500 f", 2), "a b c e f");
    EXPECT_EQ(next("a b c d e", "a b c d:3000 e:2500 f g", 2), "a b c f g");
    EXPECT_EQ(next("a b c d e f g", "a b c d e f:3000 g:2500 h i", 2), "a b c d e h i");
}

TEST(Reconfiguration, WhoWasNotThereSinceTheWatchBeganHasLonger) {
    EXPECT_EQ(next("a b c d", "a b c d:3000", 1, kNow - 2500), "stay");
    EXPECT_EQ(next("a b c d", "a b c d:3000", 1, kNow - 3500), "a b c");
}

TEST(Reconfiguration, OneThatIsGoneIsKeptWhereNoneTakesItsPlace) {
    EXPECT_EQ(next("a b c", "a b c:6000"), "stay");
    EXPECT_EQ(next("a b c", "a b"), "stay");
}

TEST(Reconfiguration, OneThatIsGoneIsDroppedWhereTheRestBearsTheLosses) {
    EXPECT_EQ(next("a b c d", "a b c d:1500?"), "stay");
    EXPECT_EQ(next("a b c d", "a b c d:3000"), "a b c");
    EXPECT_EQ(next("a b c d", "a b c d:6000"), "a b c");
    EXPECT_EQ(next("a b c d e", "a b c d:6000 e:6000"), "a b c");
    EXPECT_EQ(next("a b c d e", "a b c d:6000 e:6000", 2), "stay");
}

TEST(Reconfiguration, WhoHasJustBegunToWatchTakesNobodyForGone) {
    EXPECT_EQ(next("a b c d", "a b c", 1, kNow - 3000), "stay");
    EXPECT_EQ(next("a b c d", "a b c", 1, kNow - 6000), "a b c");
    EXPECT_EQ(next("a b c d", "a b c d2", 1, kNow - 3000), "a b c d2");
}

TEST(Reconfiguration, NoSetIsProposedWithoutItsMajority) {
    EXPECT_EQ(next("a b c", "a b:6000 c:6000"), "stay");
    EXPECT_EQ(next("a b c", "a b:6000 c2:6000"), "stay");
    EXPECT_EQ(next("a b c", "a b:3000 c:3000 d"), "stay");
}

TEST(Reconfiguration, SevenAreEnough) {
    EXPECT_EQ(next("a b c d e f", "a b c d e f g h"), "a b c d e f g");
    EXPECT_EQ(next("a b c d e f g", "a b c d e f g h"), "stay");
    EXPECT_EQ(next("a b c d e f g", "a b c d e f h"), "a b c d e f h");
}

}  // namespace
}  // namespace whinledge::consensus
