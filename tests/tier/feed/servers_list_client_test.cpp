// The platform's list, page by page, from a stand-in on loopback.
#include "feed/servers_list_client.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <optional>
#include <string>

namespace whinledge::feed {
namespace {

using Tcp = boost::asio::ip::tcp;
using namespace std::chrono_literals;

std::string entry(const std::string& id, const std::string& more = "") {
    return R"({"id":")" + id + R"(","service":"s","address":"10.0.0.1:80")" + more + "}";
}

TEST(ServersListPage, HoldsWhatTheListSays) {
    const auto page = parse_list_page(
        R"({"servers":[)" +
        entry("i-1", R"(,"zone":"z","version":"v2","slots":96,"state":"draining","coldLeftMs":12.5,)"
                     R"("models":[{"name":"m","version":1},{"name":"n"}])") +
        R"(],"nextPage":"p-50"})");
    ASSERT_TRUE(page);
    EXPECT_EQ(page.value().next, "p-50");
    const wire::ListedServer& server = page.value().servers.at(0);
    EXPECT_EQ(server.id, "i-1");
    EXPECT_EQ(server.service_name, "s");
    EXPECT_EQ(server.zone, "z");
    EXPECT_EQ(server.slots, 96);
    EXPECT_EQ(server.cold_left_ms, 12);
    EXPECT_TRUE(server.draining);
}

// Each process holds thousands of them, some of it several times: what nobody reads is not kept.
TEST(ServersListPage, AnEntryIsFourTextsAndLittleElse) {
    constexpr std::size_t kNumbersAndMarks = 32;  // two numbers, a flag, Thrift's marks and its table
    EXPECT_LE(sizeof(wire::ListedServer), 4 * sizeof(std::string) + kNumbersAndMarks);
}

TEST(ServersListPage, EntriesThatCannotBeReadAreLeftOut) {
    const auto page =
        parse_list_page(R"({"servers":[5,{"id":"i-1"},)" + entry("i-2") + R"(],"nextPage":null})");
    ASSERT_TRUE(page);
    ASSERT_EQ(page.value().servers.size(), 1U);
    EXPECT_EQ(page.value().servers[0].id, "i-2");
    EXPECT_EQ(page.value().next, "");
}

TEST(ServersListPage, AnythingElseIsNoList) {
    for (const char* text : {"", "[]", "{}", R"({"servers":5})", R"({"servers":[)", "<html>"}) {
        const auto page = parse_list_page(text);
        ASSERT_FALSE(page) << text;
        EXPECT_EQ(page.error().failure, ListFailure::unreadable);
    }
}

// Answers in turn, to whatever is asked; notes what was asked, and on which connection.
class StandIn {
public:
    explicit StandIn(boost::asio::io_context& io)
        : acceptor_(io, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)) {
        accept();
    }
    std::string address() const {
        return std::string("127.0.0.1:").append(std::to_string(acceptor_.local_endpoint().port()));
    }

    std::deque<std::string> answers;  // an empty one closes the connection instead
    std::vector<std::string> asked;
    int connections = 0;

    static std::string answer(int status, const std::string& body, bool close = false) {
        return std::string("HTTP/1.1 ").append(std::to_string(status)) +
               " x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" +
               (close ? "Connection: close\r\n" : "") + "\r\n" + body;
    }

private:
    struct Connection {
        explicit Connection(Tcp::socket its_socket) : socket(std::move(its_socket)) {}
        Tcp::socket socket;
        std::string in, out;
    };

    void accept() {
        acceptor_.async_accept([this](boost::system::error_code failed, Tcp::socket socket) {
            if (failed) return;
            ++connections;
            serve(std::make_shared<Connection>(std::move(socket)));
            accept();
        });
    }
    void serve(std::shared_ptr<Connection> connection) {
        boost::asio::async_read_until(
            connection->socket, boost::asio::dynamic_buffer(connection->in), "\r\n\r\n",
            [this, connection](boost::system::error_code failed, std::size_t size) {
                if (failed || answers.empty()) return;
                asked.push_back(connection->in.substr(0, connection->in.find(" HTTP")));
                connection->in.erase(0, size);
                connection->out = answers.front();
                answers.pop_front();
                if (connection->out.empty()) return;
                boost::asio::async_write(connection->socket, boost::asio::buffer(connection->out),
                                         [this, connection](boost::system::error_code broken, std::size_t) {
                                             if (!broken) serve(connection);
                                         });
            });
    }

    Tcp::acceptor acceptor_;
};

class ServersList : public ::testing::Test {
protected:
    ListResult<ServersListClient::Reading> fetch(Millis patience = 0) {
        std::optional<ListResult<ServersListClient::Reading>> result;
        client.fetch([&](ListResult<ServersListClient::Reading> read) { result = std::move(read); }, patience,
                     [this] { ++waits; });
        EXPECT_FALSE(result) << "never from within the call";
        io.restart();
        for (int turns = 0; turns < 5000 && !result; ++turns) io.run_one_for(50ms);
        return result ? std::move(*result) : ListResult<ServersListClient::Reading>(ListError{});
    }
    static std::string page(const std::string& servers, const std::string& next) {
        return StandIn::answer(200, R"({"servers":[)" + servers + R"(],"nextPage":)" + next + "}");
    }

    boost::asio::io_context io;
    StandIn platform{io};
    ServersListClient client{io, platform.address()};
    int waits = 0;
};

// Others took the platform's calls: the pages that are in are kept, and the one that is due is asked for
// again.
TEST_F(ServersList, GoesOnWhereItHadToWaitForACall) {
    platform.answers = {page(entry("i-1"), R"("p2")"), StandIn::answer(429, ""), StandIn::answer(429, ""),
                        page(entry("i-2"), "null")};
    const auto reading = fetch(60'000);
    ASSERT_TRUE(reading) << reading.error().message;
    EXPECT_EQ(reading.value().servers.size(), 2U);
    EXPECT_EQ(reading.value().calls, 4);
    EXPECT_EQ(waits, 2);
    EXPECT_EQ(platform.asked, (std::vector<std::string>{"GET /servers", "GET /servers?page=p2",
                                                        "GET /servers?page=p2", "GET /servers?page=p2"}));
}

TEST_F(ServersList, CancelledItTellsNobodyAndMayBeginAnew) {
    client.fetch([](const ListResult<ServersListClient::Reading>&) { FAIL() << "it was cancelled"; });
    client.cancel();
    EXPECT_FALSE(client.busy());
    platform.answers = {page(entry("i-1"), "null"), page(entry("i-1"), "null")};
    EXPECT_TRUE(fetch());
}

TEST(ListReading, WaitsNoLongerThanItsCaller) {
    ListReading reading(1000, 200);
    EXPECT_EQ(reading.rate_limited(1000), ListReading::Step::ask_later);
    EXPECT_EQ(reading.rate_limited(1200 - ListReading::kPause), ListReading::Step::ask_later);
    EXPECT_EQ(reading.rate_limited(1201 - ListReading::kPause), ListReading::Step::give_up);
    EXPECT_EQ(ListReading(1000, 0).rate_limited(1000), ListReading::Step::give_up);
}

TEST(ListReading, EndsWithTheLastPageOrWithTooMany) {
    ListReading reading;
    EXPECT_EQ(reading.took({{wire::ListedServer()}, "p2"}), ListReading::Step::ask);
    EXPECT_EQ(reading.page(), "p2");
    EXPECT_EQ(reading.took({{wire::ListedServer()}, ""}), ListReading::Step::complete);
    EXPECT_EQ(reading.take_servers().size(), 2U);
    ListReading endless;
    for (int page = 1; page < ListReading::kMostPages; ++page)
        EXPECT_EQ(endless.took({{}, "more"}), ListReading::Step::ask);
    EXPECT_EQ(endless.took({{}, "more"}), ListReading::Step::endless);
}

TEST_F(ServersList, IsReadPageByPageOverOneConnection) {
    platform.answers = {page(entry("i-1"), R"("p 50&")"), page(entry("i-2"), "null"),
                        page(entry("i-3"), "null")};
    const auto first = fetch();
    ASSERT_TRUE(first) << first.error().message;
    EXPECT_EQ(first.value().calls, 2);
    ASSERT_EQ(first.value().servers.size(), 2U);
    EXPECT_EQ(first.value().servers[1].id, "i-2");
    const auto second = fetch();
    ASSERT_TRUE(second);
    EXPECT_EQ(second.value().servers.size(), 1U);
    EXPECT_EQ(platform.asked,
              (std::vector<std::string>{"GET /servers", "GET /servers?page=p%2050%26", "GET /servers"}));
    EXPECT_EQ(platform.connections, 1);
}

TEST_F(ServersList, TooManyCallsAreToldApart) {
    platform.answers = {StandIn::answer(429, ""), StandIn::answer(500, "{}"), StandIn::answer(200, "no")};
    EXPECT_EQ(fetch().error().failure, ListFailure::rate_limited);
    EXPECT_EQ(fetch().error().failure, ListFailure::refused);
    EXPECT_EQ(fetch().error().failure, ListFailure::unreadable);
}

TEST_F(ServersList, ConnectionClosedMeanwhileIsReplacedOnce) {
    platform.answers = {page(entry("i-1"), "null"), "", page(entry("i-2"), "null")};
    ASSERT_TRUE(fetch());
    const auto again = fetch();
    ASSERT_TRUE(again) << again.error().message;
    EXPECT_EQ(again.value().servers[0].id, "i-2");
    EXPECT_EQ(platform.connections, 2);
}

TEST_F(ServersList, CloseInTheAnswerIsObeyed) {
    platform.answers = {StandIn::answer(200, R"({"servers":[],"nextPage":null})", true),
                        page(entry("i-2"), "null")};
    ASSERT_TRUE(fetch());
    ASSERT_TRUE(fetch());
    EXPECT_EQ(platform.connections, 2);
}

TEST_F(ServersList, AnswerThatBreaksOffFails) {
    platform.answers = {"", ""};
    EXPECT_EQ(fetch().error().failure, ListFailure::unreachable);
}

TEST(ServersListAddress, ThatIsNoneFailsLater) {
    boost::asio::io_context io;
    ServersListClient client(io, "nowhere");
    std::optional<ListFailure> failure;
    client.fetch([&](ListResult<ServersListClient::Reading> read) {
        if (!read) failure = read.error().failure;
    });
    EXPECT_FALSE(failure);
    io.run();
    EXPECT_EQ(failure, ListFailure::unreachable);
}

}  // namespace
}  // namespace whinledge::feed
