#include "app/ask.hpp"

#include <iomanip>
#include <nlohmann/json.hpp>
#include <ostream>
#include <stdexcept>

#include "control/client.hpp"

namespace whinledge {

using Json = nlohmann::json;

namespace {

constexpr double kWait = 5000;  // ms, for the first line

// Hands over what is in the answer, and each line after it while `more` wants them.
template <class Take>
int ask(const Question& question, const char* command, std::ostream& err, Take take) {
    int status = 0;
    bool first = true;
    control::ask(question.socket, {{"command", command}}, kWait, [&](const Json& line) {
        if (!first) return take(line);
        first = false;
        if (line.value("status", 1) == 0) return take(line.at("result"));
        err << "whinledge: " << line.value("error", "refused without a reason") << '\n';
        status = 1;
        return false;
    });
    return status;
}

std::string heard(std::int64_t ms) {
    if (ms < 0) return "never";
    return ms < 10000 ? std::to_string(ms) + "ms" : std::to_string(ms / 1000) + "s";
}

void print_members(const Json& result, std::ostream& out) {
    const Json& members = result.at("members");
    std::size_t longest = 4;
    for (const Json& m : members)
        longest = std::max(longest, m.at("name").get_ref<const std::string&>().size());
    const auto column = [&](const std::string& text, std::size_t width) -> std::ostream& {
        return out << std::left << std::setw(static_cast<int>(width) + 2) << text;
    };
    out << result.at("self").get<std::string>() << ": " << result.at("standing").get<std::string>() << ", "
        << members.size() << " members\n";
    column("name", longest);
    column("state", 7);
    column("heard", 8);
    out << "incarnation\n";
    for (const Json& m : members) {
        column(m.at("name"), longest);
        column(m.at("state"), 7);
        column(heard(m.at("heard_ms")), 8);
        out << m.at("incarnation").get<std::uint64_t>() << (m.at("draining").get<bool>() ? " draining" : "")
            << '\n';
    }
}

void print_limits(const Json& result, std::ostream& out) {
    out << result.at("self").get<std::string>() << ": " << result.at("standing").get<std::string>() << '\n';
    for (const Json& l : result.at("limits"))
        out << l.at("name").get<std::string>() << ": " << l.at("used") << " of " << l.at("allotment")
            << (l.at("kind") == "rate" ? " a second" : " open") << " (own " << l.at("own") << ", lent "
            << l.at("lent") << ", borrowed " << l.at("borrowed") << "), " << l.at("limit")
            << " for the fleet, over by at most " << l.at("over_bound") << ", " << l.at("refused")
            << " refused\n";
}

void print_event(const Json& event, std::ostream& out) {
    out << event.at("at_ms").get<std::int64_t>() << ' ' << event.value("name", "standing") << ' '
        << event.at("from").get<std::string>() << " -> " << event.at("to").get<std::string>() << '\n';
}

}  // namespace

int ask_members(const Question& question, std::ostream& out, std::ostream& err) {
    return ask(question, "fleet members", err, [&](const Json& result) {
        question.json ? void(out << result << '\n') : print_members(result, out);
        return false;
    });
}

int ask_limits(const Question& question, std::ostream& out, std::ostream& err) {
    return ask(question, "fleet limits", err, [&](const Json& result) {
        question.json ? void(out << result << '\n') : print_limits(result, out);
        return false;
    });
}

int watch_fleet(const Question& question, std::ostream& out, std::ostream& err) {
    return ask(question, "fleet watch", err, [&](const Json& line) {
        if (question.json)
            out << line << '\n';
        else
            line.contains("event") ? print_event(line, out) : print_members(line, out);
        out.flush();
        return static_cast<bool>(out);
    });
}

}  // namespace whinledge
