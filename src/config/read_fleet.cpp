// The fleet's part of a services file.
#include <algorithm>
#include <map>
#include <set>

#include "config/draft.hpp"
#include "fleet/types.hpp"

namespace whinledge::config {

namespace {

constexpr std::size_t kMostMembers = 5000, kMostLimits = 64, kMostClasses = 16;
constexpr double kMostRate = 1e9;
constexpr std::int64_t kMostOpen = 1'000'000'000;
constexpr Millis kLeastPeriod = 100, kMinute = 60000;
constexpr std::size_t kLongestSocket = 107;  // unix(7): 108 with the byte that ends it

const Form kSocket{[](std::string_view text) {
                       return text.size() > 1 && text.size() <= kLongestSocket && text.front() == '/' &&
                              is_printable(text);
                   },
                   "an absolute path, at most 107 printable ASCII characters"};

// Who is there up to now: no name, key or address twice.
struct Taken {
    std::set<std::string> names, addresses;
    std::map<fleet::Key, std::string> keys;
};

void read_name(Table& table, Fleet::Member& member, Taken& taken) {
    if (!table.need("name", "give the member's name, which lasts over its restarts")) return;
    if (!table.read("name", member.name, kName)) return;
    const auto [other, fresh] = taken.keys.emplace(fleet::key_of(member.name), member.name);
    if (!taken.names.insert(member.name).second)
        table.fault("name", "there is " + quote(member.name) + " already");
    else if (!fresh)
        table.fault("name", quote(member.name) + " and " + quote(other->second) +
                                " have one key between members; give one of them another name");
    else
        table.rename("fleet.member." + member.name);
}

void read_address(Table& table, Fleet::Member& member, Taken& taken) {
    if (!table.need("address", std::string("give ") + kAddress.what)) return;
    if (!table.read("address", member.address, kAddress)) return;
    const Address address = *parse_address(member.address);
    member.address = address.text();
    if (address.any || address.multicast)
        table.fault("address", quote(member.address) + " is not the address of one machine");
    else if (!taken.addresses.insert(member.address).second)
        table.fault("address", quote(member.address) + " is a member already");
}

// Whether each has a name that can be read.
bool read_members(Table& table, Fleet& fleet) {
    table.need("member", "give [[fleet.member]] with name and address for each, this one too");
    const std::size_t before = table.faults().size();
    Taken taken;
    for (Table& one : table.tables("member", kMostMembers)) {
        Fleet::Member member;
        read_name(one, member, taken);
        read_address(one, member, taken);
        one.done();
        fleet.members.push_back(std::move(member));
    }
    return table.faults().size() == before && table.has("member");
}

// ---- Limits -----------------------------------------------------------------------------------------------

// A fault that has to do with another part of the file is not told where that part can't be read.
void read_pool_and_classes(Draft& draft, Table& table, Fleet::Limit& limit) {
    if (!table.need("pool", "give the pool whose requests are limited") ||
        !table.read("pool", limit.pool, kName))
        return;
    const auto pool = draft.pools.find(limit.pool);
    if (pool == draft.pools.end()) {
        if (draft.all_pools) table.fault("pool", "there is no pool " + quote(limit.pool));
        table.items("classes", kMostClasses);
        return;
    }
    const auto values = table.items("classes", kMostClasses);
    for (std::size_t i = 0; i < values.size(); ++i) {
        std::string name;
        if (!table.text(values[i], table.item_path("classes", i), name, kName)) continue;
        if (pool->second && std::ranges::count(*pool->second, name) == 0)
            table.faults().add(values[i].at, table.item_path("classes", i),
                               "pool " + quote(limit.pool) + " has no class " + quote(name));
        limit.classes.push_back(std::move(name));
    }
}

void read_amount(Table& table, Fleet::Limit& limit) {
    const bool rate = table.number("rate", limit.rate, {1e-3, kMostRate});
    limit.burst = std::max(1.0, limit.rate / 5);
    table.number("burst", limit.burst, {1, kMostRate});
    const bool open = table.count("open", limit.open, {1, kMostOpen});
    table.duration("longest", limit.longest, {1, kMinute * 10});
    if (rate && open) table.fault("open", "beside rate; give one of the two");
    if (!table.has("rate") && !table.has("open"))
        table.absent({"rate", "open"}, "rate", "is missing; give rate (a second) or open (at once)");
    if (table.has("burst") && table.has("open")) table.fault("burst", "of rate alone");
    if (table.has("longest") && table.has("rate")) table.fault("longest", "of open alone");
}

void read_limit(Draft& draft, Table& table, Fleet& fleet) {
    Fleet::Limit limit;
    if (table.need("name", "give the limit's name, the same at each member") &&
        table.read("name", limit.name, kName)) {
        if (std::ranges::count(fleet.limits, limit.name, &Fleet::Limit::name) > 0)
            table.fault("name", "there is " + quote(limit.name) + " already");
        else
            table.rename("fleet.limit." + limit.name);
    }
    read_pool_and_classes(draft, table, limit);
    read_amount(table, limit);
    bool strict = true;
    table.word<bool>("mode", strict, {{"strict", true}});
    table.duration("lease", limit.lease, {kLeastPeriod * 5, kMinute});
    table.done();
    fleet.limits.push_back(std::move(limit));
}

}  // namespace

void read_fleet(Draft& draft, Table& root) {
    Table table = root.table("fleet");
    if (!table) return;
    Fleet fleet;
    fleet.line = table.at().line;
    table.need("name", "give the fleet's name; datagrams of others are dropped");
    table.read("name", fleet.name, kName);
    table.need("self", "give the name of the member that this process is");
    const bool self = table.read("self", fleet.self, kName);
    table.read("control", fleet.control, kSocket);
    table.duration("probe_period", fleet.probe_period, {kLeastPeriod, kMinute});
    const bool members = read_members(table, fleet);
    for (Table& one : table.tables("limit", kMostLimits)) read_limit(draft, one, fleet);
    if (self && members && std::ranges::count(fleet.members, fleet.self, &Fleet::Member::name) == 0)
        table.fault("self", quote(fleet.self) + " is none of the members");
    table.done();
    draft.services.fleet = std::move(fleet);
}

}  // namespace whinledge::config
