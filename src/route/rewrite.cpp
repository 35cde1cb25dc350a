#include "route/rewrite.hpp"

#include <algorithm>

#include "route/path.hpp"
#include "route/text.hpp"

namespace whinledge::route {

namespace {

// What neither a path nor a query holds (RFC 3986 3.3, 3.4) leaves as a triplet. '%' stays: it starts one.
void append_safe(std::string& out, std::string_view text, bool query) {
    const auto safe = [&](char c) {
        if (c <= ' ' || c > '~') return false;
        return std::string_view("\"#<>\\^`{|}[]").find(c) == std::string_view::npos && (query || c != '?');
    };
    for (const char c : text) {
        if (safe(c))
            out += c;
        else
            append_triplet(out, static_cast<unsigned char>(c));
    }
}

void append_query(std::string& out, std::string_view query) {
    if (query.empty()) return;
    out += '?';
    append_safe(out, query, true);
}

std::string new_path(const PathRewrite& rewrite, const Found& found) {
    std::string path;
    if (rewrite.kind == PathRewrite::Kind::full) {
        append_safe(path, rewrite.value, false);
    } else {
        append_safe(path, without_slash(rewrite.value), false);
        append_safe(path, found.path.substr(std::min(found.prefix_length, found.path.size())), false);
    }
    return path.starts_with('/') ? path : '/' + path;
}

bool is_host(std::string_view host) {
    HostText room;
    return read_host(host, room).has_value();
}

std::uint16_t usual_port(std::string_view scheme) {
    return scheme == "http" ? 80 : scheme == "https" ? 443 : 0;
}

std::uint16_t redirect_port(const Redirect& redirect, Arrival arrival) {
    if (redirect.port != 0) return redirect.port;
    const std::uint16_t usual = usual_port(redirect.scheme);
    return usual != 0 ? usual : arrival.port;
}

}  // namespace

std::string upstream_target(const PathRewrite& rewrite, const Found& found, std::string_view query) {
    std::string target = new_path(rewrite, found);
    append_query(target, query);
    return target;
}

std::string_view upstream_host(const Route& route, std::string_view came) {
    return route.rewrite_host.empty() || !is_host(route.rewrite_host) ? came : route.rewrite_host;
}

void HeaderFields::set(std::string_view name, std::string_view value) {
    const auto same = [&](const auto& field) { return same_name(field.first, name); };
    const auto first = std::ranges::find_if(fields, same);
    if (first == fields.end()) return add(name, value);
    first->second = value;
    fields.erase(std::remove_if(first + 1, fields.end(), same), fields.end());
}

void HeaderFields::add(std::string_view name, std::string_view value) { fields.emplace_back(name, value); }

void HeaderFields::remove(std::string_view name) {
    std::erase_if(fields, [&](const auto& field) { return same_name(field.first, name); });
}

void edit(std::span<const HeaderEdit> edits, HeaderSink& headers) {
    using Kind = HeaderEdit::Kind;
    for (const Kind kind : {Kind::set, Kind::add, Kind::remove})
        for (const HeaderEdit& edit : edits) {
            if (edit.kind != kind || !is_token(edit.name) || !is_field_value(edit.value)) continue;
            if (kind == Kind::set) headers.set(edit.name, edit.value);
            if (kind == Kind::add) headers.add(edit.name, edit.value);
            if (kind == Kind::remove) headers.remove(edit.name);
        }
}

std::string location(const Redirect& redirect, const Found& found, std::string_view path,
                     std::string_view query, Arrival arrival) {
    std::string way;
    if (redirect.path)
        way = new_path(*redirect.path, found);
    else
        append_safe(way, path.empty() ? "/" : path, false);
    std::string text;
    const std::string_view host = redirect.host.empty() ? found.host : std::string_view(redirect.host);
    if (host.empty() || !is_host(host)) {
        way.erase(0, std::min(way.find_first_not_of('/'), way.size()));
        text = '/';
    } else {
        const bool is_https = (redirect.scheme.empty() ? arrival.scheme : redirect.scheme) == "https";
        const std::string_view scheme = is_https ? "https" : "http";
        ((text += scheme) += "://") += host;
        const std::uint16_t port = redirect_port(redirect, arrival);
        if (port != 0 && port != usual_port(scheme)) (text += ':') += std::to_string(port);
    }
    text += way;
    append_query(text, query);
    return text;
}

}  // namespace whinledge::route
