// The tier's programs beside a log that nobody reads: they answer, read their settings anew and end as ever,
// and once somebody reads, the lines come.
#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>

namespace whinledge::tier_rig {
namespace {

constexpr std::chrono::seconds kPatience{10};  // ends a test that hangs
constexpr int kPublicPort = 7401, kReadinessPort = 7402, kControlPort = 7403, kFirstSparePort = 7404;

struct Program {
    const char* name;
    const char* path;
    const char* serves;
    int asked_at;      // port that answers HTTP; 0: none does
    const char* page;  // that it answers
};
void PrintTo(const Program& program, std::ostream* out) { *out << program.name; }

// An address of the loopback net that no other process of these tests uses.
std::string own_ip() {
    const unsigned pid = static_cast<unsigned>(::getpid());
    return "127.77." + std::to_string(pid / 250 % 250 + 1) + "." + std::to_string(pid % 250 + 1);
}

// A pipe that is full and that nobody reads until the test does.
class FullPipe {
public:
    FullPipe() {
        if (::pipe2(ends_.data(), O_CLOEXEC) != 0) throw std::bad_alloc();
        ::fcntl(ends_[1], F_SETPIPE_SZ, 4096);
        ::fcntl(ends_[1], F_SETFL, O_NONBLOCK);
        while (::write(ends_[1], "x", 1) == 1) {
        }
        ::fcntl(ends_[1], F_SETFL, 0);
    }
    ~FullPipe() {
        close_writer();
        ::close(ends_[0]);
    }
    int writer() const { return ends_[1]; }
    void close_writer() {
        if (ends_[1] >= 0) ::close(ends_[1]);
        ends_[1] = -1;
    }
    // Until `wanted` has come, or all writers are gone.
    std::string read_until(const std::string& wanted) const {
        std::string all;
        std::array<char, 4096> some{};
        while (all.find(wanted) == std::string::npos) {
            const ssize_t size = ::read(ends_[0], some.data(), some.size());
            if (size < 0 && errno == EINTR) continue;
            if (size <= 0) break;
            all.append(some.data(), static_cast<std::size_t>(size));
        }
        return all;
    }

private:
    std::array<int, 2> ends_{-1, -1};
};

struct LogStall : testing::TestWithParam<Program> {
    const std::string ip = own_ip();
    std::filesystem::path folder =
        std::filesystem::temp_directory_path() / ("whinledge-log-stall-" + std::to_string(::getpid()));
    FullPipe log;
    pid_t child = -1;

    LogStall() {
        std::filesystem::create_directories(folder / "data");
        const auto at = [&](int port) { return ip + ":" + std::to_string(port); };
        std::ofstream(folder / "settings")
            << "node=n1\nrole=r\nserves=" << GetParam().serves << "\nip=" << ip
            << "\nzone=north\nlistenOn.public=" << at(kPublicPort)
            << "\nlistenOn.readiness=" << at(kReadinessPort) << "\nlistenOn.controlPort=" << at(kControlPort)
            << "\nsparePorts=" << kFirstSparePort << "," << kFirstSparePort + 8
            << "\nseedNodes=" << at(kControlPort)
            << "\nfirstBoot=true\ndataFolder=" << (folder / "data").string() << "\n";
    }
    ~LogStall() override {
        if (child > 0) {
            ::kill(child, SIGKILL);
            ::waitpid(child, nullptr, 0);
        }
        std::filesystem::remove_all(folder);
    }

    // `pending`: a signal that has come for it before its first step; 0: none.
    void start(int pending = 0) {
        const std::string settings = folder / "settings";
        child = ::fork();
        if (child != 0) return log.close_writer();
        if (pending != 0) {
            sigset_t blocked;
            ::sigemptyset(&blocked);
            ::sigaddset(&blocked, pending);
            ::sigprocmask(SIG_BLOCK, &blocked, nullptr);
            ::raise(pending);
        }
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(log.writer(), STDERR_FILENO);
        ::execl(GetParam().path, GetParam().path, "--settings", settings.c_str(),
                static_cast<char*>(nullptr));
        ::_exit(127);
    }

    // A connection to a port of its; -1: nobody listens there.
    int connect_to(int port) const {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const timeval patience{kPatience.count(), 0};
        ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) return socket;
        ::close(socket);
        return -1;
    }
    // The status line of its answer; none where it can't be reached or does not answer in time.
    std::optional<std::string> ask() const {
        const int socket = connect_to(GetParam().asked_at);
        if (socket < 0) return std::nullopt;
        const std::string call =
            "GET " + std::string(GetParam().page) + " HTTP/1.1\r\nHost: n1\r\nConnection: close\r\n\r\n";
        std::array<char, 512> answer{};
        ssize_t size = -1;
        if (::send(socket, call.data(), call.size(), MSG_NOSIGNAL) > 0)
            size = ::recv(socket, answer.data(), answer.size(), 0);
        ::close(socket);
        if (size <= 0) return std::nullopt;
        const std::string text(answer.data(), static_cast<std::size_t>(size));
        return text.substr(0, text.find('\r'));
    }
    // It has handlers for its signals by then.
    bool is_up() const {
        const auto limit = std::chrono::steady_clock::now() + kPatience;
        while (std::chrono::steady_clock::now() < limit)
            if (GetParam().asked_at > 0 ? ask().has_value() : listens_at(kFirstSparePort)) return true;
        return false;
    }
    bool listens_at(int port) const {
        const int socket = connect_to(port);
        if (socket >= 0) ::close(socket);
        return socket >= 0;
    }

    int end() {
        ::kill(child, SIGTERM);
        return await_end();
    }
    // Its status; the time limit of the test ends a wait in vain.
    int await_end() {
        int status = 0;
        while (::waitpid(child, &status, 0) < 0 && errno == EINTR) {
        }
        child = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
};

TEST_P(LogStall, AProgramAnswersAndEndsWhileNobodyReadsItsLog) {
    start();
    ASSERT_TRUE(is_up());
    for (int i = 0; i < 40; ++i) {
        ASSERT_EQ(::kill(child, SIGHUP), 0);  // logs a line
        if (GetParam().asked_at > 0) {
            ASSERT_TRUE(ask()) << "after " << i << " lines";
        }
    }
    EXPECT_EQ(end(), 0);
}

TEST_P(LogStall, TheLinesComeOnceTheyAreRead) {
    start();
    ASSERT_TRUE(is_up());
    ::kill(child, SIGHUP);
    const std::string read_again = "the settings were read again";
    EXPECT_NE(log.read_until(read_again).find(read_again), std::string::npos);
    ::kill(child, SIGTERM);
    const std::string last = "ends: ";
    EXPECT_NE(log.read_until(last).find(last), std::string::npos);
    EXPECT_EQ(await_end(), 0);
}

// LOST: a SIGHUP right after a start ended the process, and with it what it had accepted.
TEST_P(LogStall, ASighupFromBeforeItsFirstStepIsHandled) {
    start(SIGHUP);
    const std::string read_again = "the settings were read again";
    EXPECT_NE(log.read_until(read_again).find(read_again), std::string::npos);
    EXPECT_EQ(end(), 0);
}

INSTANTIATE_TEST_SUITE_P(Programs, LogStall,
                         testing::Values(Program{"proxy", WHINLEDGE_PROXY, "edge", kReadinessPort, "/ready"},
                                         Program{"control", WHINLEDGE_CONTROL, "control", kControlPort,
                                                 "/status"},
                                         Program{"storage", WHINLEDGE_STORAGE, "storage", 0, ""}),
                         [](const auto& tested) { return std::string(tested.param.name); });

}  // namespace
}  // namespace whinledge::tier_rig
