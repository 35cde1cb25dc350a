// One call of the operator's API, made at whichever control process answers first in the order given.
#pragma once

#include <boost/outcome/result.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace whinledge::ctl {

struct Request {
    std::string method;  // GET or POST
    std::string path;
    std::string body;                      // JSON; of POST
    std::optional<std::int64_t> based_on;  // the header Based-On
};

struct Answer {
    unsigned status = 0;
    std::string body;
    std::string from;  // IP:PORT that gave it
};

enum class CallFault {
    bad_address,   // no IP:PORT
    no_answer,     // none of the processes gave a final answer
    bad_redirect,  // a Location that can't be followed, or too many
};

struct CallError {
    CallFault fault = CallFault::no_answer;
    std::string message;  // what was tried, and the remedy
};

template <class T>
using CallResult = boost::outcome_v2::result<T, CallError, boost::outcome_v2::policy::all_narrow>;

// Tries each address in turn, as operators do: on to the next after silence, a 5xx, a 408 or a 429; follows
// 307 twice; repeats the round until `limit` is over. Blocks.
CallResult<Answer> call_operator_api(const std::vector<std::string>& addresses, const Request& request,
                                     std::chrono::milliseconds limit);

}  // namespace whinledge::ctl
