// A services file as `check` prints it.
#include "config/print.hpp"
#include "unit/services_rig.hpp"

namespace whinledge::config::test {
namespace {

TEST(Services, PrintedOneLineEach) {
    const std::string text = kListener + "limits.bytes = { guaranteed = \"1MiB\" }\n" + kPool +
                             R"(limits.connects = { most = 5 }
[pool.d.members]
source = "dns"
host = "d.example.org"
port = 80
[[pool.d.class]]
name = "safe"
effect = "keyed"
dedup_scope = "all"
dedup_window = "30s"
[[route]]
name = "split"
hosts = ["d.example.org"]
listeners = ["l"]
backends = [{ pool = "a", weight = 9 }, { pool = "d" }]
split_by = { cookie = "c" }
rewrite = { host = "e.example.org", prefix = "/e" }
request_headers = { set = { A = "x\"y" }, remove = ["B"] }
[[route.match]]
path = { prefix = "/d" }
method = "GET"
headers = [{ name = "H", present = true }]
query = [{ name = "q", regex = "a|b" }]
[[route.match]]
path = { prefix = "/f" }
method = "HEAD"
[[route]]
name = "gone"
answer = { status = 410, body = "gone\n" }
[[route]]
name = "away"
redirect = { host = "b.example.org", path = "/", status = 301 }
)";
    EXPECT_EQ(
        print_services(right(text)),
        R"~(process: descriptors 1024, bytes 64MiB, requests 10000, drain within 30s, seed chosen at start
listener l: 127.0.0.1:80 http, head within 2500ms, idle 1m, via whinledge
listener l limit bytes: 1MiB guaranteed, no bound of its own
pool a: 3 attempts at most, cold from 1, warm within 0ms, falls over at 2, siblings 1, cancel yes, connect within 250ms, idle 14s
pool a members: a list of 1
pool a member 127.0.0.1:1: 127.0.0.1:1, zone -, kind -, cell 0
pool a class safe: safe, aim 1s, worth 1
pool a class unsafe: unsafe, aim 1s, worth 1
pool a class keyed: keyed, repeats dropped by cell for 0ms, aim 1s, worth 1
pool a limit connects: 0 guaranteed, 5 at most
pool d: 3 attempts at most, cold from 1, warm within 0ms, falls over at 2, siblings 1, cancel yes, connect within 250ms, idle 14s
pool d members: dns d.example.org:80, resolver of the system, ttl 1s to 5m, timeout 2s
pool d class safe: keyed, repeats dropped by all for 30s, aim 1s, worth 1
route split: on l; host d.example.org; GET, path under "/d", header "H" present, query "q" like "a|b" -> pool a 9, d 1, split by cookie "c", to host e.example.org, to prefix "/e", request set A="x\"y", request remove B
route split: on l; host d.example.org; HEAD, path under "/f" -> pool a 9, d 1, split by cookie "c", to host e.example.org, to prefix "/e", request set A="x\"y", request remove B
route gone: on all listeners; host any; everything -> answer 410 "" "gone\x0a"
route away: on all listeners; host any; everything -> redirect 301 host b.example.org path "/"
handling split: timeout 15s, stream idle 30s, attempts 4, request up to 1MiB, answer up to any size, buffer 64KiB; classes: safe safe, unsafe unsafe, keyed -, by method -; errors 500, 502, 503, 504; never ran -; via yes, forwarded no
)~");
}

TEST(Services, PrintedTextDoesNotDependOnLines) {
    EXPECT_EQ(print_services(right(kBase)), print_services(right("\n# moved\n\n" + kBase)));
}

}  // namespace
}  // namespace whinledge::config::test
