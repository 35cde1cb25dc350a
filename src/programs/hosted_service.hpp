// What the tier's daemons share: command line, settings file, signals, counters.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "node/settings.hpp"

namespace whinledge::programs {

// What a daemon runs, on the loop's thread.
class HostedService {
public:
    virtual ~HostedService() = default;
    // The settings file has been read again.
    virtual void change(const node::Settings& settings) = 0;
    // Ends in good order; `done` once, perhaps at once.
    virtual void terminate(std::function<void()> done) = 0;
    // One line.
    virtual std::string counters() const = 0;
};

struct Daemon {
    const char* name;     // of the program
    const char* purpose;  // the first line of its usage
    std::function<std::unique_ptr<HostedService>(boost::asio::io_context&, const node::Settings&)> start;
    // What of the settings only this program can tell to be wrong, with key and remedy. Empty: nothing.
    std::function<std::optional<std::string>(const node::Settings&)> fault{};
};

// Reads the command line and the settings, and serves until SIGTERM or SIGINT; SIGHUP, or a change of the
// file, reads the settings again. Returns the status of the process.
int run_daemon(int argc, char** argv, const Daemon& daemon);

}  // namespace whinledge::programs
