#include "data_plane/request_facts.hpp"

#include <boost/beast/core/string.hpp>
#include <charconv>
#include <string_view>

namespace whinledge::data_plane {

namespace {

std::string_view value(const boost::beast::http::request_header<>& head, const char* name) {
    const auto field = head[name];
    return {field.data(), field.size()};
}

template <class Figure>
std::optional<Figure> read_figure(std::string_view text) {
    Figure figure{};
    const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), figure);
    if (failed != std::errc() || end != text.data() + text.size() || figure < 0) return std::nullopt;
    return figure;
}

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
    while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
    return text;
}

}  // namespace

RequestFacts read_facts(const boost::beast::http::request_header<>& head) {
    RequestFacts facts;
    facts.try_id = value(head, "Try-Id");
    facts.program = value(head, "Program");
    facts.previous = value(head, "Previous");
    facts.time_left = read_figure<double>(value(head, "Time-Left"));
    facts.finish_in = read_figure<double>(value(head, "Finish-Ms"));
    facts.budget = read_figure<std::int64_t>(value(head, "Budget")).value_or(0);
    const std::string_view tokens = value(head, "Token-Count");  // of the prompt, and the most out
    if (const auto comma = tokens.find(','); comma != std::string_view::npos)
        facts.most_tokens = read_figure<std::int64_t>(trimmed(tokens.substr(comma + 1))).value_or(0);
    return facts;
}

bool is_set_by_proxy(boost::beast::string_view name) {
    return boost::beast::iequals(name, "Time-Left") || boost::beast::iequals(name, "Wanted-Server");
}

}  // namespace whinledge::data_plane
