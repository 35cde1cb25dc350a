// whinledge-lab: plays experiments on the emulator, and reports.
#include <docopt/docopt.h>
#include <glog/logging.h>

#include <charconv>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "lab/live_trial.hpp"
#include "lab/results.hpp"

namespace {

constexpr const char* kUsage =
    R"(whinledge-lab: plays experiments on simulated time, or on processes of this machine.

Usage:
  whinledge-lab run FILE [--html=FILE] [--text=FILE] [--seeds=N] [--quiet]
  whinledge-lab live FILE [--bin=FOLDER] [--disks=FOLDER] [--html=FILE] [--text=FILE] [--seeds=N] [--quiet]
  whinledge-lab check FILE
  whinledge-lab (-h | --help)

  run: simulated. live: whinledge-proxy, -control and -storage on loopback, in three zones or more; arms
  differ by what the proxies are told, and those that choose otherwise are left out.

Options:
  --bin=FOLDER  Has the three programs; else the folder of this one.
  --disks=FOLDER  Where the machines' disks are while a trial lasts; else the system's folder for such files.
  --html=FILE   Also as one HTML file with plots.
  --text=FILE   The table also goes here; it always goes to standard output.
  --seeds=N     In place of what the experiment says, 1 to 1000.
  --quiet       No progress on standard error.

Status: 0 done, 1 the experiment has faults (on standard error) or a file can't be written, 2 wrong usage,
3 the ends that the lab counts do not add up: a fault of its own, 4 the processes are not there or did not start.
)";

using Arguments = std::map<std::string, docopt::value>;

constexpr int kDone = 0, kRefused = 1, kWrongUsage = 2, kWrongCounts = 3, kNotStarted = 4;
constexpr int kMostSeeds = 1000;

// Ahead of a long run as well, with nothing: so that it is not in vain.
bool write_file(const docopt::value& path, const std::string& text) {
    if (!path) return true;
    std::ofstream file(path.asString(), text.empty() ? std::ios::app : std::ios::binary);
    file << text;
    file.flush();
    if (file) return true;
    std::cerr << "'" << path.asString() << "' can't be written: give a path in a folder that is there\n";
    return false;
}

bool read_seeds(const std::string& text, int& seeds) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seeds);
    if (error == std::errc{} && end == text.data() + text.size() && seeds >= 1 && seeds <= kMostSeeds)
        return true;
    std::cerr << "--seeds=" << text << " is no whole number in bounds: give 1 to " << kMostSeeds << '\n';
    return false;
}

using namespace whinledge;

// The experiment of the command line; none: its faults have been told.
std::optional<lab::Experiment> read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    const std::string text(std::istreambuf_iterator<char>(file), {});
    if (!file.good() && !file.eof()) {
        std::cerr << "'" << path << "' can't be read: give the path of an experiment\n";
        return std::nullopt;
    }
    auto read = lab::read_experiment(text, path);
    if (const auto* const faults = std::get_if<lab::ExperimentFaults>(&read)) {
        for (const auto& fault : faults->faults) std::cerr << fault.text() << '\n';
        return std::nullopt;
    }
    return std::get<lab::Experiment>(std::move(read));
}

// Leaves out what processes can't play; false: nothing is left, and that has been told.
bool keep_what_is_live(lab::Experiment& experiment) {
    if (const auto why = lab::why_not_live(experiment)) {
        std::cerr << *why << '\n';
        return false;
    }
    std::vector<lab::Arm> arms;
    for (const lab::Arm& arm : experiment.arms) {
        const auto why = lab::why_not_live(arm);
        if (!why) arms.push_back(arm);
        if (why) std::cerr << "left out: " << *why << '\n';
    }
    experiment.arms = std::move(arms);
    if (experiment.arms.empty()) std::cerr << "no arm is left: name one whose choice is \"prefix\"\n";
    return !experiment.arms.empty();
}

int report(const Arguments& arguments, const lab::Results& results) {
    const std::string table = lab::text_report(results);
    std::cout << table;
    if (!write_file(arguments.at("--text"), table)) return kRefused;
    if (!write_file(arguments.at("--html"), arguments.at("--html") ? lab::html_report(results) : ""))
        return kRefused;
    for (const lab::ArmResults& arm : results.arms)
        if (!arm.ends_add_up) return kWrongCounts;
    return kDone;
}

int play(const Arguments& arguments, const lab::Experiment& experiment, const lab::TrialRunner& runner) {
    if (!write_file(arguments.at("--text"), "") || !write_file(arguments.at("--html"), "")) return kRefused;
    const bool quiet = arguments.at("--quiet").asBool();
    const auto progress = [quiet](int done, int of) {
        if (!quiet) LOG(INFO) << "trial " << done << " of " << of;
    };
    return report(arguments, lab::play(experiment, progress, runner));
}

int play_live(const Arguments& arguments, lab::Experiment experiment) {
    if (!keep_what_is_live(experiment)) return kRefused;
    try {
        const auto& bin = arguments.at("--bin");
        const std::string folder = bin ? bin.asString() : tier_rig::own_folder();
        lab::LiveOptions options{.programs = tier_rig::programs_in(folder, "--bin")};
        if (const auto& disks = arguments.at("--disks")) options.disks = disks.asString();
        return play(arguments, experiment,
                    [&](const lab::Experiment& of, const lab::Arm& arm, std::uint64_t seed) {
                        return lab::run_live_trial(of, arm, seed, options);
                    });
    } catch (const std::runtime_error& fault) {
        std::cerr << fault.what() << '\n';
        return kNotStarted;
    }
}

int run(const Arguments& arguments) {
    const std::string path = arguments.at("FILE").asString();
    auto experiment = read_file(path);
    if (!experiment) return kRefused;
    if (arguments.at("check").asBool()) {
        std::cout << path << ": " << experiment->arms.size() << " arms, " << experiment->seeds << " seeds\n";
        return kDone;
    }
    if (const auto& seeds = arguments.at("--seeds");
        seeds && !read_seeds(seeds.asString(), experiment->seeds))
        return kWrongUsage;
    if (arguments.at("live").asBool()) return play_live(arguments, std::move(*experiment));
    return play(arguments, *experiment, lab::run_trial);
}

}  // namespace

int main(int count, char** words) {
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(words[0]);
    try {
        return run(docopt::docopt_parse(kUsage, {words + 1, words + count}, true, false));
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << kUsage;
        return kDone;
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n\n" << kUsage;
        return kWrongUsage;
    }
}
