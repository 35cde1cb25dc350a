// whinledge: one sidecar of the platform, told by the configuration that LB_CONFIG names; or several
// services, told by a file (--config FILE).
#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <cerrno>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <string>
#include <system_error>

#include "app/ask.hpp"
#include "app/config.hpp"
#include "app/services.hpp"
#include "app/sidecar.hpp"
#include "io/held_signals.hpp"

namespace {

using whinledge::ConfigError;

constexpr const char* kAbout =
    "A balancer for requests whose effects matter. Without arguments it is one sidecar, told by the file "
    "that\n"
    "LB_CONFIG names. SIGHUP reads the configuration anew, SIGTERM drains and ends, a second SIGTERM "
    "hurries.";
constexpr const char* kStatus =
    "Status: 0 done, or ended in good order; 1 could not start, the file is wrong, or a command was "
    "refused;\n"
    "2 the command line is wrong.";

whinledge::Config configuration() {
    const char* const path = std::getenv("LB_CONFIG");
    if (!path) throw ConfigError("'LB_CONFIG' is not set");
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw ConfigError("'LB_CONFIG' names a file that can't be read: " + std::string(path) + ": " +
                          std::generic_category().message(errno));
    return whinledge::read_config(std::string(std::istreambuf_iterator<char>(file), {}));
}

// What runs until it is told to end.
struct Runner {
    std::function<void()> reload;  // may throw: then nothing has changed
    std::function<void(std::function<void()> done)> drain;
    std::function<void()> hurry;
    whinledge::Log* log = nullptr;
};

void on_hangup(boost::asio::signal_set& hangups, const Runner& runner) {
    hangups.async_wait([&](boost::system::error_code failed, int) {
        if (failed) return;
        on_hangup(hangups, runner);
        try {
            runner.reload();
        } catch (const std::exception& error) {
            runner.log->line(std::string("the old configuration stays: ") + error.what());
        }
    });
}

// The first asks for a drain, a further one for haste.
void on_end(boost::asio::signal_set& signals, boost::asio::io_context& io, const Runner& runner,
            bool first = true) {
    signals.async_wait([&, first](boost::system::error_code failed, int) {
        if (failed) return;
        on_end(signals, io, runner, false);
        first ? runner.drain([&] { io.stop(); }) : runner.hurry();
    });
}

int run(whinledge::HeldSignals& held, const std::function<Runner(boost::asio::io_context&)>& make) {
    boost::asio::io_context io(1);
    // Signals first: one that comes while it starts waits for it.
    boost::asio::signal_set hangups(io, SIGHUP), signals(io, SIGTERM, SIGINT);
    held.release();
    const Runner runner = make(io);
    on_hangup(hangups, runner);
    on_end(signals, io, runner);
    const whinledge::LoopWatch watch([&](const std::string& line) { runner.log->line(line); });
    while (!io.stopped()) try {
            io.run();
        } catch (const std::exception& error) {  // what one connection threw does not end the others
            runner.log->line(error.what());
        }
    return 0;
}

int run_platform(whinledge::HeldSignals& held) {
    return run(held, [](boost::asio::io_context& io) {
        const auto sidecar = std::make_shared<whinledge::Sidecar>(io, configuration());
        return Runner{[sidecar] { sidecar->reload(configuration()); },
                      [sidecar](std::function<void()> done) { sidecar->drain(std::move(done)); },
                      [sidecar] { sidecar->hurry(); }, &sidecar->log()};
    });
}

int run_services(whinledge::HeldSignals& held, const std::string& path) {
    return run(held, [path](boost::asio::io_context& io) {
        const std::shared_ptr<whinledge::ServicesRunner> runner = whinledge::run_services(io, path);
        return Runner{[runner] { runner->reload(); },
                      [runner](std::function<void()> done) { runner->drain(std::move(done)); },
                      [runner] { runner->hurry(); }, &runner->log()};
    });
}

// What there is to say on the command line; `run` becomes what was asked for.
class CommandLine {
public:
    explicit CommandLine(whinledge::HeldSignals& held) : held_(held) {
        app_.set_version_flag("--version", "whinledge " WHINLEDGE_VERSION);
        app_.footer(kStatus);
        app_.require_subcommand(0, 1);
        auto* const config =
            app_.add_option("--config", file_, "Several services, told by this services file")
                ->type_name("FILE");
        app_.callback([this, config] {
            if (!app_.get_subcommands().empty() && config->count() > 0)
                throw CLI::ValidationError("--config", "not with a command");
            if (config->count() > 0) run = [this] { return run_services(held_, file_); };
        });
        add_check();
        add_fleet();
    }
    // Throws CLI::ParseError; --help and --version are thrown as well.
    void parse(int count, char** words) { app_.parse(count, words); }
    // Prints what a ParseError says.
    int tell(const CLI::ParseError& error) const { return app_.exit(error) == 0 ? 0 : 2; }

    std::function<int()> run;

private:
    void add_check() {
        auto* const check = app_.add_subcommand(
            "check", "Says what is wrong with a services file, or prints what it makes of it");
        check->add_option("FILE", file_, "A services file")->required();
        check->callback([this] {
            run = [this] {
                held_.release();
                return whinledge::check_services(file_, std::cout, std::cerr);
            };
        });
    }
    void add_fleet() {
        auto* const fleet = app_.add_subcommand("fleet", "Asks a running process about its fleet");
        fleet->require_subcommand(1);
        add_question(*fleet, "members", "Who is there, as that process believes", whinledge::ask_members);
        add_question(*fleet, "limits", "What of each fleet-wide limit that process has",
                     whinledge::ask_limits);
        add_question(*fleet, "watch", "The same, then each change as it happens", whinledge::watch_fleet);
    }
    using Ask = int (*)(const whinledge::Question&, std::ostream&, std::ostream&);
    void add_question(CLI::App& to, const char* name, const char* what, Ask ask) {
        auto* const command = to.add_subcommand(name, what);
        command->add_option("--socket", question_.socket, "The control socket, [fleet] control of its file")
            ->type_name("PATH")
            ->required();
        command->add_flag("--json", question_.json, "One JSON object on a line");
        command->callback([this, ask] {
            run = [this, ask] {
                held_.release();
                return ask(question_, std::cout, std::cerr);
            };
        });
    }

    whinledge::HeldSignals& held_;
    CLI::App app_{kAbout, "whinledge"};
    std::string file_;
    whinledge::Question question_;
};

// The platform's sidecar has no arguments and no use for their parser.
int command(int count, char** words) {
    whinledge::HeldSignals held{SIGHUP, SIGTERM, SIGINT};
    if (count == 1) return run_platform(held);
    CommandLine line(held);
    try {
        line.parse(count, words);
    } catch (const CLI::ParseError& error) {
        return line.tell(error);
    }
    if (line.run) return line.run();
    std::cerr << "whinledge: unknown command line\n";
    return 2;
}

}  // namespace

int main(int count, char** words) {
    try {
        return command(count, words);
    } catch (const std::exception& error) {
        std::cerr << "whinledge: " << error.what() << '\n';
        return 1;
    }
}
