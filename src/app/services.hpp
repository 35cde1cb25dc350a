// Services files on the command line. Where the program is built without a reader of them, both functions say
// so.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <iosfwd>
#include <memory>
#include <string>

#include "io/log.hpp"

namespace whinledge {

class ServicesRunner {
public:
    virtual ~ServicesRunner() = default;
    virtual void reload() = 0;  // throws std::runtime_error, with nothing changed
    virtual void drain(std::function<void()> done) = 0;
    virtual void hurry() = 0;
    virtual Log& log() = 0;
};

// Throws std::runtime_error with a line for each thing that is wrong.
std::shared_ptr<ServicesRunner> run_services(boost::asio::io_context& io, const std::string& path);

// Prints the compiled view, or what is wrong; returns the exit status: 0 right (warnings or not), 1 wrong.
int check_services(const std::string& path, std::ostream& out, std::ostream& err);

}  // namespace whinledge
