// What a client tells of its request in the fields that the system knows. Pure.
#pragma once

#include <boost/beast/http/message.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "engine/types.hpp"

namespace whinledge::data_plane {

struct RequestFacts {
    std::string try_id;               // empty: none was sent
    std::string program;              // empty: it belongs to none
    std::string previous;             // the turn it continues from; empty: none
    std::optional<Millis> time_left;  // that its client waits from here on; none: not told
    std::int64_t budget = 0;          // tokens of the whole program; 0: not told
    std::int64_t most_tokens = 0;     // that it generates at most; 0: not told
    std::optional<Millis> finish_in;  // until its program ought to be over, from here on; none: not told
};

// Figures that can't be read count as not told.
RequestFacts read_facts(const boost::beast::http::request_header<>& head);

// Whether a field of a request is the system's to set anew on its way to a server.
bool is_set_by_proxy(boost::beast::string_view name);

}  // namespace whinledge::data_plane
