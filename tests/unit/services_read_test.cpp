// What a right services file says arrives where it belongs, and what it leaves out has its default.
#include "config/print.hpp"
#include "config/words.hpp"
#include "unit/services_rig.hpp"

namespace whinledge::config::test {
namespace {

TEST(Services, WhatIsLeftOutHasItsDefault) {
    const Services s = right(kBase);
    Services expected;
    expected.origin = "services.toml";
    Listener listener;
    listener.name = "l";
    listener.address = "127.0.0.1:80";
    listener.line = 1;
    expected.listeners = {listener};
    Pool pool;
    pool.name = "a";
    pool.line = 4;
    pool.class_names = {"safe", "unsafe", "keyed"};
    pool.decisions.classes.resize(3);
    pool.decisions.classes[0].effect = Effect::repeatable;
    pool.decisions.classes[1].effect = Effect::once;
    pool.decisions.classes[2].effect = Effect::by_key;
    Member member;
    member.id = member.address = "127.0.0.1:1";
    pool.source.members = {member};
    expected.pools = {pool};
    route::Route route;
    route.name = "r";
    route.origin = "services.toml:6";
    route.backends = {{"a", 1}};
    expected.routes = {route};
    EXPECT_TRUE(s == expected) << print_services(s);
}

TEST(Services, EveryKeyArrivesWhereItBelongs) {
    const Services s = right(R"([process]
descriptors = 64
bytes = 1048576
requests = 1
drain = "0ms"
seed = 0
[[listener]]
name = "l"
address = "[0:0::1]:8080"
profile = "platform"
head_timeout = "1m"
idle_timeout = "60m"
via = "v"
[listener.limits]
requests = { guaranteed = 1, most = 2 }
bytes = { guaranteed = "1KiB", most = "2KiB" }
descriptors = { guaranteed = 3, most = 4 }
[pool.a]
max_attempts = 4
cold_from = 0
warm_within = "1s"
fall_multiple = 1
siblings = 7
may_cancel = false
connect_timeout = "1ms"
idle_close = "100ms"
limits.connects = { guaranteed = 5, most = 6 }
[pool.a.members]
source = "dns"
host = "a.example.org"
port = 65535
resolver = "127.0.0.1:53"
min_ttl = "2s"
max_ttl = "3s"
timeout = "10ms"
[[pool.a.class]]
name = "k"
effect = "keyed"
dedup_scope = "zone"
dedup_window = "1ms"
aim = "2ms"
worth = 0
[pool.b.members]
source = "dns"
service = "_http._tcp.b.example.org"
[pool.c.members]
source = "platform"
address = "127.0.0.1:9"
[pool.d.members]
source = "file"
path = "/etc/members.json"
[pool.e.members]
source = "list"
list = [{ address = "127.0.0.1:1", id = "m", zone = "z", kind = "n", cell = 4294967295 }]
[[route]]
name = "r"
listeners = ["l"]
hosts = ["A.example.org", "*.b.example.org"]
backends = [{ pool = "a", weight = 0 }, { pool = "a2" }]
split_by = { query = "q" }
rewrite = { host = "H.example.org", path = "/p" }
request_headers = { set = { A = "" }, add = { B = "b c" }, remove = ["C"] }
answer_headers = { add = { D = "d" } }
[[route.match]]
path = { exact = "/e" }
method = "PUT"
class = "k"
headers = [{ name = "H", regex = "h+" }, { name = "I", present = true }]
query = [{ name = "q", exact = "" }]
[[route.match]]
path = { regex = "/r.*" }
[route.handling]
timeout = "1ms"
stream_idle = "10ms"
attempts = 1
request_limit = 0
answer_limit = "1GiB"
buffer = "1KiB"
classes = { PUT = "k", DELETE = "k" }
safe_class = "k"
unsafe_class = "k"
keyed_class = "k"
errors = []
add_via = false
add_forwarded = true
[[route]]
name = "redirect"
redirect = { scheme = "https", host = "B.example.org", port = 1, prefix = "/x", status = 308 }
[[route]]
name = "answer"
answer = { status = 599, content_type = "text/plain", body = "ä" }
[pool.a2]
members = { source = "list", list = ["127.0.0.1:1"] }
[[pool.a2.class]]
name = "k"
effect = "unsafe"
)");
    EXPECT_EQ(s.descriptors, 64U);
    EXPECT_EQ(s.bytes, 1U << 20);
    EXPECT_EQ(s.requests, 1U);
    EXPECT_EQ(s.drain, 0);
    EXPECT_EQ(s.seed, 0U);
    const Limits limits{{1, 2}, {1024, 2048}, {3, 4}, {}};
    const Listener listener{"l", "[::1]:8080", Listener::Profile::platform, limits, 60000, 3600000, "v", {},
                            7};
    ASSERT_EQ(s.listeners.size(), 1U);
    EXPECT_TRUE(s.listeners[0] == listener);

    ASSERT_EQ(s.pools.size(), 6U);
    const Pool& a = s.pools[0];
    EXPECT_EQ(a.decisions.max_attempts, 4U);
    EXPECT_EQ(a.decisions.cold_from, 0);
    EXPECT_EQ(a.decisions.warm_within, 1000);
    EXPECT_EQ(a.decisions.fall_multiple, 1);
    EXPECT_EQ(a.decisions.siblings, 7U);
    EXPECT_FALSE(a.decisions.may_cancel);
    EXPECT_EQ(a.connect_timeout, 1);
    EXPECT_EQ(a.idle_close, 100);
    EXPECT_TRUE(a.limits.connects == (Share{5, 6}));
    using Kind = Pool::Source::Kind;
    const Pool::Source dns{Kind::dns, {}, "", "", "a.example.org", "", 65535, "127.0.0.1:53", 2000, 3000, 10};
    EXPECT_TRUE(a.source == dns);
    EXPECT_EQ(a.class_names, (Lines{"k"}));
    EXPECT_EQ(a.decisions.classes[0].effect, Effect::by_key);
    EXPECT_EQ(a.decisions.classes[0].dedup_scope, DedupScope::zone);
    EXPECT_EQ(a.decisions.classes[0].dedup_window, 1);
    EXPECT_EQ(a.decisions.classes[0].aim, 2);
    EXPECT_EQ(a.decisions.classes[0].worth, 0);
    EXPECT_EQ(s.pools[1].source.service, "_http._tcp.b.example.org");
    EXPECT_EQ(s.pools[2].source.kind, Kind::platform);
    EXPECT_EQ(s.pools[2].source.address, "127.0.0.1:9");
    EXPECT_EQ(s.pools[3].source.kind, Kind::file);
    EXPECT_EQ(s.pools[3].source.path, "/etc/members.json");
    const Member member{"m", "127.0.0.1:1", "z", "n", 4294967295U};
    EXPECT_TRUE(s.pools[4].source.members == std::vector{member});
    EXPECT_EQ(s.pools[5].name, "a2");  // the order is that of the file

    using namespace route;
    ASSERT_EQ(s.routes.size(), 3U);
    Route r;
    r.name = "r";
    r.origin = "services.toml:" + std::to_string(s.pools[4].line + 3);
    r.listeners = {"l"};
    r.hosts = {"a.example.org", "*.b.example.org"};
    r.backends = {{"a", 0}, {"a2", 1}};
    r.split_by = SplitKey{SplitKey::From::query, "q"};
    r.rewrite_host = "h.example.org";
    r.rewrite_path = PathRewrite{PathRewrite::Kind::full, "/p"};
    r.request_headers = {{HeaderEdit::Kind::set, "A", ""},
                         {HeaderEdit::Kind::add, "B", "b c"},
                         {HeaderEdit::Kind::remove, "C", ""}};
    r.answer_headers = {{HeaderEdit::Kind::add, "D", "d"}};
    r.matches.resize(2);
    r.matches[0].path = {PathKind::exact, "/e"};
    r.matches[0].method = "PUT";
    r.matches[0].request_class = "k";
    r.matches[0].headers = {{"H", ValueKind::regex, "h+"}, {"I", ValueKind::present, ""}};
    r.matches[0].query = {{"q", ValueKind::exact, ""}};
    r.matches[1].path = {PathKind::regex, "/r.*"};
    r.handling = {1,   10,  1,   0,  1 << 30, 1 << 10, {{"PUT", "k"}, {"DELETE", "k"}},
                  "k", "k", "k", {}, {},      false,   true};
    EXPECT_TRUE(s.routes[0] == r) << print_services(s);
    ASSERT_TRUE(s.routes[1].redirect);
    EXPECT_TRUE(*s.routes[1].redirect ==
                (Redirect{"https", "b.example.org", 1, PathRewrite{PathRewrite::Kind::prefix, "/x"}, 308}));
    ASSERT_TRUE(s.routes[2].answer);
    EXPECT_TRUE(*s.routes[2].answer == (FixedAnswer{599, "text/plain", "ä"}));
}

TEST(Services, WarningsOfARightFile) {
    const Result result = read_services(kBase + R"(listeners = ["l"]
[pool.b]
members = { source = "file", path = "m" }
[[listener]]
name = "m"
address = "127.0.0.1:81"
)",
                                        "services.toml");
    EXPECT_TRUE(result.services);
    EXPECT_EQ(
        texts(result.warnings),
        (Lines{"services.toml:10: pool.b: no route uses it",
               "services.toml:12: listener.m: no route takes its requests: all of them are answered 404"}));
}

TEST(Services, TheSampleIsRightAndTheModuleTakesIt) {
    const Result result = read_services(sample(), "services.toml");
    EXPECT_EQ(texts(result.faults), Lines{});
    EXPECT_EQ(texts(result.warnings), Lines{});
    ASSERT_TRUE(result.services);
    ASSERT_EQ(result.services->pools.size(), 3U);
    for (const Pool& pool : result.services->pools) EXPECT_NO_THROW(Balancer(pool.decisions, 1)) << pool.name;
}

TEST(Services, AFileThatIsNotThere) {
    std::string why;
    EXPECT_FALSE(read_file("/nonexistent/services.toml", why));
    EXPECT_EQ(why, "/nonexistent/services.toml: can't be read");
}

TEST(Services, DurationsAndSizesHaveOneForm) {
    EXPECT_EQ(parse_duration("0ms"), 0);
    EXPECT_EQ(parse_duration("250ms"), 250);
    EXPECT_EQ(parse_duration("15s"), 15000);
    EXPECT_EQ(parse_duration("2m"), 120000);
    for (const char* wrong :
         {"", "5", "s", "+5s", "-5s", "05s", "5 s", "5S", "1h", "1.5s", "5s ", "99999999999999999999s"})
        EXPECT_FALSE(parse_duration(wrong)) << wrong;
    EXPECT_EQ(parse_size("64KiB"), 65536U);
    for (const char* wrong : {"", "64", "64K", "64kB", "64kib", "0x1KiB", "99999999999999999GiB"})
        EXPECT_FALSE(parse_size(wrong)) << wrong;
    for (const double value : {0.0, 1.0, 999.0, 1000.0, 1500.0, 60000.0, 90000.0, 3600000.0})
        EXPECT_EQ(parse_duration(format_duration(value)), value);
    EXPECT_EQ(format_duration(90000), "90s");
    EXPECT_EQ(format_size(65537), "65537");
    EXPECT_EQ(format_size(1 << 20), "1MiB");
}

}  // namespace
}  // namespace whinledge::config::test
