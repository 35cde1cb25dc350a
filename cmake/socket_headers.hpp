// What most libraries with sockets include; precompiled where WHINLEDGE_PRECOMPILE is on.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>
// After <utility>, which Asio 1.74 forgets.
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <boost/outcome/result.hpp>
#include <nlohmann/json.hpp>
