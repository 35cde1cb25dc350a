// Where a request is addressed to.
#pragma once

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <string_view>

#include "http/message.hpp"

namespace whinledge {

// What a request's target and Host say of it (RFC 9112, 3.2). None: they can't be read.
struct Target {
    std::string_view host, path, query;
    bool has_query = false;  // be it an empty one
    bool asterisk = false;
};
inline std::optional<Target> read_target(const boost::beast::http::request_header<>& head) {
    using boost::beast::http::field;
    using boost::beast::http::verb;
    const auto view = [](boost::beast::string_view text) {
        return std::string_view(text.data(), text.size());
    };
    Target target;
    const auto hosts = head.count(field::host);
    if (hosts > 1 || (hosts == 0 && head.version() == 11)) return std::nullopt;
    target.host = view(head[field::host]);
    std::string_view whole = view(head.target());
    if (whole == "*") {
        if (head.method() != verb::options) return std::nullopt;
        target.asterisk = true;
        target.path = "/";
        return target;
    }
    for (const std::string_view scheme : {"http://", "https://"})
        if (whole.size() > scheme.size() &&
            boost::beast::iequals(boost::beast::string_view(whole.data(), scheme.size()),
                                  boost::beast::string_view(scheme.data(), scheme.size()))) {
            whole.remove_prefix(scheme.size());
            const auto end = std::min(whole.find_first_of("/?"), whole.size());
            target.host = whole.substr(0, end);
            whole.remove_prefix(end);
            if (whole.empty()) whole = "/";
        }
    if (whole.empty() || (whole.front() != '/' && whole.front() != '?')) return std::nullopt;
    if (!is_sound_target(whole) || !is_sound_host(target.host)) return std::nullopt;
    const auto mark = whole.find('?');
    target.path = whole.substr(0, mark);
    if (target.path.empty()) target.path = "/";
    target.has_query = mark != std::string_view::npos;
    if (target.has_query) target.query = whole.substr(mark + 1);
    return target;
}

}  // namespace whinledge
