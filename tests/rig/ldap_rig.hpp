// A daemon with an LDAP listener between OpenLDAP's client library, or bytes, and scripted directory servers.
#pragma once

#include <ldap.h>

#include <atomic>
#include <fstream>
#include <thread>

#include "rig/directory_server.hpp"
#include "rig/service_rig.hpp"

namespace whinledge::test {

// What OpenLDAP's library is asked by a test, on a thread of its own: its calls wait.
class LdapClient {
public:
    explicit LdapClient(const Tcp::endpoint& at, const std::string& scheme = "ldap") {
        const std::string uri = scheme + "://127.0.0.1:" + std::to_string(at.port());
        ::ldap_initialize(&ld_, uri.c_str());
        const int version = LDAP_VERSION3;
        ::ldap_set_option(ld_, LDAP_OPT_PROTOCOL_VERSION, &version);
        ::ldap_set_option(ld_, LDAP_OPT_REFERRALS, LDAP_OPT_OFF);
        const timeval limit{20, 0};
        ::ldap_set_option(ld_, LDAP_OPT_TIMEOUT, &limit);
    }
    ~LdapClient() {
        if (ld_) ::ldap_unbind_ext_s(ld_, nullptr, nullptr);
    }
    LdapClient(const LdapClient&) = delete;
    LdapClient& operator=(const LdapClient&) = delete;

    LDAP* handle() { return ld_; }
    int bind(const std::string& dn, const std::string& password) {
        berval credentials{password.size(), const_cast<char*>(password.data())};
        return ::ldap_sasl_bind_s(ld_, dn.c_str(), LDAP_SASL_SIMPLE, &credentials, nullptr, nullptr, nullptr);
    }
    // The entries' names are in `found`.
    int search(const std::string& base, int scope = LDAP_SCOPE_SUBTREE, LDAPControl** controls = nullptr) {
        LDAPMessage* all = nullptr;
        found.clear();
        const int code = ::ldap_search_ext_s(ld_, base.c_str(), scope, "(objectClass=*)", nullptr, 0,
                                             controls, nullptr, nullptr, 0, &all);
        for (LDAPMessage* entry = all ? ::ldap_first_entry(ld_, all) : nullptr; entry;
             entry = ::ldap_next_entry(ld_, entry)) {
            char* const dn = ::ldap_get_dn(ld_, entry);
            found.emplace_back(dn);
            ::ldap_memfree(dn);
        }
        if (all) ::ldap_msgfree(all);
        return code;
    }
    int modify(const std::string& dn) {
        char type[] = "description", value[] = "x";
        char* values[] = {value, nullptr};
        LDAPMod change{};
        change.mod_op = LDAP_MOD_REPLACE;
        change.mod_type = type;
        change.mod_vals.modv_strvals = values;
        LDAPMod* changes[] = {&change, nullptr};
        return ::ldap_modify_ext_s(ld_, dn.c_str(), changes, nullptr, nullptr);
    }
    int remove(const std::string& dn) { return ::ldap_delete_ext_s(ld_, dn.c_str(), nullptr, nullptr); }
    int compare(const std::string& dn, const std::string& attribute, const std::string& value) {
        berval wanted{value.size(), const_cast<char*>(value.data())};
        return ::ldap_compare_ext_s(ld_, dn.c_str(), attribute.c_str(), &wanted, nullptr, nullptr);
    }
    int rename(const std::string& dn, const std::string& name) {
        return ::ldap_rename_s(ld_, dn.c_str(), name.c_str(), nullptr, 1, nullptr, nullptr);
    }
    std::string who_am_i() {
        berval* id = nullptr;
        if (::ldap_whoami_s(ld_, &id, nullptr, nullptr) != LDAP_SUCCESS) return "?";
        std::string text(id && id->bv_val ? std::string(id->bv_val, id->bv_len) : std::string());
        if (id) ::ber_bvfree(id);
        return text;
    }
    // Of the last call.
    std::string diagnostic() {
        char* text = nullptr;
        ::ldap_get_option(ld_, LDAP_OPT_DIAGNOSTIC_MESSAGE, &text);
        std::string all(text ? text : "");
        ::ldap_memfree(text);
        return all;
    }

    std::vector<std::string> found;

private:
    LDAP* ld_ = nullptr;
};

// What comes on a raw connection, as messages.
struct RawLdap {
    struct Got {
        ldap::MessageId id;
        ldap::Op op;
        std::int32_t code;
        std::string text, oid;
    };
    static std::vector<Got> read(std::string_view rest, std::size_t* taken = nullptr) {
        std::vector<Got> all;
        const std::size_t size = rest.size();
        for (;;) {
            const auto framed = ldap::frame(rest, 64 << 20);
            if (framed.found != ldap::Framed::Found::whole) break;
            // A copy with a byte behind it.
            const std::string one(rest.substr(0, framed.size));
            const auto message = ldap::read_message(one, {});
            if (const auto* const m = std::get_if<ldap::Message>(&message)) {
                const auto response = ldap::read_response(*m, {});
                Got got{m->id, m->op, -1, "", ""};
                if (const auto* const r = std::get_if<ldap::Response>(&response)) {
                    got.code = r->code;
                    got.oid = std::string(r->oid);
                    if (r->final) {
                        ldap::BerReader body(m->body);
                        body.next();
                        body.next();
                        if (const auto text = body.octets()) got.text = std::string(*text);
                    }
                }
                all.push_back(got);
            }
            rest.remove_prefix(framed.size);
        }
        if (taken) *taken = size - rest.size();
        return all;
    }

    // ---- Requests, made by hand

    static std::string text(const ldap::Bytes& bytes) { return {bytes.data(), bytes.size()}; }
    static std::string search(ldap::MessageId id, const std::string& base, int time_limit = 0,
                              const std::string& controls = "") {
        ldap::BerWriter to;
        to.begin(0x63)
            .octets(base)
            .number(2, 0x0a)
            .number(0, 0x0a)
            .number(0)
            .number(time_limit)
            .boolean(false);
        to.octets("objectClass", 0x87).begin(0x30).end().end();
        return with(id, to, controls);
    }
    static std::string modify(ldap::MessageId id, const std::string& dn, std::size_t size = 1) {
        ldap::BerWriter to;
        to.begin(0x66).octets(dn).begin(0x30).begin(0x30).number(2, 0x0a).begin(0x30).octets("description");
        to.begin(0x31).octets(std::string(size, 'x')).end().end().end().end().end();
        return with(id, to, "");
    }
    static std::string bind(ldap::MessageId id, const std::string& dn, const std::string& password,
                            int version = 3) {
        ldap::BerWriter to;
        to.begin(0x60).number(version).octets(dn).octets(password, 0x80).end();
        return with(id, to, "");
    }
    static std::string sasl(ldap::MessageId id, const std::string& credentials) {
        ldap::BerWriter to;
        to.begin(0x60).number(3).octets("").begin(0xa3).octets("TEST").octets(credentials).end().end();
        return with(id, to, "");
    }
    static std::string extended(ldap::MessageId id, std::string_view oid, const std::string& value = "") {
        ldap::BerWriter to;
        to.begin(0x77).octets(oid, 0x80);
        if (!value.empty()) to.octets(value, 0x81);
        to.end();
        return with(id, to, "");
    }
    static std::string cancel(ldap::MessageId id, ldap::MessageId target) {
        ldap::BerWriter value;
        value.begin(0x30).number(target).end();
        return extended(id, ldap::oid::cancel, text(value.take()));
    }
    static std::string abandon(ldap::MessageId id, ldap::MessageId target) {
        return text(ldap::with_id(id, ldap::abandon_tail(target)));
    }
    static std::string unbind(ldap::MessageId id) {
        return text(ldap::with_id(id, std::string_view("\x42\0", 2)));
    }
    static std::string control(std::string_view oid, bool critical, const std::string& value) {
        ldap::BerWriter to;
        to.begin(0x30).octets(oid).boolean(critical).octets(value).end();
        return text(to.take());
    }
    static std::string paged(int size, const std::string& cookie) {
        ldap::BerWriter value;
        value.begin(0x30).number(size).octets(cookie).end();
        return control(ldap::oid::paged, true, text(value.take()));
    }
    static std::string with(ldap::MessageId id, ldap::BerWriter& op, const std::string& controls) {
        std::string tail = text(op.take());
        if (!controls.empty()) {
            ldap::BerWriter to;
            to.begin(0xa0).raw(controls).end();
            tail += text(to.take());
        }
        return text(ldap::with_id(id, tail));
    }
};

struct LdapRig : ServiceRig {
    DirectoryServer one{io}, two{io}, three{io};
    const std::string base = "dc=example,dc=org";

    LdapRig() {
        for (DirectoryServer* const server : {&one, &two, &three}) {
            for (int i = 0; i < 5; ++i) server->add("uid=u" + std::to_string(i) + ",ou=people," + base);
            server->add("ou=people," + base);
            server->passwords["cn=service," + base] = "service-secret";
            server->passwords["uid=anna," + base] = "anna-secret";
            server->passwords["uid=berta," + base] = "berta-secret";
        }
        std::ofstream(password_file) << "service-secret\n";
    }
    ~LdapRig() override { std::remove(password_file.c_str()); }
    const std::string password_file = "/tmp/whinledge-ldap-" + std::to_string(::getpid()) + ".password";

    std::string ldap_listener(const std::string& more = "") {
        return "[[listener]]\nname = \"edge\"\naddress = \"" + listen + "\"\nprofile = \"ldap\"\n" + more;
    }
    static std::string addresses(const std::vector<const DirectoryServer*>& servers) {
        std::vector<std::string> all;
        for (const auto* server : servers) all.push_back(server->address());
        return list(all);
    }
    std::string ldap_pool(const std::string& name, const std::vector<const DirectoryServer*>& servers,
                          bool proxied, const std::string& more = "", const std::string& ldap = "") {
        return "[pool." + name + "]\nprotocol = \"ldap\"\n" + more + "[pool." + name + ".ldap]\n" +
               (proxied ? "identity = \"proxied\"\nservice = \"cn=service," + base +
                              "\"\npassword_file = \"" + password_file + "\"\n"
                        : std::string()) +
               ldap + "\n[pool." + name + ".members]\nsource = \"list\"\nlist = " + addresses(servers) + "\n";
    }
    static std::string ldap_route(const std::string& name, const std::string& pool,
                                  const std::string& handling = "timeout = \"2s\"",
                                  const std::string& more = "") {
        return "[[ldap_route]]\nname = \"" + name + "\"\npool = \"" + pool + "\"\n" + more +
               "\n[ldap_route.handling]\n" + handling + "\n";
    }
    void start_with(const std::vector<const DirectoryServer*>& servers, bool proxied,
                    const std::string& handling = "timeout = \"2s\"", const std::string& ldap = "") {
        start(ldap_listener() + ldap_pool("people", servers, proxied, "", ldap) +
              ldap_route("all", "people", handling));
    }
    // Runs it on a thread of its own while the loop serves.
    void client_does(const std::function<void()>& work) {
        std::atomic<bool> done = false;
        std::thread thread([&] {
            work();
            done = true;
        });
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(60);
        while (!done && std::chrono::steady_clock::now() < limit) {
            io.restart();
            io.run_one_for(std::chrono::milliseconds(20));
        }
        if (!done) ADD_FAILURE() << "the client waits in vain";
        thread.join();
    }
    RawClient& raw_ldap() { return raw.emplace_back(io, edge()); }
    // Read once, as it comes.
    const std::vector<RawLdap::Got>& got(const RawClient& client) const {
        auto& [size, all] = heard_[&client];
        if (client.text.size() < size) size = 0, all.clear();
        std::size_t taken = 0;
        for (auto& each : RawLdap::read(std::string_view(client.text).substr(size), &taken))
            all.push_back(each);
        size += taken;
        return all;
    }
    // The responses with that id.
    std::vector<RawLdap::Got> got(const RawClient& client, ldap::MessageId id) const {
        std::vector<RawLdap::Got> some;
        for (const auto& each : got(client))
            if (each.id == id) some.push_back(each);
        return some;
    }
    bool has_final(const RawClient& client, ldap::MessageId id) const {
        for (const auto& each : got(client, id))
            if (each.op != ldap::Op::entry && each.op != ldap::Op::reference &&
                each.op != ldap::Op::intermediate)
                return true;
        return false;
    }
    RawLdap::Got final_of(const RawClient& client, ldap::MessageId id) const {
        RawLdap::Got found{0, ldap::Op::unbind, -1, "", ""};
        int count = 0;
        for (const auto& each : got(client, id))
            if (each.op != ldap::Op::entry && each.op != ldap::Op::reference &&
                each.op != ldap::Op::intermediate)
                found = each, ++count;
        EXPECT_EQ(count, 1) << "exactly one final response to " << id;
        return found;
    }
    // Sends it and waits for its final response.
    RawLdap::Got ask_raw(RawClient& client, ldap::MessageId id, const std::string& bytes) {
        client.send(bytes);
        until([&] { return has_final(client, id) || client.ended; });
        return final_of(client, id);
    }
    // Clients of before are gone, and others may have their places.
    void forget_clients() {
        raw.clear();
        heard_.clear();
    }
    std::vector<DirectoryServer*> servers() { return {&one, &two, &three}; }
    std::size_t seen(ldap::Op op) {
        std::size_t all = 0;
        for (DirectoryServer* const server : servers()) all += server->count(op);
        return all;
    }
    int changes(const std::string& dn) {
        int all = 0;
        for (DirectoryServer* const server : servers())
            if (const auto at = server->changed.find(*ldap::normal_dn(dn)); at != server->changed.end())
                all += at->second;
        return all;
    }

private:
    mutable std::map<const RawClient*, std::pair<std::size_t, std::vector<RawLdap::Got>>> heard_;
};

// The fixture of the suite Ldap, whose tests are in several files.
struct Ldap : LdapRig {};

}  // namespace whinledge::test
