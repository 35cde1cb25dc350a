// The register over real remote calls on loopback and real folders: three processes in one loop.
#include "consensus/register_service.hpp"

#include <gtest/gtest.h>

#include <array>
#include <filesystem>
#include <optional>

#include "rig/disk_folder.hpp"
#include "rig/own_address.hpp"

namespace whinledge::consensus {
namespace {

using namespace std::chrono_literals;
using Result = RegisterResult<wire::RegisterState>;

struct Process {
    Process(boost::asio::io_context& io, const RegisterService::Options& options,
            rpc::Server::Tcp::endpoint at)
        : client(io), server(io, at), service(io, client, server, options) {}
    rpc::Client client;
    rpc::Server server;
    RegisterService service;
};

class RegisterServiceTest : public testing::Test {
protected:
    static constexpr std::size_t kProcesses = 3;
    static constexpr std::uint16_t kPort = 20002;

    RegisterServiceTest() {
        for (std::size_t p = 0; p < kProcesses; ++p)
            endpoints_[p] = {test::own_address(static_cast<unsigned>(p)), kPort};
        for (std::size_t p = 0; p < kProcesses; ++p) seeds_.push_back(address(p));
    }
    std::string address(std::size_t p) const { return test::text_of(endpoints_[p]); }
    void start(std::size_t p, bool first_boot) {
        RegisterService::Options options;
        options.self.node = std::string("core-").append(std::to_string(p));
        options.self.zone = std::string("zone-").append(std::to_string(p));
        options.self.address = address(p);
        options.self.role = wire::NodeRole::control;
        options.self.started_ms = ++starts_;
        options.data_folder = folders_[p].path() + "/register";
        options.first_boot = first_boot;
        options.seeds = seeds_;
        processes_[p] = std::make_unique<Process>(io_, options, endpoints_[p]);
    }
    void stop(std::size_t p) { processes_[p].reset(); }
    RegisterService& service(std::size_t p) { return processes_[p]->service; }
    template <class Done>
    bool run_until(Done done, std::chrono::seconds limit = 15s) {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!done() && std::chrono::steady_clock::now() < end) io_.run_one_for(100ms);
        return done();
    }
    Result take(const std::string& configuration, std::size_t p) {
        std::optional<Result> result;
        service(p).change(
            [&](const wire::RegisterState& state) {
                wire::RegisterState next = state;
                next.version = state.version + 1;
                next.configuration = configuration;
                return std::optional(next);
            },
            5s, [&](Result done) { result = std::move(done); });
        EXPECT_TRUE(run_until([&] { return result.has_value(); }));
        return *result;
    }
    Result read(std::size_t p) {
        std::optional<Result> result;
        service(p).read(5s, [&](Result done) { result = std::move(done); });
        EXPECT_TRUE(run_until([&] { return result.has_value(); }));
        return *result;
    }

    boost::asio::io_context io_;
    std::array<test::DiskFolder, kProcesses> folders_;
    std::array<rpc::Server::Tcp::endpoint, kProcesses> endpoints_;
    std::vector<std::string> seeds_;
    std::array<std::unique_ptr<Process>, kProcesses> processes_;
    std::int64_t starts_ = 0;
};

TEST_F(RegisterServiceTest, ThreeSeedsFoundTheRegisterAndHoldWhatIsChanged) {
    for (std::size_t p = 0; p < kProcesses; ++p) start(p, true);
    const Result changed = take("first", 2);
    ASSERT_TRUE(changed) << changed.error().message;
    EXPECT_EQ(changed.value().sequence, 1);
    for (std::size_t p = 0; p < kProcesses; ++p) {
        const Result found = read(p);
        ASSERT_TRUE(found) << found.error().message;
        EXPECT_EQ(found.value().configuration, "first");
        EXPECT_EQ(service(p).acceptors().size(), 3U);
    }
}

TEST_F(RegisterServiceTest, ValuesOfFourMebibytesGoThrough) {
    for (std::size_t p = 0; p < kProcesses; ++p) start(p, true);
    const std::string large(4U << 20, 'x');
    for (std::size_t n = 0; n < 6; ++n) {
        const Result changed = take(large + std::to_string(n), n % kProcesses);
        ASSERT_TRUE(changed) << changed.error().message;
    }
    EXPECT_EQ(read(1).value().configuration, large + "5");
}

TEST_F(RegisterServiceTest, OneProcessMayBeGone) {
    for (std::size_t p = 0; p < kProcesses; ++p) start(p, true);
    ASSERT_TRUE(take("first", 0));
    stop(1);
    const Result changed = take("second", 2);
    ASSERT_TRUE(changed) << changed.error().message;
    EXPECT_EQ(read(0).value().configuration, "second");
    stop(0);
    std::optional<Result> alone;
    service(2).read(1s, [&](Result done) { alone = std::move(done); });
    ASSERT_TRUE(run_until([&] { return alone.has_value(); }));
    ASSERT_FALSE(*alone);
    EXPECT_EQ(alone->error().failure, RegisterFailure::no_majority);
}

TEST_F(RegisterServiceTest, AllProcessesStartAgainWithWhatTheyHeld) {
    for (std::size_t p = 0; p < kProcesses; ++p) start(p, true);
    ASSERT_TRUE(take("kept", 0));
    for (std::size_t p = 0; p < kProcesses; ++p) stop(p);
    for (std::size_t p = 0; p < kProcesses; ++p) start(p, false);
    const Result found = read(1);
    ASSERT_TRUE(found) << found.error().message;
    EXPECT_EQ(found.value().configuration, "kept");
}

TEST_F(RegisterServiceTest, AWipedDiskIsReplacedByItsNewIdentity) {
    for (std::size_t p = 0; p < kProcesses; ++p) start(p, true);
    ASSERT_TRUE(take("kept", 0));
    const std::int64_t old = service(1).identity();
    stop(1);
    std::filesystem::remove_all(folders_[1].path() + "/register");
    start(1, false);
    const std::int64_t fresh = service(1).identity();
    ASSERT_NE(old, fresh);
    EXPECT_TRUE(run_until([&] {
        const auto acceptors = service(1).acceptors();
        return std::any_of(acceptors.begin(), acceptors.end(),
                           [&](const wire::Acceptor& acceptor) { return acceptor.identity == fresh; });
    }));
    stop(0);
    const Result found = read(1);  // the new disk and one old one are the majority
    ASSERT_TRUE(found) << found.error().message;
    EXPECT_EQ(found.value().configuration, "kept");
}

TEST_F(RegisterServiceTest, ADeclinedChangeLeavesTheValue) {
    for (std::size_t p = 0; p < kProcesses; ++p) start(p, true);
    ASSERT_TRUE(take("kept", 0));
    std::optional<Result> result;
    service(1).change([](const wire::RegisterState&) { return std::nullopt; }, 5s,
                      [&](Result done) { result = std::move(done); });
    ASSERT_TRUE(run_until([&] { return result.has_value(); }));
    ASSERT_FALSE(*result);
    EXPECT_EQ(result->error().failure, RegisterFailure::rejected);
    EXPECT_EQ(read(2).value().sequence, 1);
}

}  // namespace
}  // namespace whinledge::consensus
