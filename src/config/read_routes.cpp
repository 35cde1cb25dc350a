// The routes of a services file.
#include <algorithm>
#include <array>
#include <set>

#include "config/draft.hpp"

namespace whinledge::config {

namespace {

using route::Backend;
using route::Handling;
using route::HeaderEdit;
using route::Match;
using route::PathKind;
using route::PathRewrite;
using route::Route;
using route::SplitKey;
using route::ValueKind;
using route::ValueMatch;

constexpr std::size_t kMostRoutes = 4096, kMostMatches = 64, kMostHosts = 64, kMostBackends = 32;
constexpr std::size_t kMostValues = 16, kMostEdits = 32, kMostStatuses = 64, kMostMethods = 16;
constexpr std::size_t kMostBytes = 1ULL << 40;
constexpr Millis kMinute = 60000, kHour = 3600000;

bool is_method(std::string_view text) {
    return !text.empty() && text.size() <= 32 &&
           std::ranges::all_of(text, [](char c) { return (c >= 'A' && c <= 'Z') || c == '-'; });
}
bool is_pattern(std::string_view text) { return !text.empty() && text.size() <= 512 && is_printable(text); }
bool is_value(std::string_view text) { return text.size() <= 4096 && is_printable(text); }
bool is_wild_host(std::string_view text) { return is_host(text.starts_with("*.") ? text.substr(2) : text); }
bool is_body(std::string_view text) { return text.size() <= 64 << 10; }

const Form kMethod{is_method, "a method in capitals such as \"GET\""};
const Form kPattern{is_pattern, "a pattern of 1 to 512 printable ASCII characters"};
const Form kValue{is_value, "printable ASCII, 4096 at most"};
const Form kWildHost{is_wild_host,
                     "a DNS name such as \"a.example.org\" or \"*.example.org\", without a port"};
const Form kBody{is_body, "a text of at most 64KiB"};

std::string lines(const std::string& key, const Table& table) {
    return key + " (line " + std::to_string(table.at(key).line) + ")";
}

// The one of `keys` that is there, if it is the only one: a table such as { exact = "/a" } is a choice.
std::optional<std::string> choose(Table& table, const Words& keys) {
    const Words given = [&] {
        Words all;
        for (const std::string& key : keys)
            if (table.find(key)) all.push_back(key);
        return all;
    }();
    if (given.size() == 1) return given.front();
    if (given.empty())
        table.absent(keys, "", "says nothing; give one of " + join(keys));
    else
        table.fault(table.at(), "", join(given) + " at once; give one of " + join(keys));
    return std::nullopt;
}

// ---- Matches
// ------------------------------------------------------------------------------------------------

void read_path_match(Table table, Match& match) {
    if (!table) return;
    if (const auto kind = choose(table, {"prefix", "exact", "regex"})) {
        match.path.kind = *kind == "prefix"  ? PathKind::prefix
                          : *kind == "exact" ? PathKind::exact
                                             : PathKind::regex;
        table.read(*kind, match.path.value, *kind == "regex" ? kPattern : kPath);
    }
    table.done();
}

ValueMatch read_value_match(Table& table, const Form& name) {
    ValueMatch match;
    table.need("name", "give the name of the header or parameter");
    table.read("name", match.name, name);
    bool present = true;
    if (const auto kind = choose(table, {"exact", "regex", "present"})) {
        match.kind = *kind == "exact"   ? ValueKind::exact
                     : *kind == "regex" ? ValueKind::regex
                                        : ValueKind::present;
        if (match.kind != ValueKind::present)
            table.read(*kind, match.value, match.kind == ValueKind::exact ? kValue : kPattern);
        else if (table.read("present", present) && !present)
            table.fault("present", "false is not a match; leave the entry out");
    }
    table.done();
    return match;
}

std::vector<ValueMatch> read_value_matches(Table& table, std::string_view key, bool headers) {
    std::vector<ValueMatch> all;
    std::set<std::string> names;
    for (Table& each : table.tables(key, kMostValues)) {
        ValueMatch match = read_value_match(each, headers ? kToken : kPrintable);
        const std::string name = headers ? lower(match.name) : match.name;
        if (!name.empty() && !names.insert(name).second)
            each.fault("name", quote(match.name) + " is matched already; all that is given has to hold");
        all.push_back(std::move(match));
    }
    return all;
}

void read_match(Table& table, Match& match) {
    read_path_match(table.table("path"), match);
    table.read("method", match.method, kMethod);
    match.headers = read_value_matches(table, "headers", true);
    match.query = read_value_matches(table, "query", false);
    table.read("class", match.request_class, kName);
    table.done();
}

// ---- One route
// ----------------------------------------------------------------------------------------------

class RouteReader {
public:
    RouteReader(Draft& draft, Table& table) : draft_(draft), table_(table) {}
    void read(const std::set<std::string>& taken);
    Route& route() { return route_; }

private:
    void read_name(const std::set<std::string>& taken);
    void read_listeners();
    void read_hosts();
    void read_matches();
    void read_action();
    void read_pool();
    void read_backends();
    void read_redirect();
    void read_answer();
    bool use_pool(const Value& value, const std::string& path, std::string& pool);
    void read_pool_options(bool backends);
    void read_split();
    void read_rewrite();
    std::optional<PathRewrite> read_path_rewrite(Table& table, const std::string& full);
    void read_edits(std::string_view key, std::vector<HeaderEdit>& edits);
    void add_edit(Table& table, const HeaderEdit& edit, Place at, const std::string& path,
                  std::set<std::string>&, std::vector<HeaderEdit>&);
    void read_handling();
    void read_handling_classes(Table& table);
    void read_statuses(Table& table, std::string_view key, std::vector<unsigned>& out);
    void check_classes(Table& handling);
    void check_class(Place at, const std::string& path, const std::string& name);
    bool serves(Listener::Profile profile) const;

    Draft& draft_;
    Table& table_;
    Route route_;
    std::vector<Place> class_places_;  // of the matches' classes
    bool matches_known_ = true;        // all could be read
};

void RouteReader::read(const std::set<std::string>& taken) {
    route_.origin = draft_.services.origin + ":" + std::to_string(table_.at().line);
    read_name(taken);
    read_listeners();
    read_hosts();
    read_matches();
    read_action();
    table_.done();
}

void RouteReader::read_name(const std::set<std::string>& taken) {
    table_.need("name", std::string("give ") + kName.what);
    if (!table_.read("name", route_.name, kName)) return;
    if (taken.contains(route_.name))
        table_.fault("name", "there is " + quote(route_.name) + " already");
    else
        table_.rename("route." + route_.name);
}

void RouteReader::read_listeners() {
    const auto values = table_.items("listeners", 64);
    if (table_.has("listeners") && values.empty() && table_.find("listeners")->type == Value::Type::array &&
        table_.find("listeners")->items.empty())
        table_.fault("listeners", "no listener; leave the key out to take the requests of all");
    Words known;
    for (const auto& [name, profile] : draft_.listeners) known.push_back(name);
    for (std::size_t i = 0; i < values.size(); ++i) {
        const std::string path = table_.item_path("listeners", i);
        std::string name;
        if (!table_.text(values[i], path, name, kName)) continue;
        if (!draft_.listeners.contains(name)) {
            if (draft_.all_listeners)
                draft_.faults.add(values[i].at, path,
                                  "there is no listener " + quote(name) + draft_.faults.hint(name, known));
        } else if (std::ranges::count(route_.listeners, name)) {
            draft_.faults.add(values[i].at, path, quote(name) + " is named already");
        }
        route_.listeners.push_back(name);
    }
}

void RouteReader::read_hosts() {
    const auto values = table_.items("hosts", kMostHosts);
    for (std::size_t i = 0; i < values.size(); ++i) {
        const std::string path = table_.item_path("hosts", i);
        std::string host;
        if (!table_.text(values[i], path, host, kWildHost)) continue;
        host = lower(host);
        if (std::ranges::count(route_.hosts, host))
            draft_.faults.add(values[i].at, path, quote(host) + " is named already");
        route_.hosts.push_back(host);
    }
}

void RouteReader::read_matches() {
    std::vector<Match> sound_matches;  // one that can't be read is like no other
    const std::size_t at_first = draft_.faults.size();
    for (Table& each : table_.tables("match", kMostMatches)) {
        Match match;
        const std::size_t before = draft_.faults.size();
        read_match(each, match);
        class_places_.push_back(each.at("class"));
        const bool sound = draft_.faults.size() == before;
        if (sound && std::ranges::count(sound_matches, match) > 0)
            each.fault(each.at(), "", "the same as a match before it");
        if (sound) sound_matches.push_back(match);
        route_.matches.push_back(std::move(match));
    }
    matches_known_ = draft_.faults.size() == at_first;
    for (std::size_t i = 0; i < route_.matches.size(); ++i)
        if (!route_.matches[i].request_class.empty() && !serves(Listener::Profile::platform))
            draft_.faults.add(class_places_[i], table_.item_path("match", i) + ".class",
                              "requests have a class on listeners of profile \"platform\" alone");
}

// Whether a listener of that profile brings it requests; one that can't be read may be of either.
bool RouteReader::serves(Listener::Profile profile) const {
    if (!draft_.all_listeners) return true;
    const auto is = [&](const std::string& name) {
        const auto at = draft_.listeners.find(name);
        return at == draft_.listeners.end() || !at->second || *at->second == profile;
    };
    if (!route_.listeners.empty()) return std::ranges::any_of(route_.listeners, is);
    return std::ranges::any_of(draft_.listeners, [&](const auto& one) { return is(one.first); });
}

// ---- Actions
// ------------------------------------------------------------------------------------------------

void RouteReader::read_action() {
    const Words actions{"pool", "backends", "redirect", "answer"};
    Words given;
    for (const std::string& action : actions)
        if (table_.find(action)) given.push_back(action);
    std::ranges::stable_sort(given, {}, [&](const std::string& key) { return table_.at(key); });
    if (given.empty()) {
        table_.absent(actions, "", "does nothing; give one of " + join(actions));
    } else if (given.size() > 1) {
        Words first;
        for (std::size_t i = 0; i + 1 < given.size(); ++i) first.push_back(lines(given[i], table_));
        table_.fault(given.back(), "beside " + join(first) + "; give one of " + join(actions));
    }
    read_pool();
    read_backends();
    read_redirect();
    read_answer();
    // What only makes sense with some action is not held against a route whose action is not clear.
    read_pool_options(given.size() != 1 || given.front() == "pool" || given.front() == "backends");
}

bool RouteReader::use_pool(const Value& value, const std::string& path, std::string& pool) {
    static const Form any{[](std::string_view) { return true; }, ""};
    if (!table_.text(value, path, pool, any)) return false;
    ++draft_.used_pools[pool];
    if (draft_.ldap_pools.contains(pool))
        return draft_.faults.add(value.at, path,
                                 quote(pool) + " is of protocol ldap; an ldap_route leads there"),
               false;
    if (draft_.pools.contains(pool)) return true;
    if (!draft_.all_pools) return false;
    Words known;
    for (const auto& [name, classes] : draft_.pools) known.push_back(name);
    draft_.faults.add(value.at, path, "there is no pool " + quote(pool) + draft_.faults.hint(pool, known));
    return false;
}

void RouteReader::read_pool() {
    const Value* value = table_.find("pool");
    std::string pool;
    if (value && use_pool(*value, table_.path("pool"), pool)) route_.backends.push_back({pool, 1});
}

void RouteReader::read_backends() {
    const std::size_t before = draft_.faults.size();
    auto tables = table_.tables("backends", kMostBackends);
    if (table_.has("backends") && tables.empty() && draft_.faults.size() == before)
        table_.fault("backends", "no backend; give at least one, as { pool = \"a\", weight = 1 }");
    std::set<std::string> names;
    for (Table& each : tables) {
        Backend backend;
        const Value* pool = each.need("pool", "name one");
        const bool known = pool && use_pool(*pool, each.path("pool"), backend.pool);
        each.count("weight", backend.weight, {0, 1'000'000});
        if (known && !names.insert(backend.pool).second)
            each.fault("pool", quote(backend.pool) + " is named already; give it one weight");
        each.done();
        route_.backends.push_back(std::move(backend));
    }
}

// `full`: the key of a whole path.
std::optional<PathRewrite> RouteReader::read_path_rewrite(Table& table, const std::string& full) {
    const bool whole = table.find(full), prefix = table.find("prefix");
    if (!whole && !prefix) return std::nullopt;
    PathRewrite rewrite;
    rewrite.kind = whole ? PathRewrite::Kind::full : PathRewrite::Kind::prefix;
    table.read(full, rewrite.value, kPath);
    table.read("prefix", rewrite.value, kPath);
    const auto is_prefix = [](const Match& match) { return match.path.kind == PathKind::prefix; };
    if (whole && prefix)
        table.fault("prefix", "beside " + full + "; give one of the two");
    else if (prefix && matches_known_ && !std::ranges::all_of(route_.matches, is_prefix))
        table.fault("prefix", "needs matches by path prefix alone, so that there is a prefix to put it for");
    return rewrite;
}

void RouteReader::read_redirect() {
    Table table = table_.table("redirect");
    if (!table) return;
    route::Redirect redirect;
    std::int64_t status = redirect.status;
    table.word<std::string>("scheme", redirect.scheme, {{"http", "http"}, {"https", "https"}});
    if (table.read("host", redirect.host, kHost)) redirect.host = lower(redirect.host);
    table.count("port", redirect.port, {1, 65535});
    redirect.path = read_path_rewrite(table, "path");
    const bool read = table.count("status", status, {300, 399});
    constexpr std::array kStatuses{301, 302, 303, 307, 308};
    if (read && std::ranges::find(kStatuses, status) == kStatuses.end())
        table.fault("status", std::to_string(status) + " is none of: 301, 302, 303, 307, 308");
    const Words parts{"scheme", "host", "port", "path", "prefix"};
    if (std::ranges::none_of(parts, [&](const std::string& key) { return table.has(key); }))
        table.absent(parts, "", "leads back to where it came from; give one of " + join(parts));
    redirect.status = static_cast<unsigned>(status);
    table.done();
    route_.redirect = redirect;
}

void RouteReader::read_answer() {
    Table table = table_.table("answer");
    if (!table) return;
    route::FixedAnswer answer;
    table.count("status", answer.status, {200, 599});
    table.read("content_type", answer.content_type, kFieldText);
    table.read("body", answer.body, kBody);
    if (!answer.body.empty() && (answer.status == 204 || answer.status == 304))
        table.fault("body", "an answer " + std::to_string(answer.status) + " has none");
    table.done();
    route_.answer = answer;
}

// ---- With a pool
// --------------------------------------------------------------------------------------------

void RouteReader::read_pool_options(bool backends) {
    const auto here = [&](const char* key) {
        if (backends || !table_.find(key)) return backends;
        table_.fault(key, "means nothing without pool or backends");
        return false;
    };
    if (here("split_by")) read_split();
    if (here("request_headers")) read_edits("request_headers", route_.request_headers);
    read_edits("answer_headers", route_.answer_headers);
    if (here("rewrite")) read_rewrite();
    if (here("handling")) read_handling();
}

void RouteReader::read_split() {
    Table table = table_.table("split_by");
    if (!table) return;
    SplitKey key;
    if (const auto from = choose(table, {"header", "query", "cookie"})) {
        key.from = *from == "header"  ? SplitKey::From::header
                   : *from == "query" ? SplitKey::From::query
                                      : SplitKey::From::cookie;
        table.read(*from, key.name, *from == "query" ? kPrintable : kToken);
    }
    table.done();
    if (table_.has("pool") && !table_.has("backends"))
        table_.fault("split_by", "there is one pool; give backends to split between");
    else if (route_.backends.size() == 1)
        table_.fault("split_by", "there is one backend, nothing to split between");
    route_.split_by = key;
}

void RouteReader::read_rewrite() {
    Table table = table_.table("rewrite");
    if (!table) return;
    if (table.read("host", route_.rewrite_host, kHost)) route_.rewrite_host = lower(route_.rewrite_host);
    route_.rewrite_path = read_path_rewrite(table, "path");
    if (!table.has("host") && !route_.rewrite_path)
        table.absent({"host", "path", "prefix"}, "", "says nothing; give host, path or prefix");
    table.done();
}

// Framing and the connection are not a file's to say (RFC 9110, 7.6.1); Host is set by rewrite.
bool is_reserved(const std::string& name) {
    constexpr std::array<std::string_view, 10> kReserved{
        "connection", "content-length", "host",    "keep-alive", "proxy-connection",
        "te",         "trailer",        "upgrade", "via",        "transfer-encoding"};
    return std::ranges::find(kReserved, lower(name)) != kReserved.end();
}

void RouteReader::add_edit(Table& table, const HeaderEdit& edit, Place at, const std::string& path,
                           std::set<std::string>& names, std::vector<HeaderEdit>& edits) {
    if (!is_token(edit.name))
        table.faults().add(at, path, quote(edit.name) + " is not " + kToken.what);
    else if (is_reserved(edit.name))
        table.faults().add(at, path, quote(edit.name) + " is not a header that can be edited");
    else if (!names.insert(lower(edit.name)).second)
        table.faults().add(at, path, quote(edit.name) + " is edited already");
    edits.push_back(edit);
}

void RouteReader::read_edits(std::string_view key, std::vector<HeaderEdit>& edits) {
    Table table = table_.table(key);
    std::set<std::string> names;
    for (const auto& [word, kind] :
         {std::pair("set", HeaderEdit::Kind::set), std::pair("add", HeaderEdit::Kind::add)}) {
        Table values = table.table(word);
        if (values.entries().size() > kMostEdits) {
            values.fault(values.at(), "", "more than " + std::to_string(kMostEdits) + " headers");
            continue;
        }
        for (const Entry& entry : values.entries()) {
            HeaderEdit edit{kind, entry.key, ""};
            if (values.text(entry.value, values.path(entry.key), edit.value, kFieldText))
                add_edit(values, edit, entry.at, values.path(entry.key), names, edits);
        }
    }
    const auto removed = table.items("remove", kMostEdits);
    for (std::size_t i = 0; i < removed.size(); ++i) {
        HeaderEdit edit{HeaderEdit::Kind::remove, "", ""};
        const std::string path = table.item_path("remove", i);
        if (table.text(removed[i], path, edit.name, kToken))
            add_edit(table, edit, removed[i].at, path, names, edits);
    }
    table.done();
}

// ---- Handling
// -----------------------------------------------------------------------------------------------

void RouteReader::read_statuses(Table& table, std::string_view key, std::vector<unsigned>& out) {
    if (!table.find(key)) return;
    const auto values = table.items(key, kMostStatuses);
    out.clear();
    for (std::size_t i = 0; i < values.size(); ++i) {
        std::int64_t status = 0;
        const std::string path = table.item_path(key, i);
        if (!table.integer(values[i], path, status, {400, 599})) continue;
        if (std::ranges::count(out, static_cast<unsigned>(status)))
            table.faults().add(values[i].at, path, std::to_string(status) + " is named already");
        out.push_back(static_cast<unsigned>(status));
    }
}

void RouteReader::read_handling_classes(Table& table) {
    Handling& h = route_.handling;
    Table classes = table.table("classes");
    if (classes.entries().size() > kMostMethods) {
        classes.fault(classes.at(), "", "more than " + std::to_string(kMostMethods) + " methods");
        return;
    }
    for (const Entry& entry : classes.entries()) {
        std::string name;
        if (!is_method(entry.key))
            classes.fault(entry.at, entry.key, std::string("the key is not ") + kMethod.what);
        else if (classes.text(entry.value, classes.path(entry.key), name, kName))
            h.classes.emplace_back(entry.key, name);
    }
    table.read("safe_class", h.safe_class, kName);
    table.read("unsafe_class", h.unsafe_class, kName);
    table.read("keyed_class", h.keyed_class, kName);
}

void RouteReader::read_handling() {
    Handling& h = route_.handling;
    Table table = table_.table("handling");
    table.duration("timeout", h.timeout, {1, 10 * kMinute});
    table.duration("stream_idle", h.stream_idle, {10, kHour});
    table.count("attempts", h.attempts, {1, 4});
    table.size("request_limit", h.request_limit, {0, kMostBytes});
    table.size("answer_limit", h.answer_limit, {0, kMostBytes});
    table.size("buffer", h.buffer, {1 << 10, 16 << 20});
    const std::size_t before = draft_.faults.size();
    read_statuses(table, "errors", h.errors);
    const bool errors_read = draft_.faults.size() == before;
    read_statuses(table, "never_ran", h.never_ran);
    for (const unsigned status : h.never_ran)
        if (errors_read && !table.misspelt("errors") && !std::ranges::count(h.errors, status))
            table.fault("never_ran", std::to_string(status) + " is not among errors");
    read_handling_classes(table);
    table.read("add_via", h.add_via);
    table.read("add_forwarded", h.add_forwarded);
    table.done();
    check_classes(table);
}

void RouteReader::check_class(Place at, const std::string& path, const std::string& name) {
    for (const Backend& backend : route_.backends) {
        const auto pool = draft_.pools.find(backend.pool);
        if (pool == draft_.pools.end() || !pool->second) continue;
        if (std::ranges::count(*pool->second, name) > 0) continue;
        draft_.faults.add(at, path,
                          "pool " + quote(backend.pool) + " has no class " + quote(name) + "; it has " +
                              join(*pool->second));
        return;
    }
}

bool is_safe_method(const std::string& method) {
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

// Whether a request that the route takes can come under the safe class, or under the unsafe one.
bool can_come(const Route& route, bool safe) {
    const auto comes = [&](const Match& match) {
        const auto& named = route.handling.classes;
        if (match.method.empty()) return true;
        const auto at = std::ranges::find(named, match.method, &std::pair<std::string, std::string>::first);
        return at == named.end() && is_safe_method(match.method) == safe;
    };
    return route.matches.empty() || std::ranges::any_of(route.matches, comes);
}

void RouteReader::check_classes(Table& handling) {
    const Handling& h = route_.handling;
    for (std::size_t i = 0; i < route_.matches.size(); ++i)
        if (!route_.matches[i].request_class.empty() && serves(Listener::Profile::platform))
            check_class(class_places_[i], table_.item_path("match", i) + ".class",
                        route_.matches[i].request_class);
    if (!serves(Listener::Profile::http)) return;
    // A key that is there and can't be read has its own fault, and so has one that is misspelt.
    const bool misspelt_above = table_.misspelt("handling") || table_.misspelt("match");
    const auto check = [&](const char* key, const std::string& name, bool comes) {
        const Place at = handling ? handling.at(key) : table_.at();
        if (handling.has(key) ? handling.find(key)->text == name
                              : comes && matches_known_ && !handling.misspelt(key) && !misspelt_above)
            check_class(at, table_.path("handling") + "." + key, name);
    };
    check("safe_class", h.safe_class, can_come(route_, true));
    check("unsafe_class", h.unsafe_class, can_come(route_, false));
    if (!h.keyed_class.empty()) check("keyed_class", h.keyed_class, false);
    if (h.classes.empty()) return;
    const Table classes = handling.table("classes");
    for (const auto& [method, name] : h.classes) check_class(classes.at(method), classes.path(method), name);
}

}  // namespace

void read_routes(Draft& draft, Table& root) {
    std::set<std::string> names;
    for (Table& table : root.tables("route", kMostRoutes)) {
        RouteReader reader(draft, table);
        reader.read(names);
        names.insert(reader.route().name);
        draft.services.routes.push_back(std::move(reader.route()));
    }
}

}  // namespace whinledge::config
