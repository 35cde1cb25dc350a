#include "site/site.hpp"

#include <algorithm>
#include <cmath>

namespace kestrelhall {

namespace {

const Fields::Names<Effect> effects{
    {"repeatable", Effect::repeatable}, {"by_key", Effect::by_key}, {"once", Effect::once}};
const Fields::Names<DedupScope> scopes{
    {"all", DedupScope::all}, {"zone", DedupScope::zone}, {"cell", DedupScope::cell}};

constexpr Millis kGiveUp = 60000;  // where the settings don't say when clients do

std::vector<std::string> split(std::string_view list) {
    std::vector<std::string> items;
    while (!list.empty()) {
        const auto comma = list.find(',');
        items.emplace_back(list.substr(0, comma));
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
    return items;
}

std::uint32_t place_of(const std::vector<std::string>& names, std::string_view name) {
    return static_cast<std::uint32_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

std::uint32_t number_of(std::vector<std::string>& names, std::string_view name) {
    const std::uint32_t id = place_of(names, name);
    if (id == names.size()) names.emplace_back(name);
    return id;
}

}  // namespace

void Fields::fail(std::string_view field, std::string_view what) const {
    throw FieldError(place() + ": field '" + std::string(field) + "' " + std::string(what));
}

std::string_view Fields::text(std::string_view field) const {
    const auto value = find(field);
    if (!value) fail(field, "is missing");
    return *value;
}

double Fields::number(std::string_view field) const {
    double value = 0;
    if (!parse(text(field), value) || !std::isfinite(value)) fail(field, "is not a number");
    return value;
}

double Fields::number_or(std::string_view field, double fallback) const {
    return has(field) ? number(field) : fallback;
}

std::uint64_t Fields::integer(std::string_view field) const {
    std::uint64_t value = 0;
    if (!parse(text(field), value)) fail(field, "is not a whole number");
    return value;
}

std::uint64_t Fields::integer_or(std::string_view field, std::uint64_t fallback) const {
    return has(field) ? integer(field) : fallback;
}

bool Fields::flag_or(std::string_view field, bool fallback) const {
    if (!has(field)) return fallback;
    const std::string_view value = text(field);
    if (value == "1" || value == "true") return true;
    if (value == "0" || value == "false") return false;
    fail(field, "is not a truth value");
}

ZoneId Site::zone(std::string_view name) { return number_of(zones, name); }
KindId Site::kind(std::string_view name) { return number_of(kinds, name); }

std::uint32_t Site::class_index(std::string_view name) const { return place_of(classes, name); }
std::uint32_t Site::tenant_index(std::string_view name) const { return place_of(tenants, name); }

Site read_site(const Fields& start) {
    Site site;
    Settings& s = site.settings;
    if (start.has("azs")) site.zones = split(start.text("azs"));
    if (start.has("my-zone")) s.my_zone = site.zone(start.text("my-zone"));
    for (std::uint64_t i = 0, count = start.integer("classes.count"); i < count; ++i) {
        const std::string prefix = "classes." + std::to_string(i) + ".";
        RequestClass c;
        c.effect = start.named(prefix + "effect", effects);
        if (start.has(prefix + "dedup-scope")) c.dedup_scope = start.named(prefix + "dedup-scope", scopes);
        c.dedup_window = start.number_or(prefix + "dedup-window-ms", c.dedup_window);
        c.aim = start.number(prefix + "on-time-ms");
        c.aim_stretch = start.number_or(prefix + "aim-stretch", c.aim_stretch);
        c.worth = start.number_or(prefix + "credit", c.worth);
        const auto only = [&](const std::string& field, auto number) {
            std::optional<std::vector<std::uint32_t>> numbers;
            if (!start.has(field)) return numbers;
            numbers.emplace();
            for (const auto& name : split(start.text(field))) numbers->push_back((site.*number)(name));
            return numbers;
        };
        c.zones = only(prefix + "confined-to", &Site::zone);
        c.kinds = only(prefix + "models-allowed", &Site::kind);
        site.longest_wait = std::max(site.longest_wait, start.number_or(prefix + "give-up-ms", kGiveUp));
        s.classes.push_back(std::move(c));
        site.classes.emplace_back(start.text(prefix + "name"));
    }
    for (std::uint64_t i = 0, count = start.integer_or("tenants.count", 0); i < count; ++i) {
        const std::string prefix = "tenants." + std::to_string(i) + ".";
        s.tenant_shares.push_back(start.number(prefix + "share"));
        site.tenants.emplace_back(start.text(prefix + "name"));
    }
    s.over_share_worth = start.number_or("over-share-worth", s.over_share_worth);
    if (start.has("membership-mode")) s.list_on_request = start.text("membership-mode") == "on_request";
    s.ask_within = start.number_or("rules.ask-within-ms", s.ask_within);
    s.siblings = static_cast<std::uint32_t>(start.integer_or("siblings", s.siblings));
    if (start.has("my-number")) s.number = static_cast<std::uint32_t>(start.integer("my-number"));
    s.max_attempts = static_cast<std::uint32_t>(start.integer_or("limits.max-attempts", s.max_attempts));
    s.parallel_tries = start.flag_or("limits.parallel-tries", s.parallel_tries);
    s.may_cancel = start.flag_or("limits.may-cancel", false);
    s.cold_from = start.number_or("rules.cold-from", s.cold_from);
    s.fall_multiple = start.number_or("rules.fall-multiple", s.fall_multiple);
    s.fall_within = start.number_or("rules.fall-ms", s.fall_within);
    s.saturated_is_no_proof = start.flag_or("rules.busy-is-no-proof", s.saturated_is_no_proof);
    s.warm_within = start.number_or("rules.warm-within-ms", s.warm_within);
    s.fees.cross_zone = start.number_or("fees.cross-zone", s.fees.cross_zone);
    return site;
}

}  // namespace kestrelhall
