// The relays over real sockets, with plain sockets as nodes; and what befalls datagrams, without any.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <functional>

#include "fleet/connection_relay.hpp"
#include "fleet/datagram_relay.hpp"

namespace whinledge::fleetrig {
namespace {

using boost::system::error_code;

std::function<bool(Node, Node)> always() {
    return [](Node, Node) { return true; };
}
Rule lossy(double loss) {
    Rule rule;
    rule.applies = always();
    rule.loss = loss;
    return rule;
}

// ---- Links

TEST(FleetLinks, PassWithoutRules) {
    Links links(1);
    const auto fate = links.fate(0, 1, 0);
    ASSERT_EQ(fate.copies.size(), 1u);
    EXPECT_EQ(fate.copies[0], 0);
    EXPECT_EQ(fate.held_by, 0u);
}

std::string luck(std::uint64_t seed, bool another_pair) {
    Links links(seed);
    links.add(lossy(0.3));
    std::string all;
    for (int i = 0; i < 200; ++i) {
        if (another_pair) links.fate(2, 1, i);
        all += links.fate(0, 1, i).copies.empty() ? '.' : 'x';
    }
    return all;
}

TEST(FleetLinks, LuckIsByTheSeedAndEachPairHasItsOwn) {
    EXPECT_EQ(luck(5, false), luck(5, false));
    EXPECT_EQ(luck(5, false), luck(5, true));
    EXPECT_NE(luck(5, false), luck(6, false));
}

TEST(FleetLinks, LoseTheShareThatIsAskedFor) {
    Links links(3);
    links.add(lossy(0.3));
    int lost = 0;
    for (int i = 0; i < 20000; ++i) lost += links.fate(static_cast<Node>(i % 7), 7, 0).copies.empty();
    EXPECT_NEAR(lost / 20000.0, 0.3, 0.02);
}

TEST(FleetLinks, OneWay) {
    Links links(1);
    Rule rule;
    rule.applies = [](Node from, Node to) { return from == 0 && to == 1; };
    rule.cut = true;
    const auto id = links.add(std::move(rule));
    EXPECT_TRUE(links.fate(0, 1, 0).copies.empty());
    EXPECT_FALSE(links.fate(1, 0, 0).copies.empty());
    links.remove(id);
    EXPECT_FALSE(links.fate(0, 1, 0).copies.empty());
}

TEST(FleetLinks, ComeAndGo) {
    Links links(1);
    Rule rule;
    rule.applies = always();
    rule.cut = true;
    rule.begins = 1000;
    rule.flap = 100;
    links.add(std::move(rule));
    EXPECT_TRUE(links.fate(0, 1, 1050).copies.empty());
    EXPECT_FALSE(links.fate(0, 1, 1150).copies.empty());
    EXPECT_TRUE(links.fate(0, 1, 1250).copies.empty());
}

TEST(FleetLinks, DelayDoubleAndHold) {
    Links links(1);
    Rule rule;
    rule.applies = always();
    rule.delay = 20;
    rule.jitter = 30;
    rule.doubled = 1;
    rule.hold = 1;
    const auto id = links.add(std::move(rule));
    const auto fate = links.fate(0, 1, 0);
    ASSERT_EQ(fate.copies.size(), 2u);
    EXPECT_GE(fate.copies[0], 20);
    EXPECT_LE(fate.copies[0], 50);
    EXPECT_EQ(fate.held_by, id);
}

// ---- Datagrams

// Three plain sockets in the places of nodes, the third an impostor of the second.
class RelayedDatagrams : public testing::Test {
protected:
    RelayedDatagrams() {
        for (Node n = 0; n < 3; ++n) {
            nodes.push_back(std::make_unique<Udp::socket>(io, places.datagrams_of(n)));
            nodes.back()->non_blocking(true);
        }
    }
    void send(Node from, Member to, const std::string& text) {
        nodes[from]->send_to(asio::buffer(text), places.relayed(from, to));
    }
    // What has come there, as "FROM TEXT"; waits until it has, or for `patience`.
    std::string receive(Node node, std::chrono::milliseconds patience = std::chrono::seconds(10)) {
        const auto until = std::chrono::steady_clock::now() + patience;
        while (std::chrono::steady_clock::now() < until) {
            std::array<char, 500> bytes{};
            Udp::endpoint from;
            error_code failed;
            const std::size_t size = nodes[node]->receive_from(asio::buffer(bytes), from, 0, failed);
            if (!failed)
                for (Member m = 0; m < 2; ++m)
                    if (from == places.relayed(node, m))
                        return "s" + std::to_string(m + 1) + " " + std::string(bytes.data(), size);
            if (!failed) return "from " + text_of(from);
            io.run_one_for(std::chrono::milliseconds(5));
        }
        return "";
    }

    asio::io_context io;
    Places places{io};
    RunClock clock;
    Links links{1};
    DatagramRelay relay{io, places, links, clock, {0, 1, 1}};
    std::vector<std::unique_ptr<Udp::socket>> nodes;
};

TEST_F(RelayedDatagrams, ComeAsFromWhereTheSenderIsSeen) {
    send(0, 1, "one");
    EXPECT_EQ(receive(1), "s1 one");
    EXPECT_EQ(receive(2), "s1 one") << "both that bear the name are told";
    send(1, 0, "two");
    EXPECT_EQ(receive(0), "s2 two");
    send(2, 0, "three");
    EXPECT_EQ(receive(0), "s2 three") << "an impostor speaks under the name";
    EXPECT_EQ(relay.sent(), (std::vector<std::uint64_t>{1, 1, 1}));
    EXPECT_EQ(relay.sent_bytes()[0], 3u);
    EXPECT_EQ(relay.longest(), 5u);
}

TEST_F(RelayedDatagrams, OfNobodyAreDroppedAndCounted) {
    Udp::socket stranger(io, Udp::endpoint(asio::ip::address_v4::loopback(), 0));
    stranger.send_to(asio::buffer("x", 1), places.relayed(0, 1));
    nodes[0]->send_to(asio::buffer("y", 1), places.relayed(1, 0));  // in another's place
    while (relay.strange() < 2) ASSERT_GT(io.run_one_for(std::chrono::seconds(10)), 0u);
    send(0, 1, "z");
    EXPECT_EQ(receive(1), "s1 z");
}

TEST_F(RelayedDatagrams, AreHeldUntilReleased) {
    Rule rule;
    rule.applies = always();
    rule.hold = 1;
    const auto id = links.add(std::move(rule));
    send(0, 1, "held");
    while (relay.by_pair()[0 * 3 + 1] == 0) ASSERT_GT(io.run_one_for(std::chrono::seconds(10)), 0u);
    links.remove(id);
    send(0, 1, "later");
    EXPECT_EQ(receive(1), "s1 later");
    relay.release(id);
    EXPECT_EQ(receive(1), "s1 held");
    EXPECT_EQ(relay.passed_by_pair()[0 * 3 + 1], 2u);
}

TEST_F(RelayedDatagrams, AreLateAndDoubled) {
    Rule rule;
    rule.applies = always();
    rule.delay = 50;
    rule.doubled = 1;
    links.add(std::move(rule));
    const Millis before = clock.now();
    send(0, 1, "twice");
    EXPECT_EQ(receive(1), "s1 twice");
    EXPECT_GE(clock.now() - before, 49);
    EXPECT_EQ(receive(1), "s1 twice");
}

TEST_F(RelayedDatagrams, ForOneThatIsDownAreLostAndNothingElse) {
    nodes[1]->close();
    for (int i = 0; i < 5; ++i) send(0, 1, "lost");
    EXPECT_EQ(receive(2), "s1 lost");
    send(1 - 1, 1, "more");
    for (int i = 0; i < 4; ++i) EXPECT_EQ(receive(2), "s1 lost");
    EXPECT_EQ(receive(2), "s1 more");
}

// ---- Connections

class RelayedConnections : public testing::Test {
protected:
    RelayedConnections() : server(io, places.server(0)), near(io), far(io) {}
    void connect(Node node) {
        near.connect(places.relayed_server(node, 0));
        bool accepted = false;
        server.async_accept(far, [&](error_code) { accepted = true; });
        while (!accepted) ASSERT_GT(io.run_one_for(std::chrono::seconds(10)), 0u);
    }
    void write(const std::string& text) { asio::write(near, asio::buffer(text)); }
    // Whether it came within the time.
    bool comes(const std::string& text, std::chrono::milliseconds patience = std::chrono::seconds(10)) {
        auto bytes = std::make_shared<std::string>(text.size(), ' ');
        auto done = std::make_shared<bool>(false);
        asio::async_read(far, asio::buffer(*bytes),
                         [bytes, done](error_code failed, std::size_t) { *done = !failed; });
        const auto until = std::chrono::steady_clock::now() + patience;
        while (!*done && std::chrono::steady_clock::now() < until)
            io.run_one_for(std::chrono::milliseconds(5));
        if (!*done) far.cancel();
        return *done && *bytes == text;
    }

    asio::io_context io;
    Places places{io};
    ConnectionRelay relay{io, places};
    Tcp::acceptor server;
    Tcp::socket near, far;
};

TEST_F(RelayedConnections, PassBytes) {
    connect(3);
    write("hello");
    EXPECT_TRUE(comes("hello"));
    EXPECT_EQ(relay.open(), 1u);
    near.close();
    while (relay.open() > 0 || far.is_open()) {
        error_code failed;
        std::array<char, 1> byte{};
        far.non_blocking(true);
        far.read_some(asio::buffer(byte), failed);
        if (failed == asio::error::eof) far.close();
        ASSERT_GT(io.run_one_for(std::chrono::seconds(10)) + 1, 0u);
    }
}

TEST_F(RelayedConnections, PassNothingWhileCutAndAllAfterwards) {
    connect(3);
    const auto id = relay.add({[](Node n) { return n == 3; }, false, 0});
    write("late");
    EXPECT_FALSE(comes("late", std::chrono::milliseconds(100)));
    relay.remove(id);
    EXPECT_TRUE(comes("late"));
}

TEST_F(RelayedConnections, AreResetForThatNodeAlone) {
    connect(3);
    relay.add({[](Node n) { return n == 4; }, true, 0});
    write("stays");
    EXPECT_TRUE(comes("stays"));
    relay.add({[](Node n) { return n == 3; }, true, 0});
    error_code failed;
    std::array<char, 1> byte{};
    near.read_some(asio::buffer(byte), failed);
    EXPECT_EQ(failed, asio::error::connection_reset);
}

}  // namespace
}  // namespace whinledge::fleetrig
