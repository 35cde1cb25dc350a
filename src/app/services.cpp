#include "app/services.hpp"

#include <iostream>
#include <stdexcept>
#include <vector>

#include "app/daemon.hpp"
#include "config/print.hpp"
#include "config/read.hpp"
#include "io/log.hpp"
#ifdef WHINLEDGE_HAS_REGEX
#include "route/regex.hpp"
#endif

namespace whinledge {

namespace {

#ifdef WHINLEDGE_HAS_REGEX
constexpr route::RegexMaker kRegexes = &route::make_regex;
#else
constexpr route::RegexMaker kRegexes = nullptr;
#endif

std::string lines_of(const std::vector<config::Fault>& faults) {
    std::string lines;
    for (const config::Fault& fault : faults) lines.append(lines.empty() ? "" : "\n").append(fault.text());
    return lines;
}

std::string text_of(const std::string& path) {
    std::string why;
    const auto text = config::read_file(path, why);
    if (!text) throw std::runtime_error(why);
    return *text;
}

config::Services read(const std::string& path, Log& log) {
    config::Result result = config::read_services(text_of(path), path);
    if (!result.services) throw std::runtime_error(lines_of(result.faults));
    for (const config::Fault& warning : result.warnings) log.line("warning: " + warning.text());
    return std::move(*result.services);
}

class Runner final : public ServicesRunner {
public:
    Runner(boost::asio::io_context& io, const std::string& path)
        : path_(path), daemon_(io, read(path, log_), {kRegexes, nullptr, &log_}) {
        log_.line("serves " + path);
    }
    void reload() override {
        daemon_.reload(read(path_, log_));
        log_.line("serves " + path_ + " as it is now");
    }
    Log& log() override { return log_; }
    void drain(std::function<void()> done) override { daemon_.drain(std::move(done)); }
    void hurry() override { daemon_.hurry(); }

private:
    std::string path_;
    Log log_;
    Daemon daemon_;
};

}  // namespace

std::shared_ptr<ServicesRunner> run_services(boost::asio::io_context& io, const std::string& path) {
    return std::make_shared<Runner>(io, path);
}

int check_services(const std::string& path, std::ostream& out, std::ostream& err) {
    const config::Result result = config::read_services(text_of(path), path);
    if (!result.services) {
        err << lines_of(result.faults) << '\n';
        return 1;
    }
    const config::Services& services = *result.services;
    std::vector<std::string> listeners, pools;
    for (const auto& l : services.listeners) listeners.push_back(l.name);
    for (const auto& p : services.pools) pools.push_back(p.name);
    const auto compiled = route::Table::compile(services.routes, listeners, pools, kRegexes);
    for (const config::Fault& warning : result.warnings) err << "warning: " << warning.text() << '\n';
    for (const route::Fault& fault : compiled.faults) err << route::to_text(fault) << '\n';
    if (!compiled.faults.empty()) return 1;
    out << config::print_services(services);
    return 0;
}

}  // namespace whinledge
