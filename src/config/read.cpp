#include "config/read.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>

#include "config/draft.hpp"

namespace whinledge::config {

namespace {

constexpr std::size_t kMostListeners = 64, kMostPools = 1024, kMostMembers = 4096, kMostClasses = 16;
constexpr std::size_t kMostBytes = 1ULL << 40;
constexpr std::int64_t kMostRequests = 1'000'000, kMostDescriptors = 1 << 20;
constexpr Millis kSecond = 1000, kMinute = 60000, kHour = 3600000;

const Form kFile{
    [](std::string_view text) { return !text.empty() && text.size() <= 4096 && is_printable(text); },
    "a path, 1 to 4096 printable ASCII characters"};
const Form kService{[](std::string_view text) { return is_host(text, true); },
                    "a service such as \"_http._tcp.search.example.org\""};

// What is guaranteed to somebody, of a total of the process.
struct Guarantee {
    enum class Of { requests, bytes, descriptors } of;
    bool listeners;  // of a listener, else of a pool
    std::size_t amount;
    Place at;
    std::string path;
};
struct Totals {
    bool requests = true, bytes = true, descriptors = true;  // could be read
    std::vector<Guarantee> guarantees;
};

// ---- Process and limits
// -------------------------------------------------------------------------------------

void read_process(Draft& draft, Table& root, Totals& totals) {
    Table process = root.table("process");
    Services& s = draft.services;
    const bool descriptors = process.count("descriptors", s.descriptors, {64, kMostDescriptors});
    const bool bytes = process.size("bytes", s.bytes, {1 << 20, kMostBytes});
    const bool requests = process.count("requests", s.requests, {1, kMostRequests});
    process.duration("drain", s.drain, {0, kHour});
    std::int64_t seed = 0;
    if (process.count("seed", seed, {0, INT64_MAX})) s.seed = static_cast<std::uint64_t>(seed);
    const bool there = !root.misspelt("process") && (process || !root.has("process"));
    const auto known = [&](const char* key, bool read) {
        return there && (read || !(process.has(key) || process.misspelt(key)));
    };
    totals = {known("requests", requests), known("bytes", bytes), known("descriptors", descriptors), {}};
    process.done();
}

// Returns whether there is a guarantee that can be read.
bool read_share(Table& limits, std::string_view key, Share& share, bool bytes, std::int64_t most) {
    Table table = limits.table(key);
    if (!table) return false;
    Share read;
    const auto one = [&](std::string_view name, std::size_t& out, std::size_t least) {
        return bytes ? table.size(name, out, {least, kMostBytes})
                     : table.count(name, out, {static_cast<std::int64_t>(least), most});
    };
    const bool guaranteed = one("guaranteed", read.guaranteed, 0);
    const bool bounded = one("most", read.most, 1);
    if (guaranteed && bounded && read.guaranteed > read.most)
        table.fault("guaranteed", "more than most, so it can't be had");
    if (!table.has("guaranteed") && !table.has("most"))
        table.absent({"guaranteed", "most"}, "", "says nothing; give guaranteed, most or both");
    table.done();
    share = read;
    return guaranteed;
}

void read_limits(Table& owner, Limits& limits, bool of_listener, Totals& totals) {
    Table table = owner.table("limits");
    const auto share = [&](std::string_view key, Share& out, Guarantee::Of of, std::int64_t most) {
        if (read_share(table, key, out, of == Guarantee::Of::bytes, most) && out.guaranteed > 0)
            totals.guarantees.push_back(
                {of, of_listener, out.guaranteed, table.at(key), table.path(key) + ".guaranteed"});
    };
    share("requests", limits.requests, Guarantee::Of::requests, kMostRequests);
    share("bytes", limits.bytes, Guarantee::Of::bytes, 0);
    share("descriptors", limits.descriptors, Guarantee::Of::descriptors, kMostDescriptors);
    if (!of_listener) {
        read_share(table, "connects", limits.connects, false, kMostDescriptors);
    } else if (table.find("connects")) {
        table.fault("connects", "a limit of pools; listeners make no connections");
    }
    table.done();
}

// Requests and bytes are held at a listener and at a pool at once, so each side has the whole total to give
// away; a descriptor belongs to one of them.
void check_sum(Draft& draft, const Totals& totals, Guarantee::Of of, std::optional<bool> listeners,
               std::size_t total, const std::string& name) {
    std::vector<const Guarantee*> ours;
    for (const Guarantee& g : totals.guarantees)
        if (g.of == of && (!listeners || g.listeners == *listeners)) ours.push_back(&g);
    std::ranges::stable_sort(ours, {}, [](const Guarantee* g) { return g->at; });
    const bool size = of == Guarantee::Of::bytes;
    const auto words = [&](std::size_t n) { return size ? format_size(n) : std::to_string(n); };
    std::size_t sum = 0;
    for (const Guarantee* g : ours) {
        sum += g->amount;
        if (sum <= total) continue;
        draft.faults.add(g->at, g->path,
                         "with those before it, " + words(sum) + " are guaranteed, more than process." +
                             name + " (" + words(total) + ")");
        return;
    }
}

void check_sums(Draft& draft, const Totals& totals) {
    const Services& s = draft.services;
    for (const bool listeners : {true, false}) {
        if (totals.requests)
            check_sum(draft, totals, Guarantee::Of::requests, listeners, s.requests, "requests");
        if (totals.bytes) check_sum(draft, totals, Guarantee::Of::bytes, listeners, s.bytes, "bytes");
    }
    if (totals.descriptors)
        check_sum(draft, totals, Guarantee::Of::descriptors, std::nullopt, s.descriptors, "descriptors");
}

// ---- Listeners
// ----------------------------------------------------------------------------------------------

// A listener of every interface takes the port of all of them; one of [::] takes that of IPv4 as well.
bool overlap(const Address& a, const Address& b) {
    if (a.port != b.port) return false;
    if ((a.any && a.v6) || (b.any && b.v6)) return true;
    return a.v6 == b.v6 && (a.any || b.any || a.ip == b.ip);
}

struct Bound {
    Address address;
    std::string path;
    Place at;
};

void read_listener_address(Table& table, Listener& listener, std::vector<Bound>& bound) {
    table.need("address", std::string("give ") + kAddress.what);
    if (!table.read("address", listener.address, kAddress)) return;
    const Address address = *parse_address(listener.address);
    listener.address = address.text();
    const auto other =
        std::ranges::find_if(bound, [&](const Bound& one) { return overlap(one.address, address); });
    if (other != bound.end())
        table.fault("address", quote(listener.address) + " overlaps with " + quote(other->address.text()) +
                                   " of " + other->path + ", line " + std::to_string(other->at.line));
    else
        bound.push_back({address, table.path(), table.at("address")});
}

// Reads the name of a listener, a route or a class and takes it up among `names`; false where there is none.
template <class Names>
bool read_name(Table& table, const std::string& family, std::string& name, const Names& taken) {
    if (!table.need("name", "give 1 to 64 letters, digits, \"_\", \"-\" or \".\"")) return false;
    if (!table.read("name", name, kName)) return false;
    if (taken(name))
        table.fault("name", "there is " + quote(name) + " already");
    else
        table.rename(family + "." + name);
    return true;
}

void read_listener(Draft& draft, Table& table, std::vector<Bound>& bound, Totals& totals) {
    Listener listener;
    listener.line = table.at().line;
    const auto taken = [&](const std::string& name) { return draft.listeners.contains(name); };
    draft.all_listeners &= read_name(table, "listener", listener.name, taken);
    read_listener_address(table, listener, bound);
    const bool readable = table.word<Listener::Profile>("profile", listener.profile,
                                                        {{"http", Listener::Profile::http},
                                                         {"platform", Listener::Profile::platform},
                                                         {"ldap", Listener::Profile::ldap}});
    table.duration("head_timeout", listener.head_timeout, {100, kMinute});
    table.duration("idle_timeout", listener.idle_timeout, {100, kHour});
    table.read("via", listener.via, kToken);
    read_ldap_listener(table, listener);
    read_limits(table, listener.limits, true, totals);
    std::optional<Listener::Profile> profile;
    if (readable || !(table.has("profile") || table.misspelt("profile"))) profile = listener.profile;
    table.done();
    if (!listener.name.empty()) draft.listeners.emplace(listener.name, profile);
    draft.services.listeners.push_back(std::move(listener));
}

void read_listeners(Draft& draft, Table& root, Totals& totals) {
    const std::size_t before = draft.faults.size();
    std::vector<Bound> bound;
    auto tables = root.tables("listener", kMostListeners);
    if (draft.faults.size() != before || root.misspelt("listener")) draft.all_listeners = false;
    for (Table& table : tables) read_listener(draft, table, bound, totals);
    if (tables.empty() && draft.all_listeners)
        root.fault("listener", "is missing; give at least one [[listener]]");
}

// ---- Pools: members
// -----------------------------------------------------------------------------------------

using Source = Pool::Source;

bool read_member_address(Table& list, const Value& value, const std::string& path, Member& member) {
    if (!list.text(value, path, member.address, kAddress)) return false;
    const Address address = *parse_address(member.address);
    member.address = address.text();
    if (!address.any && !address.multicast) return true;
    list.faults().add(value.at, path, quote(member.address) + " is not the address of one machine");
    return false;
}

bool read_member(Table& members, const Value& value, const std::string& path, Member& member) {
    if (value.type == Value::Type::text) return read_member_address(members, value, path, member);
    if (value.type != Value::Type::table) {
        members.faults().add(value.at, path,
                             describe(value.type) + ", but it has to be an address or a table with one");
        return false;
    }
    Table table(members.faults(), &value, path);
    const Value* address = table.need("address", std::string("give ") + kAddress.what);
    const bool sound = address && read_member_address(table, *address, table.path("address"), member);
    table.read("id", member.id, kName);
    table.read("zone", member.zone, kName);
    table.read("kind", member.kind, kName);
    table.count("cell", member.cell, {0, UINT32_MAX});
    table.done();
    return sound;
}

void read_list(Table& members, Source& source) {
    if (!members.need("list", "give the members' addresses, as [\"127.0.0.1:8080\"]")) return;
    const std::size_t before = members.faults().size();
    const auto values = members.items("list", kMostMembers);
    if (values.empty() && members.faults().size() == before)
        members.fault("list", "a pool needs at least one member");
    std::set<std::string> addresses, ids;
    for (std::size_t i = 0; i < values.size(); ++i) {
        Member member;
        const std::string path = members.item_path("list", i);
        if (!read_member(members, values[i], path, member)) continue;
        if (member.id.empty()) member.id = member.address;
        if (!addresses.insert(member.address).second)
            members.faults().add(values[i].at, path, quote(member.address) + " is a member already");
        else if (!ids.insert(member.id).second)
            members.faults().add(values[i].at, path,
                                 "there is a member with the id " + quote(member.id) + " already");
        source.members.push_back(std::move(member));
    }
}

void read_dns(Table& members, Source& source) {
    const bool host = members.has("host"), service = members.has("service");
    std::int64_t port = 0;
    members.read("host", source.host, kHost);
    members.read("service", source.service, kService);
    if (members.count("port", port, {1, 65535})) source.port = static_cast<std::uint16_t>(port);
    if (host && service)
        members.fault("service", "beside host; give one of the two");
    else if (!host && !service)
        members.absent({"host", "service"}, "host", "is missing; give host (A and AAAA) or service (SRV)");
    else if (host)
        members.need("port", "give that of all members, 1 to 65535");
    else if (members.has("port"))
        members.fault("port", "not with service, whose SRV records tell the ports");
    if (members.read("resolver", source.resolver, kAddress))
        source.resolver = parse_address(source.resolver)->text();
    const bool least = members.duration("min_ttl", source.min_ttl, {100, kHour});
    const bool most = members.duration("max_ttl", source.max_ttl, {100, 24 * kHour});
    members.duration("timeout", source.timeout, {10, kMinute});
    const auto known = [&](const char* key, bool read) {
        return read || !(members.has(key) || members.misspelt(key));
    };
    if (known("min_ttl", least) && known("max_ttl", most) && source.min_ttl > source.max_ttl)
        members.fault(least ? "min_ttl" : "max_ttl", "min_ttl (" + format_duration(source.min_ttl) +
                                                         ") is longer than max_ttl (" +
                                                         format_duration(source.max_ttl) + ")");
}

const std::vector<std::pair<std::string, Words>>& source_keys() {
    static const std::vector<std::pair<std::string, Words>> keys{
        {"list", {"list"}},
        {"file", {"path"}},
        {"platform", {"address"}},
        {"dns", {"host", "service", "port", "resolver", "min_ttl", "max_ttl", "timeout"}}};
    return keys;
}

// Keys of other sources; all of them are let be where the source itself is not known.
void check_foreign_keys(Table& members, const std::string& source) {
    for (const auto& [name, keys] : source_keys())
        for (const std::string& key : keys)
            if (name != source && members.find(key) && !source.empty())
                members.fault(key, "a key of source = " + quote(name) + ", not of " + quote(source));
}

void read_members(Table& pool, Source& source) {
    if (!pool.need("members", "give [" + pool.path("members") + "] with a source")) return;
    Table members = pool.table("members");
    if (!members) return;
    members.need("source", "one of: list, file, platform, dns");
    const bool known = members.word<Source::Kind>("source", source.kind,
                                                  {{"list", Source::Kind::list},
                                                   {"file", Source::Kind::file},
                                                   {"platform", Source::Kind::platform},
                                                   {"dns", Source::Kind::dns}});
    if (known) {
        switch (source.kind) {
            case Source::Kind::list:
                read_list(members, source);
                break;
            case Source::Kind::file:
                members.need("path", "give the file with the members");
                members.read("path", source.path, kFile);
                break;
            case Source::Kind::platform:
                members.need("address", "give the discovery's IP:PORT");
                if (members.read("address", source.address, kAddress))
                    source.address = parse_address(source.address)->text();
                break;
            case Source::Kind::dns:
                read_dns(members, source);
                break;
        }
    }
    check_foreign_keys(members, known ? source_keys()[static_cast<std::size_t>(source.kind)].first : "");
    members.done();
}

// ---- Pools: classes
// -----------------------------------------------------------------------------------------

void read_keyed(Table& table, RequestClass& one) {
    table.need("dedup_scope", "say which members share the memory of keys: all, zone or cell");
    table.need("dedup_window", "say how long a repeat is dropped, such as \"30s\"");
    table.word<DedupScope>(
        "dedup_scope", one.dedup_scope,
        {{"all", DedupScope::all}, {"zone", DedupScope::zone}, {"cell", DedupScope::cell}});
    table.duration("dedup_window", one.dedup_window, {1, 24 * kHour});
}

void read_class(Table& table, RequestClass& one) {
    table.need("effect", "one of: safe, keyed, unsafe");
    const bool known = table.word<Effect>(
        "effect", one.effect,
        {{"safe", Effect::repeatable}, {"keyed", Effect::by_key}, {"unsafe", Effect::once}});
    if (known && one.effect == Effect::by_key) read_keyed(table, one);
    for (const char* key : {"dedup_scope", "dedup_window"})
        if (table.find(key) && known && one.effect != Effect::by_key)
            table.fault(key, "means something with effect = \"keyed\" alone");
    table.duration("aim", one.aim, {1, 10 * kMinute});
    table.number("worth", one.worth, {0, 1000});
    table.done();
}

// Those of HTTP's own terms. Nothing is known of what the members do with keys, so a keyed request is
// repeated no more freely than an unsafe one: its window is 0.
void default_classes(Pool& pool) {
    pool.class_names = {"safe", "unsafe", "keyed"};
    pool.decisions.classes.resize(3);
    pool.decisions.classes[0].effect = Effect::repeatable;
    pool.decisions.classes[1].effect = Effect::once;
    pool.decisions.classes[2].effect = Effect::by_key;
}

// Returns whether all names could be read.
bool read_classes(Table& table, Pool& pool) {
    const std::size_t before = table.faults().size();
    const bool given = table.has("class");
    auto tables = table.tables("class", kMostClasses);
    if (!given) default_classes(pool);
    if (given && tables.empty() && table.faults().size() == before)
        table.fault("class", "no class; leave the key out to have safe, unsafe and keyed");
    bool named = given ? table.faults().size() == before : true;
    for (Table& each : tables) {
        std::string name;
        RequestClass one;
        const auto taken = [&](const std::string& n) { return std::ranges::count(pool.class_names, n) > 0; };
        named &= read_name(each, table.path("class"), name, taken);
        read_class(each, one);
        pool.class_names.push_back(name);
        pool.decisions.classes.push_back(std::move(one));
    }
    return named;
}

// ---- Pools
// --------------------------------------------------------------------------------------------------

void read_decisions(Table& table, Settings& decisions) {
    table.count("max_attempts", decisions.max_attempts, {1, 4});
    table.number("cold_from", decisions.cold_from, {0, 1});
    table.duration("warm_within", decisions.warm_within, {0, kHour});
    table.number("fall_multiple", decisions.fall_multiple, {1, 100});
    table.count("siblings", decisions.siblings, {1, 100000});
    table.read("may_cancel", decisions.may_cancel);
}

void read_pool(Draft& draft, const Entry& entry, Totals& totals) {
    Pool pool;
    pool.name = entry.key;
    // A table that only its parts' headers make has the place of its first key.
    pool.line = std::min(entry.at, entry.value.at).line;
    Table table(draft.faults, &entry.value, "pool." + (is_name(entry.key) ? entry.key : quote(entry.key)));
    if (!is_name(entry.key))
        draft.faults.add(entry.at, table.path(), std::string("its name is not ") + kName.what);
    read_members(table, pool.source);
    const bool named = read_classes(table, pool);
    read_decisions(table, pool.decisions);
    table.duration("connect_timeout", pool.connect_timeout, {1, kMinute});
    table.duration("idle_close", pool.idle_close, {100, kHour});
    table.word<bool>("protocol", pool.is_ldap, {{"http", false}, {"ldap", true}});
    read_ldap_pool(table, pool);
    if (pool.is_ldap) draft.ldap_pools.insert(pool.name);
    read_limits(table, pool.limits, false, totals);
    const bool classes_known = named && !table.misspelt("class");
    table.done();
    draft.pools[pool.name] = classes_known ? std::optional(pool.class_names) : std::nullopt;
    draft.services.pools.push_back(std::move(pool));
}

void read_pools(Draft& draft, Table& root, Totals& totals) {
    const bool given = root.has("pool");
    const Table pools = root.table("pool");
    draft.all_pools = given ? static_cast<bool>(pools) : !root.misspelt("pool");
    if (pools.entries().size() > kMostPools) {
        draft.faults.add(
            pools.at(), "pool",
            std::to_string(pools.entries().size()) + " pools, " + std::to_string(kMostPools) + " at most");
        draft.all_pools = false;
        return;
    }
    for (const Entry& entry : pools.entries()) {
        if (entry.value.type == Value::Type::table) {
            read_pool(draft, entry, totals);
        } else {
            draft.faults.add(entry.value.at, "pool." + (is_name(entry.key) ? entry.key : quote(entry.key)),
                             describe(entry.value.type) + ", but it has to be a table");
            draft.pools[entry.key] = std::nullopt;
        }
    }
}

// ---- Warnings
// -----------------------------------------------------------------------------------------------

std::vector<Fault> warnings(const Draft& draft) {
    const Services& s = draft.services;
    std::vector<Fault> found;
    for (const Listener& listener : s.listeners) {
        const auto takes = [&](const auto& route) {
            return route.listeners.empty() || std::ranges::count(route.listeners, listener.name) > 0;
        };
        const bool ldap = listener.profile == Listener::Profile::ldap;
        if (ldap ? !std::ranges::any_of(s.ldap_routes, takes) : !std::ranges::any_of(s.routes, takes))
            found.push_back({s.origin, listener.line, 0, "listener." + listener.name,
                             ldap ? "no ldap_route takes its operations"
                                  : "no route takes its requests: all of them are answered 404"});
    }
    for (const Pool& pool : s.pools)
        if (!draft.used_pools.contains(pool.name))
            found.push_back({s.origin, pool.line, 0, "pool." + pool.name, "no route uses it"});
    std::ranges::stable_sort(found, {}, &Fault::line);
    return found;
}

Result failed(Fault fault) {
    Result result;
    result.faults.push_back(std::move(fault));
    return result;
}

}  // namespace

Result read_services(std::string_view text, const std::string& origin) {
    const Document document = read_document(text);
    if (document.error)
        return failed({origin, document.error->at.line, document.error->at.column, "", document.error->what});
    Draft draft(origin);
    Totals totals;
    Table root(draft.faults, &document.root, "");
    for (const char* key : {"process", "listener", "pool", "route", "ldap_route", "fleet"}) root.find(key);
    read_process(draft, root, totals);
    read_listeners(draft, root, totals);
    read_pools(draft, root, totals);
    read_routes(draft, root);
    read_ldap_routes(draft, root);
    read_fleet(draft, root);
    root.done();
    check_sums(draft, totals);
    Result result;
    result.faults = draft.faults.in_order();
    if (!result.faults.empty()) return result;
    result.warnings = warnings(draft);
    result.services = std::move(draft.services);
    return result;
}

std::optional<std::string> read_file(const std::string& path, std::string& why) {
    std::ifstream file(path, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    if (file.is_open() && !file.bad()) return text;
    why = path + ": can't be read";
    return std::nullopt;
}

}  // namespace whinledge::config
