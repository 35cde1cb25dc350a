// Experiments as files: what is right is read, and each fault names its line, key and remedy.
#include "lab/experiment.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>

namespace whinledge::lab {
namespace {

// Lines 1 to 9.
const std::string kPlain = R"([run]
seeds = 3
[deployment]
zones = ["north", "south"]
[[program]]
name = "talk"
per_second = 2.5
[[arm]]
name = "all"
)";

Experiment read(const std::string& text) {
    auto result = read_experiment(text, "try.toml");
    if (const auto* const faults = std::get_if<ExperimentFaults>(&result)) {
        for (const auto& fault : faults->faults) ADD_FAILURE() << fault.text();
        return {};
    }
    return std::get<Experiment>(std::move(result));
}

// All faults, a line each.
std::string faults_of(const std::string& text) {
    const auto result = read_experiment(text, "try.toml");
    std::string all;
    if (const auto* const faults = std::get_if<ExperimentFaults>(&result))
        for (const auto& fault : faults->faults) all.append(fault.text()).append("\n");
    return all;
}

std::string replaced(std::string text, const std::string& what, const std::string& by) {
    return text.replace(text.find(what), what.size(), by);
}

TEST(LabExperiment, ReadsWhatItIsToldAndKeepsTheRest) {
    const Experiment read_one = read(kPlain + "[[trouble]]\nkind = \"hang\"\nat_s = 2.5\nfor_s = 3\n");
    EXPECT_EQ(read_one.seeds, 3);
    EXPECT_EQ(read_one.deployment.zones, (std::vector<std::string>{"north", "south"}));
    ASSERT_EQ(read_one.programs.size(), 1U);
    EXPECT_EQ(read_one.programs[0].per_second, 2.5);
    EXPECT_EQ(read_one.deployment.model.slots, 96);
    ASSERT_EQ(read_one.troubles.size(), 1U);
    EXPECT_EQ(read_one.troubles[0].kind, TroubleKind::hang);
    EXPECT_EQ(read_one.troubles[0].at, 2500);
    EXPECT_TRUE(read_one.arms[0].mechanisms.urgency);
}

TEST(LabExperiment, AnArmLeavesOutMechanisms) {
    const auto read = read_experiment(kPlain + "without = [\"homes\", \"cold\"]\n", "try.toml");
    ASSERT_TRUE(std::holds_alternative<Experiment>(read));
    placement::Mechanisms wanted;
    wanted.homes = false;
    wanted.cold = false;
    EXPECT_EQ(std::get<Experiment>(read).arms[0].mechanisms, wanted);
}

struct BadCase {
    const char* what;
    std::string text, fault;  // a part of the fault that it has to have
};

TEST(LabExperiment, EachFaultNamesLineKeyAndRemedy) {
    const BadCase cases[] = {
        {"no TOML", "[run\n", "try.toml:1"},
        {"a key that is not known", replaced(kPlain, "seeds", "seed"), "try.toml:2: run.seed"},
        {"and the key that was meant", replaced(kPlain, "seeds", "seed"), "\"seeds\""},
        {"a table that is not known", kPlain + "[armes]\n", "try.toml:10: armes"},
        {"a wrong type", replaced(kPlain, "3", "\"three\""), "try.toml:2: run.seeds"},
        {"out of bounds", replaced(kPlain, "seeds = 3", "seeds = 0"), "try.toml:2: run.seeds"},
        {"a negative rate", replaced(kPlain, "2.5", "-2.5"), "try.toml:7: program"},
        {"a zone twice", replaced(kPlain, "\"south\"", "\"north\""), "name each once"},
        {"no zone", replaced(kPlain, "\"north\", \"south\"", ""), "name one at least"},
        {"a zone that is no name", replaced(kPlain, "\"south\"", "\"so uth\""),
         "try.toml:4: deployment.zones"},
        {"no arm", kPlain.substr(0, kPlain.find("[[arm]]")), "give one [[arm]] at least"},
        {"an arm twice", kPlain + "[[arm]]\nname = \"all\"\n", "try.toml:11"},
        {"an arm without a name", kPlain + "[[arm]]\nurgency = false\n", "give the arm's name"},
        {"a choice that is not known", kPlain + "choice = \"best\"\n", "try.toml:10"},
        {"a mechanism that is not known", kPlain + "without = [\"houses\"]\n", "'houses' is no mechanism"},
        {"a tool that is not known", replaced(kPlain, "[[arm]]", "tools = [{ kind = \"sleep\" }]\n[[arm]]"),
         "there is no [[tool_call]]"},
        {"an amount without a mean", replaced(kPlain, "[[arm]]", "turns = { spread = 1 }\n[[arm]]"),
         "give the mean amount"},
        {"most below the mean", replaced(kPlain, "[[arm]]", "turns = { mean = 5, most = 2 }\n[[arm]]"),
         "give at least the mean"},
        {"a trouble of no kind", kPlain + "[[trouble]]\nat_s = 1\n", "give burst, slow"},
        {"a trouble behind the traffic's end", kPlain + "[[trouble]]\nkind = \"slow\"\nat_s = 100\n",
         "give less than run.traffic_s"},
        {"a speed that is none", replaced(kPlain, "[[program]]", "speeds = [1, \"fast\"]\n[[program]]"),
         "numbers from 0.01"},
    };
    for (const BadCase& bad : cases) {
        const std::string faults = faults_of(bad.text);
        EXPECT_NE(faults.find(bad.fault), std::string::npos) << bad.what << ": " << faults;
    }
}

TEST(LabExperiment, AllFaultsAreToldAtOnce) {
    std::string text = replaced(kPlain, "seeds = 3", "seeds = 0");
    text = replaced(text, "2.5", "\"fast\"");
    const std::string faults = faults_of(text);
    EXPECT_NE(faults.find("try.toml:2"), std::string::npos) << faults;
    EXPECT_NE(faults.find("try.toml:7"), std::string::npos) << faults;
}

TEST(LabExperiment, TheExamplesAreRight) {
    for (const char* name :
         {"crowded.toml", "small-tier.toml", "small-troubles.toml", "three-hundred.toml"}) {
        std::ifstream file(std::string(LAB_EXAMPLES) + "/" + name);
        ASSERT_TRUE(file) << name;
        const Experiment example = read(std::string(std::istreambuf_iterator<char>(file), {}));
        EXPECT_GE(example.arms.size(), 4U) << name;
        EXPECT_EQ(example.arms[0].name, "all") << name;
        EXPECT_GE(example.seeds, 20) << name;
    }
}

}  // namespace
}  // namespace whinledge::lab
