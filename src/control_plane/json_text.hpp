// JSON as it is told to the operator.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace whinledge::control_plane {

// Bytes that are no UTF-8, such as the operator's own, are replaced (U+FFFD); the library would throw.
inline std::string json_text(const nlohmann::json& json) {
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace whinledge::control_plane
