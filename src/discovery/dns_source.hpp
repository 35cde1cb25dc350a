// Members from DNS: the addresses of a host, or the targets of a service.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "engine/members.hpp"

namespace whinledge {

// One of `host` and `service`. Names are whole: no search list is applied, /etc/hosts is not asked.
struct DnsSettings {
    std::string host;        // its A and AAAA
    std::uint16_t port = 0;  // of the host's members
    std::string service;     // its SRV
    std::string resolver;    // IP:PORT; empty: those of /etc/resolv.conf
    Millis min_ttl = 1000, max_ttl = 300000;
    Millis timeout = 2000;  // for the SRV, and for the addresses of each priority
    std::uint64_t seed = 0;
};

// A member is called "host/ip:port". Nothing is asked before start(). What fails leaves the list as it is: no
// answer, an error, a name that does not exist, and an answer without a usable address. DNS can't tell "none
// are left" from a fault of the zone, and to lose all members at once is the worse of the two mistakes.
class DnsSource : public MemberSource {
public:
    DnsSource(boost::asio::io_context& io, DnsSettings settings, Callbacks callbacks);
    ~DnsSource() override;
    DnsSource(const DnsSource&) = delete;
    DnsSource& operator=(const DnsSource&) = delete;

    void start() override;
    void fetch() override;

private:
    class Asker;
    std::shared_ptr<Asker> asker_;
};

}  // namespace whinledge
