// Ids of requests: none is taken twice while a request of its kind may be open, however long its class gives
// it. On a clock that the test sets.
#include "rig/net_rig.hpp"

namespace whinledge::test {
namespace {

struct RecentIds : NetRig {
    // With a, and with classes that give up after so long.
    void start_with(const std::string& give_up_ms) {
        set_clock();
        std::string config = config_json(agent.address(), list_json(41, true, {{"s-a", a.address()}}));
        const std::string usual = "\"give-up-ms\":60000.0";
        for (std::size_t at; (at = config.find(usual)) != std::string::npos;)
            config.replace(at, usual.size(), "\"give-up-ms\":" + give_up_ms);
        sidecar.emplace(io, read_config(config), *clock);
    }
    unsigned status(const std::string& id) { return ask(request("listen", id, 60000)).result_int(); }
};

// Others come each few seconds, so that what is old is forgotten as early as may be.
TEST_F(RecentIds, AnIdIsUsedUpForAsLongAsItsRequestMayBeOpen) {
    start_with("30000.0");
    a.script = silence;
    TestClient& open = client();
    open.send(request("listen", "id", 30000));
    until([&] { return a.requests.size() == 1; });
    a.script = serve;
    for (int seconds = 3; seconds <= 30; seconds += 3) {
        time.at += 3000;
        EXPECT_EQ(status("other-" + std::to_string(seconds)), 200u);
        EXPECT_EQ(status("id"), 409u) << "after " << seconds << " s";
    }
    EXPECT_TRUE(open.answers.empty());
}

TEST_F(RecentIds, AnIdIsUsedUpForFourSecondsAtLeastAndNotForEver) {
    start_with("900.0");
    EXPECT_EQ(status("id"), 200u);
    for (int i = 0; i < 4; ++i) {
        time.at += 1000;
        EXPECT_EQ(status("id"), 409u);
    }
    for (int i = 0; i < 2; ++i) {
        time.at += 4001;
        EXPECT_EQ(status("other-" + std::to_string(i)), 200u);
    }
    EXPECT_EQ(status("id"), 200u);
}

}  // namespace
}  // namespace whinledge::test
