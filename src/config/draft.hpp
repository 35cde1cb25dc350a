// What is known of a services file while it is read: of use to the files read*.cpp alone.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/fields.hpp"
#include "config/services.hpp"

namespace whinledge::config {

struct Draft {
    explicit Draft(const std::string& origin) : faults(origin) { services.origin = origin; }

    Faults faults;
    Services services;

    // What routes may name. Something counts as known once it has a name, whatever else is wrong with it;
    // where a name itself can't be read, none of its kind is called unknown: one cause, one fault.
    std::map<std::string, std::optional<Listener::Profile>> listeners;  // no profile: it can't be read
    std::map<std::string, std::optional<Words>> pools;  // their classes; none: they can't be read
    bool all_listeners = true, all_pools = true;
    std::set<std::string> ldap_pools;       // of them, those of protocol ldap
    std::map<std::string, int> used_pools;  // by routes
};

void read_routes(Draft& draft, Table& root);
void read_fleet(Draft& draft, Table& root);

// What is LDAP's own; where it is not built in, a fault where the file has any.
void read_ldap_listener(Table& listener, Listener& to);
void read_ldap_pool(Table& pool, Pool& to);
void read_ldap_routes(Draft& draft, Table& root);

}  // namespace whinledge::config
