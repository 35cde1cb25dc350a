// whinledge_tier_rig: plays a day of a whole tier on this machine and tells what was promised and kept.
#include "tier/rig.hpp"
// After rig.hpp.
#include <termios.h>
#include <unistd.h>

#include <array>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <filesystem>
#include <iostream>
#include <optional>

#include "tier/soak.hpp"
#include "words.hpp"

namespace whinledge::tier_rig {
namespace {

constexpr const char* kHelp =
    "whinledge_tier_rig [--bin FOLDER] [--newer FOLDER] [--seconds 10] [--fault AT:DEED:TARGET[:LASTS]]... "
    "[--final "
    "killed|wiped]\n"
    "                   [--zones 3] [--edges 2] [--cores 1] [--storage 1] [--rate 20] [--programs 3] [--seed "
    "1]\n"
    "                   [--changes 2.5] [--runaways 0.1] [--served 0.9] [--soak] [--losses] [--keys] "
    "[--keep] "
    "[--quiet]\n"
    "  --bin       has whinledge-proxy, whinledge-control and whinledge-storage; else the program's own "
    "folder\n"
    "  --newer     has the same programs of another build, for upgrade and downgrade\n"
    "  --fault     DEED: kill, freeze, throttle, stall, term, hup, wipe, replace, retire, remove, add, "
    "drain, "
    "upgrade, "
    "downgrade;\n"
    "              TARGET: the name of a machine, such as core-aber-1, or edge, core, storage: any of it, "
    "edges: "
    "all\n"
    "              of them at once, all: every machine in turn; times in seconds\n"
    "  --final     at the end: every process is killed, and one storage machine wiped\n"
    "  --edges, --cores, --storage   machines in each zone;  --rate, --programs: of each zone\n"
    "  --server-faults  share of runs that servers answer 500, and of those that they break off\n"
    "  --soak      signals, restarts and changes in series, drawn from the seed; even seeds have kills and "
    "lost "
    "disks too\n"
    "  --losses    kills and freezes that overlap, disks lost one at a time, drawn from the seed, as are "
    "zones and "
    "machines\n"
    "  --served    share of the requests that must be served for status 0\n"
    "  --keys      k kills a process, f freezes one, w wipes a storage machine, t sends SIGTERM, q ends\n"
    "  --keep      keeps settings, logs and data;  --quiet: only the last lines\n";

// Reads single keys from the terminal, which it sets right again.
class Keys {
public:
    explicit Keys(Rig& rig) : rig_(rig), input_(rig.world().io) {
        if (::tcgetattr(STDIN_FILENO, &before_) != 0) return;
        termios raw = before_;
        raw.c_lflag &= ~static_cast<tcflag_t>(ICANON | ECHO);
        ::tcsetattr(STDIN_FILENO, TCSANOW, &raw);
        changed_ = true;
        input_.assign(::dup(STDIN_FILENO));
        read();
    }
    ~Keys() {
        if (changed_) ::tcsetattr(STDIN_FILENO, TCSANOW, &before_);
    }
    Keys(const Keys&) = delete;
    Keys& operator=(const Keys&) = delete;

private:
    void read() {
        input_.async_read_some(asio::buffer(key_), [this](error_code error, std::size_t) {
            if (error) return;
            act(key_[0]);
            read();
        });
    }
    void act(char key) {
        static constexpr std::array<const char*, 3> kClasses{"edge", "core", "storage"};
        const std::string any = kClasses[static_cast<std::size_t>(rig_.world().below(3))];
        if (key == 'k') rig_.do_now(Deed::kill, any);
        if (key == 'f') rig_.do_now(Deed::freeze, any, 3000);
        if (key == 'w') rig_.do_now(Deed::wipe, "storage");
        if (key == 't') rig_.do_now(Deed::terminate, "edge");
        if (key == 'q') rig_.end_early();
    }

    Rig& rig_;
    asio::posix::stream_descriptor input_;
    std::array<char, 1> key_{};
    termios before_{};
    bool changed_ = false;
};

double decimal(const std::string& words) {
    char* end = nullptr;
    const double value = std::strtod(words.c_str(), &end);
    if (words.empty() || *end != '\0' || !(value >= 0)) throw tools::UsageError("no number: '" + words + "'");
    return value;
}

int play(const tools::Words& words) {
    if (!words.alone().empty()) throw tools::UsageError("too much: " + words.alone().front());
    DayOptions day;
    day.tier.programs = programs_in(words.get("--bin", own_folder()), "--bin");
    day.tier.stalling = stalling_programs_in(words.get("--bin", own_folder()));
    const std::string newer = words.get("--newer", "");
    if (!newer.empty()) day.tier.newer = programs_in(newer, "--newer");
    const int zones = tools::number<int>(words.get("--zones", "3"));
    if (zones < 1 || zones > 50) throw tools::UsageError("--zones: 1 to 50");
    while (static_cast<int>(day.tier.zones.size()) > zones) day.tier.zones.pop_back();
    while (static_cast<int>(day.tier.zones.size()) < zones)
        day.tier.zones.push_back(std::string("zone").append(std::to_string(day.tier.zones.size() + 1)));
    day.tier.edges = tools::number<int>(words.get("--edges", "2"));
    day.tier.cores = tools::number<int>(words.get("--cores", "1"));
    day.tier.stores = tools::number<int>(words.get("--storage", "1"));
    day.traffic = decimal(words.get("--seconds", "10")) * 1000;
    day.requests_per_s = std::max(0.1, decimal(words.get("--rate", "20")));
    day.programs = tools::number<int>(words.get("--programs", "3"));
    day.runaways = decimal(words.get("--runaways", "0.1"));
    day.changes_every = decimal(words.get("--changes", "2.5")) * 1000;
    day.server_faults = decimal(words.get("--server-faults", "0"));
    day.seed = tools::number<std::uint64_t>(words.get("--seed", "1"));
    day.tells = !words.has("--quiet");
    day.keeps_folder = words.has("--keep");
    for (const std::string& fault : words.all("--fault")) day.faults.push_back(parse_fault(fault));
    if (words.has("--soak")) make_soak(day, day.seed);
    if (words.has("--losses")) make_loss_soak(day, day.seed);
    const std::string final_fault = words.get("--final", "");
    if (final_fault == "killed")
        day.final_fault = FinalFault::all_killed;
    else if (final_fault == "wiped")
        day.final_fault = FinalFault::all_killed_and_one_wiped;
    else if (!final_fault.empty())
        throw tools::UsageError("--final: killed or wiped");

    Rig rig(day);
    std::optional<Keys> keys;
    if (words.has("--keys") && ::isatty(STDIN_FILENO)) keys.emplace(rig);
    const DayResult result = rig.play();
    keys.reset();
    std::cout << result.words();
    if (day.keeps_folder) std::cout << "  kept: " << result.folder << "\n";
    const bool held = result.started && result.findings.empty() &&
                      result.served() >= decimal(words.get("--served", final_fault.empty() ? "0.9" : "0.6"));
    std::cout << (held ? "held\n" : "NOT held\n");
    return held ? 0 : 1;
}

}  // namespace
}  // namespace whinledge::tier_rig

int main(int count, char** words) {
    using namespace whinledge;
    try {
        return tier_rig::play(
            tools::Words(count, words,
                         {"--bin", "--newer", "--seconds", "--fault", "--final", "--zones", "--edges",
                          "--cores", "--storage", "--rate", "--programs", "--seed", "--changes", "--runaways",
                          "--served", "--server-faults"},
                         {"--keys", "--keep", "--quiet", "--soak", "--losses"}));
    } catch (const tools::UsageError& error) {
        std::cerr << "whinledge_tier_rig: " << error.what() << '\n' << tier_rig::kHelp;
        return 2;
    } catch (const std::exception& error) {
        std::cerr << "whinledge_tier_rig: " << error.what() << '\n';
        return 1;
    }
}
