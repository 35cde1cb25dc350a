// What changes between two services files.
#include "config/diff.hpp"
#include "unit/services_rig.hpp"

namespace whinledge::config::test {
namespace {

Lines changes(const std::string& before, const std::string& after) {
    return describe(difference(right(before), right(after)));
}

std::string with(std::string text, const std::string& part, const std::string& other) {
    const auto at = text.find(part);
    EXPECT_NE(at, std::string::npos) << part;
    return at == std::string::npos ? text : text.replace(at, part.size(), other);
}

TEST(ServicesDiff, TheSameFileElsewhereChangesNothing) {
    EXPECT_TRUE(difference(right(kBase), right("\n\n" + kBase)).empty());
    EXPECT_EQ(changes(sample(), "# moved\n" + sample()), Lines{});
}

TEST(ServicesDiff, EachChangeOfTheSample) {
    struct Case {
        std::string from, to;
        Lines lines;
    };
    const std::vector<Case> cases{
        {"drain = \"30s\"", "drain = \"31s\"", {"process: changed in place (drain)"}},
        {"descriptors = 1024", "seed = 5", {"process: changed in place (seed)"}},
        {"head_timeout = \"2500ms\"",
         "head_timeout = \"2s\"",
         {"listener edge: changed in place (head_timeout)"}},
        {"most = 600", "most = 601", {"listener edge: changed in place (limits)"}},
        {"address = \"127.0.0.1:17080\"",
         "address = \"127.0.0.1:17081\"",
         {"listener edge: replaced (address)"}},
        {"name = \"edge\"\n",
         "name = \"edge\"\nvia = \"x\"\nprofile = \"http\"\n",
         {"listener edge: changed in place (via)"}},
        {"most = 20 }", "most = 21 }", {"pool archive: changed in place (limits)"}},
        {"127.0.0.1:17102", "127.0.0.1:17103", {"pool archive: changed in place (members.list)"}},
        {"[\"127.0.0.1:17101\", \"127.0.0.1:17102\"]", "[\"127.0.0.1:17102\", \"127.0.0.1:17101\"]", {}},
        {"connect_timeout = \"100ms\"",
         "idle_close = \"9s\"",
         {"pool search: changed in place (connect_timeout, idle_close)"}},
        {"max_attempts = 3", "max_attempts = 4", {"pool archive: replaced (decisions)"}},
        {"max_attempts = 3",
         "max_attempts = 3\nsiblings = 2\nidle_close = \"9s\"",
         {"pool archive: replaced (decisions, idle_close)"}},
        {"aim = \"200ms\"", "aim = \"201ms\"", {"pool search: replaced (class)"}},
        {"source = \"list\"\nlist = [\"127.0.0.1:17101\", \"127.0.0.1:17102\"]",
         "source = \"file\"\npath = \"m\"",
         {"pool archive: replaced (members, members.list)"}},
        {"weight = 9", "weight = 8", {"route search: changed in place (route)"}},
        {"name = \"ready\"", "name = \"alive\"", {"route alive: added", "route ready: removed"}},
    };
    for (const Case& each : cases)
        EXPECT_EQ(changes(sample(), with(sample(), each.from, each.to)), each.lines);
}

// The module's types have no comparison of their own: each member has to count in ours.
TEST(ServicesDiff, EverySettingCounts) {
    using Edit = void (*)(Settings&);
    const std::vector<Edit> edits{[](Settings& s) { s.classes[0].effect = Effect::by_key; },
                                  [](Settings& s) { s.classes[0].dedup_scope = DedupScope::zone; },
                                  [](Settings& s) { s.classes[0].dedup_window = 1; },
                                  [](Settings& s) { s.classes[0].aim = 1; },
                                  [](Settings& s) { s.classes[0].aim_stretch = 1; },
                                  [](Settings& s) { s.classes[0].worth = 2; },
                                  [](Settings& s) { s.classes[0].zones = {{1}}; },
                                  [](Settings& s) { s.classes[0].kinds = {{1}}; },
                                  [](Settings& s) { s.classes.pop_back(); },
                                  [](Settings& s) { s.my_zone = 1; },
                                  [](Settings& s) { s.siblings = 2; },
                                  [](Settings& s) { s.list_on_request = true; },
                                  [](Settings& s) { s.ask_within = 1; },
                                  [](Settings& s) { s.max_attempts = 1; },
                                  [](Settings& s) { s.parallel_tries = true; },
                                  [](Settings& s) { s.may_cancel = false; },
                                  [](Settings& s) { s.cold_from = 0; },
                                  [](Settings& s) { s.warm_within = 1; },
                                  [](Settings& s) { s.fall_multiple = 3; },
                                  [](Settings& s) { s.saturated_is_no_proof = true; },
                                  [](Settings& s) { s.tenant_shares = {1}; },
                                  [](Settings& s) { s.over_share_worth = 0; },
                                  [](Settings& s) { s.fees.cross_zone = 1; }};
    const Services before = right(kBase);
    for (std::size_t i = 0; i < edits.size(); ++i) {
        Services after = before;
        edits[i](after.pools[0].decisions);
        EXPECT_FALSE(after == before) << i;
        EXPECT_EQ(difference(before, after).pools[0].change, Change::replaced) << i;
    }
}

TEST(ServicesDiff, PoolsAndListenersComeAndGo) {
    const std::string other = with(with(kBase, "pool.a", "pool.b"), "pool = \"a\"", "pool = \"b\"");
    EXPECT_EQ(changes(kBase, other),
              (Lines{"pool b: added", "pool a: removed", "route r: changed in place (route)"}));
    EXPECT_EQ(changes(kBase, with(kBase, "\"l\"", "\"m\"")),
              (Lines{"listener m: added", "listener l: removed"}));
}

TEST(ServicesDiff, TheOrderOfRoutesIsTold) {
    const std::string other = "[[route]]\nname = \"s\"\npool = \"a\"\n";
    EXPECT_EQ(changes(kBase + other, kListener + kPool + other + kRoute),
              (Lines{"routes: in another order"}));
    const Difference found = difference(right(kBase + other), right(kBase));
    EXPECT_TRUE(found.routes_changed());
    EXPECT_FALSE(found.routes_reordered);
    EXPECT_FALSE(found.empty());
}

}  // namespace
}  // namespace whinledge::config::test
