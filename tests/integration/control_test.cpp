// The control socket, and the commands that ask at it.
#include <sys/stat.h>
#include <sys/wait.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "control/client.hpp"
#include "control/server.hpp"
#include "rig/net_rig.hpp"

namespace whinledge::test {
namespace {

namespace fs = std::filesystem;
using Json = nlohmann::json;
using control::Local;

// A client by bytes.
struct Asker {
    Asker(asio::io_context& io, const std::string& path) : socket(io) {
        socket.connect(Local::endpoint(path));
        read();
    }
    ~Asker() { *gone = true; }
    void send(const std::string& text) {
        error_code ignored;
        asio::write(socket, asio::buffer(text), ignored);
    }
    void read() {
        socket.async_read_some(asio::buffer(*buffer),
                               [this, keep = buffer, gone = gone](error_code failed, auto size) {
                                   if (*gone) return;
                                   text.append(keep->data(), size);
                                   ended = static_cast<bool>(failed);
                                   if (!failed) read();
                               });
    }
    std::size_t lines() const { return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n')); }

    Local::socket socket;
    std::string text;
    bool ended = false;
    std::shared_ptr<bool> gone = std::make_shared<bool>(false);
    std::shared_ptr<std::array<char, 65536>> buffer = std::make_shared<std::array<char, 65536>>();
};

struct Control : testing::Test {
    asio::io_context io;
    fs::path folder = fs::temp_directory_path() / ("whinledge-control-" + std::to_string(::getpid()));
    std::string path = (folder / "s").string();
    control::Handler handler = [](const Json& request) -> control::Answer {
        const std::string command = request["command"];
        if (command == "no") return {false, "it may not be", nullptr, false};
        return {true, "", std::make_shared<const Json>(Json{{"asked", command}}), command == "watch"};
    };
    std::optional<control::Server> server;
    std::list<Asker> askers;

    Control() { fs::create_directories(folder); }
    ~Control() override {
        askers.clear();
        server.reset();
        fs::remove_all(folder);
    }
    Asker& asker() { return askers.emplace_back(io, path); }
    Asker& watcher() {
        Asker& one = asker();
        one.send("{\"command\":\"watch\"}\n");
        run_until(io, [&] { return one.lines() == 1; });
        return one;
    }
};

TEST_F(Control, AnswersEachLineOfAConnection) {
    server.emplace(io, path, handler);
    Asker& one = asker();
    one.send("{\"command\":\"a\"}\n{\"command\":\"no\"}\nnonsense\n[]\n{\"command\":5}\n{\"com");
    run_until(io, [&] { return one.lines() == 5; });
    one.send("mand\":\"b\"}\n");
    run_until(io, [&] { return one.lines() == 6; });
    const std::string wrong =
        "{\"error\":\"a request is one JSON object with a text \\\"command\\\"\",\"status\":1}\n";
    EXPECT_EQ(one.text,
              "{\"result\":{\"asked\":\"a\"},\"status\":0}\n{\"error\":\"it may not be\",\"status\":1}\n" +
                  wrong + wrong + wrong + "{\"result\":{\"asked\":\"b\"},\"status\":0}\n");
}

TEST_F(Control, IsItsOwnersAloneAndGoesWithTheProcess) {
    server.emplace(io, path, handler);
    struct stat status {};
    ASSERT_EQ(::stat(path.c_str(), &status), 0);
    EXPECT_EQ(status.st_mode & 07777, 0600u);
    server.reset();
    EXPECT_FALSE(fs::exists(path));
}

TEST_F(Control, WhatAKilledProcessLeftIsReplacedAndNothingElse) {
    {
        Local::acceptor left(io, Local::endpoint(path));  // its file stays
    }
    ASSERT_TRUE(fs::exists(path));
    server.emplace(io, path, handler);
    EXPECT_EQ(asker().lines(), 0u);
    EXPECT_THROW(control::Server(io, path, handler), std::runtime_error) << "a live one is not pushed aside";
    EXPECT_TRUE(fs::exists(path));
    const std::string file = (folder / "file").string();
    std::ofstream(file) << "kept";
    EXPECT_THROW(control::Server(io, file, handler), std::runtime_error);
    EXPECT_EQ(fs::file_size(file), 4u);
    EXPECT_THROW(control::Server(io, (folder / "none" / "s").string(), handler), std::runtime_error);
    // Another's socket in the place of ours is not ours to take away.
    fs::remove(path);
    Local::acceptor other(io, Local::endpoint(path));
    server.reset();
    EXPECT_TRUE(fs::exists(path));
}

TEST_F(Control, WhoeverWasSilentForLongestMakesRoomAndWatchersStay) {
    server.emplace(io, path, handler);
    Asker& watching = watcher();
    for (std::size_t i = 1; i < control::Server::kMostClients; ++i) asker();
    run_until(io, [&] { return server->clients() == control::Server::kMostClients; });
    Asker& second = *std::next(askers.begin());
    second.send("{\"command\":\"a\"}\n");
    run_until(io, [&] { return second.lines() == 1; });
    Asker& late = asker();
    late.send("{\"command\":\"a\"}\n");
    run_until(io, [&] { return late.lines() == 1; });
    EXPECT_EQ(server->clients(), control::Server::kMostClients);
    Asker& third = *std::next(askers.begin(), 2);
    run_until(io, [&] { return third.ended; });
    EXPECT_FALSE(watching.ended);
    EXPECT_FALSE(second.ended);
    server->tell({{"event", 1}});
    run_until(io, [&] { return watching.lines() == 2; });
    EXPECT_EQ(late.lines(), 1u) << "who does not watch is told nothing";
}

TEST_F(Control, AnEndlessRequestAndAWatcherThatDoesNotReadAreLetGo) {
    server.emplace(io, path, handler);
    Asker& endless = asker();
    endless.send(std::string(control::Server::kLongestRequest + 1, 'x'));
    run_until(io, [&] { return endless.ended; });
    Local::socket deaf(io);  // asks and never reads
    deaf.connect(Local::endpoint(path));
    asio::write(deaf, asio::buffer(std::string("{\"command\":\"watch\"}\n")));
    Asker& watching = watcher();
    run_until(io, [&] { return server->clients() == 2; });
    const Json event{{"event", std::string(65536, 'e')}};
    std::size_t told = 0;
    for (; server->clients() == 2 && told < 100; ++told) {
        server->tell(event);
        run_until(io, [&] { return watching.lines() == told + 2; });
    }
    EXPECT_EQ(server->clients(), 1u);
    EXPECT_GE(told, control::Server::kMostUnread / 65536 - 1) << "not at the first that it leaves";
    EXPECT_FALSE(watching.ended);
}

// ---- Commands ---------------------------------------------------------------------------------------------

struct Said {
    int status = -1;
    std::string out;
};
Said run(const std::string& words) {
    Said said;
    FILE* const pipe = ::popen((std::string(WHINLEDGE) + " " + words + " 2>&1").c_str(), "r");
    std::array<char, 4096> part{};
    while (const std::size_t n = std::fread(part.data(), 1, part.size(), pipe))
        said.out.append(part.data(), n);
    const int status = ::pclose(pipe);
    said.status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return said;
}

TEST_F(Control, TheCommandLineTellsDoneRefusedAndWrong) {
    for (const char* right : {"--help", "--version", "fleet --help", "fleet members --help"}) {
        const Said said = run(right);
        EXPECT_EQ(said.status, 0) << right;
        EXPECT_NE(said.out.find("whinledge"), std::string::npos) << said.out;
    }
    for (const char* wrong :
         {"nonsense", "--config", "check", "check a b", "fleet", "fleet nonsense", "fleet members",
          "fleet members --socket", "--config a check b", "--config a b"})
        EXPECT_EQ(run(wrong).status, 2) << wrong;
    const Said nobody = run("fleet members --json --socket " + path);
    EXPECT_EQ(nobody.status, 1);
    EXPECT_EQ(nobody.out, "whinledge: " + path + ": no process answers here: No such file or directory\n");
    EXPECT_EQ(run("fleet members --socket /" + std::string(200, 'x')).status, 1);
}

TEST_F(Control, AProcessThatTakesTheQuestionAndSaysNothingIsGivenUp) {
    Local::acceptor silent(io, Local::endpoint(path));
    const auto refused = [&](const std::function<void(Local::socket&)>& answer) -> std::string {
        std::optional<Local::socket> taken;
        silent.async_accept([&](error_code, Local::socket socket) {
            taken.emplace(std::move(socket));
            answer(*taken);
        });
        std::thread loop([&] { io.restart(), io.run(); });
        std::string why;
        try {
            control::ask(path, {{"command", "a"}}, 200, [](const Json&) { return false; });
        } catch (const std::runtime_error& error) {
            why = error.what();
        }
        loop.join();
        return why;
    };
    EXPECT_NE(refused([](Local::socket&) {}).find("no answer"), std::string::npos);
    EXPECT_NE(refused([](Local::socket& s) { s.close(); }).find("no answer"), std::string::npos);
    EXPECT_NE(
        refused([](Local::socket& s) { asio::write(s, asio::buffer("what\n", 5)); }).find("can't be read"),
        std::string::npos);
}

}  // namespace
}  // namespace whinledge::test
