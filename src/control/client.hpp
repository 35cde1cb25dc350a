// Asking a running process at its control socket.
#pragma once

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace whinledge::control {

// Sends one request and hands over each line that comes back, until `line` says no more or the process ends
// the connection. Throws std::runtime_error that names the path: nobody answers there, or within `wait` ms no
// first line came.
void ask(const std::string& path, const nlohmann::json& request, double wait,
         const std::function<bool(const nlohmann::json& line)>& line);

}  // namespace whinledge::control
