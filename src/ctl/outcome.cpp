#include "ctl/outcome.hpp"

namespace whinledge::ctl {
namespace {

constexpr unsigned kBadRequest = 400, kNotFound = 404, kConflict = 409, kOtherVersion = 412;

const char* remedy_of(unsigned status) {
    switch (status) {
        case kBadRequest:
            return "mend the file; `check configuration FILE` says the same without asking";
        case kNotFound:
            return "see `members` and `replicas` for the names; an older control process may not have this "
                   "page";
        case kConflict:
            return "add a storage machine first, and wait until `replicas` shows it as member";
        case kOtherVersion:
            return "another change came first: `settings read`, put yours on top of it, and give its version "
                   "as "
                   "--based-on";
        default:
            return "see the process's log";
    }
}

Outcome failed(const CallError& error) {
    if (error.fault == CallFault::bad_address) return {ExitStatus::wrong_usage, {}, error.message};
    if (error.fault == CallFault::bad_redirect) return {ExitStatus::refused, {}, error.message};
    return {ExitStatus::no_answer,
            {},
            error.message +
                "; an order may have been taken: the same one may be sent again, and is not taken "
                "twice"};
}

}  // namespace

Outcome outcome_of(const CallResult<Answer>& answer) {
    if (!answer) return failed(answer.error());
    const Answer& given = answer.value();
    if (given.status / 100 == 2) return {ExitStatus::done, given.body, {}};
    std::string message = given.from;
    message.append(" refuses (").append(std::to_string(given.status)).append("): ").append(given.body);
    message.append("\n").append(remedy_of(given.status));
    return {ExitStatus::refused, {}, std::move(message)};
}

}  // namespace whinledge::ctl
