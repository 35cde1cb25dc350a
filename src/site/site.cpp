#include "site/site.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace kestrelhall {

namespace {

const Fields::Names<Effect> effects{
    {"repeatable", Effect::repeatable}, {"by_key", Effect::by_key}, {"once", Effect::once}};
const Fields::Names<DedupScope> scopes{
    {"all", DedupScope::all}, {"zone", DedupScope::zone}, {"cell", DedupScope::cell}};

const Fields::Names<bool> membership_modes{{"pushed", false}, {"on_request", true}};

constexpr double kMost = std::numeric_limits<double>::max();
constexpr double kRounding = 0.01;  // of tenants' shares, which are written as decimals

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

// The length of a list of objects: it stands under .count, or the list is empty.
std::uint64_t size_of(const Fields& start, const std::string& list) {
    if (start.has(list + ".count")) return start.integer(list + ".count");
    if (!start.text(list).empty()) start.fail(list, "is no list of objects");
    return 0;
}

// Two of one name could not be told apart.
void add_name(const Fields& start, const std::string& field, std::vector<std::string>& names) {
    const std::string_view name = start.text(field);
    if (name.empty()) start.fail(field, "is empty");
    if (place_of(names, name) != names.size()) start.fail(field, "names one that is there already");
    names.emplace_back(name);
}
std::vector<std::string> names_in(const Fields& start, std::string_view field) {
    std::vector<std::string> names;
    for (const std::string& name : split(start.text(field))) {
        if (place_of(names, name) != names.size()) start.fail(field, "names one of them twice");
        names.push_back(name);
    }
    return names;
}

void read_places(const Fields& start, Site& site) {
    site.zones = names_in(start, "azs");
    site.kinds = names_in(start, "models");
    if (site.zones.empty() && (!start.has("my-zone") || start.text("my-zone").empty()))
        return;  // there are none
    const ZoneId mine = place_of(site.zones, start.text("my-zone"));
    if (mine == site.zones.size()) start.fail("my-zone", "is none of 'azs'");
    site.settings.my_zone = mine;
}

// Those of the known names that a class is confined to; nothing where it is not.
std::optional<std::vector<std::uint32_t>> read_only(const Fields& start, const std::string& field,
                                                    const std::vector<std::string>& known,
                                                    const std::string& list) {
    if (!start.has(field)) return std::nullopt;
    std::vector<std::uint32_t> only;
    for (const std::string& name : split(start.text(field))) {
        only.push_back(place_of(known, name));
        if (only.back() == known.size()) start.fail(field, "names one that is none of '" + list + "'");
    }
    if (only.empty()) start.fail(field, "names none");
    return only;
}

void read_class(const Fields& start, const std::string& prefix, Site& site) {
    RequestClass c;
    add_name(start, prefix + "name", site.classes);
    c.effect = start.named(prefix + "effect", effects);
    if (c.effect == Effect::by_key) {
        c.dedup_scope = start.named(prefix + "dedup-scope", scopes);
        c.dedup_window = start.time(prefix + "dedup-window-ms");
    }
    c.aim = start.span(prefix + "on-time-ms");
    if (start.has(prefix + "aim-stretch")) c.aim_stretch = start.within(prefix + "aim-stretch", 0, kMost);
    c.worth = start.within(prefix + "credit", 0, kMost);
    c.zones = read_only(start, prefix + "confined-to", site.zones, "azs");
    c.kinds = read_only(start, prefix + "models-allowed", site.kinds, "models");
    site.longest_wait = std::max(site.longest_wait, start.span(prefix + "give-up-ms"));
    site.settings.classes.push_back(std::move(c));
}

void read_tenants(const Fields& start, Site& site) {
    Settings& s = site.settings;
    double sum = 0;
    for (std::uint64_t i = 0, count = size_of(start, "tenants"); i < count; ++i) {
        const std::string prefix = "tenants." + std::to_string(i) + ".";
        add_name(start, prefix + "name", site.tenants);
        s.tenant_shares.push_back(start.within(prefix + "share", 0, 1));
        sum += s.tenant_shares.back();
    }
    if (sum > 1 + kRounding) start.fail("tenants", "have shares that make more than the whole");
    if (!site.tenants.empty()) s.over_share_worth = start.within("over-share-worth", 0, 1);
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

double Fields::within(std::string_view field, double least, double most) const {
    const double value = number(field);
    if (value < least) fail(field, least == 0 ? "is negative" : "is too small");
    if (value > most) fail(field, "is too large");
    return value;
}

Millis Fields::time(std::string_view field) const {
    return within(field, 0, std::numeric_limits<double>::max());
}

Millis Fields::span(std::string_view field) const {
    const Millis value = time(field);
    if (value == 0) fail(field, "is nothing");
    return value;
}

std::uint32_t Fields::count(std::string_view field) const {
    const std::uint64_t value = integer(field);
    if (value == 0) fail(field, "is nothing");
    if (value > std::numeric_limits<std::uint32_t>::max()) fail(field, "is too large");
    return static_cast<std::uint32_t>(value);
}

bool Fields::flag(std::string_view field) const {
    const std::string_view value = text(field);
    if (value == "1" || value == "true") return true;
    if (value == "0" || value == "false") return false;
    fail(field, "is not a truth value");
}

bool Fields::flag_or(std::string_view field, bool fallback) const {
    return has(field) ? flag(field) : fallback;
}

ZoneId Site::zone(std::string_view name) { return number_of(zones, name); }
KindId Site::kind(std::string_view name) { return number_of(kinds, name); }

std::uint32_t Site::class_index(std::string_view name) const { return place_of(classes, name); }
std::uint32_t Site::tenant_index(std::string_view name) const { return place_of(tenants, name); }

Site read_site(const Fields& start) {
    Site site;
    Settings& s = site.settings;
    read_places(start, site);
    const std::uint64_t classes = size_of(start, "classes");
    if (classes == 0) start.fail("classes", "names none");
    for (std::uint64_t i = 0; i < classes; ++i) read_class(start, "classes." + std::to_string(i) + ".", site);
    read_tenants(start, site);
    s.list_on_request = start.named("membership-mode", membership_modes);
    if (s.list_on_request || start.has("rules.ask-within-ms"))
        s.ask_within = start.time("rules.ask-within-ms");
    s.siblings = start.count("siblings");
    if (start.has("my-number")) s.number = static_cast<std::uint32_t>(start.integer("my-number"));
    s.max_attempts = start.count("limits.max-attempts");
    s.parallel_tries = start.flag("limits.parallel-tries");
    s.may_cancel = start.flag("limits.may-cancel");
    s.cold_from = start.within("rules.cold-from", 0, 1);
    s.fall_multiple = start.within("rules.fall-multiple", 1, kMost);
    s.fall_within = start.span("rules.fall-ms");
    s.saturated_is_no_proof = start.flag_or("rules.busy-is-no-proof", false);
    s.warm_within = start.time("rules.warm-within-ms");
    s.fees.cross_zone = start.within("fees.cross-zone", 0, kMost);
    return site;
}

}  // namespace kestrelhall
