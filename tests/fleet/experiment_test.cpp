#include "fleet/experiment.hpp"

#include <gtest/gtest.h>

#include <filesystem>

namespace whinledge::fleetrig {
namespace {

const std::string kHead = "title = \"t\"\nmembers = 7\nprobe_period = \"200ms\"\n";
const std::string kCondition = "[[condition]]\nwant = \"no_repeats\"\n";

Experiment parse(const std::string& text, const Overrides& overrides = {}) {
    return parse_experiment(kHead + text + kCondition, "t.toml", overrides);
}
std::vector<Member> members(const std::string& selection) {
    return parse("[[step]]\ndo = \"kill\"\nmembers = " + selection + "\n").steps.at(0).members;
}

TEST(FleetExperiment, SelectsMembers) {
    using Members = std::vector<Member>;
    EXPECT_EQ(members("\"all\""), (Members{0, 1, 2, 3, 4, 5, 6}));
    EXPECT_EQ(members("[\"s7\", \"s1\"]"), (Members{6, 0}));
    EXPECT_EQ(members("\"s2..s4\""), (Members{1, 2, 3}));
    EXPECT_EQ(members("\"part 3/3\""), (Members{5, 6}));
    EXPECT_EQ(members("\"all\"\nnot_members = \"part 1/3\""), (Members{3, 4, 5, 6}));
}

TEST(FleetExperiment, PartsAreEverybodyOnceAtAnySize) {
    for (const std::size_t size : {2u, 7u, 50u, 300u}) {
        std::vector<Member> all;
        for (const char* part : {"1/3", "2/3", "3/3"}) {
            if (size < 3) continue;
            const Experiment e = parse(
                "[[step]]\ndo = \"kill\"\nmembers = \"part " + std::string(part) + "\"\n", {size, {}, {}});
            all.insert(all.end(), e.steps[0].members.begin(), e.steps[0].members.end());
        }
        for (Member m = 0; m < all.size(); ++m) EXPECT_EQ(all[m], m);
        EXPECT_EQ(all.size(), size < 3 ? 0 : size);
    }
}

TEST(FleetExperiment, TimesAreOfPeriodsOrOfTheClock) {
    const std::string step = "[[step]]\ndo = \"kill\"\nmembers = \"s1\"\nat = ";
    EXPECT_EQ(parse(step + "\"2.5P\"\n").steps[0].at, 500);
    EXPECT_EQ(parse(step + "\"2.5P\"\n", {{}, {}, "1s"}).steps[0].at, 2500);
    EXPECT_EQ(parse(step + "\"1500ms\"\n").steps[0].at, 1500);
    EXPECT_EQ(parse(step + "\"2m\"\n").steps[0].at, 120000);
}

TEST(FleetExperiment, OneAfterTheOtherIsSeveralSteps) {
    const Experiment e =
        parse("[[step]]\ndo = \"restart\"\nmembers = \"s1..s3\"\nat = \"1P\"\nevery = \"2P\"\n");
    ASSERT_EQ(e.steps.size(), 3u);
    EXPECT_EQ(e.steps[2].at, 1000);
    EXPECT_EQ(e.steps[2].members, std::vector<Member>{2});
}

TEST(FleetExperiment, ImpostorsAreNodesBesideTheMembers) {
    const Experiment e = parse(
        "[[step]]\ndo = \"impostor\"\nmembers = \"s2\"\n[[step]]\ndo = \"kill\"\nmembers = \"s2'\"\nat = "
        "\"5P\"\n");
    ASSERT_EQ(e.nodes(), 8u);
    EXPECT_EQ(e.node_name(7), "s2'");
    EXPECT_EQ(e.member_of(7), 1u);
    EXPECT_EQ(e.steps[1].members, std::vector<Member>{7});
}

TEST(FleetExperiment, IsReadStrictly) {
    const auto fault = [](const std::string& text) -> std::string {
        try {
            parse_experiment(text, "t.toml");
            return "taken";
        } catch (const ExperimentError& error) {
            return error.what();
        }
    };
    const std::pair<std::string, std::string> cases[] = {
        {kHead, "no condition"},
        {kCondition, "'title' is missing"},
        {kHead + "membres = 3\n" + kCondition, "t.toml:4: 'membres' is not known"},
        {kHead + "[[condition]]\nwant = \"all_held\"\n", "t.toml:5: 'want' is not"},
        {kHead + "[[condition]]\nwant = \"all_hold\"\nmembers = \"s1\"\nstate = \"failed\"\n",
         "'within' is missing"},
        {kHead + "[[condition]]\nwant = \"never\"\nmembers = \"s1\"\nstate = \"dead\"\n",
         "'state' is none of"},
        {kHead + "[[condition]]\nwant = \"never\"\nmembers = \"s8\"\nstate = \"failed\"\n",
         "\"s8\" is none of"},
        {kHead + "[[condition]]\nwant = \"never\"\nmember = \"s1\"\nstate = \"failed\"\n",
         "'members' is missing"},
        {kHead + "[[step]]\ndo = \"kill\"\nmembers = \"s1\"\nat = \"5\"\n" + kCondition,
         "'at' is not a time"},
        {kHead + "[[step]]\ndo = \"cut\"\ngroups = [[\"s1\"], [\"s2\"]]\n" + kCondition, "'for' is missing"},
        {kHead + "[[step]]\ndo = \"link\"\nfrom = \"s1\"\nto = \"s2\"\nfor = \"1P\"\n" + kCondition,
         "nothing befalls"},
        {kHead + "[[step]]\ndo = \"kill\"\nmembers = \"s1\"\nloss = 0.5\n" + kCondition,
         "'loss' is not known"},
        {"title = [", "t.toml:1"}};
    for (const auto& [text, what] : cases)
        EXPECT_NE(fault(text).find(what), std::string::npos) << text << fault(text);
}

}  // namespace
}  // namespace whinledge::fleetrig
