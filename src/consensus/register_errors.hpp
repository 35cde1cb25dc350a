// The register's errors in words, each with its remedy.
#pragma once

#include "consensus/register_types.hpp"

namespace whinledge::consensus {

inline RegisterError no_majority(const std::string& what) {
    return {RegisterFailure::no_majority,
            what +
                ": too few of the register's acceptors answered in time; check that over half of the control "
                "processes run and reach each other"};
}
// As above, where acceptors told that their disks did not take it.
inline RegisterError disks_refuse(const std::string& what) {
    return {RegisterFailure::no_majority, what +
                                              ": too few of the register's acceptors took it, and the disks "
                                              "of some refused it; make room on the "
                                              "disks of those whose counter refused_writes rises"};
}
inline RegisterError conflict() {
    return {RegisterFailure::conflict,
            "other changes of the register went ahead each time: nothing was changed; read it and try again"};
}
inline RegisterError rejected() {
    return {RegisterFailure::rejected,
            "the change does not apply to the register's present value: nothing was changed; read it first"};
}
inline RegisterError not_founded() {
    return {RegisterFailure::not_founded,
            "no acceptors of the register are known yet; check that the seed nodes run and are reached"};
}

}  // namespace whinledge::consensus
