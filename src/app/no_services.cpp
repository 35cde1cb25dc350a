// Of a program that is built without a reader of services files.
#include <ostream>
#include <stdexcept>

#include "app/services.hpp"

namespace whinledge {

namespace {
constexpr const char* kWhy = "services files are not built in (toml++ was not found)";
}

std::shared_ptr<ServicesRunner> run_services(boost::asio::io_context&, const std::string&) {
    throw std::runtime_error(kWhy);
}

int check_services(const std::string&, std::ostream&, std::ostream& err) {
    err << "whinledge: " << kWhy << '\n';
    return 1;
}

}  // namespace whinledge
