// The parts of Asio and Beast that are no templates, compiled once (CMakeLists.txt).
// clang-format off
#include <utility>  // ahead of Asio 1.74, which forgets it
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
// clang-format on
