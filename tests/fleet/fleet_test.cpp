// Fleets of processes of the program, by the experiments that stand beside this file; each may also be run by
// itself: whinledge_fleet_rig run FILE.
#include <gtest/gtest.h>
#include <pthread.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <thread>

#include "fleet/processes.hpp"
#include "fleet/rig.hpp"

namespace whinledge::fleetrig {
namespace {

namespace fs = std::filesystem;

// A result folder, which stays where the test fails; FLEET_RIG_OUT says where, and that it stays anyhow.
class Folder {
public:
    explicit Folder(const std::string& name) {
        const char* const out = std::getenv("FLEET_RIG_OUT");
        keep_ = out != nullptr;
        path_ =
            out ? fs::path(out) / name
                : fs::temp_directory_path() / ("whinledge-fleet-" + std::to_string(::getpid()) + "-" + name);
        fs::remove_all(path_);
    }
    ~Folder() {
        std::error_code ignored;
        if (!keep_ && !testing::Test::HasFailure()) fs::remove_all(path_, ignored);
    }
    const fs::path& path() const { return path_; }

private:
    fs::path path_;
    bool keep_;
};

std::vector<std::string> experiments() {
    std::vector<std::string> names;
    for (const auto& entry : fs::directory_iterator(EXPERIMENTS))
        if (entry.path().extension() == ".toml") names.push_back(entry.path().stem().string());
    std::sort(names.begin(), names.end());
    return names;
}
Experiment load(const std::string& name) {
    return read_experiment((fs::path(EXPERIMENTS) / (name + ".toml")).string());
}

class Fleet : public testing::TestWithParam<std::string> {};

TEST_P(Fleet, Holds) {
    const Experiment experiment = load(GetParam());
    const Folder folder(GetParam());
    const Outcome outcome = run(experiment, WHINLEDGE, folder.path());
    EXPECT_TRUE(outcome.passed) << summary_of(experiment, experiment.cast(), outcome) << "  "
                                << (folder.path() / "report.html").string();
    EXPECT_EQ(outcome.overrun, 0u) << "the rig lost datagrams itself";
}

INSTANTIATE_TEST_SUITE_P(Experiments, Fleet, testing::ValuesIn(experiments()), [](const auto& info) {
    std::string name = info.param;
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
});

// ---- That the rig sees what is wrong

const std::string kSmall = "title = \"small\"\nmembers = 3\nservers = 1\nprobe_period = \"200ms\"\n";

const Result& of(const Outcome& outcome, const std::string& condition) {
    for (const Result& r : outcome.results)
        if (r.condition.find(condition) != std::string::npos) return r;
    throw std::logic_error(condition + " is no condition");
}

TEST(FleetRig, AConditionThatIsNotSoFails) {
    const Experiment experiment =
        parse_experiment(kSmall +
                             "[[step]]\ndo = \"kill\"\nmembers = \"s3\"\nat = \"1P\"\n"
                             "[[condition]]\nwant = \"all_hold\"\nmembers = \"s3\"\nstate = "
                             "\"failed\"\nafter = \"1P\"\nwithin = \"15P\"\n"
                             "[[condition]]\nwant = \"never\"\nmembers = \"s3\"\nstate = \"failed\"\n"
                             "[[condition]]\nwant = \"all_hold\"\nmembers = \"s2\"\nstate = \"left\"\nafter "
                             "= \"1P\"\nwithin = \"2P\"\n"
                             "[[condition]]\nwant = \"datagrams\"\nmost = 0.5\n",
                         "small.toml");
    const Folder folder("not-so");
    const Outcome outcome = run(experiment, WHINLEDGE, folder.path());
    EXPECT_FALSE(outcome.passed);
    EXPECT_TRUE(of(outcome, "all_hold: s3 failed").passed);
    EXPECT_FALSE(of(outcome, "never: s3 failed").passed);
    EXPECT_FALSE(of(outcome, "all_hold: s2 left").passed);
    EXPECT_FALSE(of(outcome, "datagrams").passed);
    ASSERT_EQ(outcome.detections.size(), 1u);
    EXPECT_EQ(outcome.detections[0].took.size(), 2u);
}

// The same limit where each member's file names itself alone, so that each has all of it to itself.
TEST(FleetRig, ALimitThatIsNotSharedIsFoundByWhatServersReceived) {
    const std::string limited =
        kSmall +
        "limits = \"\"\"\n[[fleet.limit]]\nname = \"l\"\npool = \"servers\"\nrate = 30\n"
        "burst = 3\nlease = \"500ms\"\n\"\"\"\n"
        "[[step]]\ndo = \"demand\"\nfrom = \"all\"\nrate = 40\nfor = \"4s\"\nat = \"2s\"\n"
        "[[condition]]\nwant = \"received\"\nmost = 45\n";
    std::string alone = limited;
    for (const std::string self : {"s1", "s2", "s3"})
        alone += "[[step]]\ndo = \"list\"\nmembers = \"" + self + "\"\nfleet = \"" + self + "\"\n";
    const Folder folder("not-shared");
    const Outcome shared = run(parse_experiment(limited, "small.toml"), WHINLEDGE, folder.path());
    EXPECT_TRUE(shared.passed) << of(shared, "received").seen;
    const Outcome unshared = run(parse_experiment(alone, "small.toml"), WHINLEDGE, folder.path());
    EXPECT_FALSE(of(unshared, "received").passed) << of(unshared, "received").seen;
}

// What claims-another.toml sends does harm where it comes from the right address.
TEST(FleetRig, AGoodbyeFromItsOwnAddressIsBelieved) {
    const Experiment experiment = parse_experiment(
        kSmall +
            "[[step]]\ndo = \"lie\"\nfrom = \"s3\"\nto = \"all\"\nclaims = \"s3\"\nsays = \"left\"\n"
            "rate = 10\nfor = \"2P\"\n"
            "[[condition]]\nwant = \"never\"\nmembers = \"s3\"\nstate = \"left\"\n",
        "small.toml");
    const Folder folder("goodbye");
    EXPECT_FALSE(of(run(experiment, WHINLEDGE, folder.path()), "never: s3 left").passed);
}

// The end of another child interrupts the wait for one that was killed: that one may still hold its address.
TEST(FleetRig, WhoWasKilledIsGoneThoughOthersEndMeanwhile) {
    const Folder folder("killed");
    fs::create_directories(folder.path());
    asio::io_context io;
    const Experiment experiment = load("quiet");
    const Places places(io);
    Processes processes(io, WHINLEDGE, folder.path(), experiment, places);
    std::atomic<bool> over = false;
    std::thread others([&over, here = ::pthread_self()] {
        while (!over) ::pthread_kill(here, SIGCHLD);
    });
    for (int round = 0; round < 30; ++round) {
        processes.start(0);
        const pid_t killed = processes.pid(0);
        processes.kill(0);
        EXPECT_EQ(::waitpid(killed, nullptr, WNOHANG), -1) << "it is still there, or nobody waited for it";
    }
    over = true;
    others.join();
}

TEST(FleetRig, AProcessThatEndsByItselfFails) {
    const Experiment experiment =
        parse_experiment(kSmall + "[[condition]]\nwant = \"no_repeats\"\n", "small.toml");
    const Folder folder("ends");
    const Outcome outcome = run(experiment, "/bin/false", folder.path());
    EXPECT_FALSE(outcome.passed);
    EXPECT_NE(of(outcome, "no process ends").seen.find("ended by itself with status"), std::string::npos);
}

// ---- The command, against members that run

struct Said {
    int status = -1;
    std::string out;
};
Said ask(const std::string& words) {
    Said said;
    FILE* const pipe = ::popen((std::string(WHINLEDGE) + " " + words + " 2>/dev/null").c_str(), "r");
    if (!pipe) return said;
    std::array<char, 4096> bytes;
    while (const std::size_t n = std::fread(bytes.data(), 1, bytes.size(), pipe))
        said.out.append(bytes.data(), n);
    const int status = ::pclose(pipe);
    said.status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return said;
}

TEST(FleetCommand, MembersAreThoseOfTheFleet) {
    const Experiment experiment =
        parse_experiment(kSmall + "[[condition]]\nwant = \"views_equal\"\nwithin = \"20P\"\n", "small.toml");
    const Folder folder("command");
    Said json, text, nobody;
    const Outcome outcome = run(experiment, WHINLEDGE, folder.path(), [&](const Processes& processes) {
        json = ask("fleet members --json --socket " + processes.control(1));
        text = ask("fleet members --socket " + processes.control(1));
        nobody = ask("fleet members --json --socket " + processes.control(1) + "-none");
    });
    EXPECT_TRUE(outcome.passed) << summary_of(experiment, experiment.cast(), outcome);
    EXPECT_EQ(json.status, 0);
    const auto said = nlohmann::json::parse(json.out, nullptr, false);
    ASSERT_TRUE(said.is_object()) << json.out;
    EXPECT_EQ(said["self"], "s2");
    EXPECT_EQ(said["standing"], "joined");
    ASSERT_EQ(said["members"].size(), 3u);
    for (const auto& member : said["members"]) {
        EXPECT_EQ(member["state"], "alive") << member;
        EXPECT_GT(member["incarnation"], 0) << member;
        EXPECT_GE(member["heard_ms"], 0) << member;
        EXPECT_EQ(member["draining"], false) << member;
    }
    EXPECT_EQ(text.status, 0);
    EXPECT_NE(text.out.find("joined"), std::string::npos) << text.out;
    EXPECT_EQ(nobody.status, 1);
}

}  // namespace
}  // namespace whinledge::fleetrig
