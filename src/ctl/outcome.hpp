// What an operator is told of a call: an exit status, the answer, and what to do next. Pure.
#pragma once

#include <string>

#include "ctl/operator_client.hpp"

namespace whinledge::ctl {

enum class ExitStatus {
    done = 0,
    refused = 1,      // it did not happen, and won't as it was asked
    wrong_usage = 2,  // nothing was asked
    no_answer = 3,    // no clear answer: it may have happened, and may be asked again as it was
};

struct Outcome {
    ExitStatus status = ExitStatus::done;
    std::string answer;   // body; of a success
    std::string message;  // what went wrong and the remedy; empty: nothing
};

Outcome outcome_of(const CallResult<Answer>& answer);

}  // namespace whinledge::ctl
