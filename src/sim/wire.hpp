// The simulator's wire: a text codec and the host that runs one Balancer for each instance.
// Nothing here chooses anything; see src/policy for the decisions.
#pragma once

#include <array>
#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "site/site.hpp"

namespace kestrelhall::wire {

using WireError = FieldError;  // names line number, message and field

// One line taken apart: the message's name and its name=value pairs; its access throws WireError.
class Message : public Fields {
public:
    Message(std::string_view line, std::size_t number);

    std::string_view kind() const { return kind_; }
    std::optional<std::string_view> find(std::string_view field) const override;
    std::string place() const override;

private:
    std::string_view kind_;
    std::size_t line_;
    std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

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
