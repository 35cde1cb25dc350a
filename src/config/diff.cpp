#include "config/diff.hpp"

#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace whinledge::config {

namespace {

// Collects the keys that differ and the gravest change among them.
class Comparison {
public:
    explicit Comparison(const std::string& name) { changed_.name = name; }
    Comparison& key(const char* name, bool same, Change change) {
        if (same) return *this;
        changed_.keys.emplace_back(name);
        if (changed_.change != Change::replaced) changed_.change = change;
        return *this;
    }
    Changed result() const { return changed_; }

private:
    Changed changed_;
};

Changed compare(const Listener& a, const Listener& b) {
    return Comparison(a.name)
        .key("address", a.address == b.address, Change::replaced)
        .key("profile", a.profile == b.profile, Change::replaced)
        .key("limits", a.limits == b.limits, Change::in_place)
        .key("head_timeout", a.head_timeout == b.head_timeout, Change::in_place)
        .key("idle_timeout", a.idle_timeout == b.idle_timeout, Change::in_place)
        .key("via", a.via == b.via, Change::in_place)
        .key("ldap", a.ldap == b.ldap, Change::in_place)
        .result();
}

// The members by id; what else a source is, is compared apart.
std::vector<Member> by_id(std::vector<Member> members) {
    std::ranges::sort(members, {}, &Member::id);
    return members;
}
Pool::Source without_members(Pool::Source source) {
    source.members.clear();
    return source;
}
Settings without_classes(Settings settings) {
    settings.classes.clear();
    return settings;
}
bool same_classes(const Pool& a, const Pool& b) {
    Settings only_a, only_b;
    only_a.classes = a.decisions.classes;
    only_b.classes = b.decisions.classes;
    return a.class_names == b.class_names && same(only_a, only_b);
}

Changed compare(const Pool& a, const Pool& b) {
    return Comparison(a.name)
        .key("class", same_classes(a, b), Change::replaced)
        .key("decisions", same(without_classes(a.decisions), without_classes(b.decisions)), Change::replaced)
        .key("members", without_members(a.source) == without_members(b.source), Change::replaced)
        .key("members.list", by_id(a.source.members) == by_id(b.source.members), Change::in_place)
        .key("protocol", a.is_ldap == b.is_ldap, Change::replaced)
        .key("ldap", a.ldap == b.ldap, Change::replaced)
        .key("limits", a.limits == b.limits, Change::in_place)
        .key("connect_timeout", a.connect_timeout == b.connect_timeout, Change::in_place)
        .key("idle_close", a.idle_close == b.idle_close, Change::in_place)
        .result();
}

Changed compare(const route::Route& a, const route::Route& b) {
    route::Route there = b;
    there.origin = a.origin;
    return Comparison(a.name).key("route", a == there, Change::in_place).result();
}

// There may be many thousands of them, and who compares them serves nobody meanwhile.
template <class T>
class ByName {
public:
    explicit ByName(const std::vector<T>& all) {
        for (const T& one : all) found_.emplace(one.name, &one);
    }
    const T* find(const std::string& name) const {
        const auto at = found_.find(name);
        return at == found_.end() ? nullptr : at->second;
    }

private:
    std::unordered_map<std::string_view, const T*> found_;
};

Changed compare(const ldap::Route& a, const ldap::Route& b) {
    ldap::Route there = b;
    there.origin = a.origin;
    return Comparison(a.name).key("ldap_route", a == there, Change::in_place).result();
}

template <class T>
std::vector<Changed> compare_all(const std::vector<T>& before, const std::vector<T>& after) {
    std::vector<Changed> all;
    const ByName<T> then(before), now(after);
    for (const T& there : after) {
        const T* here = then.find(there.name);
        all.push_back(here ? compare(*here, there) : Changed{there.name, Change::added, {}});
    }
    for (const T& here : before)
        if (!now.find(here.name)) all.push_back({here.name, Change::removed, {}});
    return all;
}

std::vector<std::string> compare_process(const Services& a, const Services& b) {
    return Comparison("")
        .key("descriptors", a.descriptors == b.descriptors, Change::in_place)
        .key("bytes", a.bytes == b.bytes, Change::in_place)
        .key("requests", a.requests == b.requests, Change::in_place)
        .key("drain", a.drain == b.drain, Change::in_place)
        .key("seed", a.seed == b.seed, Change::in_place)
        .result()
        .keys;
}

std::vector<Fleet::Member> by_name(std::vector<Fleet::Member> members) {
    std::ranges::sort(members, {}, &Fleet::Member::name);
    return members;
}

Changed compare_fleet(const std::optional<Fleet>& a, const std::optional<Fleet>& b) {
    if (!a || !b) {
        const Change change = a ? Change::removed : b ? Change::added : Change::unchanged;
        return {a ? a->name : b ? b->name : "", change, {}};
    }
    return Comparison(b->name)
        .key("name", a->name == b->name, Change::replaced)
        .key("self", a->self == b->self, Change::replaced)
        .key("probe_period", a->probe_period == b->probe_period, Change::replaced)
        .key("member", by_name(a->members) == by_name(b->members), Change::in_place)
        .key("limit", a->limits == b->limits, Change::in_place)
        .key("control", a->control == b->control, Change::in_place)
        .result();
}

// Of those that are in both, in the order of `in`.
std::vector<std::string> common(const std::vector<route::Route>& in, const std::vector<route::Route>& other) {
    std::vector<std::string> names;
    const ByName<route::Route> others(other);
    for (const auto& route : in)
        if (others.find(route.name)) names.push_back(route.name);
    return names;
}

bool all_unchanged(const std::vector<Changed>& all) {
    return std::ranges::all_of(all, [](const Changed& one) { return one.change == Change::unchanged; });
}

std::string keys_text(const std::vector<std::string>& keys) {
    std::string text;
    for (const std::string& key : keys) (text += text.empty() ? " (" : ", ") += key;
    return text.empty() ? text : text + ")";
}

std::string change_text(Change change) {
    switch (change) {
        case Change::unchanged:
            return "unchanged";
        case Change::in_place:
            return "changed in place";
        case Change::replaced:
            return "replaced";
        case Change::added:
            return "added";
        case Change::removed:
            return "removed";
    }
    return "";
}

void describe_all(const char* what, const std::vector<Changed>& all, std::vector<std::string>& lines) {
    for (const Changed& one : all)
        if (one.change != Change::unchanged)
            lines.push_back(std::string(what) + " " + one.name + ": " + change_text(one.change) +
                            keys_text(one.keys));
}

}  // namespace

bool Difference::routes_changed() const {
    return routes_reordered || !all_unchanged(routes) || !all_unchanged(ldap_routes);
}
bool Difference::empty() const {
    return process.empty() && all_unchanged(listeners) && all_unchanged(pools) && !routes_changed() &&
           fleet.change == Change::unchanged;
}

Difference difference(const Services& before, const Services& after) {
    Difference found;
    found.process = compare_process(before, after);
    found.listeners = compare_all(before.listeners, after.listeners);
    found.pools = compare_all(before.pools, after.pools);
    found.routes = compare_all(before.routes, after.routes);
    found.ldap_routes = compare_all(before.ldap_routes, after.ldap_routes);
    found.fleet = compare_fleet(before.fleet, after.fleet);
    found.routes_reordered = common(before.routes, after.routes) != common(after.routes, before.routes);
    return found;
}

std::vector<std::string> describe(const Difference& d) {
    std::vector<std::string> lines;
    if (!d.process.empty()) lines.push_back("process: changed in place" + keys_text(d.process));
    describe_all("listener", d.listeners, lines);
    describe_all("pool", d.pools, lines);
    describe_all("route", d.routes, lines);
    describe_all("ldap_route", d.ldap_routes, lines);
    describe_all("fleet", {d.fleet}, lines);
    if (d.routes_reordered) lines.push_back("routes: in another order");
    return lines;
}

}  // namespace whinledge::config
