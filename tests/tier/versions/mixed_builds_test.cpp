// Processes of the build before lists travelled as differences, beside those of this one: they are sent the
// whole.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "control_plane/watch_service.hpp"
#include "overlay/relay_tree.hpp"
#include "rpc/client.hpp"

namespace whinledge::versions {
namespace {

using namespace std::chrono_literals;
using Tcp = boost::asio::ip::tcp;

// ---- A watcher and a control process

class Watch : public ::testing::Test {
protected:
    Watch()
        : server_(io_, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)),
          service_(io_, server_, source()) {
        list_.term = 2;
        list_.sequence = 8;
        list_.servers.resize(3);
    }

    wire::WatchReply ask(bool takes_differences) {
        wire::WatchRequest request;
        request.who.node = "edge-1";
        request.list_term = 2;
        request.list_sequence = 7;
        request.differences = takes_differences;
        std::optional<wire::WatchReply> reply;
        client_.call<wire::WatchRequest, wire::WatchReply>(
            std::string("127.0.0.1:").append(std::to_string(server_.address().port())), feed::kWatch, request,
            5000ms, [&reply](rpc::Result<wire::WatchReply> answer) {
                if (answer) reply = answer.value();
            });
        const auto limit = std::chrono::steady_clock::now() + 10s;
        while (!reply && std::chrono::steady_clock::now() < limit) io_.run_one_for(50ms);
        EXPECT_TRUE(reply);
        return reply.value_or(wire::WatchReply());
    }

private:
    control_plane::WatchService::Source source() {
        control_plane::WatchService::Source source;
        source.state = [this]() -> const wire::RegisterState& { return state_; };
        source.servers = [this]() -> const wire::ServersList& { return list_; };
        source.difference_since = [this](std::int64_t term, std::int64_t sequence) {
            wire::ServersDifference difference;
            difference.base_term = term;
            difference.base_sequence = sequence;
            difference.term = list_.term;
            difference.sequence = list_.sequence;
            return std::optional(difference);
        };
        source.list_alive = [] { return true; };
        source.controls = [] { return std::vector<wire::NodeInfo>(3); };
        source.read = [](std::function<void(std::optional<wire::RegisterState>)>) {};
        source.heard = [](const wire::WatchRequest&) {};
        return source;
    }

    boost::asio::io_context io_;
    rpc::Client client_{io_};
    rpc::Server server_;
    wire::RegisterState state_;
    wire::ServersList list_;
    control_plane::WatchService service_;
};

TEST_F(Watch, AnEarlierWatcherIsSentTheWholeList) {
    const wire::WatchReply reply = ask(false);
    EXPECT_TRUE(reply.__isset.servers);
    EXPECT_EQ(reply.servers.servers.size(), 3U);
    EXPECT_FALSE(reply.__isset.difference);
}

TEST_F(Watch, AnEarlierWatcherIsToldOfAllControlProcessesEachTime) {
    for (int i = 0; i < 2; ++i) EXPECT_EQ(ask(false).controls.size(), 3U);
}

TEST_F(Watch, OneThatTakesDifferencesIsSentThose) {
    const wire::WatchReply reply = ask(true);
    EXPECT_TRUE(reply.__isset.difference);
    EXPECT_FALSE(reply.__isset.servers);
}

// ---- Relays: a text that grows by a letter with each version, down a line of processes

constexpr overlay::Topic kText = 2;
constexpr overlay::Millis kOneWay = 5;

class TextKeeper final : public overlay::Keeper {
public:
    bool apply(overlay::Topic, const std::string& difference) override {
        text += difference;
        return true;
    }
    bool replace(overlay::Topic, const std::string& body) override {
        text = body;
        return true;
    }
    std::shared_ptr<const std::string> whole(overlay::Topic) override {
        return std::make_shared<const std::string>(text);
    }
    std::string text;
};

class Line {
public:
    // The first is the root; `earlier`: index of the one that knows whole bodies alone.
    Line(std::size_t count, std::size_t earlier) : keepers_(count), texts_(count), earlier_(earlier) {
        for (std::size_t i = 0; i < count; ++i) {
            overlay::RelayTree::Options options;
            options.root = i == 0;
            options.random_seed = i + 1;
            options.keeper = i == earlier ? nullptr : &keepers_[i];
            trees_.emplace_back(options);
        }
        for (std::size_t i = 0; i + 1 < count; ++i) {
            link(i, i + 1);
            link(i + 1, i);
        }
    }

    void publish() {
        const overlay::Version base{1, sequence_};
        const overlay::Version version{1, ++sequence_};
        const std::string letter(1, static_cast<char>('a' + sequence_ % 26));
        keepers_[0].text += letter;
        overlay::Effects effects;
        trees_[0].publish_change(now_, kText, base, version, std::make_shared<const std::string>(letter),
                                 effects);
        carry_out(0, effects);
    }

    void run(overlay::Millis duration) {
        for (const overlay::Millis until = now_ + duration; now_ < until; now_ += 1) {
            while (!messages_.empty() && messages_.begin()->first <= now_) {
                const auto arrive = messages_.begin()->second;
                messages_.erase(messages_.begin());
                arrive();
            }
            for (std::size_t i = 0; i < trees_.size(); ++i) {
                if (trees_[i].due() > now_) continue;
                overlay::Effects effects;
                trees_[i].tick(now_, effects);
                carry_out(i, effects);
            }
        }
    }

    const std::string& text(std::size_t i) const { return i == earlier_ ? texts_[i] : keepers_[i].text; }
    int differences_to_the_earlier() const { return differences_to_the_earlier_; }

private:
    static std::string name(std::size_t i) { return std::to_string(i); }

    void link(std::size_t from, std::size_t to) {
        overlay::Contact contact;
        contact.address = name(to);
        overlay::Effects effects;
        trees_[from].linked(now_, contact, effects);
        carry_out(from, effects);
    }

    void carry_out(std::size_t from, const overlay::Effects& effects) {
        for (const overlay::Delivery& delivery : effects.delivered)
            if (delivery.body) texts_[from] = *delivery.body;
        for (const overlay::Outgoing& outgoing : effects.calls) send(from, outgoing);
    }

    void send(std::size_t from, const overlay::Outgoing& outgoing) {
        const std::size_t to = std::stoul(outgoing.to.address);
        const wire::RelayMessage message = outgoing.request.relay;
        if (to == earlier_)
            for (const wire::TopicPush& push : message.pushes)
                differences_to_the_earlier_ += push.__isset.base;
        messages_.emplace(now_ + kOneWay, [this, from, to, message] {
            overlay::Effects effects;
            const wire::RelayReply reply = trees_[to].received(now_, name(from), message, effects);
            carry_out(to, effects);
            messages_.emplace(now_ + kOneWay, [this, from, to, reply] {
                overlay::Effects effects;
                trees_[from].answered(now_, name(to), reply, effects);
                carry_out(from, effects);
            });
        });
    }

    std::vector<TextKeeper> keepers_;
    std::vector<std::string> texts_;
    std::vector<overlay::RelayTree> trees_;
    std::multimap<overlay::Millis, std::function<void()>> messages_;
    std::size_t earlier_;
    std::int64_t sequence_ = 0;
    overlay::Millis now_ = 0;
    int differences_to_the_earlier_ = 0;
};

TEST(Relay, AnEarlierProcessInTheMiddleIsSentTheWholeAndPassesItOn) {
    Line line(5, 2);
    for (int i = 0; i < 40; ++i) {
        line.publish();
        line.run(1000);
    }
    EXPECT_EQ(line.differences_to_the_earlier(), 0);
    for (std::size_t i = 1; i < 5; ++i) EXPECT_EQ(line.text(i), line.text(0)) << i;
}

}  // namespace
}  // namespace whinledge::versions
