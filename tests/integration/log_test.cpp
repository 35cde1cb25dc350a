// The log: how many lines go, that each goes whole, and that what is left out is counted.
#include "io/log.hpp"

#include <sys/socket.h>

#include <array>
#include <string>
#include <vector>

#include "rig/net_rig.hpp"

namespace whinledge::test {
namespace {

// A descriptor that keeps each write apart, and loses what is too much.
class Writes {
public:
    Writes() {
        if (::socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK, 0, ends_.data()) != 0)
            throw std::bad_alloc();
    }
    ~Writes() {
        for (const int end : ends_) ::close(end);
    }
    int descriptor() const { return ends_[0]; }
    // What has been written since it was last asked.
    std::vector<std::string> read() const {
        std::vector<std::string> all;
        std::array<char, 8192> one{};
        for (;;) {
            const ssize_t size = ::recv(ends_[1], one.data(), one.size(), MSG_DONTWAIT);
            if (size <= 0) return all;
            all.emplace_back(one.data(), static_cast<std::size_t>(size));
        }
    }

private:
    std::array<int, 2> ends_{};
};

struct LogTest : testing::Test {
    Writes writes;
    Millis now = 5e7;
    LogWriter writer{log_to_descriptor(writes.descriptor())};
    std::optional<Log> log{std::in_place, writer, [this] { return now; }};

    // What has been written since it was last asked.
    std::vector<std::string> written() {
        EXPECT_TRUE(writer.flush(std::chrono::seconds(10)));
        return writes.read();
    }
};

TEST(LogLimit, KeepsItsRateWhateverComes) {
    LogLimit limit;
    double written = 0, left_out = 0;
    for (int i = 0; i < 100000; ++i) {  // 100 s of a line each ms
        if (const auto before = limit.take(i)) {
            written += *before > 0 ? 2 : 1;
            left_out += static_cast<double>(*before) + 1;
        }
        ASSERT_LE(written, LogLimit::kBurst + LogLimit::kEachSecond * i / 1000 + 0.01);
    }
    EXPECT_GE(written, LogLimit::kBurst + LogLimit::kEachSecond * 100 - 2.01);
    EXPECT_EQ(left_out + static_cast<double>(limit.left_out()), 100000);
}

TEST(LogLimit, TakesABurstAgainAfterQuiet) {
    LogLimit limit;
    for (int i = 0; i < 30; ++i) EXPECT_EQ(limit.take(1000).has_value(), i < 20);
    EXPECT_EQ(limit.take(1400), std::nullopt) << "no room for the count as well";
    EXPECT_EQ(limit.take(2000), 11u);
    for (int i = 0; i < 30; ++i) EXPECT_EQ(limit.take(60000).has_value(), i < 20);
}

TEST_F(LogTest, EachLineIsOneWrite) {
    log->line("one");
    log->line("");
    log->line("a name with\na line in it\x1b");
    const std::vector<std::string> expected{"whinledge: one\n", "whinledge: \n",
                                            "whinledge: a name with?a line in it?\n"};
    EXPECT_EQ(written(), expected);
    log->line(std::string(1 << 20, 'x'));
    const auto cut = written();
    ASSERT_EQ(cut.size(), 1u);
    EXPECT_LE(cut[0].size(), 4096u);
    EXPECT_EQ(cut[0].back(), '\n');
}

TEST_F(LogTest, WhatIsLeftOutIsCounted) {
    for (int i = 0; i < 3800; ++i) log->line("again");
    EXPECT_EQ(written().size(), 20u);
    now += 1000;
    log->line("later");
    const std::vector<std::string> expected{"whinledge: ... 3780 lines left out\n", "whinledge: later\n"};
    EXPECT_EQ(written(), expected);
    log->line("more");
    log.reset();
    EXPECT_EQ(written(), std::vector<std::string>{"whinledge: ... 1 line left out\n"});
}

TEST_F(LogTest, WhereNothingIsLeftOutNothingIsSaidOfIt) {
    log->line("one");
    log.reset();
    EXPECT_EQ(written().size(), 1u);
}

// Datagrams that are no peer's, messages that are not sent, answers that can't be read and a discovery that
// fails share one limit.
TEST_F(LogTest, AFloodOfManyKindsIsLeftOut) {
    asio::io_context io;
    const Udp::endpoint any(asio::ip::address_v4::loopback(), 0);
    Udp::socket peer(io, any), stranger(io, any);
    int good = 0;
    Peers peers(io, *log, any, {peer.local_endpoint()}, std::nullopt, [&](auto, auto) { ++good; });
    for (int round = 1; round <= 200; ++round) {
        for (int i = 0; i < 30; ++i) stranger.send_to(asio::buffer("bad", 3), peers.address());
        peer.send_to(asio::buffer("good", 4), peers.address());
        run_until(io, [&] { return good == round; });
    }
    EXPECT_EQ(written().size(), 20u);
    peers.tell(7, {1});
    ScriptedServer server(io, [](const auto&) { return Reply{"no HTTP\r\n\r\n", true}; });
    Upstream upstream(io, *log, {});
    upstream.set_server(1, server.endpoint(), 0);
    Upstream::Request ping;
    ping.head = HeadText::request("GET", "/ping").whole();
    bool ended = false;
    upstream.start(1, std::move(ping), [&](const Upstream::End&) { ended = true; });
    int failed = 0;
    Discovery discovery(io, *log, server.endpoint(), 1, false, {[](auto) {}, [&] { ++failed; }});
    discovery.fetch();
    run_until(io, [&] { return ended && failed == 1; });
    EXPECT_TRUE(written().empty());
    now += 1000;
    peers.tell(7, {1});
    const auto after = written();
    ASSERT_EQ(after.size(), 2u);
    EXPECT_EQ(after[0], "whinledge: ... 5983 lines left out\n");  // 5980 datagrams and one of each other kind
}

}  // namespace
}  // namespace whinledge::test
