// Settings come from the settings alone: what must be there, what two sidecars of one process know of each
// other's, what a new configuration changes, and that effects are the settings', whatever a class is called.
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "rig/net_rig.hpp"
#include "rig/own_address.hpp"

namespace whinledge::test {
namespace {

using Json = nlohmann::json;

// A deployment with nothing in common with config_json()'s: asked discovery, tenants, keyed classes whose
// repeats one zone or one cell drops, a confined class, other limits.
Json bookings(const std::string& discovery, const std::string& known,
              const std::string& listen = "127.0.0.1:0") {
    const auto a_class = [](const std::string& name, const std::string& effect, double aim) {
        return Json{{"name", name},        {"effect", effect},     {"on-time-ms", aim},
                    {"give-up-ms", 900.0}, {"credit", 2.0},        {"late-value", 0.3},
                    {"stream", false},     {"dedup-scope", "all"}, {"dedup-window-ms", 5000.0}};
    };
    Json book = a_class("book", "by_key", 600.0), move = a_class("move", "by_key", 450.0);
    book.update({{"dedup-scope", "zone"}, {"dedup-window-ms", 900.0}});
    move.update({{"dedup-scope", "cell"}, {"dedup-window-ms", 600.0}, {"confined-to", {"hall-a"}}});
    Json j{{"name", "n7"}, {"listen", listen}, {"discovery", discovery}, {"seed", "1f"}};
    j["limits"] = {{"cores", 0.2}, {"memory_mb", 48}, {"sockets", 256}};
    j["known"] = Json::parse(known);
    j["settings"] = {
        {"azs", {"hall-a", "south"}},
        {"my-zone", "south"},
        {"models", {"standard-4", "ward"}},
        {"classes", {a_class("listen", "once", 500.0), book, move, a_class("deposit", "repeatable", 700.0)}},
        {"fees", {{"cross-zone", 0.01}, {"probe", 0.01}}},
        {"limits",
         {{"max-attempts", 2},
          {"may-cancel", true},
          {"may-probe", false},
          {"may-tell", false},
          {"parallel-tries", false},
          {"connect-timeout-ms", 400.0},
          {"idle-close-ms", 40000.0}}},
        {"rules",
         {{"ask-within-ms", 10000.0},
          {"cold-from", 0.25},
          {"fall-multiple", 2.0},
          {"fall-ms", 800.0},
          {"warm-within-ms", 16000.0}}},
        {"membership-mode", "on_request"},
        {"over-share-worth", 0.2},
        {"siblings", 18},
        {"tenants", {{{"name", "ash"}, {"share", 0.4}}, {{"name", "birch"}, {"share", 0.6}}}}};
    return j;
}
Json bookings() { return bookings("127.0.0.1:9", list_json(41, true, {{"s-a", "127.0.0.1:9"}})); }
Json archive() {
    return Json::parse(config_json("127.0.0.1:9", list_json(41, true, {{"s-a", "127.0.0.1:9"}})));
}

// What is said of a configuration that is refused; nothing where it is taken.
std::string complaint(const Json& config) {
    try {
        read_config(config.dump());
        return {};
    } catch (const ConfigError& error) {
        return error.what();
    }
}
using Pointer = Json::json_pointer;
Json without(Json config, const std::string& where) {
    Json& object = config.at(Pointer(where).parent_pointer());
    EXPECT_EQ(object.erase(Pointer(where).back()), 1u) << where;
    return config;
}
Json with(Json config, const std::string& where, const Json& value) {
    config[Pointer(where)] = value;
    return config;
}

TEST(Settings, AKeyThatIsMissingIsNamed) {
    const std::vector<std::pair<std::string, std::string>> keys{
        {"/limits", "limits"},
        {"/limits/sockets", "limits.sockets"},
        {"/settings/azs", "azs"},
        {"/settings/my-zone", "my-zone"},
        {"/settings/models", "models"},
        {"/settings/classes", "classes"},
        {"/settings/classes/0/name", "classes.0.name"},
        {"/settings/classes/0/effect", "classes.0.effect"},
        {"/settings/classes/0/on-time-ms", "classes.0.on-time-ms"},
        {"/settings/classes/0/give-up-ms", "classes.0.give-up-ms"},
        {"/settings/classes/0/credit", "classes.0.credit"},
        {"/settings/classes/1/dedup-scope", "classes.1.dedup-scope"},
        {"/settings/classes/1/dedup-window-ms", "classes.1.dedup-window-ms"},
        {"/settings/tenants", "tenants"},
        {"/settings/tenants/1/name", "tenants.1.name"},
        {"/settings/tenants/1/share", "tenants.1.share"},
        {"/settings/over-share-worth", "over-share-worth"},
        {"/settings/membership-mode", "membership-mode"},
        {"/settings/siblings", "siblings"},
        {"/settings/fees/cross-zone", "fees.cross-zone"},
        {"/settings/limits/max-attempts", "limits.max-attempts"},
        {"/settings/limits/may-cancel", "limits.may-cancel"},
        {"/settings/limits/may-probe", "limits.may-probe"},
        {"/settings/limits/may-tell", "limits.may-tell"},
        {"/settings/limits/parallel-tries", "limits.parallel-tries"},
        {"/settings/limits/connect-timeout-ms", "limits.connect-timeout-ms"},
        {"/settings/limits/idle-close-ms", "limits.idle-close-ms"},
        {"/settings/rules/ask-within-ms", "rules.ask-within-ms"},
        {"/settings/rules/cold-from", "rules.cold-from"},
        {"/settings/rules/fall-multiple", "rules.fall-multiple"},
        {"/settings/rules/fall-ms", "rules.fall-ms"},
        {"/settings/rules/warm-within-ms", "rules.warm-within-ms"}};
    ASSERT_EQ(complaint(bookings()), "");
    for (const auto& [where, name] : keys)
        for (const Json& config : {without(bookings(), where), with(bookings(), where, nullptr)}) {
            const std::string said = complaint(config);
            EXPECT_NE(said.find("'" + name + "' is missing"), std::string::npos) << where << ": " << said;
        }
}

// What the pages let be absent, or what nobody needs where it has no meaning.
TEST(Settings, AKeyThatMayBeAbsentIsNotAskedFor) {
    EXPECT_EQ(complaint(archive()), "");
    for (const std::string where :
         {"/settings/classes/0/dedup-scope", "/settings/classes/0/dedup-window-ms",
          "/settings/classes/0/late-value", "/settings/classes/0/stream", "/settings/classes/2/confined-to",
          "/settings/fees/probe", "/limits/cores", "/limits/memory_mb"})
        EXPECT_EQ(complaint(without(bookings(), where)), "") << where;
    Json pushed = with(bookings(), "/settings/membership-mode", "pushed");
    EXPECT_EQ(complaint(without(pushed, "/settings/rules/ask-within-ms")), "");
    // A deployment without zones has none to name.
    Json nowhere =
        without(with(bookings(), "/settings/azs", Json::array()), "/settings/classes/2/confined-to");
    EXPECT_EQ(complaint(with(nowhere, "/settings/my-zone", "")), "");
    EXPECT_EQ(complaint(without(nowhere, "/settings/my-zone")), "");
    Json alone = with(bookings(), "/settings/tenants", Json::array());
    EXPECT_EQ(complaint(without(alone, "/settings/over-share-worth")), "");
    EXPECT_EQ(complaint(with(bookings(), "/settings/novelty", {{"x", {1, 2}}})), "");
    EXPECT_EQ(complaint(with(bookings(), "/settings/classes/0/aim-stretch", 2.5)), "");
    // Shares come as decimals: thirds of the whole may make a little more than it.
    Json thirds = with(bookings(), "/settings/tenants/0/share", 0.334);
    EXPECT_EQ(complaint(with(thirds, "/settings/tenants/1/share", 0.667)), "");
}

TEST(Settings, WhatContradictsItselfIsNamed) {
    const std::vector<std::tuple<std::string, Json, std::string>> cases{
        {"/limits", 5, "'limits'"},
        {"/limits/sockets", "many", "'limits.sockets'"},
        {"/limits/sockets", 27, "'limits.sockets'"},
        {"/limits/sockets", -4, "'limits.sockets'"},
        {"/settings/azs", {"hall-a", "south", "hall-a"}, "'azs'"},
        {"/settings/models", {"ward", "ward"}, "'models'"},
        {"/settings/my-zone", "north", "'my-zone'"},
        {"/settings/classes", Json::array(), "'classes'"},
        {"/settings/classes", {"listen", "book"}, "'classes'"},
        {"/settings/classes/3/name", "listen", "'classes.3.name'"},
        {"/settings/classes/3/name", "", "'classes.3.name'"},
        {"/settings/classes/0/effect", "safe", "'classes.0.effect'"},
        {"/settings/classes/1/dedup-scope", "hall", "'classes.1.dedup-scope'"},
        {"/settings/classes/1/dedup-window-ms", -1, "'classes.1.dedup-window-ms'"},
        {"/settings/classes/0/on-time-ms", 0, "'classes.0.on-time-ms'"},
        {"/settings/classes/0/on-time-ms", "inf", "'classes.0.on-time-ms'"},
        {"/settings/classes/0/give-up-ms", 0, "'classes.0.give-up-ms'"},
        {"/settings/classes/0/give-up-ms", "nan", "'classes.0.give-up-ms'"},
        {"/settings/classes/0/credit", -1, "'classes.0.credit'"},
        {"/settings/classes/0/aim-stretch", -1, "'classes.0.aim-stretch'"},
        {"/settings/classes/2/confined-to", {"hall-a", "north"}, "'classes.2.confined-to'"},
        {"/settings/classes/2/confined-to", Json::array(), "'classes.2.confined-to'"},
        {"/settings/classes/2/models-allowed", {"narrow"}, "'classes.2.models-allowed'"},
        {"/settings/tenants", {"ash", "birch"}, "'tenants'"},
        {"/settings/tenants/1/name", "ash", "'tenants.1.name'"},
        {"/settings/tenants/1/share", 0.7, "'tenants'"},
        {"/settings/tenants/1/share", -0.1, "'tenants.1.share'"},
        {"/settings/over-share-worth", 1.5, "'over-share-worth'"},
        {"/settings/membership-mode", "push", "'membership-mode'"},
        {"/settings/siblings", 0, "'siblings'"},
        {"/settings/siblings", 5000000000, "'siblings'"},
        {"/settings/fees/cross-zone", -1, "'fees.cross-zone'"},
        {"/settings/limits/max-attempts", 0, "'limits.max-attempts'"},
        {"/settings/limits/max-attempts", 2.5, "'limits.max-attempts'"},
        {"/settings/limits/may-cancel", "perhaps", "'limits.may-cancel'"},
        {"/settings/limits/connect-timeout-ms", 0, "'limits.connect-timeout-ms'"},
        {"/settings/limits/idle-close-ms", -1, "'limits.idle-close-ms'"},
        {"/settings/rules/ask-within-ms", -1, "'rules.ask-within-ms'"},
        {"/settings/rules/cold-from", 1.6, "'rules.cold-from'"},
        {"/settings/rules/fall-multiple", 0.5, "'rules.fall-multiple'"},
        {"/settings/rules/fall-ms", 0, "'rules.fall-ms'"},
        {"/settings/rules/warm-within-ms", -1, "'rules.warm-within-ms'"}};
    for (const auto& [where, value, name] : cases) {
        const std::string said = complaint(with(bookings(), where, value));
        EXPECT_NE(said.find(name), std::string::npos) << where << " " << value << ": " << said;
        EXPECT_EQ(said.find('\n'), std::string::npos);
    }
}

// The program as a user starts it, with its configuration and its log in a folder of its own.
class Started {
public:
    explicit Started(const Json& config) {
        std::filesystem::create_directories(folder_);
        write(config);
        child_ = ::fork();
        if (child_ != 0) return;
        ::setenv("LB_CONFIG", (folder_ / "config.json").c_str(), 1);
        ::alarm(20);  // one that is taken after all
        if (!std::freopen((folder_ / "log").c_str(), "w", stderr)) ::_exit(126);
        ::execl(WHINLEDGE, WHINLEDGE, static_cast<char*>(nullptr));
        ::_exit(127);
    }
    ~Started() { std::filesystem::remove_all(folder_); }
    void write(const Json& config) const { std::ofstream(folder_ / "config.json") << config.dump(); }
    void signal(int which) const { ::kill(child_, which); }
    int status() const {
        int status = 0;
        ::waitpid(child_, &status, 0);
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    std::string log() const {
        std::ifstream file(folder_ / "log");
        return std::string(std::istreambuf_iterator<char>(file), {});
    }

private:
    std::filesystem::path folder_ =
        std::filesystem::temp_directory_path() / ("whinledge-settings-" + std::to_string(::getpid()));
    pid_t child_ = 0;
};

TEST(Settings, TheProgramEndsWithOneLineThatNamesTheSetting) {
    for (const auto& [config, name] :
         {std::pair{without(archive(), "/settings/limits/max-attempts"), "'limits.max-attempts'"},
          {without(archive(), "/settings/classes/2/dedup-window-ms"), "'classes.2.dedup-window-ms'"},
          {with(archive(), "/settings/membership-mode", "sometimes"), "'membership-mode'"},
          {with(archive(), "/limits/sockets", 3), "'limits.sockets'"}}) {
        const Started program(config);
        EXPECT_EQ(program.status(), 1);
        const std::string log = program.log();
        EXPECT_NE(log.find(name), std::string::npos) << log;
        EXPECT_EQ(std::count(log.begin(), log.end(), '\n'), 1) << log;
    }
}

// A request in the form that an effect has, whatever its class is called.
std::string ask_for(const std::string& name, Effect effect, const std::string& id, int timeout = 5000) {
    const bool safe = effect == Effect::repeatable;
    return std::string(safe ? "GET /" : "POST /") + name +
           "/item HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: " + id + "\r\nRequest-Class: " + name +
           "\r\nRequest-Timeout-Ms: " + std::to_string(timeout) +
           (effect == Effect::by_key ? "\r\nIdempotency-Key: key-" + id : "") +
           (safe ? "" : "\r\nContent-Length: 0") + "\r\n\r\n";
}
constexpr Effect kEffects[] = {Effect::repeatable, Effect::by_key, Effect::once};
constexpr const char* kEffectWords[] = {"repeatable", "by_key", "once"};

struct SettingsNet : NetRig {
    std::vector<Listed> both() { return {{"s-a", a.address()}, {"s-b", b.address()}}; }
    // One whose class of that name has this effect; its other classes have the two others.
    void start_as(const std::string& name, Effect effect) {
        Json config = Json::parse(config_json(agent.address(), list_json(41, true, both())));
        for (Json& c : config["settings"]["classes"])
            if (c["name"] == name)
                c.update({{"effect", kEffectWords[static_cast<int>(effect)]},
                          {"dedup-scope", "all"},
                          {"dedup-window-ms", 3000.0}});
        sidecar.emplace(io, read_config(config.dump()));
    }
    unsigned status(const std::string& bytes) { return ask(bytes).result_int(); }
};
struct EachEffect : SettingsNet, testing::WithParamInterface<std::tuple<const char*, Effect>> {
    std::string name = std::get<0>(GetParam());
    Effect effect = std::get<1>(GetParam());
};

// The form of a request follows from the effect in the settings.
TEST_P(EachEffect, SaysHowARequestLooks) {
    start_as(name, effect);
    for (const Effect form : kEffects) {
        const std::string id = kEffectWords[static_cast<int>(form)];
        EXPECT_EQ(status(ask_for(name, form, id)), form == effect ? 200u : 400u) << id;
    }
    EXPECT_EQ(arrived(), 1u);
}

// What may have run goes out again only if its effect may happen twice.
TEST_P(EachEffect, SaysWhetherWhatMayHaveRunIsSentAgain) {
    start_as(name, effect);
    a.script = b.script = [&](const auto&) {
        return Reply{arrived() == 1 ? response("500 Internal Server Error") : response("200 OK", "served")};
    };
    EXPECT_EQ(status(ask_for(name, effect, "id-1")), effect == Effect::once ? 502u : 200u);
    EXPECT_EQ(arrived(), effect == Effect::once ? 1u : 2u);
}

// The same where the connection broke; it is never called refused if it may have run and must not run twice.
TEST_P(EachEffect, SaysWhetherWhatMayHaveRunIsRefused) {
    start_as(name, effect);
    a.script = b.script = [&](const auto&) { return Reply{"", false, true}; };
    const unsigned answer = status(ask_for(name, effect, "id-1", 400));
    if (effect == Effect::once) {
        EXPECT_EQ(answer, 502u);
        EXPECT_EQ(arrived(), 1u);
    } else {
        EXPECT_GT(arrived(), 1u);
    }
}

// What provably never ran goes elsewhere, whatever its effect.
TEST_P(EachEffect, LetsWhatNeverRanGoElsewhere) {
    start_as(name, effect);
    a.script = b.script = [&](const auto&) {
        return Reply{arrived() == 1 ? response("503 Service Unavailable", "", "Not-Started: 1\r\n")
                                    : response("200 OK", "served")};
    };
    EXPECT_EQ(status(ask_for(name, effect, "id-1")), 200u);
    EXPECT_EQ(arrived(), 2u);
}

INSTANTIATE_TEST_SUITE_P(OfEachName, EachEffect,
                         testing::Combine(testing::Values("listen", "deposit", "annotate"),
                                          testing::ValuesIn(kEffects)),
                         [](const auto& of) {
                             return std::string(std::get<0>(of.param)) + "_" +
                                    kEffectWords[static_cast<int>(std::get<1>(of.param))];
                         });

// A new configuration that is wrong in a setting costs a line that names it, also where it names another
// discovery: all stays as it was.
TEST_F(SettingsNet, ANewConfigurationThatIsWrongChangesNothing) {
    ScriptedServer moved(io, silence);
    const Tcp::endpoint listen = own_endpoint(io, 0);
    const auto config = [&](const ScriptedServer& discovery) {
        return Json::parse(
            config_json(discovery.address(), list_json(41, true, both()), "1024", text_of(listen)));
    };
    const Started program(config(agent));
    until([&] { return watched_from("41"); });
    program.write(without(config(moved), "/settings/limits/max-attempts"));
    program.signal(SIGHUP);
    until([&] { return program.log().find('\n') != std::string::npos; });
    EXPECT_NE(program.log().find("the old configuration stays"), std::string::npos) << program.log();
    EXPECT_NE(program.log().find("'limits.max-attempts'"), std::string::npos) << program.log();
    TestClient& client = clients.emplace_back(io, listen);
    client.send(ask_for("listen", Effect::repeatable, "id-1"));
    until([&] { return !client.answers.empty() || client.ended; });
    ASSERT_EQ(client.answers.size(), 1u);
    EXPECT_EQ(client.answers[0].result_int(), 200u);
    EXPECT_EQ(agent.ended(), 0u);
    EXPECT_TRUE(moved.connections.empty());
    program.signal(SIGTERM);
    EXPECT_EQ(program.status(), 0);
}

// Two of one process, with other classes, effects, attempts, deadlines and tenants under the same names.
struct TwoSidecars : SettingsNet {
    ScriptedServer c{io, serve}, d{io, serve}, other_agent{io, silence};
    std::optional<Sidecar> other;
    void SetUp() override {
        start(both());
        other.emplace(io,
                      read_config(bookings(other_agent.address(),
                                           list_json(7, true, {{"s-a", c.address()}, {"s-b", d.address()}}))
                                      .dump()));
    }
    unsigned other_status(const std::string& bytes) {
        TestClient& client = clients.emplace_back(io, other->address());
        client.send(bytes);
        until([&] { return !client.answers.empty() || client.ended; });
        return client.answers.empty() ? 0 : client.answers.front().result_int();
    }
    std::size_t other_arrived() const { return c.requests.size() + d.requests.size(); }
    ~TwoSidecars() override { clients.clear(); }
};

TEST_F(TwoSidecars, KnowNothingOfEachOthersClassesAndEffects) {
    for (const auto& [name, effect] : {std::pair{"listen", Effect::repeatable}, {"deposit", Effect::once}}) {
        const Effect theirs = effect == Effect::once ? Effect::repeatable : Effect::once;
        EXPECT_EQ(status(ask_for(name, effect, "one-" + std::string(name))), 200u) << name;
        EXPECT_EQ(other_status(ask_for(name, theirs, "one-" + std::string(name))), 200u) << name;
        EXPECT_EQ(status(ask_for(name, theirs, "two-" + std::string(name))), 400u) << name;
        EXPECT_EQ(other_status(ask_for(name, effect, "two-" + std::string(name))), 400u) << name;
    }
    EXPECT_EQ(status(ask_for("annotate", Effect::by_key, "n")), 200u);
    EXPECT_EQ(other_status(ask_for("annotate", Effect::by_key, "n")), 400u);
    EXPECT_EQ(status(ask_for("book", Effect::by_key, "m")), 400u);
    EXPECT_EQ(other_status(ask_for("book", Effect::by_key, "m")), 200u);
    EXPECT_EQ(arrived(), 3u);
    EXPECT_EQ(other_arrived(), 3u);
}

// Attempts and deadlines; "listen" is sent again by the one, "deposit" by the other.
TEST_F(TwoSidecars, KnowNothingOfEachOthersAttemptsAndDeadlines) {
    const auto fail = [](const auto&) { return Reply{response("500 Internal Server Error")}; };
    a.script = b.script = c.script = d.script = fail;
    EXPECT_NE(status(ask_for("listen", Effect::repeatable, "id-1")), 200u);
    EXPECT_NE(other_status(ask_for("deposit", Effect::repeatable, "id-1")), 200u);
    EXPECT_GT(arrived(), 2u);        // of four at most
    EXPECT_EQ(other_arrived(), 2u);  // of two
    const auto left = [](const ScriptedServer::Request& r) {
        return std::stoi(std::string(r["Request-Timeout-Ms"]));
    };
    const auto first = [](const ScriptedServer& one, const ScriptedServer& two) {
        return one.requests.empty() ? two.requests.front() : one.requests.front();
    };
    EXPECT_GT(left(first(a, b)), 900);  // a client's 5000 ms
    EXPECT_LE(left(first(c, d)), 900);  // cut to what a client waits at most there
}

TEST_F(TwoSidecars, WatchAsTheirOwnSettingsSay) {
    until([&] { return watched_from("41") && !other_agent.requests.empty(); });
    EXPECT_EQ(agent.connections.size(), 1u);
    EXPECT_NE(other_agent.requests.front().target().find("from=7&"), boost::beast::string_view::npos);
}

// Two read one after the other, and the first once more: nothing of the one is left in the next.
TEST(Settings, ReadingAnothersLeavesNothingBehind) {
    const Config one = read_config(archive().dump());
    const Config two = read_config(bookings().dump());
    const Config again = read_config(archive().dump());
    EXPECT_EQ(two.site.classes, (std::vector<std::string>{"listen", "book", "move", "deposit"}));
    EXPECT_EQ(two.site.tenants, (std::vector<std::string>{"ash", "birch"}));
    EXPECT_EQ(two.site.zones, (std::vector<std::string>{"hall-a", "south"}));
    EXPECT_EQ(two.site.longest_wait, 900);
    EXPECT_EQ(two.connect_timeout, 400);
    EXPECT_EQ(two.idle_close, 40000);
    EXPECT_EQ(two.sockets, 256u);
    EXPECT_EQ(two.site.settings.max_attempts, 2u);
    EXPECT_TRUE(two.site.settings.list_on_request);
    for (const Config& config : {one, again}) {
        EXPECT_EQ(config.site.classes, (std::vector<std::string>{"listen", "deposit", "annotate"}));
        EXPECT_TRUE(config.site.tenants.empty());
        EXPECT_EQ(config.site.longest_wait, 60000);
        EXPECT_EQ(config.connect_timeout, 150);
        EXPECT_EQ(config.site.settings.max_attempts, 4u);
        EXPECT_FALSE(config.site.settings.list_on_request);
    }
}

// A new configuration moves discovery; what else it says stays unread, whole or not at all.
TEST_F(SettingsNet, ANewConfigurationMovesDiscoveryAlone) {
    start(both());
    until([&] { return watched_from("41"); });
    ScriptedServer moved(io, silence);
    sidecar->reload(read_config(bookings(moved.address(), list_json(1, true, {})).dump()));
    until([&] { return !moved.requests.empty() && agent.ended() == 1; });
    EXPECT_EQ(status(ask_for("listen", Effect::repeatable, "id-1")), 200u);
    EXPECT_EQ(status(ask_for("deposit", Effect::once, "id-2")), 200u);
    EXPECT_EQ(status(ask_for("book", Effect::by_key, "id-3")), 400u);
    EXPECT_EQ(arrived(), 2u);
}

}  // namespace
}  // namespace whinledge::test
