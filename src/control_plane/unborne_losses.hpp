// What of the losses that `survive` names a deployment does not bear as its machines stand, for the operator.
// Pure.
#pragma once

#include <string>
#include <vector>

#include "control_types.h"  // generated from idl/control.thrift
#include "failure_domain/loss_tolerance.hpp"

namespace whinledge::control_plane {

// A sentence each, with its remedy; empty: all are borne.
std::vector<std::string> unborne_losses(const failure_domain::LossTolerance& survive,
                                        const std::vector<wire::Acceptor>& acceptors,
                                        const wire::StorageMap& storage);

}  // namespace whinledge::control_plane
