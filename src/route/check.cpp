#include "route/check.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <string_view>

#include "route/host.hpp"
#include "route/path.hpp"
#include "route/text.hpp"

namespace whinledge::route {

namespace {

using Kind = Fault::Kind;
using std::string_view_literals::operator""sv;

std::string nth(std::string_view list, std::size_t at) {
    return std::string(list) + '[' + std::to_string(at) + ']';
}

// Of these a connection's ends speak with each other (RFC 9110 7.6.1), or they part one message from the
// next.
bool is_of_connection(std::string_view name) {
    constexpr std::string_view names[] = {
        "host",    "content-length", "transfer-encoding", "connection",      "te",
        "trailer", "upgrade",        "keep-alive",        "proxy-connection"};
    return std::ranges::any_of(names, [&](std::string_view own) { return same_name(own, name); });
}

// Why it is no path that can be compared or written; empty: it is one.
std::string_view path_fault(std::string_view path) {
    const PathLook look = look_at(path);
    if (!path.starts_with('/')) return "does not start with '/'";
    if (path.size() > kLongestPath) return "is too long";
    if (!look.valid) return "has a broken triplet or a character that no path holds";
    if (look.encoded_slash) return "has an encoded slash";
    if (look.empty_segment) return "has an empty segment";
    std::string plain;
    const bool read = read_path(path, {}, plain);
    if (!read || std::ranges::count(plain, '/') != std::ranges::count(path, '/')) return "has a dot segment";
    const std::string_view last = path.substr(path.rfind('/') + 1);
    if (plain.back() == '/' && !last.empty()) return "has a dot segment";
    return {};
}

class Check {
public:
    Check(const Route& route, Names names, std::vector<Fault>& faults)
        : route_(route), names_(names), faults_(faults) {}

    void all() {
        if (route_.name.empty()) add(Kind::name, "", "has none");
        listeners_and_hosts();
        if (route_.matches.size() > kMostMatches) add(Kind::bound, "matches", "are too many");
        for (std::size_t at = 0; at < route_.matches.size(); ++at)
            match(route_.matches[at], nth("matches", at));
        action();
        backends();
        rewrite();
        edits("request_headers", route_.request_headers);
        edits("answer_headers", route_.answer_headers);
        if (route_.redirect) redirect(*route_.redirect);
        if (route_.answer) answer(*route_.answer);
        handling(route_.handling);
    }

private:
    void add(Kind kind, std::string_view where, std::string_view what) {
        std::string text(where);
        if (!text.empty()) text += ": ";
        faults_.push_back({kind, route_.origin, route_.name, text += what});
    }

    void listeners_and_hosts() {
        for (std::size_t at = 0; at < route_.listeners.size(); ++at)
            if (!names_.listeners.contains(route_.listeners[at]))
                add(Kind::listener, nth("listeners", at), "unknown");
        for (std::size_t at = 0; at < route_.hosts.size(); ++at) {
            const auto host = read_host_pattern(route_.hosts[at]);
            if (!host)
                add(Kind::host, nth("hosts", at), "is neither a host nor \"*.\" and one, without a port");
            else if (host->front() == '.' && std::size_t(std::ranges::count(*host, '.')) > kDeepestWildcard)
                add(Kind::host, nth("hosts", at), "has too many labels");
        }
    }

    void match(const Match& match, const std::string& where) {
        path(match.path, where + ".path");
        if (!match.method.empty() && !is_token(match.method))
            add(Kind::method, where + ".method", "is not a token (RFC 9110 9.1)");
        if (std::max(match.headers.size(), match.query.size()) > kMostConditions)
            add(Kind::bound, where, "has too many conditions");
        for (std::size_t at = 0; at < match.headers.size(); ++at)
            header(match.headers[at], where + nth(".headers", at));
        for (std::size_t at = 0; at < match.query.size(); ++at)
            if (match.query[at].name.empty()) add(Kind::field, where + nth(".query", at), "has no name");
        if (!is_field_value(match.request_class))
            add(Kind::field, where + ".request_class", "is no header's value");
    }

    void path(const PathMatch& path, const std::string& where) {
        if (path.kind == PathKind::regex) return;
        if (const auto fault = path_fault(path.value); !fault.empty()) return add(Kind::path, where, fault);
        const std::string_view prefix = without_slash(path.value);
        if (path.kind == PathKind::prefix && std::size_t(std::ranges::count(prefix, '/')) > kDeepestPrefix)
            add(Kind::bound, where, "has too many segments");
    }

    void header(const ValueMatch& header, const std::string& where) {
        if (!is_token(header.name)) add(Kind::field, where + ".name", "is not a token (RFC 9110 5.6.2)");
        if (header.kind == ValueKind::exact && !is_field_value(header.value))
            add(Kind::field, where + ".value", "can't be a header's (RFC 9110 5.5)");
    }

    void action() {
        const int actions =
            !route_.backends.empty() + route_.redirect.has_value() + route_.answer.has_value();
        if (actions != 1) add(Kind::action, "", actions ? "has several actions" : "has no action");
        if (!route_.backends.empty()) return;
        if (!route_.rewrite_host.empty() || route_.rewrite_path)
            add(Kind::action, "", "rewrites what goes to no pool");
        if (route_.split_by) add(Kind::action, "split_by", "has no pools to choose of");
    }

    void backends() {
        std::uint64_t sum = 0;
        for (std::size_t at = 0; at < route_.backends.size(); ++at) {
            if (!names_.pools.contains(route_.backends[at].pool))
                add(Kind::pool, nth("backends", at), "unknown pool");
            sum += route_.backends[at].weight;
        }
        if (sum > std::numeric_limits<std::uint32_t>::max())
            add(Kind::weight, "backends", "their weights sum up to more than 4294967295");
        if (!route_.split_by) return;
        const SplitKey& key = *route_.split_by;
        if (key.from == SplitKey::From::query ? key.name.empty() : !is_token(key.name))
            add(Kind::field, "split_by.name", "is not a token (RFC 9110 5.6.2)");
    }

    void rewrite() {
        const auto host = read_host_pattern(route_.rewrite_host);
        if (!route_.rewrite_host.empty() && (!host || host->front() == '.'))
            add(Kind::rewrite, "rewrite_host", "is not a host");
        if (route_.rewrite_path) new_path(Kind::rewrite, "rewrite_path", *route_.rewrite_path);
    }

    void new_path(Kind kind, std::string_view where, const PathRewrite& path) {
        const bool prefix = path.kind == PathRewrite::Kind::prefix;
        if (const auto fault = path_fault(path.value); !fault.empty() && !(prefix && path.value.empty()))
            add(kind, where, fault);
        const auto is_prefix = [](const Match& match) { return match.path.kind == PathKind::prefix; };
        if (prefix && !std::ranges::all_of(route_.matches, is_prefix))
            add(kind, where, "is of a prefix, and not all matches are by prefix");
    }

    void edits(std::string_view list, const std::vector<HeaderEdit>& edits) {
        for (std::size_t at = 0; at < edits.size(); ++at) {
            const HeaderEdit& edit = edits[at];
            if (!is_token(edit.name))
                add(Kind::field, nth(list, at), "its name is not a token (RFC 9110 5.6.2)");
            if (is_of_connection(edit.name))
                add(Kind::field, nth(list, at), "is a header of the connection itself");
            if (edit.kind != HeaderEdit::Kind::remove && !is_field_value(edit.value))
                add(Kind::field, nth(list, at), "its value can't be a header's (RFC 9110 5.5)");
            const auto again = [&](const HeaderEdit& before) {
                return before.kind == HeaderEdit::Kind::set && same_name(before.name, edit.name);
            };
            if (edit.kind == HeaderEdit::Kind::set &&
                std::any_of(edits.begin(), edits.begin() + std::ptrdiff_t(at), again))
                add(Kind::field, nth(list, at), "is set twice");
        }
    }

    void redirect(const Redirect& redirect) {
        if (!redirect.scheme.empty() && redirect.scheme != "http" && redirect.scheme != "https")
            add(Kind::redirect, "redirect.scheme", "is neither http nor https");
        const auto host = read_host_pattern(redirect.host);
        if (!redirect.host.empty() && (!host || host->front() == '.'))
            add(Kind::redirect, "redirect.host", "is not a host");
        if (redirect.path) new_path(Kind::redirect, "redirect.path", *redirect.path);
        constexpr unsigned statuses[] = {301, 302, 303, 307, 308};
        if (std::ranges::find(statuses, redirect.status) == std::end(statuses))
            add(Kind::redirect, "redirect.status", "is none of 301, 302, 303, 307, 308");
    }

    void answer(const FixedAnswer& answer) {
        if (answer.status < 200 || answer.status > 599)
            add(Kind::answer, "answer.status", "is not from 200 to 599");
        if (!is_field_value(answer.content_type))
            add(Kind::answer, "answer.content_type", "is no header's value");
        const bool bare = answer.status == 204 || answer.status == 205 || answer.status == 304;
        if (bare && !answer.body.empty())
            add(Kind::answer, "answer.body", "goes with no such status (RFC 9110 6.4.1)");
    }

    void handling(const Handling& handling) {
        for (const auto& [time, name] :
             {std::pair(handling.timeout, "timeout"sv), {handling.stream_idle, "stream_idle"sv}})
            if (!std::isfinite(time) || time <= 0) add(Kind::handling, name, "is not above 0");
        if (handling.attempts < 1 || handling.attempts > 4)
            add(Kind::handling, "attempts", "is not from 1 to 4");
        const auto is_status = [](unsigned status) { return status >= 100 && status <= 599; };
        if (!std::ranges::all_of(handling.errors, is_status)) add(Kind::handling, "errors", "hold no status");
        const auto is_error = [&](unsigned s) {
            return std::ranges::find(handling.errors, s) != handling.errors.end();
        };
        if (!std::ranges::all_of(handling.never_ran, is_error))
            add(Kind::handling, "never_ran", "names a status that is not among the errors");
        for (const auto& [method, name] : handling.classes)
            if (!is_token(method)) add(Kind::method, "classes", "a method is not a token (RFC 9110 9.1)");
    }

    const Route& route_;
    Names names_;
    std::vector<Fault>& faults_;
};

}  // namespace

std::string to_text(const Fault& fault) {
    const std::string raw = fault.origin + ": route \"" + fault.route + "\": " + fault.what;
    std::string text;
    for (const char c : raw) {
        if (c >= ' ' && c <= '~')
            text += c;
        else
            append_triplet(text, static_cast<unsigned char>(c));
    }
    return text;
}

void check(const Route& route, Names names, std::vector<Fault>& faults) { Check(route, names, faults).all(); }

}  // namespace whinledge::route
