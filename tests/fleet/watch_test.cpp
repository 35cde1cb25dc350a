// What nodes say, as the rig keeps it; a scripted node stands at the socket.
#include "fleet/watch.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <filesystem>
#include <optional>

namespace whinledge::fleetrig {
namespace {

namespace asio = boost::asio;
using Local = asio::local::stream_protocol;

const std::string kTwo =
    R"({"status":0,"result":{"self":"s1","standing":"alone","view":1,"members":[)"
    R"({"name":"s1","state":"alive","incarnation":5,"heard_ms":0,"draining":false},)"
    R"({"name":"s2","state":"failed","incarnation":0,"heard_ms":-1,"draining":false}]}})";

std::string event(const std::string& name, const std::string& to, std::uint64_t incarnation) {
    return R"({"event":"member","at_ms":1764000000000,"name":")" + name + R"(","from":"alive","to":")" + to +
           R"(","incarnation":)" + std::to_string(incarnation) + R"(,"draining":false})";
}

struct Watched : testing::Test {
    static Record::Cast cast() {
        Record::Cast cast;
        cast.nodes = cast.members = {"s1", "s2"};
        cast.member_of = {0, 1};
        return cast;
    }
    template <class What>
    std::vector<What> all() const {
        std::vector<What> found;
        for (const Event& e : record.events())
            if (const auto* const one = std::get_if<What>(&e.what)) found.push_back(*one);
        return found;
    }
    asio::io_context io;
    RunClock clock;
    Record record{cast()};
    Watch watch{io, clock, record, 20};
};

TEST_F(Watched, KeepsChangesAlone) {
    EXPECT_TRUE(watch.take(0, kTwo));
    EXPECT_TRUE(watch.up(0));
    EXPECT_EQ(watch.incarnation(0), 5u);
    ASSERT_EQ(all<Held>().size(), 1u);  // s1; s2 stays unknown
    EXPECT_TRUE(watch.take(0, event("s2", "alive", 9)));
    EXPECT_TRUE(watch.take(0, event("s2", "alive", 9)));
    EXPECT_TRUE(watch.take(0, event("s2", "suspect", 9)));
    const auto held = all<Held>();
    ASSERT_EQ(held.size(), 3u);
    EXPECT_EQ(held[2].belief, Belief::suspect);
    EXPECT_EQ(held[2].said_at, 1764000000000);
    EXPECT_FALSE(held[2].polled);
    EXPECT_TRUE(watch.take(0, R"({"event":"standing","at_ms":1,"from":"alone","to":"joined"})"));
    ASSERT_EQ(all<Stood>().size(), 2u);
    EXPECT_EQ(all<Stood>()[1].standing, "joined");
}

TEST_F(Watched, SeesInAWholeViewWhatNoEventTold) {
    watch.take(0, kTwo);
    watch.take(0, event("s2", "alive", 9));
    watch.take(0, kTwo);  // says otherwise
    const auto held = all<Held>();
    ASSERT_EQ(held.size(), 3u);
    EXPECT_EQ(held[2].belief, Belief::unknown);
    EXPECT_TRUE(held[2].polled);
}

TEST_F(Watched, TakesNothingThatCannotBeRead) {
    for (const char* line :
         {"", "[]", "nonsense", "{}", R"({"status":1,"error":"no"})", R"({"event":"member"})"})
        EXPECT_FALSE(watch.take(0, line)) << line;
    EXPECT_FALSE(watch.take(0, event("s3", "alive", 1)));
    EXPECT_TRUE(record.events().empty());
}

TEST_F(Watched, AsksWhoeverAnswersAgainAndAgain) {
    const std::string path =
        (std::filesystem::temp_directory_path() / ("fleet-watch-" + std::to_string(::getpid()))).string();
    std::filesystem::remove(path);
    watch.expect(0, path);  // nobody is there yet
    io.run_for(std::chrono::milliseconds(30));
    Local::acceptor acceptor(io, Local::endpoint(path));
    Local::socket socket(io);
    std::string buffer, questions;
    std::function<void()> serve = [&] {
        asio::async_read_until(
            socket, asio::dynamic_buffer(buffer), '\n', [&](boost::system::error_code failed, std::size_t n) {
                if (failed) return;
                questions += buffer.substr(0, n);
                buffer.erase(0, n);
                asio::write(socket, asio::buffer(kTwo + "\n" + event("s2", "alive", 3) + "\n"));
                serve();
            });
    };
    acceptor.async_accept(socket, [&](boost::system::error_code failed) {
        ASSERT_FALSE(failed);
        serve();
    });
    while (all<Asked>().size() < 3) ASSERT_GT(io.run_one_for(std::chrono::seconds(10)), 0u);
    EXPECT_TRUE(questions.starts_with("{\"command\":\"fleet watch\"}\n{\"command\":\"fleet members\"}\n"));
    EXPECT_TRUE(all<Asked>()[0].answered);
    socket.close();
    while (io.run_one_for(std::chrono::milliseconds(50)) > 0 && all<Asked>().size() > 100) {
    }
    watch.gone(0);
    EXPECT_FALSE(watch.up(0));
    std::filesystem::remove(path);
}

}  // namespace
}  // namespace whinledge::fleetrig
