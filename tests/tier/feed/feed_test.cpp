// A feed that watches scripted control processes over loopback, all in one loop.
#include "feed/feed.hpp"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "../runs_until.hpp"
#include "feed/told_controls.hpp"
#include "feed/watch.hpp"
#include "rpc/server.hpp"

namespace whinledge::feed {
namespace {

using Tcp = boost::asio::ip::tcp;
using Responder = rpc::Server::Responder<wire::WatchReply>;
using namespace std::chrono_literals;

// Of what a test waits for at most.
constexpr auto kLimit = 10s;

// A control process that knows what its test gives it, and keeps polls until it is told to answer.
class Control {
public:
    Control(boost::asio::io_context& io, const std::string& zone)
        : server_(io, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)) {
        info.node = "control-" + zone;
        info.zone = zone;
        info.address = std::string("127.0.0.1:").append(std::to_string(server_.address().port()));
        info.role = wire::NodeRole::control;
        server_.on(kWatch, std::function([this](const wire::WatchRequest& request, Responder respond) {
                       asked.push_back(request);
                       held_.emplace_back(request, respond);
                       if (!frozen && (request.fresh || behind(request))) answer();
                   }));
    }

    // Answers what is held. State and list go to those who lack them and want them.
    void answer() {
        for (auto& [request, respond] : std::exchange(held_, {})) respond(reply_to(request));
    }
    std::size_t held() const { return held_.size(); }
    std::size_t whole_answers() const { return whole_; }

    wire::NodeInfo info;
    wire::RegisterState state;
    wire::ServersList servers;
    std::vector<wire::NodeInfo> controls;
    std::optional<std::int32_t> proxies;  // told, where there is a number
    bool majority = true, frozen = false;
    bool earlier_build = false;     // names the control processes in every reply
    std::size_t told_controls = 0;  // replies that name them
    std::vector<wire::WatchRequest> asked;

private:
    bool behind(const wire::WatchRequest& request) const {
        return state.sequence > request.sequence ||
               list_is_newer(servers.term, servers.sequence, request.list_term, request.list_sequence);
    }
    wire::WatchReply reply_to(const wire::WatchRequest& request) {
        wire::WatchReply reply;
        reply.sequence = state.sequence;
        reply.list_term = servers.term;
        reply.list_sequence = servers.sequence;
        if (!request.announce_only) {
            if (state.sequence > request.sequence) reply.__set_state(state);
            if (list_is_newer(servers.term, servers.sequence, request.list_term, request.list_sequence))
                reply.__set_servers(servers);
            if (reply.__isset.state) ++whole_;
        }
        if (earlier_build)
            reply.controls = controls;
        else
            tell_controls(controls, request.controls_version, reply);
        if (!reply.controls.empty()) ++told_controls;
        reply.fresh = request.fresh && majority;
        if (proxies) reply.__set_proxies(*proxies);
        return reply;
    }

    rpc::Server server_;
    std::vector<std::pair<wire::WatchRequest, Responder>> held_;
    std::size_t whole_ = 0;
};

class FeedTest : public ::testing::Test {
protected:
    FeedTest() {
        for (Control* control : all()) {
            control->state.sequence = 3;
            control->state.version = 30;
            control->controls = {a.info, b.info, c.info};
        }
    }
    std::vector<Control*> all() { return {&a, &b, &c}; }

    void start(std::vector<std::string> seeds) {
        Feed::Options options;
        options.self.node = "edge-1";
        options.self.zone = "z1";
        options.seeds = std::move(seeds);
        feed = std::make_unique<Feed>(io, client, options);
        feed->on_state = [this](const wire::RegisterState& state) { states.push_back(state.sequence); };
        feed->on_servers = [this](const wire::ServersList& list) { lists.push_back(list.term); };
        feed->on_confirmed = [this] { ++confirmed; };
        feed->on_proxies = [this](std::size_t proxies) { told_proxies.push_back(proxies); };
        feed->start();
    }
    template <class Done>
    void run_until(Done done) {
        ASSERT_TRUE(runs_until(io, std::move(done), kLimit)) << feed->counters();
    }
    // Confirmed, and all channels wait for news.
    void settle() {
        run_until([this] { return confirmed > 0 && waiting(); });
    }
    bool waiting() {
        for (Control* control : all())
            if (!control->frozen && (control->held() != 1 || control->asked.back().fresh)) return false;
        return true;
    }
    // The same, and one of them waits for the whole of it: what the others announce has not come by them.
    void settle_on_main(Control& main) {
        settle();
        run_until([&] {
            bool as_wanted = true;
            for (Control* control : all()) {
                if (control->asked.back().announce_only == (control != &main)) continue;
                as_wanted = false;
                if (control->held() == 1) control->answer();  // without news: it is asked again
            }
            return as_wanted && waiting();
        });
    }

    boost::asio::io_context io;
    rpc::Client client{io};
    Control a{io, "z1"}, b{io, "z2"}, c{io, "z3"};
    std::unique_ptr<Feed> feed;
    std::vector<std::int64_t> states, lists;
    std::vector<std::size_t> told_proxies;
    int confirmed = 0;
};

TEST_F(FeedTest, LearnsTheStateAndWhoElseThereIsFromOneSeed) {
    start({b.info.address});
    settle();
    EXPECT_EQ(states, (std::vector<std::int64_t>{3}));
    EXPECT_EQ(feed->state().version, 30);
    EXPECT_TRUE(feed->confirmed());
    EXPECT_EQ(feed->controls().size(), 3U);
}

TEST_F(FeedTest, TheNumberOfLiveProxiesIsPassedOnAsEachControlProcessTellsIt) {
    a.proxies = 64;
    b.proxies = 0;  // c tells none, as an earlier build
    start({a.info.address});
    settle();
    ASSERT_FALSE(told_proxies.empty());
    EXPECT_EQ(std::set<std::size_t>(told_proxies.begin(), told_proxies.end()), (std::set<std::size_t>{64}));
    told_proxies.clear();
    a.proxies = -5;
    b.proxies = 65;
    for (Control* control : all()) control->answer();
    run_until([this] { return !told_proxies.empty() && waiting(); });
    EXPECT_EQ(told_proxies, (std::vector<std::size_t>{65}));
}

TEST_F(FeedTest, ControlProcessesAreToldOfWhenTheyChanged) {
    b.earlier_build = true;
    start({a.info.address, b.info.address});
    settle();
    const auto answers = [this](int times) {
        for (int i = 0; i < times; ++i) {
            const std::size_t before = a.asked.size(), before_b = b.asked.size();
            a.answer();
            b.answer();
            run_until([&] { return a.asked.size() > before && b.asked.size() > before_b && waiting(); });
        }
    };
    answers(2);
    const std::size_t a_told = a.told_controls, b_told = b.told_controls;
    answers(3);
    EXPECT_EQ(a.told_controls, a_told);
    EXPECT_NE(a.asked.back().controls_version, 0);
    EXPECT_EQ(b.told_controls, b_told + 3) << "of an earlier build";
    EXPECT_EQ(feed->controls().size(), 3U);
    a.controls[1].started_ms = 9;
    answers(1);
    EXPECT_EQ(a.told_controls, a_told + 1);
    answers(1);
    EXPECT_EQ(a.told_controls, a_told + 1);
}

TEST_F(FeedTest, IsNotConfirmedWithoutAMajority) {
    for (Control* control : all()) control->majority = false;
    start({a.info.address, b.info.address});
    run_until([this] { return a.asked.size() >= 3; });
    EXPECT_EQ(feed->state().sequence, 3);
    EXPECT_FALSE(feed->confirmed());
    EXPECT_EQ(confirmed, 0);
    a.majority = true;
    run_until([this] { return confirmed == 1; });
}

// Hundreds of processes may start at once, and a state with a long list fills a link: it is sent once to
// each.
TEST_F(FeedTest, TheFirstStateIsBroughtByOneChannel) {
    start({a.info.address, b.info.address, c.info.address});
    run_until([this] { return confirmed == 1; });
    std::size_t whole = 0, fresh = 0;
    for (Control* control : all()) {
        whole += control->whole_answers();
        for (const wire::WatchRequest& request : control->asked) fresh += request.fresh ? 1 : 0;
    }
    EXPECT_EQ(whole, 1U);
    EXPECT_EQ(fresh, 1U);
}

TEST_F(FeedTest, AFirstChannelThatIsSilentGivesWay) {
    for (Control* main : all()) {
        for (Control* control : all()) control->asked.clear();
        main->frozen = true;
        confirmed = 0;
        start({a.info.address, b.info.address, c.info.address});
        run_until([this] { return confirmed == 1; });
        main->frozen = false;
        main->answer();
    }
}

// A control process on the small side of a cut answers, and can't confirm anything.
TEST_F(FeedTest, AFirstChannelWithoutAMajorityGivesWay) {
    for (Control* cut : all()) {
        cut->majority = false;
        confirmed = 0;
        start({a.info.address, b.info.address, c.info.address});
        run_until([this] { return confirmed == 1; });
        cut->majority = true;
    }
}

TEST_F(FeedTest, ChannelOfTheOwnZoneBringsTheWhole) {
    start({a.info.address, b.info.address, c.info.address});
    settle_on_main(a);
    const std::size_t before = b.whole_answers() + c.whole_answers();
    for (Control* control : all()) control->state.sequence = 4;
    for (Control* control : {&a, &b, &c}) control->answer();
    run_until([this] { return states.back() == 4 && waiting(); });
    EXPECT_EQ(b.whole_answers() + c.whole_answers(), before) << "the others only announced it";
}

TEST_F(FeedTest, AnnouncementIsFetchedFromWhoMadeItWhenTheMainChannelIsSlow) {
    start({a.info.address, b.info.address, c.info.address});
    settle_on_main(a);
    a.frozen = true;
    c.state.sequence = 9;
    c.answer();
    run_until([this] { return feed->state().sequence == 9; });
    EXPECT_EQ(states, (std::vector<std::int64_t>{3, 9}));
    EXPECT_GE(c.whole_answers(), 1U);
}

TEST_F(FeedTest, OlderStatesFromAnotherAreNotTaken) {
    a.state.sequence = 8;
    start({a.info.address, b.info.address});
    settle();
    EXPECT_EQ(feed->state().sequence, 8);
    EXPECT_EQ(states.back(), 8);
    for (std::size_t i = 1; i < states.size(); ++i) EXPECT_GT(states[i], states[i - 1]);
}

TEST_F(FeedTest, DeadSeedDelaysNothing) {
    start({"127.0.0.1:1", c.info.address});
    settle();
    EXPECT_EQ(feed->state().sequence, 3);
}

TEST_F(FeedTest, ListIsHandedOn) {
    start({a.info.address, b.info.address, c.info.address});
    settle();
    for (Control* control : all()) {
        control->servers.term = 5;
        control->servers.sequence = 1;
        control->servers.servers.resize(2);
        control->answer();
    }
    run_until([this] { return !lists.empty(); });
    EXPECT_EQ(lists, (std::vector<std::int64_t>{5}));
    EXPECT_EQ(feed->servers().servers.size(), 2U);
}

TEST_F(FeedTest, StorageNoteGoesWithThePolls) {
    start({a.info.address});
    settle();
    feed->set_storage_note("synced");
    a.answer();
    run_until([this] { return a.asked.back().storage_note == "synced"; });
}

TEST_F(FeedTest, EndedByWhoIsTold) {
    start({a.info.address, b.info.address});
    bool told = false;
    feed->on_state = [&](const wire::RegisterState&) {
        told = true;
        feed.reset();
    };
    io.restart();
    for (int turns = 0; turns < 5000 && !told; ++turns) io.run_one_for(50ms);
    EXPECT_TRUE(told);
    io.run_for(10ms);
}

}  // namespace
}  // namespace whinledge::feed
