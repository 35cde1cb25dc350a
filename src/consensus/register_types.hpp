// What the register's users and its cores share: errors, results and transforms.
#pragma once

#include <boost/outcome/result.hpp>
#include <functional>
#include <optional>
#include <string>

#include "control_types.h"  // generated from idl/control.thrift

namespace whinledge::consensus {

enum class RegisterFailure {
    no_majority,  // too few acceptors answered in time: the change may still be chosen later
    conflict,     // other proposers went ahead each time: the change was not made by us and won't be
    rejected,     // the transform declined the value that it found: nothing was changed
    not_founded,  // no acceptors are known yet
};

struct RegisterError {
    RegisterFailure failure = RegisterFailure::no_majority;
    std::string message;
};

template <class T>
using RegisterResult = boost::outcome_v2::result<T, RegisterError, boost::outcome_v2::policy::all_narrow>;

// The next value made of the present one, or none to leave it as it is. Called perhaps several times, each
// with the value in force at that try; `sequence` is set by the register.
using Transform = std::function<std::optional<wire::RegisterState>(const wire::RegisterState&)>;

}  // namespace whinledge::consensus
