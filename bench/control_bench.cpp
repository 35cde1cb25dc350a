// What the control plane costs hollow sidecars, and how soon they hear: real control processes and a platform
// of stand-ins in a process of their own, and in others many sidecars that do nothing but follow them (feed,
// overlay). All on loopback, without loss. Four parts: at rest, orders of an operator, drains in the
// platform's list, and what the platform was asked. This process measures and follows nobody.
#include <docopt/docopt.h>
#include <glog/logging.h>
#include <signal.h>
#include <sys/mman.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <functional>
#include <iostream>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "control/board.hpp"
#include "control/control_side.hpp"
#include "control/process.hpp"
#include "control/shape.hpp"
#include "control/sidecar_side.hpp"
#include "ctl/operator_client.hpp"

namespace {

using namespace whinledge;
using namespace whinledge::control_bench;
using namespace std::chrono_literals;
using Json = nlohmann::json;

constexpr char kUsage[] = R"(Measures what the control plane costs its sidecars, and how soon they hear.

Usage: control_bench FOLDER [--sidecars N] [--processes N] [--servers N] [--settle S] [--rest S] [--orders N]
                     [--drains N] [--port N] [--freeze-controls MS] [--freeze-sidecars MS]

FOLDER is for the disks of the control processes: one that is empty, or is not there yet.

Options:
  --sidecars N   [default: 30]
  --processes N  that the sidecars are shared out to, 16 at most: one runs out of descriptors near 500 of them
                 [default: 1]
  --servers N    in the platform's list [default: 200]
  --settle S     seconds before anything is measured [default: 15]
  --rest S       seconds at rest [default: 20]
  --orders N     of an operator, one after another [default: 20]
  --drains N     of servers, one after another [default: 20]
  --port N       of RPC on all addresses; the two that follow are the operator's and the platform's
                 [default: 17380]
  --freeze-controls MS  stop the control processes and the platform so long as each drain begins, as a disk's
                        sync or other people's load does [default: 0]
  --freeze-sidecars MS  the same for all sidecars [default: 0]
)";

constexpr auto kBetweenOrders = 300ms, kBetweenDrains = 1700ms, kWaitForAll = 10000ms, kWaitToJoin = 60000ms;
constexpr auto kLook = 2ms;

Board& shared_board() {
    void* memory = ::mmap(nullptr, sizeof(Board), PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0);
    if (memory == MAP_FAILED) throw std::runtime_error("no memory that can be shared");
    return *new (memory) Board;
}

// Waits until it holds; false: not within the time.
bool wait_until(std::chrono::milliseconds limit, const std::function<bool()>& holds) {
    const auto until = Steady::now() + limit;
    while (!holds()) {
        if (Steady::now() >= until) return false;
        std::this_thread::sleep_for(kLook);
    }
    return true;
}

// The processes of the sidecars, seen from this one.
class Sidecars {
public:
    Sidecars(const Shape& shape, Board& board) : shape_(shape), board_(board) {}

    std::size_t size() const { return shape_.sidecars; }
    std::size_t processes() const { return shape_.processes; }
    SidecarSlot& slot(std::size_t process) const { return board_.sidecars[process]; }

    bool all_confirmed() const {
        std::size_t confirmed = 0;
        for (std::size_t p = 0; p < processes(); ++p) confirmed += slot(p).confirmed;
        return confirmed == size();
    }
    bool all_have_version(std::int64_t version) const {
        return all([&](const SidecarSlot& one) { return one.least_version >= version; });
    }
    bool all_have_drains(std::size_t drains) const {
        return all([&](const SidecarSlot& one) { return one.least_drains >= drains; });
    }
    // When the last of them had the newest.
    std::int64_t version_at() const { return latest(&SidecarSlot::version_at); }
    std::int64_t drains_at() const { return latest(&SidecarSlot::drains_at); }
    std::int64_t first_drain_at() const {
        std::int64_t first = std::numeric_limits<std::int64_t>::max();
        for (std::size_t p = 0; p < processes(); ++p)
            first = std::min<std::int64_t>(first, slot(p).first_drain_at);
        return first;
    }
    std::int64_t stall_us() const { return latest(&SidecarSlot::stall_us); }
    void forget_stalls() const {
        for (std::size_t p = 0; p < processes(); ++p) slot(p).stall_us = 0;
    }

    // As each process tells them now; a process that does not answer leaves those that it told before.
    std::vector<Figures> figures() const {
        for (std::size_t p = 0; p < processes(); ++p) ++slot(p).asked;
        wait_until(kWaitForAll,
                   [&] { return all([](const SidecarSlot& one) { return one.answered == one.asked; }); });
        std::vector<Figures> told;
        for (std::size_t p = 0; p < processes(); ++p) told.push_back(slot(p).figures);
        return told;
    }

private:
    template <class Holds>
    bool all(Holds holds) const {
        for (std::size_t p = 0; p < processes(); ++p)
            if (!holds(slot(p))) return false;
        return true;
    }
    std::int64_t latest(std::atomic<std::int64_t> SidecarSlot::*what) const {
        std::int64_t last = 0;
        for (std::size_t p = 0; p < processes(); ++p) last = std::max<std::int64_t>(last, slot(p).*what);
        return last;
    }

    const Shape& shape_;
    Board& board_;
};

// Of all sidecars' processes.
struct Sum {
    rpc::TrafficByCall traffic;
    std::uint64_t failed_calls = 0, bytes_in = 0, resident_kb = 0;
    double processor_ms = 0;
    std::size_t most_descriptors = 0;  // of one process
};

Sum sum_of(const std::vector<Figures>& all) {
    Sum sum;
    for (const Figures& one : all) {
        sum.failed_calls += one.failed_calls;
        sum.processor_ms += one.processor_ms;
        sum.resident_kb += one.resident_kb;
        sum.most_descriptors = std::max(sum.most_descriptors, one.descriptors);
        for (std::size_t c = 0; c < one.call_names; ++c) {
            rpc::Traffic& traffic = sum.traffic[one.calls[c].name.data()];
            traffic.calls += one.calls[c].traffic.calls;
            traffic.bytes_out += one.calls[c].traffic.bytes_out;
            traffic.bytes_in += one.calls[c].traffic.bytes_in;
            sum.bytes_in += one.calls[c].traffic.bytes_in;
        }
    }
    return sum;
}

// ---- The parts

std::string configuration(std::int64_t version) {
    return Json{{"version", version},
                {"services", {{{"name", "chat"}}}},
                {"routes",
                 {{{"name", "r"},
                   {"host", "h"},
                   {"pathStart", "/"},
                   {"kind", "one_shot"},
                   {"timeoutMs", 1000},
                   {"service", "chat"}}}}}
        .dump();
}

// Blocks; microseconds of the clock at the acknowledgement, 0 where there was none.
std::int64_t order(const Shape& shape, std::int64_t version) {
    std::vector<std::string> addresses;
    for (int i = 0; i < kControls; ++i)
        addresses.push_back(
            with_port(control_ip((i + static_cast<int>(version)) % kControls), shape.port + 1));
    const ctl::Request request{"POST", "/settings/replace", configuration(version), version - 1};
    const auto answer = ctl::call_operator_api(addresses, request, kWaitForAll);
    return answer && answer.value().status == 200 ? now_us() : 0;
}

void print_spread(const char* what, std::vector<double> times) {
    if (times.empty()) return;
    std::sort(times.begin(), times.end());
    const auto at = [&](double share) {
        return times[static_cast<std::size_t>(share * static_cast<double>(times.size() - 1))];
    };
    std::printf("%-36s %8.0f / %8.0f / %8.0f ms (median, 99 %%, worst of %zu)\n", what, at(0.5), at(0.99),
                times.back(), times.size());
    std::fflush(stdout);
}

// Both ends of a connection between sidecars of one process are in it. Once it has no descriptor left, calls
// fail that would not otherwise, links are given up for that, and others are sought by more connections.
void print_descriptors(std::size_t most) {
    std::printf("descriptors of a process of sidecars, at most %zu\n", most);
    if (most + 1 >= descriptor_limit())
        std::printf("DESCRIPTORS RAN OUT: what stands here is the limit's doing; take more processes\n");
}

void print_traffic(const rpc::TrafficByCall& before, const rpc::TrafficByCall& after, double each) {
    std::printf("%-20s %10s %10s %10s  (a sidecar, a second)\n", "at rest", "calls", "B out", "B in");
    rpc::Traffic sum;
    for (const auto& [name, now] : after) {
        const auto had = before.find(name);
        const rpc::Traffic old = had == before.end() ? rpc::Traffic() : had->second;
        std::printf("%-20s %10.2f %10.0f %10.0f\n", name.c_str(),
                    static_cast<double>(now.calls - old.calls) / each,
                    static_cast<double>(now.bytes_out - old.bytes_out) / each,
                    static_cast<double>(now.bytes_in - old.bytes_in) / each);
        sum.bytes_out += now.bytes_out - old.bytes_out;
        sum.bytes_in += now.bytes_in - old.bytes_in;
    }
    std::printf("%-20s %10s %10.0f %10.0f\n", "all", "", static_cast<double>(sum.bytes_out) / each,
                static_cast<double>(sum.bytes_in) / each);
}

void measure_rest(const Shape& shape, const Sidecars& sidecars, const Board& board) {
    const Sum before = sum_of(sidecars.figures());
    const double controls_ms = board.controls_ms;
    const std::uint64_t calls = board.calls;
    const std::int64_t began = now_us();
    std::this_thread::sleep_for(shape.rest);
    const Sum after = sum_of(sidecars.figures());
    const double seconds = static_cast<double>(now_us() - began) / 1e6;
    const double each = seconds * static_cast<double>(sidecars.size());
    print_traffic(before.traffic, after.traffic, each);
    std::printf("calls without a reply %.3f\n",
                static_cast<double>(after.failed_calls - before.failed_calls) / each);
    std::printf("processor of a sidecar %.3f %%, of the %d control processes together %.1f %% of a core\n",
                (after.processor_ms - before.processor_ms) / each / 10, kControls,
                (board.controls_ms - controls_ms) / seconds / 10);
    std::printf("memory of all sidecars %.0f MB in %zu processes\n",
                static_cast<double>(after.resident_kb) / 1024, sidecars.processes());
    std::printf("calls to the platform a minute %.0f, of %zu pages a reading\n",
                static_cast<double>(board.calls - calls) * 60 / seconds,
                (shape.servers + kServersOnAPage - 1) / kServersOnAPage);
    print_descriptors(after.most_descriptors);
    std::fflush(stdout);
}

void measure_orders(const Shape& shape, const Sidecars& sidecars) {
    std::vector<double> acknowledged, last;
    std::size_t lost = 0;
    for (std::int64_t version = 2; version < static_cast<std::int64_t>(shape.orders) + 2; ++version) {
        const std::int64_t called = now_us();
        const std::int64_t taken = order(shape, version);
        const bool all = wait_until(kWaitForAll, [&] { return sidecars.all_have_version(version); });
        if (taken == 0 || !all) {
            ++lost;
            continue;
        }
        acknowledged.push_back(static_cast<double>(taken - called) / 1e3);
        last.push_back(static_cast<double>(sidecars.version_at() - called) / 1e3);
        std::this_thread::sleep_for(kBetweenOrders);
    }
    print_spread("order acknowledged", acknowledged);
    print_spread("order at the last sidecar", last);
    if (lost > 0) std::printf("%zu orders were not acknowledged or did not reach all in time\n", lost);
}

// Where the time of a drain goes, milliseconds.
struct DrainParts {
    double reader, reading, first, tree, whole;  // each from the end of the one before
    double controls_stall, sidecars_stall;
    double kilobytes;  // into a sidecar, in the mean
};

DrainParts parts_of(const Sidecars& sidecars, const Board& board, std::int64_t began, std::uint64_t bytes) {
    const auto ms = [](std::int64_t from, std::int64_t to) { return static_cast<double>(to - from) / 1e3; };
    const std::int64_t first = sidecars.first_drain_at(), last = sidecars.drains_at();
    return {ms(began, board.shown_at),
            ms(board.shown_at, board.read_at),
            ms(board.read_at, first),
            ms(first, last),
            ms(began, last),
            ms(0, board.controls_stall_us),
            ms(0, sidecars.stall_us()),
            static_cast<double>(bytes) / 1e3 / static_cast<double>(sidecars.size())};
}

void print_drains(const std::vector<DrainParts>& drains) {
    const auto spread = [&drains](const char* what, double DrainParts::*part) {
        std::vector<double> times;
        for (const DrainParts& drain : drains) times.push_back(drain.*part);
        print_spread(what, std::move(times));
    };
    spread("drain at the last sidecar", &DrainParts::whole);
    spread("  until a first page shows it", &DrainParts::reader);
    spread("  until that reading is complete", &DrainParts::reading);
    spread("  until the first sidecar has it", &DrainParts::first);
    spread("  from the first sidecar to the last", &DrainParts::tree);
    spread("  longest stall, control processes", &DrainParts::controls_stall);
    spread("  longest stall, sidecars", &DrainParts::sidecars_stall);
    const auto slowest = std::max_element(drains.begin(), drains.end(),
                                          [](const auto& a, const auto& b) { return a.whole < b.whole; });
    if (slowest == drains.end()) return;
    std::printf(
        "slowest: %.0f = %.0f + %.0f + %.0f + %.0f ms, stalls %.0f and %.0f ms, %.1f kB into a sidecar\n",
        slowest->whole, slowest->reader, slowest->reading, slowest->first, slowest->tree,
        slowest->controls_stall, slowest->sidecars_stall, slowest->kilobytes);
}

// As a stall of a process does.
void freeze(pid_t process, std::chrono::milliseconds span) {
    if (span <= 0ms) return;
    ::kill(process, SIGSTOP);
    std::thread([process, span] {
        std::this_thread::sleep_for(span);
        ::kill(process, SIGCONT);
    }).detach();
}

void freeze_all(const Shape& shape, const Sidecars& sidecars, const Board& board) {
    freeze(board.controls, shape.freeze_controls);
    for (std::size_t p = 0; p < sidecars.processes(); ++p)
        freeze(sidecars.slot(p).process, shape.freeze_sidecars);
}

void measure_drains(const Shape& shape, const Sidecars& sidecars, Board& board) {
    std::vector<DrainParts> drains;
    std::size_t lost = 0, most_descriptors = 0;
    for (std::size_t drain = 1; drain <= std::min(shape.drains, shape.servers); ++drain) {
        const std::uint64_t bytes = sum_of(sidecars.figures()).bytes_in;
        board.controls_stall_us = 0;
        sidecars.forget_stalls();
        const std::int64_t began = now_us();
        board.drains = drain;
        board.shown_at = board.read_at = 0;
        freeze_all(shape, sidecars, board);
        if (wait_until(kWaitForAll, [&] { return sidecars.all_have_drains(drain); })) {
            const Sum sum = sum_of(sidecars.figures());
            most_descriptors = std::max(most_descriptors, sum.most_descriptors);
            drains.push_back(parts_of(sidecars, board, began, sum.bytes_in - bytes));
        } else {
            ++lost;
        }
        // At any moment of the reader's period.
        std::this_thread::sleep_for(kBetweenDrains + std::chrono::milliseconds(drain * 137 % 850));
    }
    print_drains(drains);
    print_descriptors(most_descriptors);
    if (lost > 0) std::printf("%zu drains did not reach all in time\n", lost);
}

void start_sidecars(const Shape& shape, Board& board) {
    for (std::size_t p = 0; p < shape.processes; ++p) {
        const pid_t process = ::fork();
        if (process == 0) run_sidecars(shape, p, board.sidecars[p]);
        board.sidecars[p].process = process;
    }
}

int measure(const Shape& shape, Board& board) {
    if (order(shape, 1) == 0) {
        std::cerr << "the control processes took no configuration: are ports " << shape.port << " to "
                  << shape.port + 2 << " free?\n";
        return 1;
    }
    const Sidecars sidecars(shape, board);
    const std::int64_t began = now_us();
    start_sidecars(shape, board);
    if (wait_until(kWaitToJoin, [&] { return sidecars.all_confirmed(); }))
        std::printf("all sidecars were ready after %.1f s\n", static_cast<double>(now_us() - began) / 1e6);
    else
        std::printf("not all sidecars were ready within %lld s\n", static_cast<long long>(kWaitToJoin / 1s));
    std::this_thread::sleep_for(shape.settle);
    std::printf("%zu sidecars in %zu processes, %zu servers\n", shape.sidecars, shape.processes,
                shape.servers);
    measure_rest(shape, sidecars, board);
    measure_orders(shape, sidecars);
    measure_drains(shape, sidecars, board);
    return 0;
}

std::optional<Shape> shape_of(int argc, char** argv) {
    const auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
    const auto number = [&](const char* name) {
        return static_cast<std::size_t>(arguments.at(name).asLong());
    };
    Shape shape;
    shape.folder = arguments.at("FOLDER").asString();
    shape.sidecars = number("--sidecars");
    shape.processes = number("--processes");
    shape.servers = number("--servers");
    shape.settle = std::chrono::seconds(number("--settle"));
    shape.rest = std::chrono::seconds(number("--rest"));
    shape.orders = number("--orders");
    shape.drains = number("--drains");
    shape.freeze_controls = std::chrono::milliseconds(number("--freeze-controls"));
    shape.freeze_sidecars = std::chrono::milliseconds(number("--freeze-sidecars"));
    shape.port = static_cast<int>(number("--port"));
    if (shape.processes < 1 || shape.processes > std::min(kMostProcesses, shape.sidecars)) {
        std::cerr << "--processes must be 1 to " << kMostProcesses
                  << ", and no more than there are sidecars\n";
        return std::nullopt;
    }
    // Orders of an earlier run would be taken for repeats, and acknowledged without a change.
    if (std::filesystem::exists(shape.folder) && !std::filesystem::is_empty(shape.folder)) {
        std::cerr << "the folder " << shape.folder << " is not empty: name an empty one\n";
        return std::nullopt;
    }
    return shape;
}

void end(pid_t process) {
    if (process <= 0) return;
    ::kill(process, SIGTERM);
    ::kill(process, SIGCONT);
    ::waitpid(process, nullptr, 0);
}

}  // namespace

int main(int argc, char** argv) {
    const std::optional<Shape> shape = shape_of(argc, argv);
    if (!shape) return 2;
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = google::GLOG_ERROR;
    google::InitGoogleLogging(argv[0]);
    Board& board = shared_board();
    const pid_t controls = ::fork();
    if (controls == 0) run_controls(*shape, board);
    board.controls = controls;
    const int result = measure(*shape, board);
    for (const SidecarSlot& one : board.sidecars) end(one.process);
    end(controls);
    return result;
}
