// whinledge-ctl: the operator's client.
#include <docopt/docopt.h>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "ctl/operator_client.hpp"
#include "ctl/outcome.hpp"
#include "ctl/page_text.hpp"
#include "node/settings.hpp"
#include "serving/configuration.hpp"

namespace {

constexpr const char* kUsage = R"(whinledge-ctl: asks and changes a serving tier.

Usage:
  whinledge-ctl (settings | config) read [options]
  whinledge-ctl (settings | config) replace FILE --based-on=VERSION [options]
  whinledge-ctl (members | acceptors | leases | replicas | openings | overlay | list | status | rollouts) [--watch] [--json] [options]
  whinledge-ctl rollouts begin SERVICE VERSION --within=SECONDS [options]
  whinledge-ctl rollouts read SERVICE [options]
  whinledge-ctl retire begin NODE [--within=SECONDS] [options]
  whinledge-ctl retire read NODE [options]
  whinledge-ctl check configuration FILE
  whinledge-ctl check settings FILE
  whinledge-ctl help-settings
  whinledge-ctl (-h | --help)

Pages:
  members    processes that were heard of        leases   who does which duty
  acceptors  who votes on the configuration      replicas storage machines of the map
  overlay    links to others                     list     the servers as read from the platform
  openings   beginnings of prompts that are busiest now
  status     versions and counters of the process that answers
  rollouts   new versions of services, how far they are and what was seen of them

Options:
  --json              Pages as JSON, not as text.
  --watch             Again each second.
  --at=ADDRESSES      Control processes, IP:PORT, joined by commas; else WHINLEDGE_CONTROL.
  --limit=SECONDS     How long to go on asking [default: 10].
  --within=SECONDS    By when the machine is to be empty, or the new version in place [default: 30].

Status: 0 done, 1 refused (the reason is on standard error), 2 wrong usage, 3 no clear answer (an order may have
been taken; send the same again).
)";

using whinledge::ctl::ExitStatus;

constexpr int kDone = static_cast<int>(ExitStatus::done);
constexpr int kRefused = static_cast<int>(ExitStatus::refused);
constexpr int kWrongUsage = static_cast<int>(ExitStatus::wrong_usage);
constexpr std::chrono::seconds kWatchPause{1};
using Arguments = std::map<std::string, docopt::value>;

bool read_file(const std::string& path, std::string& text) {
    std::ifstream file(path, std::ios::binary);
    text.assign(std::istreambuf_iterator<char>(file), {});
    if (file.good() || file.eof()) return true;
    std::cerr << "'" << path << "' can't be read: give the path of a file\n";
    return false;
}

std::vector<std::string> addresses_of(const Arguments& arguments) {
    std::string list;
    if (const auto& at = arguments.at("--at"))
        list = at.asString();
    else if (const char* const from = std::getenv("WHINLEDGE_CONTROL"))
        list = from;
    std::vector<std::string> addresses;
    std::stringstream items(list);
    for (std::string item; std::getline(items, item, ',');)
        if (!item.empty()) addresses.push_back(item);
    return addresses;
}

enum class Form { as_it_is, text };

int ask(const Arguments& arguments, const whinledge::ctl::Request& request, Form form = Form::as_it_is) {
    const std::vector<std::string> addresses = addresses_of(arguments);
    if (addresses.empty()) {
        std::cerr << "no control process is named: give --at=IP:PORT,... or set WHINLEDGE_CONTROL\n";
        return kWrongUsage;
    }
    const double seconds = std::strtod(arguments.at("--limit").asString().c_str(), nullptr);
    const auto limit = std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
    const auto outcome =
        whinledge::ctl::outcome_of(whinledge::ctl::call_operator_api(addresses, request, limit));
    if (!outcome.message.empty()) std::cerr << outcome.message << "\n";
    if (outcome.status == ExitStatus::done)
        std::cout << (form == Form::text ? whinledge::ctl::page_text(outcome.answer) : outcome.answer + "\n");
    return static_cast<int>(outcome.status);
}

int replace(const Arguments& arguments) {
    whinledge::ctl::Request request{"POST", "/settings/replace", {}, {}};
    if (!read_file(arguments.at("FILE").asString(), request.body)) return kRefused;
    request.based_on = arguments.at("--based-on").asLong();
    return ask(arguments, request);
}

int retire(const Arguments& arguments) {
    const std::string path = "/retire/" + arguments.at("NODE").asString();
    if (arguments.at("read").asBool()) return ask(arguments, {"GET", path + "/read", {}, {}});
    return ask(arguments,
               {"POST", path + "/begin", "{\"withinS\":" + arguments.at("--within").asString() + "}", {}});
}

int rollout(const Arguments& arguments) {
    const std::string service = arguments.at("SERVICE").asString();
    if (arguments.at("read").asBool())
        return ask(arguments, {"GET", "/rollouts/" + service + "/read", {}, {}});
    const double within = std::strtod(arguments.at("--within").asString().c_str(), nullptr);
    const nlohmann::json order{
        {"service", service}, {"newVersion", arguments.at("VERSION").asString()}, {"withinS", within}};
    return ask(arguments, {"POST", "/rollouts/begin", order.dump(), {}});
}

int show(const Arguments& arguments, const std::string& page) {
    for (;;) {
        const Form form = arguments.at("--json").asBool() ? Form::as_it_is : Form::text;
        const int status = ask(arguments, {"GET", "/" + page, {}, {}}, form);
        if (status != kDone || !arguments.at("--watch").asBool()) return status;
        std::this_thread::sleep_for(kWatchPause);
    }
}

int check(const Arguments& arguments) {
    const std::string path = arguments.at("FILE").asString();
    std::string text;
    if (!read_file(path, text)) return kRefused;
    std::string fault;
    if (arguments.at("settings").asBool()) {
        const auto settings = whinledge::node::parse_settings(text, path);
        if (!settings) fault = settings.error().message;
    } else {
        const auto configuration = whinledge::serving::parse_configuration(text);
        if (!configuration) fault = path + ": " + configuration.error().message;
    }
    if (fault.empty()) return kDone;
    std::cerr << fault << "\n";
    return kRefused;
}

int run(const Arguments& arguments) {
    const auto chosen = [&](const char* command) { return arguments.at(command).asBool(); };
    if (chosen("help-settings")) {
        std::cout << whinledge::node::settings_help();
        return kDone;
    }
    if (chosen("check")) return check(arguments);
    if (chosen("settings") || chosen("config"))
        return chosen("read") ? ask(arguments, {"GET", "/settings/read", {}, {}}) : replace(arguments);
    if (chosen("retire")) return retire(arguments);
    if (chosen("rollouts") && (chosen("begin") || chosen("read"))) return rollout(arguments);
    for (const char* page :
         {"members", "acceptors", "leases", "replicas", "openings", "overlay", "list", "status", "rollouts"})
        if (chosen(page)) return show(arguments, page);
    return kWrongUsage;
}

}  // namespace

int main(int argc, char** argv) {
    try {
        const std::vector<std::string> words(argv + 1, argv + argc);
        return run(docopt::docopt_parse(kUsage, words, true, false));
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << kUsage;
        return kDone;
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n" << kUsage;
        return kWrongUsage;
    }
}
