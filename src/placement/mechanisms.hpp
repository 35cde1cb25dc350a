// Which mechanisms of the choice of a model server are on: all, unless an operator or an experiment switches
// some off to tell what they are worth.
#pragma once

#include <boost/outcome/result.hpp>
#include <span>
#include <string>

namespace whinledge::placement {

struct Mechanisms {
#define WHINLEDGE_MECHANISM(member, name) bool member = true;
#include "placement/mechanisms.def"
#undef WHINLEDGE_MECHANISM
    bool operator==(const Mechanisms&) const = default;
};

struct UnknownMechanism {
    std::string message;  // names it, and the remedy
};

template <class T>
using MechanismsResult =
    boost::outcome_v2::result<T, UnknownMechanism, boost::outcome_v2::policy::all_narrow>;

// All but those of these names.
MechanismsResult<Mechanisms> all_without(std::span<const std::string> names);

// "candidates, kept-parts, ..."
std::string mechanism_names();

}  // namespace whinledge::placement
