#include "discovery/address.hpp"

#include <charconv>

namespace whinledge {

namespace ip = boost::asio::ip;

namespace {

constexpr std::size_t kLongest = 64;  // more than any IPv6 address with brackets and port

std::optional<std::uint16_t> read_port(std::string_view text) {
    std::uint16_t port = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, port);
    if (error != std::errc() || stop != end || port == 0 || text.front() == '0') return std::nullopt;
    return port;
}

}  // namespace

bool reachable(const ip::address& address) { return !address.is_unspecified() && !address.is_multicast(); }

std::string address_text(ip::address address, std::uint16_t port) {
    if (address.is_v6() && address.to_v6().is_v4_mapped())
        address = ip::make_address_v4(ip::v4_mapped, address.to_v6());
    const std::string text = address.to_string();
    return (address.is_v6() ? "[" + text + "]" : text) + ":" + std::to_string(port);
}

std::optional<std::string> canonical_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (text.size() > kLongest || colon == std::string_view::npos) return std::nullopt;
    const auto port = read_port(text.substr(colon + 1));
    std::string_view host = text.substr(0, colon);
    if (!port || host.empty() || host.find_first_of(std::string_view("%\0", 2)) != std::string_view::npos)
        return std::nullopt;
    const bool bracketed = host.front() == '[';
    if (bracketed) {
        if (host.size() < 2 || host.back() != ']') return std::nullopt;
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code error;
    const auto address = ip::make_address(std::string(host), error);
    if (error || address.is_v6() != bracketed || !reachable(address)) return std::nullopt;
    return address_text(address, *port);
}

}  // namespace whinledge
