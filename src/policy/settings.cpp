// The checks of settings that are given at start.
#include <cmath>
#include <stdexcept>
#include <string>

#include "policy/support.hpp"

namespace kestrelhall {

namespace {

void check(bool sound, const std::string& setting) {
    if (!sound) throw std::invalid_argument("kestrelhall: setting makes no sense: " + setting);
}
void check_time(Millis value, const std::string& name) { check(std::isfinite(value) && value >= 0, name); }

}  // namespace

void validate(const Settings& s) {
    check(!s.classes.empty(), "classes (none given)");
    for (std::size_t i = 0; i < s.classes.size(); ++i) {
        const std::string prefix = "classes[" + std::to_string(i) + "].";
        const RequestClass& c = s.classes[i];
        check(std::isfinite(c.aim) && c.aim > 0, prefix + "aim");
        check_time(c.dedup_window, prefix + "dedup_window");
        check_time(c.aim_stretch, prefix + "aim_stretch");
        check_time(c.worth, prefix + "worth");
        check(!c.zones || !c.zones->empty(), prefix + "zones (confined to none)");
        check(!c.kinds || !c.kinds->empty(), prefix + "kinds (confined to none)");
    }
    check(s.max_attempts >= 1, "max_attempts");
    check(s.siblings >= 1, "siblings");
    check_time(s.warm_within, "warm_within");
    check_time(s.ask_within, "ask_within");
    check(std::isfinite(s.fall_multiple) && s.fall_multiple >= 1, "fall_multiple");
    check(std::isfinite(s.fall_within) && s.fall_within > 0, "fall_within");
    check(s.cold_from >= 0 && s.cold_from <= 1, "cold_from");
    for (std::size_t i = 0; i < s.tenant_shares.size(); ++i)
        check(std::isfinite(s.tenant_shares[i]) && s.tenant_shares[i] >= 0,
              "tenant_shares[" + std::to_string(i) + "]");
    check(s.over_share_worth >= 0 && s.over_share_worth <= 1, "over_share_worth");
    check_time(s.fees.cross_zone, "fees.cross_zone");
}

}  // namespace kestrelhall
