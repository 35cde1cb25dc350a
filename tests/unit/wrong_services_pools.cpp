// Wrong services files: pools, their members and classes.
#include "unit/wrong_services.hpp"

namespace whinledge::config::test {

const std::vector<Wrong>& wrong_pools() {
    static const std::vector<Wrong> files{
        {"pool without members",
         kListener + R"([pool.a]
)" + kRoute,
         {R"(4: pool.a.members: is missing; give [pool.a.members] with a source)"}},
        {"pool with a member of no source",
         kListener + R"([pool.a]
members = { list = [] }
)" + kRoute,
         {R"(5: pool.a.members.source: is missing; one of: list, file, platform, dns)"}},
        {"empty list",
         kListener + R"([pool.a]
members = { source = "list", list = [] }
)" + kRoute,
         {R"(5: pool.a.members.list: a pool needs at least one member)"}},
        {"no list",
         kListener + R"([pool.a]
members = { source = "list" }
)" + kRoute,
         {R"(5: pool.a.members.list: is missing; give the members' addresses, as ["127.0.0.1:8080"])"}},
        {"members",
         kListener + R"([pool.a.members]
source = "list"
list = [
    "127.0.0.1:1",
    { address = "127.0.0.1:1", id = "x" },
    { address = "127.0.0.1:2", id = "y" },
    { address = "127.0.0.1:3", id = "y" },
    { id = "z" },
    { adress = "127.0.0.1:4" },
    7,
    "0.0.0.0:5",
    { address = "224.0.0.1:5" },
    { address = "h:5" },
    { address = "127.0.0.1:6", cell = -1, zone = "", kind = 5, id = "a b" },
]
)" + kRoute,
         {R"(8: pool.a.members.list[1]: "127.0.0.1:1" is a member already)",
          R"(10: pool.a.members.list[3]: there is a member with the id "y" already)",
          R"(11: pool.a.members.list[4].address: is missing; give a numeric IP:PORT such as "127.0.0.1:8080" or "[::1]:8080")",
          R"(12: pool.a.members.list[5].adress: unknown key; did you mean "address"?)",
          R"(13: pool.a.members.list[6]: a whole number, but it has to be an address or a table with one)",
          R"(14: pool.a.members.list[7]: "0.0.0.0:5" is not the address of one machine)",
          R"(15: pool.a.members.list[8].address: "224.0.0.1:5" is not the address of one machine)",
          R"(16: pool.a.members.list[9].address: "h:5" is not a numeric IP:PORT such as "127.0.0.1:8080" or "[::1]:8080")",
          R"(17: pool.a.members.list[10].cell: -1 is out of range, 0 to 4294967295)",
          R"(17: pool.a.members.list[10].zone: "" is not 1 to 64 letters, digits, "_", "-" or ".", the first a letter or a digit)",
          R"(17: pool.a.members.list[10].kind: a whole number, but it has to be a text)",
          R"(17: pool.a.members.list[10].id: "a b" is not 1 to 64 letters, digits, "_", "-" or ".", the first a letter or a digit)"}},
        {"sources",
         kListener + R"([pool.a.members]
source = "lst"
[pool.b.members]
source = "file"
list = ["127.0.0.1:1"]
[pool.c.members]
source = "platform"
adress = "127.0.0.1:1"
[pool.d.members]
source = "platform"
address = "x"
[pool.e.members]
source = "list"
list = ["127.0.0.1:1"]
min_ttl = "1s"
)" + kRoute,
         {R"(5: pool.a.members.source: "lst" is none of: list, file, platform, dns)",
          R"(6: pool.b.members.path: is missing; give the file with the members)",
          R"(8: pool.b.members.list: a key of source = "list", not of "file")",
          R"(11: pool.c.members.adress: unknown key; did you mean "address"?)",
          R"(14: pool.d.members.address: "x" is not a numeric IP:PORT such as "127.0.0.1:8080" or "[::1]:8080")",
          R"(18: pool.e.members.min_ttl: a key of source = "dns", not of "list")"}},
        {"dns",
         kListener + R"([pool.a.members]
source = "dns"
[pool.b.members]
source = "dns"
host = "a_b"
[pool.c.members]
source = "dns"
host = "a.example.org"
service = "_http._tcp.example.org"
[pool.d.members]
source = "dns"
service = "_http._tcp.example.org"
port = 80
[pool.e.members]
source = "dns"
host = "a.example.org"
port = 65536
resolver = "dns:53"
min_ttl = "10m"
max_ttl = "5m"
timeout = "9ms"
)" + kRoute,
         {R"(4: pool.a.members.host: is missing; give host (A and AAAA) or service (SRV))",
          R"(6: pool.b.members.port: is missing; give that of all members, 1 to 65535)",
          R"(8: pool.b.members.host: "a_b" is not a DNS name such as "search.example.org", without a port)",
          R"(12: pool.c.members.service: beside host; give one of the two)",
          R"(16: pool.d.members.port: not with service, whose SRV records tell the ports)",
          R"(20: pool.e.members.port: 65536 is out of range, 1 to 65535)",
          R"(21: pool.e.members.resolver: "dns:53" is not a numeric IP:PORT such as "127.0.0.1:8080" or "[::1]:8080")",
          R"(22: pool.e.members.min_ttl: min_ttl (10m) is longer than max_ttl (5m))",
          R"(24: pool.e.members.timeout: 9ms is out of range, 10ms to 1m)"}},
        {"pool keys",
         kListener + kPool + R"(max_attempts = 5
cold_from = 1.5
warm_within = "2m5s"
fall_multiple = 0.5
siblings = 0
may_cancel = "yes"
connect_timeout = "0ms"
idle_close = 14
max_atempts = 3
)" + kRoute,
         {R"(6: pool.a.max_attempts: 5 is out of range, 1 to 4)",
          R"(7: pool.a.cold_from: 1.5 is out of range, 0 to 1)",
          R"(8: pool.a.warm_within: "2m5s" is not a duration such as "250ms", "15s" or "2m")",
          R"(9: pool.a.fall_multiple: 0.5 is out of range, 1 to 100)",
          R"(10: pool.a.siblings: 0 is out of range, 1 to 100000)",
          R"(11: pool.a.may_cancel: a text, but it has to be true or false)",
          R"(12: pool.a.connect_timeout: 0ms is out of range, 1ms to 1m)",
          R"(13: pool.a.idle_close: a whole number, but it has to be a duration in quotes such as "250ms", "15s" or "2m")",
          R"(14: pool.a.max_atempts: unknown key; known here: members, class, max_attempts, cold_from, warm_within, fall_multiple, siblings, may_cancel, connect_timeout, idle_close, protocol, ldap, limits)"}},
        {"nan",
         kListener + kPool + R"(cold_from = nan
fall_multiple = inf
)" + kRoute,
         {R"(6: pool.a.cold_from: nan is out of range, 0 to 1)",
          R"(7: pool.a.fall_multiple: inf is out of range, 1 to 100)"}},
        {"pool names",
         kListener + R"([pool."a b"]
members = { source = "list", list = ["127.0.0.1:1"] }
[[route]]
name = "r"
pool = "a b"
)",
         {R"(4: pool."a b": its name is not 1 to 64 letters, digits, "_", "-" or ".", the first a letter or a digit)"}},
        {"classes",
         kListener + kPool + R"([[pool.a.class]]
[[pool.a.class]]
name = "x"
effect = "idempotent"
[[pool.a.class]]
name = "x"
effect = "safe"
dedup_window = "1s"
[[pool.a.class]]
name = "k"
effect = "keyed"
[[pool.a.class]]
name = "m"
effect = "keyed"
dedup_scope = "rack"
dedup_windw = "1s"
aim = "0ms"
worth = -1
)" + kRoute,
         {R"(6: pool.a.class[0].name: is missing; give 1 to 64 letters, digits, "_", "-" or ".")",
          R"(6: pool.a.class[0].effect: is missing; one of: safe, keyed, unsafe)",
          R"(9: pool.a.class.x.effect: "idempotent" is none of: safe, keyed, unsafe)",
          R"(11: pool.a.class[2].name: there is "x" already)",
          R"(13: pool.a.class[2].dedup_window: means something with effect = "keyed" alone)",
          R"(14: pool.a.class.k.dedup_scope: is missing; say which members share the memory of keys: all, zone or cell)",
          R"(14: pool.a.class.k.dedup_window: is missing; say how long a repeat is dropped, such as "30s")",
          R"(20: pool.a.class.m.dedup_scope: "rack" is none of: all, zone, cell)",
          R"(21: pool.a.class.m.dedup_windw: unknown key; did you mean "dedup_window"?)",
          R"(22: pool.a.class.m.aim: 0ms is out of range, 1ms to 10m)",
          R"(23: pool.a.class.m.worth: -1 is out of range, 0 to 1000)"}},
        {"no class",
         kListener + kPool + R"(class = []
)" + kRoute,
         {R"(6: pool.a.class: no class; leave the key out to have safe, unsafe and keyed)"}},
    };
    return files;
}

}  // namespace whinledge::config::test
