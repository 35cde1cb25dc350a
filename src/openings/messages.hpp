// Traffic as messages. What comes is another process's word: it is bounded in number and in every figure.
#pragma once

#include <vector>

#include "openings/merger.hpp"
#include "openings/teller.hpp"
#include "openings/traffic.hpp"
#include "openings_types.h"  // generated from idl/openings.thrift

namespace whinledge::openings {

inline constexpr int kOpeningsProtocol = 1;

std::vector<wire::ServiceOpenings> to_wire(const Traffic& traffic);
// At most so many openings in all, no service twice, and none of its openings more often than all its
// requests.
Traffic from_wire(const std::vector<wire::ServiceOpenings>& told, std::size_t most);

wire::OpeningsRequest to_wire(std::uint64_t node, const Teller::Word& word);
Teller::Answer from_wire(const wire::OpeningsReply& reply);
// What `merger` answers a node's request.
wire::OpeningsReply answer(Merger& merger, const wire::OpeningsRequest& request, Millis now);

wire::OpeningsSubtotal to_wire(const Subtotal& subtotal);
Subtotal from_wire(const wire::OpeningsSubtotal& subtotal);

}  // namespace whinledge::openings
