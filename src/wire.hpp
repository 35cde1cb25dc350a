// The simulator's wire: a text codec and the host that runs one Balancer for each instance.
// Nothing here chooses anything; see src/balance.cpp for the decisions.
#pragma once

#include <array>
#include <iosfwd>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "kestrelhall/balancer.hpp"

namespace kestrelhall::wire {

// A line that can't be read; what() names line number, message and field.
struct WireError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// One line taken apart: the message's name and its name=value pairs, with typed access that throws WireError.
class Message {
public:
    Message(std::string_view line, std::size_t number);

    std::string_view kind() const { return kind_; }
    bool has(std::string_view field) const { return find(field) != nullptr; }
    std::string_view text(std::string_view field) const;
    double number(std::string_view field) const;
    double number_or(std::string_view field, double fallback) const;
    std::uint64_t integer(std::string_view field) const;
    std::uint64_t integer_or(std::string_view field, std::uint64_t fallback) const;
    bool flag_or(std::string_view field, bool fallback) const;

    [[noreturn]] void fail(std::string_view field, std::string_view what) const;

private:
    const std::string_view* find(std::string_view field) const;

    std::string_view kind_;
    std::size_t line_;
    std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

// What START says beyond the library's settings: the names behind its integers.
struct Site {
    Settings settings;
    std::vector<std::string> zones;
    std::vector<std::string> kinds;
    std::vector<std::string> classes;
    std::vector<std::string> tenants;

    // A name not met before gets the next number.
    ZoneId zone(std::string_view name);
    KindId kind(std::string_view name);
};
Site read_site(const Message& start);
Outcome read_outcome(const Message& message);
std::vector<std::uint8_t> read_bytes(const Message& message, std::string_view field);

struct CatalogEntry {
    std::string server;
    std::string zone;
    std::string kind;
    std::uint32_t cell = 0;
    Phase phase = Phase::on;
    Millis online_since = 0;
};

// Runs until the end of input; returns the process's exit status.
class Host {
public:
    Host(std::istream& in, std::ostream& out, std::ostream& err);
    ~Host();
    int run();

private:
    struct Instance;
    bool next_line(std::string& line);
    void batch(const Message& mark);
    void event(const Message& message);
    void catalog(const Message& message);
    void start(const Message& message);
    void list(Instance& instance, const Message& message);
    void attempt_ended(Instance& instance, const Message& message);
    void give(Instance& instance, const Event& event);
    void put(Instance& instance, const Action& action);

    std::istream& in_;
    std::ostream& out_;
    std::ostream& err_;
    std::size_t line_ = 0;
    double now_ = 0;
    std::string reply_;
    std::array<std::vector<CatalogEntry>, 16> catalogs_;
    std::map<std::string, Instance, std::less<>> instances_;
    std::vector<std::string> unknown_kinds_;
    std::vector<Action> actions_;
};

}  // namespace kestrelhall::wire
