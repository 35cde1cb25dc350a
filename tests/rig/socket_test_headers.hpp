// What most tests with sockets include besides; precompiled.
#pragma once

#include "rig/pure_test_headers.hpp"
// After <utility>, which Asio 1.74 forgets.
#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
