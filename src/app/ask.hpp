// Commands that ask a running process at its control socket.
#pragma once

#include <iosfwd>
#include <string>

namespace whinledge {

struct Question {
    std::string socket;  // path
    bool json = false;   // one JSON object a line, else for reading
};

// Exit status: 0 done; 1 refused, or nobody answers, with a reason on `err`.
int ask_members(const Question& question, std::ostream& out, std::ostream& err);
int ask_limits(const Question& question, std::ostream& out, std::ostream& err);
// Prints the members, then each change of one as it happens, until the process ends.
int watch_fleet(const Question& question, std::ostream& out, std::ostream& err);

}  // namespace whinledge
