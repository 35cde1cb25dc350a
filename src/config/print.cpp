#include "config/print.hpp"

#include <algorithm>
#include <cstdio>

#include "config/words.hpp"

namespace whinledge::config {

namespace {

using route::PathKind;
using route::PathRewrite;
using route::Route;
using route::ValueKind;

std::string number(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.6g", value);
    return text;
}
// Texts of the file that may hold anything.
std::string whole(const std::string& text) { return quote(text, text.size()); }
std::string or_dash(const std::string& text) { return text.empty() ? "-" : text; }

template <class List, class Word>
std::string list(const List& items, const std::string& none, Word word) {
    std::string all;
    for (const auto& item : items) (all += all.empty() ? "" : ", ") += word(item);
    return all.empty() ? none : all;
}

class Lines {
public:
    void add(const std::string& line) { (text_ += line) += '\n'; }
    std::string text() && { return std::move(text_); }

private:
    std::string text_;
};

void print_share(Lines& lines, const std::string& owner, const char* name, const Share& share, bool bytes) {
    if (share == Share{}) return;
    const auto amount = [&](std::size_t n) { return bytes ? format_size(n) : std::to_string(n); };
    lines.add(owner + " limit " + name + ": " + amount(share.guaranteed) + " guaranteed, " +
              (share.most == 0 ? "no bound of its own" : amount(share.most) + " at most"));
}
void print_limits(Lines& lines, const std::string& owner, const Limits& limits) {
    print_share(lines, owner, "requests", limits.requests, false);
    print_share(lines, owner, "bytes", limits.bytes, true);
    print_share(lines, owner, "descriptors", limits.descriptors, false);
    print_share(lines, owner, "connects", limits.connects, false);
}

std::string tls_text(const LdapTls& tls) {
    if (tls.mode == LdapTls::Mode::none) return "without TLS";
    return std::string(tls.mode == LdapTls::Mode::ldaps ? "LDAPS" : "StartTLS") + " from TLS 1." +
           std::to_string(tls.minimum - 10);
}

void print_listener(Lines& lines, const Listener& l) {
    const std::string owner = "listener " + l.name;
    const char* profile = l.profile == Listener::Profile::http   ? " http"
                          : l.profile == Listener::Profile::ldap ? " ldap"
                                                                 : " platform";
    lines.add(owner + ": " + l.address + profile + ", head within " + format_duration(l.head_timeout) +
              ", idle " + format_duration(l.idle_timeout) + ", via " + l.via);
    if (l.profile == Listener::Profile::ldap)
        lines.add(owner + " ldap: " + std::to_string(l.ldap.operations) +
                  " operations on a connection, messages up to " + format_size(l.ldap.message_limit) + ", " +
                  tls_text(l.ldap.tls) + (l.ldap.tls.required ? ", required" : ""));
    print_limits(lines, owner, l.limits);
}

std::string source_line(const Pool::Source& s) {
    using Kind = Pool::Source::Kind;
    switch (s.kind) {
        case Kind::list:
            return "a list of " + std::to_string(s.members.size());
        case Kind::file:
            return "file " + whole(s.path);
        case Kind::platform:
            return "platform " + s.address;
        case Kind::dns:
            break;
    }
    const std::string name = s.service.empty() ? s.host + ":" + std::to_string(s.port) : s.service;
    return "dns " + name + ", resolver " + (s.resolver.empty() ? "of the system" : s.resolver) + ", ttl " +
           format_duration(s.min_ttl) + " to " + format_duration(s.max_ttl) + ", timeout " +
           format_duration(s.timeout);
}

std::string class_line(const RequestClass& c) {
    const std::string rest = ", aim " + format_duration(c.aim) + ", worth " + number(c.worth);
    if (c.effect == Effect::repeatable) return "safe" + rest;
    if (c.effect == Effect::once) return "unsafe" + rest;
    const char* scope = c.dedup_scope == DedupScope::all    ? "all"
                        : c.dedup_scope == DedupScope::zone ? "zone"
                                                            : "cell";
    return std::string("keyed, repeats dropped by ") + scope + " for " + format_duration(c.dedup_window) +
           rest;
}

void print_pool(Lines& lines, const Pool& p) {
    const std::string owner = "pool " + p.name;
    const Settings& d = p.decisions;
    lines.add(owner + ": " + std::to_string(d.max_attempts) + " attempts at most, cold from " +
              number(d.cold_from) + ", warm within " + format_duration(d.warm_within) + ", falls over at " +
              number(d.fall_multiple) + ", siblings " + std::to_string(d.siblings) + ", cancel " +
              (d.may_cancel ? "yes" : "no") + ", connect within " + format_duration(p.connect_timeout) +
              ", idle " + format_duration(p.idle_close));
    if (p.is_ldap)
        lines.add(owner + " ldap: " +
                  (p.ldap.proxied ? "bound as " + whole(p.ldap.service) + " for whom each operation is, " +
                                        std::to_string(p.ldap.operations) +
                                        " operations on a connection, stall " + format_duration(p.ldap.stall)
                                  : std::string("each client on a connection of its own")) +
                  ", messages up to " + format_size(p.ldap.message_limit) + ", " + tls_text(p.ldap.tls));
    lines.add(owner + " members: " + source_line(p.source));
    for (const Member& m : p.source.members)
        lines.add(owner + " member " + m.id + ": " + m.address + ", zone " + or_dash(m.zone) + ", kind " +
                  or_dash(m.kind) + ", cell " + std::to_string(m.cell));
    for (std::size_t i = 0; i < p.class_names.size(); ++i)
        lines.add(owner + " class " + p.class_names[i] + ": " + class_line(d.classes[i]));
    print_limits(lines, owner, p.limits);
}

// ---- Routes ---------------------------------------------------------------------------------------------

std::string value_match(const char* what, const route::ValueMatch& m) {
    const std::string name = std::string(what) + " " + whole(m.name);
    if (m.kind == ValueKind::present) return name + " present";
    return name + (m.kind == ValueKind::exact ? " is " : " like ") + whole(m.value);
}

std::string match_text(const route::Match& m) {
    const char* kind = m.path.kind == PathKind::exact    ? "path is "
                       : m.path.kind == PathKind::prefix ? "path under "
                                                         : "path like ";
    std::string text = kind + whole(m.path.value);
    if (!m.method.empty()) text = m.method + ", " + text;
    if (!m.request_class.empty()) text += ", class " + m.request_class;
    for (const auto& header : m.headers) text += ", " + value_match("header", header);
    for (const auto& query : m.query) text += ", " + value_match("query", query);
    return text;
}

std::string path_text(const PathRewrite& path) {
    return (path.kind == PathRewrite::Kind::full ? " path " : " prefix ") + whole(path.value);
}

std::string redirect_text(const route::Redirect& r) {
    std::string text = "redirect " + std::to_string(r.status);
    if (!r.scheme.empty()) text += " scheme " + r.scheme;
    if (!r.host.empty()) text += " host " + r.host;
    if (r.port != 0) text += " port " + std::to_string(r.port);
    return r.path ? text + path_text(*r.path) : text;
}

std::string split_text(const route::SplitKey& key) {
    using From = route::SplitKey::From;
    const char* from = key.from == From::header ? "header " : key.from == From::query ? "query " : "cookie ";
    return ", split by " + (from + whole(key.name));
}

std::string action_text(const Route& r) {
    if (r.redirect) return redirect_text(*r.redirect);
    if (r.answer)
        return "answer " + std::to_string(r.answer->status) + " " + whole(r.answer->content_type) + " " +
               whole(r.answer->body);
    std::string text = "pool " + list(r.backends, "-", [](const route::Backend& b) {
                           return b.pool + " " + std::to_string(b.weight);
                       });
    if (r.split_by) text += split_text(*r.split_by);
    if (!r.rewrite_host.empty()) text += ", to host " + r.rewrite_host;
    if (r.rewrite_path) text += ", to" + path_text(*r.rewrite_path);
    return text;
}

std::string edits_text(const char* what, const std::vector<route::HeaderEdit>& edits) {
    using Kind = route::HeaderEdit::Kind;
    std::string text;
    for (const auto& edit : edits) {
        text += std::string(", ") + what;
        text += edit.kind == Kind::set ? " set " : edit.kind == Kind::add ? " add " : " remove ";
        text += edit.name;
        if (edit.kind != Kind::remove) (text += '=') += whole(edit.value);
    }
    return text;
}

std::string route_line(const Route& r, std::optional<std::size_t> match) {
    const auto plain = [](const std::string& text) { return text; };
    return "route " + r.name + ": on " + list(r.listeners, "all listeners", plain) + "; host " +
           list(r.hosts, "any", plain) + "; " + (match ? match_text(r.matches[*match]) : "everything") +
           " -> " + action_text(r) + edits_text("request", r.request_headers) +
           edits_text("answer", r.answer_headers);
}

std::string handling_line(const Route& r) {
    const route::Handling& h = r.handling;
    const auto status = [](unsigned s) { return std::to_string(s); };
    const auto by_method = [](const auto& one) { return one.first + " " + one.second; };
    return "handling " + r.name + ": timeout " + format_duration(h.timeout) + ", stream idle " +
           format_duration(h.stream_idle) + ", attempts " + std::to_string(h.attempts) + ", request up to " +
           format_size(h.request_limit) + ", answer up to " +
           (h.answer_limit == 0 ? "any size" : format_size(h.answer_limit)) + ", buffer " +
           format_size(h.buffer) + "; classes: safe " + h.safe_class + ", unsafe " + h.unsafe_class +
           ", keyed " + or_dash(h.keyed_class) + ", by method " + list(h.classes, "-", by_method) +
           "; errors " + list(h.errors, "-", status) + "; never ran " + list(h.never_ran, "-", status) +
           "; via " + (h.add_via ? "yes" : "no") + ", forwarded " + (h.add_forwarded ? "yes" : "no");
}

std::string ldap_route_line(const ldap::Route& r) {
    const auto plain = [](const std::string& text) { return text; };
    const auto op = [](ldap::Op o) { return std::string(ldap::name_of(o)); };
    const auto code = [](std::int32_t c) { return ldap::name_of_code(c); };
    const auto by_op = [&](const auto& one) { return op(one.first) + " " + one.second; };
    const auto by_oid = [](const auto& one) { return one.first + " " + one.second; };
    const ldap::Handling& h = r.handling;
    return "ldap_route " + r.name + ": on " + list(r.listeners, "all listeners", plain) + "; under " +
           list(r.suffixes, "any name", whole) + "; " + list(r.operations, "all operations", op) + "; by " +
           list(r.identities, "anybody", whole) + " -> pool " + r.pool + "; timeout " +
           format_duration(h.timeout) + ", stream idle " + format_duration(h.stream_idle) + ", attempts " +
           std::to_string(h.attempts) + ", buffer " + format_size(h.buffer) + "; classes: safe " +
           h.safe_class + ", unsafe " + h.unsafe_class + ", by operation " + list(h.classes, "-", by_op) +
           ", extended " + list(h.extended, "-", by_oid) + "; errors " + list(h.errors, "-", code) +
           "; never ran " + list(h.never_ran, "-", code);
}

void print_fleet(Lines& lines, const Fleet& f) {
    lines.add("fleet " + f.name + ": " + f.self + " of " + std::to_string(f.members.size()) +
              ", probes each " + format_duration(f.probe_period) + ", control " +
              (f.control.empty() ? "-" : whole(f.control)));
    for (const Fleet::Limit& l : f.limits)
        lines.add("fleet " + f.name + " limit " + l.name + ": of pool " + l.pool + ", " +
                  list(l.classes, "all classes", [](const std::string& name) { return name; }) + ": " +
                  (l.open > 0
                       ? std::to_string(l.open) + " open at once, each for " + format_duration(l.longest)
                       : number(l.rate) + " a second, " + number(l.burst) + " at once") +
                  ", strict, leases of " + format_duration(l.lease));
    for (const Fleet::Member& m : f.members)
        lines.add("fleet " + f.name + " member " + m.name + ": " + m.address);
}

}  // namespace

std::vector<Tried> order_of_trial(const std::vector<Route>& routes) {
    std::vector<Tried> order;
    for (std::size_t i = 0; i < routes.size(); ++i) {
        if (routes[i].matches.empty()) order.push_back({i, std::nullopt});
        for (std::size_t j = 0; j < routes[i].matches.size(); ++j) order.push_back({i, j});
    }
    return order;
}

std::string print_services(const Services& s) {
    Lines lines;
    lines.add("process: descriptors " + std::to_string(s.descriptors) + ", bytes " + format_size(s.bytes) +
              ", requests " + std::to_string(s.requests) + ", drain within " + format_duration(s.drain) +
              ", seed " + (s.seed ? std::to_string(*s.seed) : "chosen at start"));
    for (const Listener& listener : s.listeners) print_listener(lines, listener);
    for (const Pool& pool : s.pools) print_pool(lines, pool);
    for (const Tried& tried : order_of_trial(s.routes))
        lines.add(route_line(s.routes[tried.route], tried.match));
    for (const ldap::Route& route : s.ldap_routes) lines.add(ldap_route_line(route));
    for (const Route& route : s.routes)
        if (!route.redirect && !route.answer) lines.add(handling_line(route));
    if (s.fleet) print_fleet(lines, *s.fleet);
    return std::move(lines).text();
}

}  // namespace whinledge::config
