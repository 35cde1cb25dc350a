// Wrong services files: the file as a whole, `process` and listeners with their limits.
#include "unit/wrong_services.hpp"

namespace whinledge::config::test {

const std::vector<Wrong>& wrong_process_and_listeners() {
    static const std::vector<Wrong> files{
        {"empty", "", {R"(1: listener: is missing; give at least one [[listener]])"}},
        {"syntax, with its column",
         R"(a = 1
b = = 2
)",
         {R"(2:5: Error while parsing value: could not determine value type)"}},
        {"not closed",
         R"([process]
drain = "30s
)",
         {R"(2:13: Error while parsing string: unescaped control characters other than TAB (U+0009) are explicitly prohibited)"}},
        {"a key twice",
         R"([process]
drain = "1s"
drain = "2s"
)",
         {R"(3:9: Error while parsing key-value pair: cannot redefine existing string 'drain')"}},
        {"a pool twice",
         kPool + R"([pool.a]
)",
         {R"(3:1: Error while parsing table header: cannot redefine existing table 'pool.a')"}},
        {"brackets",
         R"([[[
)",
         {R"(1:3: Error while parsing key: expected bare key starting character or string delimiter, saw '[')"}},
        {"dots",
         R"(a.b.c.d.e.f.g.h.i.j.k.l.m.n.o.p.q.r = 1
)",
         {R"(1:34: more than 16 dots in one key)"}},
        {"unknown tables",
         R"([[listner]]
[foo]
)" + kBase,
         {R"(1: listner: unknown key; known here: process, listener, pool, route, ldap_route, fleet)",
          R"(2: foo: unknown key; known here: process, listener, pool, route, ldap_route, fleet)"}},
        {"misspelt listeners are not missing as well",
         R"([[listner]]
name = "l"
address = "127.0.0.1:80"
)" + kPool + kRoute +
             R"(listeners = ["l"]
)",
         {R"(1: listner: unknown key; did you mean "listener"?)"}},
        {"wrong kinds of tables",
         R"(process = 1
listener = 2
pool = 3
route = 4
)",
         {R"(1: process: a whole number, but it has to be a table)",
          R"(2: listener: a whole number, but it has to be an array)",
          R"(3: pool: a whole number, but it has to be a table)",
          R"(4: route: a whole number, but it has to be an array)"}},
        {"items that are no tables",
         R"(listener = [1]
route = ["x"]
[pool]
a = 1
)",
         {R"(1: listener[0]: a whole number, but it has to be a table)",
          R"(2: route[0]: a text, but it has to be a table)",
          R"(4: pool.a: a whole number, but it has to be a table)"}},
        {"process types",
         kBase + R"([process]
descriptors = "x"
bytes = true
requests = 1.5
drain = 5
seed = "a"
)",
         {R"(10: process.descriptors: a text, but it has to be a whole number)",
          R"(11: process.bytes: true or false, but it has to be a size such as "64KiB", "1MiB" or 4096 (bytes))",
          R"(12: process.requests: a number with a fraction, but it has to be a whole number)",
          R"(13: process.drain: a whole number, but it has to be a duration in quotes such as "250ms", "15s" or "2m")",
          R"(14: process.seed: a text, but it has to be a whole number)"}},
        {"process bounds",
         kBase + R"([process]
descriptors = 63
bytes = "512KiB"
requests = 1000001
drain = "61m"
seed = -1
)",
         {R"(10: process.descriptors: 63 is out of range, 64 to 1048576)",
          R"(11: process.bytes: 512KiB is out of range, 1MiB to 1024GiB)",
          R"(12: process.requests: 1000001 is out of range, 1 to 1000000)",
          R"(13: process.drain: 61m is out of range, 0ms to 60m)",
          R"(14: process.seed: -1 is out of range, 0 to 9223372036854775807)"}},
        {"process forms",
         kBase + R"([process]
bytes = "1 MiB"
drain = "1.5s"
seed = 2020-01-01
)",
         {R"(10: process.bytes: "1 MiB" is not a size such as "64KiB", "1MiB" or 4096 (bytes))",
          R"(11: process.drain: "1.5s" is not a duration such as "250ms", "15s" or "2m")",
          R"(12: process.seed: a date or time, but it has to be a whole number)"}},
        {"process sizes",
         kBase + R"([process]
bytes = -5
drain = "010ms"
request = 5
)",
         {R"(10: process.bytes: -5 is out of range, 1MiB to 1024GiB)",
          R"(11: process.drain: "010ms" is not a duration such as "250ms", "15s" or "2m")",
          R"(12: process.request: unknown key; did you mean "requests"?)"}},
        {"listener without anything",
         R"([[listener]]
)" + kPool + kRoute,
         {R"(1: listener[0].name: is missing; give 1 to 64 letters, digits, "_", "-" or ".")",
          R"(1: listener[0].address: is missing; give a numeric IP:PORT such as "127.0.0.1:8080" or "[::1]:8080")"}},
        {"listener wrong",
         R"([[listener]]
name = "a b"
address = "localhost:80"
profile = "tcp"
head_timeout = "99ms"
idle_timeout = "2h"
via = "a b"
colour = 1
)" + kPool + kRoute,
         {R"(2: listener[0].name: "a b" is not 1 to 64 letters, digits, "_", "-" or ".", the first a letter or a digit)",
          R"(3: listener[0].address: "localhost:80" is not a numeric IP:PORT such as "127.0.0.1:8080" or "[::1]:8080")",
          R"(4: listener[0].profile: "tcp" is none of: http, platform, ldap)",
          R"(5: listener[0].head_timeout: 99ms is out of range, 100ms to 1m)",
          R"(6: listener[0].idle_timeout: "2h" is not a duration such as "250ms", "15s" or "2m")",
          R"(7: listener[0].via: "a b" is not 1 to 256 letters, digits or signs of an HTTP token)",
          R"(8: listener[0].colour: unknown key; known here: name, address, profile, head_timeout, idle_timeout, via, ldap, limits)"}},
        {"listener names",
         kListener + R"([[listener]]
name = "l"
address = "127.0.0.1:81"
)" + kPool + kRoute,
         {R"(5: listener[1].name: there is "l" already)"}},
        {"listeners overlap, same",
         kListener + R"([[listener]]
name = "m"
address = "127.0.0.1:80"
)" + kPool + kRoute,
         {R"(6: listener.m.address: "127.0.0.1:80" overlaps with "127.0.0.1:80" of listener.l, line 3)"}},
        {"listeners overlap, any",
         R"([[listener]]
name = "l"
address = "0.0.0.0:80"
[[listener]]
name = "m"
address = "127.0.0.1:80"
)" + kPool + kRoute,
         {R"(6: listener.m.address: "127.0.0.1:80" overlaps with "0.0.0.0:80" of listener.l, line 3)"}},
        {"listeners overlap, any6",
         kListener + R"([[listener]]
name = "m"
address = "[::]:80"
)" + kPool + kRoute,
         {R"(6: listener.m.address: "[::]:80" overlaps with "127.0.0.1:80" of listener.l, line 3)"}},
        {"listeners overlap, spelt otherwise",
         R"([[listener]]
name = "l"
address = "[::1]:80"
[[listener]]
name = "m"
address = "[0:0::1]:80"
)" + kPool + kRoute,
         {R"(6: listener.m.address: "[::1]:80" overlaps with "[::1]:80" of listener.l, line 3)"}},
        {"addresses",
         R"([[listener]]
name = "l0"
address = "127.0.0.1"
[[listener]]
name = "l1"
address = "127.0.0.1:0"
[[listener]]
name = "l2"
address = "127.0.0.1:65536"
[[listener]]
name = "l3"
address = "127.0.0.1:080"
[[listener]]
name = "l4"
address = "127.1:80"
[[listener]]
name = "l5"
address = "::1:80"
[[listener]]
name = "l6"
address = "[fe80::1%eth0]:80"
)" + kPool + kRoute,
         {R"(3: listener.l0.address: "127.0.0.1" is not a numeric IP:PORT such as "127.0.0.1:8080" or "[::1]:8080")",
          R"(6: listener.l1.address: "127.0.0.1:0" is not a numeric IP:PORT such as "127.0.0.1:8080" or "[::1]:8080")",
          R"(9: listener.l2.address: "127.0.0.1:65536" is not a numeric IP:PORT such as "127.0.0.1:8080" or "[::1]:8080")",
          R"(12: listener.l3.address: "127.0.0.1:080" is not a numeric IP:PORT such as "127.0.0.1:8080" or "[::1]:8080")",
          R"(15: listener.l4.address: "127.1:80" is not a numeric IP:PORT such as "127.0.0.1:8080" or "[::1]:8080")",
          R"(18: listener.l5.address: "::1:80" is not a numeric IP:PORT such as "127.0.0.1:8080" or "[::1]:8080")",
          R"(21: listener.l6.address: "[fe80::1%eth0]:80" is not a numeric IP:PORT such as "127.0.0.1:8080" or "[::1]:8080")"}},
        {"limits",
         kListener +
             R"(limits = { requests = 5, bytes = {}, descriptors = { guaranteed = 9, most = 8 }, connects = { most = 1 } }
)" + kPool + kRoute,
         {R"(4: listener.l.limits.requests: a whole number, but it has to be a table)",
          R"(4: listener.l.limits.bytes: says nothing; give guaranteed, most or both)",
          R"(4: listener.l.limits.descriptors.guaranteed: more than most, so it can't be had)",
          R"(4: listener.l.limits.connects: a limit of pools; listeners make no connections)"}},
        {"limits misspelt",
         kListener + R"([listener.limits]
requests = { garanteed = 5 }
reqests = { most = 0 }
)" + kPool + kRoute,
         {R"(5: listener.l.limits.requests.garanteed: unknown key; did you mean "guaranteed"?)",
          R"(6: listener.l.limits.reqests: unknown key; known here: requests, bytes, descriptors, connects)"}},
        {"guarantees beyond the total",
         kBase + R"([pool.a.limits]
descriptors = { guaranteed = 1000 }
[pool.b]
members = { source = "list", list = ["127.0.0.1:1"] }
limits.descriptors = { guaranteed = 25 }
limits.bytes = { guaranteed = "65MiB" }
[pool.c]
members = { source = "list", list = ["127.0.0.1:1"] }
limits.descriptors = { guaranteed = 25 }
)",
         {R"(13: pool.b.limits.descriptors.guaranteed: with those before it, 1025 are guaranteed, more than process.descriptors (1024))",
          R"(14: pool.b.limits.bytes.guaranteed: with those before it, 65MiB are guaranteed, more than process.bytes (64MiB))"}},
        {"guarantees of listeners and pools share descriptors",
         R"([process]
descriptors = 100
requests = 100
)" + kListener +
             R"(limits.descriptors = { guaranteed = 60 }
limits.requests = { guaranteed = 60 }
)" + kPool + R"(limits.descriptors = { guaranteed = 60 }
limits.requests = { guaranteed = 60 }
)" + kRoute,
         {R"(11: pool.a.limits.descriptors.guaranteed: with those before it, 120 are guaranteed, more than process.descriptors (100))"}},
        {"a total that can not be read condemns no guarantee",
         R"([process]
descriptors = 1000000000
)" + kListener +
             R"(limits.descriptors = { guaranteed = 2000 }
)" + kPool + kRoute,
         {R"(2: process.descriptors: 1000000000 is out of range, 64 to 1048576)"}},
    };
    return files;
}

}  // namespace whinledge::config::test
