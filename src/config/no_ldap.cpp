// Where liblber or OpenSSL was not found: no LDAP.
#include "config/draft.hpp"

namespace whinledge::config {

namespace {
constexpr const char* kNotBuilt = "LDAP is not built in: liblber or OpenSSL was missing";
}

void read_ldap_listener(Table& listener, Listener& to) {
    if (listener.find("ldap") || to.profile == Listener::Profile::ldap) listener.fault("profile", kNotBuilt);
}
void read_ldap_pool(Table& pool, Pool& to) {
    if (pool.find("ldap") || to.is_ldap) pool.fault("protocol", kNotBuilt);
}
void read_ldap_routes(Draft&, Table& root) {
    if (root.find("ldap_route")) root.fault("ldap_route", kNotBuilt);
}

}  // namespace whinledge::config
