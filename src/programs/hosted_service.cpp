#include "programs/hosted_service.hpp"

#include <docopt/docopt.h>
#include <glog/logging.h>

#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <utility>
#include <vector>

#include "io/held_signals.hpp"
#include "io/loop_timer.hpp"
#include "io/loop_watch.hpp"
#include "programs/daemon_log.hpp"
#include "programs/settings_watch.hpp"

namespace whinledge::programs {

namespace {

// The purpose stands above it; NAME is the program's.
constexpr char kUsage[] = R"(

Usage:
  NAME [--settings FILE] [--set KEY=VALUE]... [--check]
  NAME --help-settings
  NAME --help

Options:
  --settings FILE   The settings file; else the one that WHINLEDGE_BOOT names.
  --set KEY=VALUE   A setting in place of the file's; several may be given.
  --check           Read the settings, tell what is wrong with them, and end.
  --help-settings   List all settings with their units and bounds.
)";

constexpr std::chrono::seconds kLook{1};  // between looks at the settings file
constexpr int kLooksBetweenCounters = 10;

std::string usage_of(const Daemon& daemon) {
    static const std::string placeholder = "NAME";
    std::string usage = std::string(daemon.purpose).append(kUsage);
    for (auto at = usage.find(placeholder); at != std::string::npos; at = usage.find(placeholder))
        usage.replace(at, placeholder.size(), daemon.name);
    return usage;
}

std::optional<std::string> fault_of(const Daemon& daemon, const node::Settings& settings) {
    if (auto fault = log_fault(settings)) return fault;
    return daemon.fault ? daemon.fault(settings) : std::nullopt;
}

// The loop of one daemon, with its signals and its looks at the settings file.
class Host {
public:
    // Signals are caught before the service starts: one that comes meanwhile is not lost.
    Host(const Daemon& daemon, std::string path, std::vector<std::string> overrides,
         const node::Settings& settings)
        : daemon_(daemon),
          log_(begin_log(settings)),
          path_(std::move(path)),
          overrides_(std::move(overrides)),
          ends_(io_, SIGTERM, SIGINT),
          hangups_(io_, SIGHUP),
          timer_(io_),
          watch_(path_),
          service_(daemon.start(io_, settings)) {}

    // `held`: the signals that it handles, which may come from now on.
    void run(HeldSignals& held) {
        held.release();
        ends_.async_wait([this](boost::system::error_code failed, int) {
            if (!failed) service_->terminate([this] { io_.stop(); });
        });
        await_hangup();
        look();
        io_.run();
        LOG(INFO) << "ends: " << counters();
    }

private:
    void await_hangup() {
        hangups_.async_wait([this](boost::system::error_code failed, int) {
            if (failed) return;
            log_.reopen();
            read_again();
            await_hangup();
        });
    }

    void look() {
        timer_.after(kLook, [this] {
            if (watch_.has_changed()) read_again();
            if (++looks_ % kLooksBetweenCounters == 0) tell_counters();
            look();
        });
    }

    std::string counters() const {
        std::string line = service_->counters();
        if (const std::string loop = loop_.counters(); !loop.empty()) line += "; " + loop;
        if (log_.lost() > 0) line += "; log: lost=" + std::to_string(log_.lost());
        return line;
    }

    void tell_counters() {
        std::string line = counters();
        if (line == told_) return;
        told_ = std::move(line);
        LOG(INFO) << told_;
    }

    void read_again() {
        const auto changed = node::read_settings(path_, overrides_);
        if (!changed) {
            LOG(ERROR) << "the settings before stay in force: " << changed.error().message;
            return;
        }
        if (const auto fault = fault_of(daemon_, changed.value())) {
            LOG(ERROR) << "the settings before stay in force: " << *fault;
            return;
        }
        set_log_level(changed.value());
        service_->change(changed.value());
        LOG(INFO) << "the settings were read again";
    }

    const Daemon& daemon_;
    LogWriter& log_;
    LoopWatch loop_{[](const std::string& line) { LOG(WARNING) << line; }};
    std::string path_;
    std::vector<std::string> overrides_;  // of the settings in the file
    boost::asio::io_context io_{1};
    boost::asio::signal_set ends_, hangups_;
    LoopTimer timer_;
    SettingsWatch watch_;
    std::unique_ptr<HostedService> service_;
    std::string told_;
    int looks_ = 0;
};

int run(int argc, char** argv, const Daemon& daemon, HeldSignals& held) {
    auto options = docopt::docopt(usage_of(daemon), {argv + 1, argv + argc});
    if (options["--help-settings"].asBool()) {
        std::cout << node::settings_help();
        return EXIT_SUCCESS;
    }
    const char* const boot = std::getenv("WHINLEDGE_BOOT");
    const std::string path =
        options["--settings"] ? options["--settings"].asString() : std::string(boot ? boot : "");
    if (path.empty()) {
        std::cerr << "no settings file: name one with --settings or in WHINLEDGE_BOOT\n";
        return EXIT_FAILURE;
    }
    const std::vector<std::string> overrides = options["--set"].asStringList();
    const auto settings = node::read_settings(path, overrides);
    if (!settings) {
        std::cerr << settings.error().message << "\n";
        return EXIT_FAILURE;
    }
    if (const auto fault = fault_of(daemon, settings.value())) {
        std::cerr << *fault << "\n";
        return EXIT_FAILURE;
    }
    if (!options["--check"].asBool()) Host(daemon, path, overrides, settings.value()).run(held);
    return EXIT_SUCCESS;
}

}  // namespace

int run_daemon(int argc, char** argv, const Daemon& daemon) {
    HeldSignals held{SIGHUP, SIGTERM, SIGINT};
    FLAGS_logtostderr = true;  // until the settings are known
    google::InitGoogleLogging(argv[0]);
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return run(argc, argv, daemon, held);
    } catch (const std::exception& error) {
        std::cerr << daemon.name << " can't run: " << error.what() << "\n";
        return EXIT_FAILURE;
    }
}

}  // namespace whinledge::programs
