// The configuration that LB_CONFIG names, typed. What is wrong with it is thrown as ConfigError, naming the
// key.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "engine/members.hpp"
#include "io/address.hpp"
#include "site/site.hpp"

namespace whinledge {

struct ConfigError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Config {
    std::string name;
    Tcp::endpoint listen;
    Tcp::endpoint discovery;
    std::uint64_t seed = 0;
    std::size_t sockets = 0;
    std::optional<Udp::endpoint> peer_listen;
    std::vector<Udp::endpoint> peers;
    std::optional<Udp::endpoint> peers_all;
    MemberList known;
    Site site;
    // Of the settings, what the sockets need and the module does not.
    Millis connect_timeout = 0;
    Millis idle_close = 0;
    bool may_probe = false;
    bool may_tell = false;
};

Config read_config(std::string_view json);

}  // namespace whinledge
