#include "config/services.hpp"

#include <algorithm>

namespace whinledge::config {

namespace {

// Each binding names all members: one that is added to the module's types does not compile until it is
// compared here.
bool same(const RequestClass& a, const RequestClass& b) {
    const auto& [effect, scope, window, aim, stretch, worth, zones, kinds] = a;
    return effect == b.effect && scope == b.dedup_scope && window == b.dedup_window && aim == b.aim &&
           stretch == b.aim_stretch && worth == b.worth && zones == b.zones && kinds == b.kinds;
}
bool same(const Fees& a, const Fees& b) {
    const auto& [cross_zone] = a;
    return cross_zone == b.cross_zone;
}

}  // namespace

bool same(const Settings& a, const Settings& b) {
    const auto& [classes, my_zone, siblings, number, on_request, ask_within, attempts, parallel, cancel, cold,
                 warm, fall, fall_within, saturated, shares, over_share, doubt, fees] = a;
    return std::ranges::equal(classes, b.classes, [](const auto& x, const auto& y) { return same(x, y); }) &&
           my_zone == b.my_zone && siblings == b.siblings && number == b.number &&
           on_request == b.list_on_request && ask_within == b.ask_within && attempts == b.max_attempts &&
           parallel == b.parallel_tries && cancel == b.may_cancel && cold == b.cold_from &&
           warm == b.warm_within && fall == b.fall_multiple && fall_within == b.fall_within &&
           saturated == b.saturated_is_no_proof && shares == b.tenant_shares &&
           over_share == b.over_share_worth && doubt == b.doubt && same(fees, b.fees);
}

bool Pool::operator==(const Pool& other) const {
    return name == other.name && class_names == other.class_names && same(decisions, other.decisions) &&
           source == other.source && limits == other.limits && connect_timeout == other.connect_timeout &&
           idle_close == other.idle_close && is_ldap == other.is_ldap && ldap == other.ldap &&
           line == other.line;
}

const Fleet::Member& Fleet::own() const { return *std::ranges::find(members, self, &Member::name); }

}  // namespace whinledge::config
