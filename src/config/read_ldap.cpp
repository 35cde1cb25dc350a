// LDAP's part of a services file.
#include <algorithm>
#include <set>

#include "config/draft.hpp"
#include "ldap_codec/dn.hpp"

namespace whinledge::config {

namespace {

constexpr std::size_t kMostRoutes = 1000, kMostNames = 64, kMostCodes = 32;
constexpr Millis kMinute = 60000, kHour = 3600000;

const Form kFile{
    [](std::string_view text) { return !text.empty() && text.size() <= 4096 && is_printable(text); },
    "a path, 1 to 4096 printable ASCII characters"};
const Form kDn{[](std::string_view text) { return ldap::normal_dn(text).has_value(); },
               "a distinguished name such as \"ou=people,dc=example,dc=org\""};
const Form kPeer{
    [](std::string_view text) { return is_host(text) || parse_address(std::string(text) + ":1"); },
    "a host's name or an address"};
const Form kOid{[](std::string_view text) {
                    return !text.empty() && text.size() <= 128 &&
                           text.find_first_not_of("0123456789.") == text.npos;
                },
                "an object identifier such as \"1.3.6.1.4.1.4203.1.11.3\""};

constexpr std::array<ldap::Op, 8> kOperations{ldap::Op::bind,   ldap::Op::search,  ldap::Op::compare,
                                              ldap::Op::add,    ldap::Op::remove,  ldap::Op::modify,
                                              ldap::Op::rename, ldap::Op::extended};
std::optional<ldap::Op> operation_named(std::string_view name) {
    for (const ldap::Op op : kOperations)
        if (name == ldap::name_of(op)) return op;
    return std::nullopt;
}
Words operation_names() {
    Words names;
    for (const ldap::Op op : kOperations) names.emplace_back(ldap::name_of(op));
    return names;
}

void read_minimum(Table& table, LdapTls& tls) {
    table.word<int>("minimum", tls.minimum, {{"1.2", 12}, {"1.3", 13}});
}
using Mode = LdapTls::Mode;
bool read_mode(Table& table, LdapTls& tls) {
    table.need("mode", "one of: ldaps, starttls");
    return table.word<Mode>("mode", tls.mode, {{"ldaps", Mode::ldaps}, {"starttls", Mode::starttls}});
}

// ---- Routes
// --------------------------------------------------------------------------------------------------

class LdapRouteReader {
public:
    LdapRouteReader(Draft& draft, Table& table) : draft_(draft), table_(table) {}

    ldap::Route read(const std::set<std::string>& names) {
        route_.origin = draft_.faults.origin() + ":" + std::to_string(table_.at().line);
        if (table_.need("name", "give 1 to 64 letters, digits, \"_\", \"-\" or \".\"") &&
            table_.read("name", route_.name, kName)) {
            if (names.contains(route_.name))
                table_.fault("name", "there is " + quote(route_.name) + " already");
            else
                table_.rename("ldap_route." + route_.name);
        }
        read_listeners();
        read_texts("suffixes", route_.suffixes, kDn);
        read_operations();
        read_texts("identities", route_.identities, kDn, "anonymous");
        read_pool();
        read_handling();
        table_.done();
        return std::move(route_);
    }

private:
    void read_texts(std::string_view key, std::vector<std::string>& to, const Form& form,
                    const char* word = nullptr) {
        if (!table_.find(key)) return;
        const auto values = table_.items(key, kMostNames);
        for (std::size_t i = 0; i < values.size(); ++i) {
            std::string text;
            const std::string path = table_.item_path(key, i);
            const bool is_word = word && values[i].type == Value::Type::text && values[i].text == word;
            if (is_word)
                text = word;
            else if (!table_.text(values[i], path, text, form))
                continue;
            if (std::ranges::count(to, text) > 0)
                table_.faults().add(values[i].at, path, quote(text) + " is named already");
            to.push_back(text);
        }
        if (values.empty()) table_.fault(key, "names nothing; leave the key out to mean any");
    }
    void read_listeners() {
        if (!table_.find("listeners")) return;
        const auto values = table_.items("listeners", kMostNames);
        for (std::size_t i = 0; i < values.size(); ++i) {
            std::string name;
            const std::string path = table_.item_path("listeners", i);
            if (!table_.text(values[i], path, name, kName)) continue;
            const auto at = draft_.listeners.find(name);
            if (at == draft_.listeners.end() && draft_.all_listeners)
                table_.faults().add(values[i].at, path, "there is no listener " + quote(name));
            else if (at != draft_.listeners.end() && at->second && *at->second != Listener::Profile::ldap)
                table_.faults().add(values[i].at, path, quote(name) + " is no listener of profile ldap");
            route_.listeners.push_back(name);
        }
    }
    void read_operations() {
        if (!table_.find("operations")) return;
        const auto values = table_.items("operations", kMostNames);
        for (std::size_t i = 0; i < values.size(); ++i) {
            std::string name;
            const std::string path = table_.item_path("operations", i);
            if (!table_.text(values[i], path, name, kToken)) continue;
            const auto op = operation_named(name);
            if (!op) {
                const Words known = operation_names();
                table_.faults().add(values[i].at, path,
                                    quote(name) + " is no operation; there are " + join(known) +
                                        table_.faults().hint(name, known));
                continue;
            }
            route_.operations.push_back(*op);
        }
    }
    void read_pool() {
        if (!table_.need("pool", "name the pool that its operations go to")) return;
        if (!table_.read("pool", route_.pool, kName)) return;
        ++draft_.used_pools[route_.pool];
        if (!draft_.all_pools) return;
        if (!draft_.pools.contains(route_.pool))
            table_.fault("pool", "there is no pool " + quote(route_.pool));
        else if (!draft_.ldap_pools.contains(route_.pool))
            table_.fault("pool", quote(route_.pool) + " is no pool of protocol ldap");
    }
    void read_codes(Table& table, std::string_view key, std::vector<std::int32_t>& to) {
        if (!table.find(key)) return;
        const auto values = table.items(key, kMostCodes);
        to.clear();
        for (std::size_t i = 0; i < values.size(); ++i) {
            std::string name;
            const std::string path = table.item_path(key, i);
            if (!table.text(values[i], path, name, kToken)) continue;
            const auto code = ldap::code_named(name);
            if (!code || *code == ldap::success)
                table.faults().add(values[i].at, path,
                                   quote(name) + " is no result code that can be named here");
            else
                to.push_back(*code);
        }
    }
    void check_class(Table& table, Place at, const std::string& path, const std::string& name) {
        const auto pool = draft_.pools.find(route_.pool);
        if (pool == draft_.pools.end() || !pool->second || std::ranges::count(*pool->second, name) > 0)
            return;
        table.faults().add(at, path,
                           "pool " + quote(route_.pool) + " has no class " + quote(name) + "; it has " +
                               join(*pool->second));
    }
    void read_handling() {
        ldap::Handling& h = route_.handling;
        Table table = table_.table("handling");
        table.duration("timeout", h.timeout, {1, 10 * kMinute});
        table.duration("stream_idle", h.stream_idle, {10, kHour});
        table.count("attempts", h.attempts, {1, 4});
        table.size("buffer", h.buffer, {0, 16 << 20});
        read_codes(table, "errors", h.errors);
        read_codes(table, "never_ran", h.never_ran);
        for (const auto& [key, to] :
             {std::pair("safe_class", &h.safe_class), std::pair("unsafe_class", &h.unsafe_class)}) {
            table.read(key, *to, kName);
            check_class(table, table.has(key) ? table.at(key) : table_.at(), table.path(key), *to);
        }
        Table classes = table.table("classes");
        for (const Entry& entry : classes.entries()) {
            std::string name;
            const auto op = operation_named(entry.key);
            if (!op)
                classes.fault(entry.at, entry.key, "is no operation; there are " + join(operation_names()));
            else if (classes.text(entry.value, classes.path(entry.key), name, kName)) {
                check_class(classes, entry.at, classes.path(entry.key), name);
                h.classes.emplace_back(*op, name);
            }
        }
        Table extended = table.table("extended");
        for (const Entry& entry : extended.entries()) {
            std::string name;
            if (!kOid.holds(entry.key))
                extended.fault(entry.at, entry.key, std::string("the key is not ") + kOid.what);
            else if (extended.text(entry.value, extended.path(entry.key), name, kName)) {
                check_class(extended, entry.at, extended.path(entry.key), name);
                h.extended.emplace_back(entry.key, name);
            }
        }
        table.done();
    }

    Draft& draft_;
    Table& table_;
    ldap::Route route_;
};

}  // namespace

void read_ldap_listener(Table& listener, Listener& to) {
    if (!listener.find("ldap")) return;
    if (to.profile != Listener::Profile::ldap)
        return listener.fault("ldap", "means something with profile = \"ldap\" alone");
    Table table = listener.table("ldap");
    table.count("operations", to.ldap.operations, {1, 100000});
    table.size("message_limit", to.ldap.message_limit, {1 << 10, 64 << 20});
    Table tls = table.table("tls");
    if (tls) {
        LdapTls& t = to.ldap.tls;
        read_mode(tls, t);
        tls.need("certificate", "the file with the listener's chain, PEM");
        tls.read("certificate", t.certificate, kFile);
        tls.need("key", "the file with its key, PEM");
        tls.read("key", t.key, kFile);
        if (tls.read("required", t.required) && t.mode == Mode::ldaps)
            tls.fault("required", "means something with mode = \"starttls\" alone");
        read_minimum(tls, t);
        tls.done();
    }
    table.done();
}

void read_ldap_pool(Table& pool, Pool& to) {
    if (!pool.find("ldap")) return;
    if (!to.is_ldap) return pool.fault("ldap", "means something with protocol = \"ldap\" alone");
    Table table = pool.table("ldap");
    LdapPool& l = to.ldap;
    table.word<bool>("identity", l.proxied, {{"connection", false}, {"proxied", true}});
    if (l.proxied) {
        table.need("service", "the name that connections are bound as");
        table.need("password_file", "the file with its password");
    }
    for (const char* key : {"service", "password_file", "identities_from", "operations", "stall"})
        if (!l.proxied && table.find(key))
            table.fault(key, "means something with identity = \"proxied\" alone");
    table.read("service", l.service, kDn);
    table.read("password_file", l.password_file, kFile);
    if (table.find("identities_from")) {
        const auto values = table.items("identities_from", kMostNames);
        for (std::size_t i = 0; i < values.size(); ++i) {
            std::string name;
            if (table.text(values[i], table.item_path("identities_from", i), name, kName))
                l.identities_from.push_back(name);
        }
    }
    table.count("operations", l.operations, {1, 10000});
    table.duration("stall", l.stall, {100, kMinute});
    table.size("message_limit", l.message_limit, {1 << 10, 64 << 20});
    Table tls = table.table("tls");
    if (tls) {
        read_mode(tls, l.tls);
        tls.read("authority", l.tls.authority, kFile);
        tls.read("name", l.tls.name, kPeer);
        read_minimum(tls, l.tls);
        tls.done();
    }
    table.done();
}

void read_ldap_routes(Draft& draft, Table& root) {
    std::set<std::string> names;
    for (Table& table : root.tables("ldap_route", kMostRoutes)) {
        ldap::Route route = LdapRouteReader(draft, table).read(names);
        names.insert(route.name);
        draft.services.ldap_routes.push_back(std::move(route));
    }
}

}  // namespace whinledge::config
