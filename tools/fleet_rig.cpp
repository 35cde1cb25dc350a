// Runs an experiment on a fleet of processes on this machine, and says whether its conditions held.
#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>
#include <optional>
#include <string>

#include "fleet/experiment.hpp"
#include "fleet/rig.hpp"

namespace {

using namespace whinledge::fleetrig;

struct Wanted {
    std::string file, out, binary;
    std::optional<std::uint64_t> seed;
    std::optional<std::size_t> members;
    std::optional<std::string> period;
};

// Beside this program, as the build puts it.
std::string beside() {
    std::error_code failed;
    const auto self = std::filesystem::read_symlink("/proc/self/exe", failed);
    return failed ? "whinledge" : (self.parent_path() / "whinledge").string();
}

int run(const Wanted& wanted) {
    const Experiment experiment = read_experiment(wanted.file, {wanted.members, wanted.seed, wanted.period});
    const std::filesystem::path folder =
        wanted.out.empty()
            ? std::filesystem::path("fleet-" + std::filesystem::path(wanted.file).stem().string())
            : std::filesystem::path(wanted.out);
    const Outcome outcome = run(experiment, wanted.binary, folder);
    std::cout << summary_of(experiment, experiment.cast(), outcome) << "  "
              << (folder / "report.html").string() << '\n';
    return outcome.passed ? 0 : 1;
}

}  // namespace

int main(int count, char** words) {
    CLI::App app(
        "Starts a fleet of sidecars on this machine, does to it what an experiment file says, and checks the "
        "file's conditions.");
    app.require_subcommand(1);
    Wanted wanted;
    wanted.binary = beside();
    CLI::App* const play =
        app.add_subcommand("run", "runs one experiment; status 0: all its conditions held");
    play->add_option("file", wanted.file, "the experiment (TOML)")->required();
    play->add_option("--out", wanted.out,
                     "folder for report.html, events.jsonl, files and logs of the members");
    play->add_option("--binary", wanted.binary, "the program")->capture_default_str();
    play->add_option("--seed", wanted.seed, "in place of the file's");
    play->add_option("--members", wanted.members, "in place of the file's");
    play->add_option("--probe-period", wanted.period, "in place of the file's, as 200ms or 1s");
    try {
        app.parse(count, words);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : 2;
    }
    try {
        return run(wanted);
    } catch (const std::exception& error) {
        std::cerr << "whinledge_fleet_rig: " << error.what() << '\n';
        return 1;
    }
}
