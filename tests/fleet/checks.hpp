// Whether an experiment's conditions held, by what was recorded and nothing else.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "fleet/experiment.hpp"
#include "fleet/record.hpp"

namespace whinledge::fleetrig {

struct Result {
    std::string condition;
    bool passed = false;
    std::string seen;  // what was measured, or what was wrong
};

// One condition.
class Check {
public:
    virtual ~Check() = default;
    virtual void see(const Event& event) = 0;
    // Nothing but time has passed.
    virtual void pass_time(Millis) {}
    // It has yet to come true, and still may.
    virtual bool waits(Millis) const { return false; }
    virtual Result result() const = 0;
};

class Checks {
public:
    // `zero`: when times of the experiment begin. What is recorded already is seen first.
    Checks(const Experiment& experiment, const Record& record, Millis zero);
    void see(const Event& event);
    void pass_time(Millis now);
    bool wait(Millis now) const;
    std::vector<Result> results() const;

private:
    std::vector<std::unique_ptr<Check>> checks_;
};

// After the end of a member's process: when the others held it failed.
struct Detection {
    Member member = 0;
    Millis at = 0;
    std::vector<Millis> took;  // in the order of size
    std::size_t missing = 0;   // those that did not, until it came again or the run was over
};
std::vector<Detection> detections(const Record& record);

}  // namespace whinledge::fleetrig
