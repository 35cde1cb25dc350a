// Wrong services files: routes, and what they say of requests and answers.
#include "unit/wrong_services.hpp"

namespace whinledge::config::test {

const std::vector<Wrong>& wrong_routes() {
    static const std::vector<Wrong> files{
        {"route without anything",
         kBase + R"([[route]]
)",
         {R"(9: route[1].name: is missing; give 1 to 64 letters, digits, "_", "-" or ".", the first a letter or a digit)",
          R"(9: route[1]: does nothing; give one of pool, backends, redirect, answer)"}},
        {"route names", kBase + kRoute, {R"(10: route[1].name: there is "r" already)"}},
        {"actions",
         kBase + R"([[route]]
name = "s"
pool = "a"
redirect = { status = 302, host = "b" }
answer = {}
[[route]]
name = "t"
pol = "a"
)",
         {R"(13: route.s.answer: beside pool (line 11), redirect (line 12); give one of pool, backends, redirect, answer)",
          R"(16: route.t.pol: unknown key; did you mean "pool"?)"}},
        {"references",
         kBase + R"(listeners = ["l", "k", "l", 5]
[[route]]
name = "s"
listeners = []
backends = [{ pool = "b" }, { pool = "a" }, { pool = "a", weight = -1 }, { weight = 1 }, 3]
[[route]]
name = "t"
backends = []
)",
         {R"(9: route.r.listeners[1]: there is no listener "k")",
          R"(9: route.r.listeners[2]: "l" is named already)",
          R"(9: route.r.listeners[3]: a whole number, but it has to be a text)",
          R"(12: route.s.listeners: no listener; leave the key out to take the requests of all)",
          R"(13: route.s.backends[0].pool: there is no pool "b")",
          R"(13: route.s.backends[2].pool: "a" is named already; give it one weight)",
          R"(13: route.s.backends[2].weight: -1 is out of range, 0 to 1000000)",
          R"(13: route.s.backends[3].pool: is missing; name one)",
          R"(13: route.s.backends[4]: a whole number, but it has to be a table)",
          R"(16: route.t.backends: no backend; give at least one, as { pool = "a", weight = 1 })"}},
        {"hosts",
         kBase +
             R"(hosts = ["a.example.org", "A.example.org", "a.example.org:80", "*", "*.b.example.org", "b.*.org", "", "-a"]
)",
         {R"(9: route.r.hosts[1]: "a.example.org" is named already)",
          R"(9: route.r.hosts[2]: "a.example.org:80" is not a DNS name such as "a.example.org" or "*.example.org", without a port)",
          R"(9: route.r.hosts[3]: "*" is not a DNS name such as "a.example.org" or "*.example.org", without a port)",
          R"(9: route.r.hosts[5]: "b.*.org" is not a DNS name such as "a.example.org" or "*.example.org", without a port)",
          R"(9: route.r.hosts[6]: "" is not a DNS name such as "a.example.org" or "*.example.org", without a port)",
          R"(9: route.r.hosts[7]: "-a" is not a DNS name such as "a.example.org" or "*.example.org", without a port)"}},
        {"matches",
         kBase + R"([[route.match]]
path = { prefix = "a" }
[[route.match]]
path = { prefix = "/a", exact = "/a" }
[[route.match]]
path = {}
[[route.match]]
path = "/a"
[[route.match]]
path = { prefx = "/a" }
[[route.match]]
method = "get"
[[route.match]]
path = { regex = "" }
class = "read"
[[route.match]]
headers = [{ name = "X", exact = "1" }, { name = "x", present = true }, { name = "Y", present = false }, { exact = "1" }, { name = "a b", exact = "" }]
query = [{ name = "x", exact = "1" }, { name = "X", exact = "1" }, { name = "y" }]
[[route.match]]
path = { exact = "/b" }
[[route.match]]
path = { exact = "/b" }
)",
         {R"(10: route.r.match[0].path.prefix: "a" is not an absolute path such as "/a/b" without "//", ".", "..", "?" and "#")",
          R"(12: route.r.match[1].path: prefix, exact at once; give one of prefix, exact, regex)",
          R"(14: route.r.match[2].path: says nothing; give one of prefix, exact, regex)",
          R"(16: route.r.match[3].path: a text, but it has to be a table)",
          R"(18: route.r.match[4].path.prefx: unknown key; did you mean "prefix"?)",
          R"(20: route.r.match[5].method: "get" is not a method in capitals such as "GET")",
          R"(22: route.r.match[6].path.regex: "" is not a pattern of 1 to 512 printable ASCII characters)",
          R"(23: route.r.match[6].class: requests have a class on listeners of profile "platform" alone)",
          R"(25: route.r.match[7].headers[1].name: "x" is matched already; all that is given has to hold)",
          R"(25: route.r.match[7].headers[2].present: false is not a match; leave the entry out)",
          R"(25: route.r.match[7].headers[3].name: is missing; give the name of the header or parameter)",
          R"(25: route.r.match[7].headers[4].name: "a b" is not 1 to 256 letters, digits or signs of an HTTP token)",
          R"(26: route.r.match[7].query[2]: says nothing; give one of exact, regex, present)",
          R"(29: route.r.match[9]: the same as a match before it)"}},
        {"paths",
         kBase + R"([[route.match]]
path = { exact = "/a//b" }
[[route.match]]
path = { exact = "/a/../b" }
[[route.match]]
path = { exact = "/a/." }
[[route.match]]
path = { exact = "/a?b" }
[[route.match]]
path = { exact = "/a#b" }
[[route.match]]
path = { exact = "/a b" }
[[route.match]]
path = { exact = "/a%2" }
[[route.match]]
path = { exact = "" }
[[route.match]]
path = { exact = "/ok%20/" }
)",
         {R"(10: route.r.match[0].path.exact: "/a//b" is not an absolute path such as "/a/b" without "//", ".", "..", "?" and "#")",
          R"(12: route.r.match[1].path.exact: "/a/../b" is not an absolute path such as "/a/b" without "//", ".", "..", "?" and "#")",
          R"(14: route.r.match[2].path.exact: "/a/." is not an absolute path such as "/a/b" without "//", ".", "..", "?" and "#")",
          R"(16: route.r.match[3].path.exact: "/a?b" is not an absolute path such as "/a/b" without "//", ".", "..", "?" and "#")",
          R"(18: route.r.match[4].path.exact: "/a#b" is not an absolute path such as "/a/b" without "//", ".", "..", "?" and "#")",
          R"(20: route.r.match[5].path.exact: "/a b" is not an absolute path such as "/a/b" without "//", ".", "..", "?" and "#")",
          R"(22: route.r.match[6].path.exact: "/a%2" is not an absolute path such as "/a/b" without "//", ".", "..", "?" and "#")",
          R"(24: route.r.match[7].path.exact: "" is not an absolute path such as "/a/b" without "//", ".", "..", "?" and "#")"}},
        {"classes of requests",
         R"([[listener]]
name = "l"
profile = "platform"
address = "127.0.0.1:80"
)" + kPool + kRoute +
             R"([[route.match]]
class = "safe"
[[route.match]]
class = "write"
)",
         {R"(13: route.r.match[1].class: pool "a" has no class "write"; it has safe, unsafe, keyed)"}},
        {"classes by method",
         kListener + kPool + R"([[pool.a.class]]
name = "read"
effect = "safe"
)" + kRoute + R"([[route]]
name = "s"
pool = "a"
match = [{ method = "GET" }]
[[route]]
name = "t"
pool = "a"
[route.handling]
safe_class = "read"
unsafe_class = "rad"
keyed_class = "k"
classes = { POST = "read", PUT = "write", put = "read", GET = 1 }
[[route]]
name = "u"
pool = "a"
match = [{ method = "GET" }, { method = "POST" }]
handling = { safe_class = "read", classes = { POST = "read" } }
)",
         {R"(9: route.r.handling.safe_class: pool "a" has no class "safe"; it has read)",
          R"(9: route.r.handling.unsafe_class: pool "a" has no class "unsafe"; it has read)",
          R"(12: route.s.handling.safe_class: pool "a" has no class "safe"; it has read)",
          R"(21: route.t.handling.unsafe_class: pool "a" has no class "rad"; it has read)",
          R"(22: route.t.handling.keyed_class: pool "a" has no class "k"; it has read)",
          R"(23: route.t.handling.classes.PUT: pool "a" has no class "write"; it has read)",
          R"(23: route.t.handling.classes.put: the key is not a method in capitals such as "GET")",
          R"(23: route.t.handling.classes.GET: a whole number, but it has to be a text)"}},
        {"redirects",
         kBase + R"([[route]]
name = "s"
redirect = {}
[[route]]
name = "t"
redirect = { scheme = "ftp", host = "b:80", port = 0, status = 305 }
[[route]]
name = "u"
redirect = { path = "/a", prefix = "/b", status = 200 }
[[route]]
name = "v"
redirect = { prefix = "/b" }
match = [{ path = { exact = "/a" } }]
[[route]]
name = "w"
redirect = { hst = "b" }
)",
         {R"(11: route.s.redirect: leads back to where it came from; give one of scheme, host, port, path, prefix)",
          R"(14: route.t.redirect.scheme: "ftp" is none of: http, https)",
          R"(14: route.t.redirect.host: "b:80" is not a DNS name such as "search.example.org", without a port)",
          R"(14: route.t.redirect.port: 0 is out of range, 1 to 65535)",
          R"(14: route.t.redirect.status: 305 is none of: 301, 302, 303, 307, 308)",
          R"(17: route.u.redirect.prefix: beside path; give one of the two)",
          R"(17: route.u.redirect.status: 200 is out of range, 300 to 399)",
          R"(20: route.v.redirect.prefix: needs matches by path prefix alone, so that there is a prefix to put it for)",
          R"(24: route.w.redirect.hst: unknown key; did you mean "host"?)"}},
        {"answers",
         kBase + R"([[route]]
name = "s"
answer = { status = 100, content_type = " x", body = 5 }
[[route]]
name = "t"
answer = { status = 204, body = "x" }
)",
         {R"(11: route.s.answer.status: 100 is out of range, 200 to 599)",
          R"(11: route.s.answer.content_type: " x" is not printable ASCII, 4096 at most, no space at either end)",
          R"(11: route.s.answer.body: a whole number, but it has to be a text)",
          R"(14: route.t.answer.body: an answer 204 has none)"}},
        {"only with pools",
         kBase + R"([[route]]
name = "s"
answer = {}
split_by = { header = "X" }
request_headers = { set = { A = "b" } }
answer_headers = { set = { A = "b" } }
rewrite = { host = "b" }
handling = { timeout = "1s" }
)",
         {R"(12: route.s.split_by: means nothing without pool or backends)",
          R"(13: route.s.request_headers: means nothing without pool or backends)",
          R"(15: route.s.rewrite: means nothing without pool or backends)",
          R"(16: route.s.handling: means nothing without pool or backends)"}},
        {"splits and rewrites",
         kBase + R"(split_by = { header = "X" }
rewrite = {}
[[route]]
name = "s"
backends = [{ pool = "a" }]
split_by = { header = "a b", cookie = "c" }
rewrite = { path = "/a", prefix = "/b", host = "c d" }
)",
         {R"(9: route.r.split_by: there is one pool; give backends to split between)",
          R"(10: route.r.rewrite: says nothing; give host, path or prefix)",
          R"(14: route.s.split_by: header, cookie at once; give one of header, query, cookie)",
          R"(14: route.s.split_by: there is one backend, nothing to split between)",
          R"(15: route.s.rewrite.prefix: beside path; give one of the two)",
          R"(15: route.s.rewrite.host: "c d" is not a DNS name such as "search.example.org", without a port)"}},
        {"header edits",
         kBase + R"([route.request_headers]
set = { A = "1", "b c" = "2", Host = "x", D = " " }
add = { a = "1", E = 5 }
remove = ["A", "Content-Length", "f g", 5]
replace = {}
)",
         {R"(10: route.r.request_headers.set."b c": "b c" is not 1 to 256 letters, digits or signs of an HTTP token)",
          R"(10: route.r.request_headers.set.Host: "Host" is not a header that can be edited)",
          R"(10: route.r.request_headers.set.D: " " is not printable ASCII, 4096 at most, no space at either end)",
          R"(11: route.r.request_headers.add.a: "a" is edited already)",
          R"(11: route.r.request_headers.add.E: a whole number, but it has to be a text)",
          R"(12: route.r.request_headers.remove[0]: "A" is edited already)",
          R"(12: route.r.request_headers.remove[1]: "Content-Length" is not a header that can be edited)",
          R"(12: route.r.request_headers.remove[2]: "f g" is not 1 to 256 letters, digits or signs of an HTTP token)",
          R"(12: route.r.request_headers.remove[3]: a whole number, but it has to be a text)",
          R"(13: route.r.request_headers.replace: unknown key; known here: set, add, remove)"}},
        {"handling",
         kBase + R"([route.handling]
timeout = "0ms"
stream_idle = "9ms"
attempts = 0
request_limit = -1
answer_limit = "1TiB"
buffer = 1023
safe_class = ""
errors = [500, 500, 200, "x"]
never_ran = [503, 600]
add_via = 1
add_forwarded = "no"
time_out = "1s"
)",
         {R"(10: route.r.handling.timeout: 0ms is out of range, 1ms to 10m)",
          R"(11: route.r.handling.stream_idle: 9ms is out of range, 10ms to 60m)",
          R"(12: route.r.handling.attempts: 0 is out of range, 1 to 4)",
          R"(13: route.r.handling.request_limit: -1 is out of range, 0 to 1024GiB)",
          R"(14: route.r.handling.answer_limit: "1TiB" is not a size such as "64KiB", "1MiB" or 4096 (bytes))",
          R"(15: route.r.handling.buffer: 1023 is out of range, 1KiB to 16MiB)",
          R"(16: route.r.handling.safe_class: "" is not 1 to 64 letters, digits, "_", "-" or ".", the first a letter or a digit)",
          R"(17: route.r.handling.errors[1]: 500 is named already)",
          R"(17: route.r.handling.errors[2]: 200 is out of range, 400 to 599)",
          R"(17: route.r.handling.errors[3]: a text, but it has to be a whole number)",
          R"(18: route.r.handling.never_ran[1]: 600 is out of range, 400 to 599)",
          R"(19: route.r.handling.add_via: a whole number, but it has to be true or false)",
          R"(20: route.r.handling.add_forwarded: a text, but it has to be true or false)",
          R"(21: route.r.handling.time_out: unknown key; known here: timeout, stream_idle, attempts, request_limit, answer_limit, buffer, errors, never_ran, classes, safe_class, unsafe_class, keyed_class, add_via, add_forwarded)"}},
        {"never ran",
         kBase + R"(handling = { errors = [500], never_ran = [503] }
)",
         {R"(9: route.r.handling.never_ran: 503 is not among errors)"}},
        {"texts of the file stay on one line",
         kBase + R"("a\nb\"" = 1
[[route]]
name = "x\ny"
pool = "\u0007"
)",
         {R"(9: route.r."a\x0ab\"": unknown key; known here: name, listeners, hosts, match, pool, backends, redirect, answer, split_by, request_headers, answer_headers, rewrite, handling)",
          R"(11: route[1].name: "x\x0ay" is not 1 to 64 letters, digits, "_", "-" or ".", the first a letter or a digit)",
          R"(12: route[1].pool: there is no pool "\x07")"}},
    };
    return files;
}

}  // namespace whinledge::config::test
