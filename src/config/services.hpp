// The services file, typed: listeners, pools, routes and limits of one process (docs/operate/services.md).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "engine/members.hpp"
#include "ldap_codec/routes.hpp"
#include "route/spec.hpp"

namespace whinledge::config {

// Bounds on what somebody may hold: what is his in any case, and what he may have if others leave it idle.
struct Share {
    std::size_t guaranteed = 0;
    std::size_t most = 0;  // 0: no bound of his own
    bool operator==(const Share&) const = default;
};
struct Limits {
    Share requests;     // open at once
    Share bytes;        // of bodies, held in memory
    Share descriptors;  // connections
    Share connects;     // under way at once (of pools)
    bool operator==(const Limits&) const = default;
};

// Of LDAP, at a listener or towards the servers of a pool.
struct LdapTls {
    enum class Mode { none, ldaps, starttls } mode = Mode::none;
    std::string certificate, key;  // files, of a listener
    bool required = false;         // of a listener with starttls
    std::string authority, name;   // a file and whom certificates name, of a pool
    int minimum = 12;              // 12 or 13: TLS 1.2 or 1.3
    bool operator==(const LdapTls&) const = default;
};
struct LdapListener {
    std::size_t operations = 1000;  // open on one connection
    std::size_t message_limit = 1 << 20;
    LdapTls tls;
    bool operator==(const LdapListener&) const = default;
};
struct LdapPool {
    bool proxied = false;                      // else each client binds as itself
    std::string service, password_file;        // of proxied
    std::vector<std::string> identities_from;  // pools whose binds count here
    std::size_t operations = 16;               // open on a connection of several clients
    Millis stall = 1000;                       // a client may hold up others for so long
    std::size_t message_limit = 1 << 20;
    LdapTls tls;
    bool operator==(const LdapPool&) const = default;
};

struct Listener {
    std::string name, address;  // IP:PORT
    enum class Profile { platform, http, ldap } profile = Profile::http;
    Limits limits;
    Millis head_timeout = 2500, idle_timeout = 60000;  // of its connections
    std::string via = "whinledge";                     // pseudonym in Via
    LdapListener ldap;                                 // of profile ldap
    int line = 0;
    bool operator==(const Listener&) const = default;
};

struct Pool {
    std::string name;
    // Names and properties of its classes, in the module's terms; `classes[i]` is called `class_names[i]`.
    std::vector<std::string> class_names;
    Settings decisions;
    struct Source {
        enum class Kind { list, file, platform, dns } kind = Kind::list;
        std::vector<Member> members;                              // list
        std::string path;                                         // file
        std::string address;                                      // platform's discovery, IP:PORT
        std::string host, service;                                // dns: A/AAAA of host, or SRV of service
        std::uint16_t port = 0;                                   // dns: for A/AAAA
        std::string resolver;                                     // dns: IP:PORT; empty: of /etc/resolv.conf
        Millis min_ttl = 1000, max_ttl = 300000, timeout = 2000;  // dns
        bool operator==(const Source&) const = default;
    } source;
    Limits limits;
    bool is_ldap = false;
    LdapPool ldap;
    Millis connect_timeout = 250, idle_close = 14000;
    int line = 0;
    bool operator==(const Pool& other) const;
};
// The module's types have no comparison of their own.
bool same(const Settings& a, const Settings& b);

// The sidecars of one tier that know each other (docs/operate/fleet.md).
struct Fleet {
    struct Member {
        std::string name, address;  // UDP, IP:PORT
        bool operator==(const Member&) const = default;
    };
    // Of requests of these classes to that pool, by the whole fleet; never over.
    struct Limit {
        std::string name, pool;
        std::vector<std::string> classes;  // empty: all
        double rate = 0, burst = 1;        // a second, and at once beyond it; 0: none of this kind
        std::size_t open = 0;              // at once; 0: none of this kind
        Millis lease = 4000;
        Millis longest = 15000;  // of open: a request ends within that time
        bool operator==(const Limit&) const = default;
    };
    std::string name, self;
    std::string control;          // path of a Unix socket; empty: none
    Millis probe_period = 1000;   // P
    std::vector<Member> members;  // self among them
    std::vector<Limit> limits;
    int line = 0;
    const Member& own() const;
    bool operator==(const Fleet&) const = default;
};

struct Services {
    std::string origin;  // the file
    std::size_t descriptors = 1024;
    std::size_t bytes = 64 << 20;
    std::size_t requests = 10000;
    std::optional<std::uint64_t> seed;
    Millis drain = 30000;  // at most, at the end
    std::vector<Listener> listeners;
    std::vector<Pool> pools;
    std::vector<route::Route> routes;
    std::vector<ldap::Route> ldap_routes;
    std::optional<Fleet> fleet;
    bool operator==(const Services&) const = default;
};

}  // namespace whinledge::config
