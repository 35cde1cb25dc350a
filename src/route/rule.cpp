#include "route/rule.hpp"

namespace whinledge::route {

namespace {

bool fits(const Condition& condition, std::string_view value) {
    if (condition.kind == ValueKind::present) return true;
    return condition.kind == ValueKind::exact ? condition.value == value : condition.regex->matches(value);
}

bool query_fits(const Condition& condition, std::string_view query, std::string& decoded) {
    const auto raw = query_value(query, condition.name);
    if (!raw) return false;
    if (condition.kind != ValueKind::regex)
        return condition.kind == ValueKind::present || equals_decoded(*raw, condition.value);
    decode(*raw, decoded);
    return fits(condition, decoded);
}

}  // namespace

std::optional<std::string_view> header_value(const Headers* headers, std::string_view name,
                                             std::string& joined) {
    if (!headers) return std::nullopt;
    const auto first = headers->value(name, 0);
    if (!first) return std::nullopt;
    auto next = headers->value(name, 1);
    if (!next) return first;
    joined.assign(*first);
    for (std::size_t nth = 2; next; next = headers->value(name, nth++)) (joined += ", ") += *next;
    return joined;
}

bool Rule::conditions_hold(const RequestView& request, std::string& value) const {
    if (by_method && match->method != request.method) return false;
    if (by_class && match->request_class != request.request_class) return false;
    for (const Condition& condition : headers) {
        const auto came = header_value(request.headers, condition.name, value);
        if (!came || !fits(condition, *came)) return false;
    }
    for (const Condition& condition : query)
        if (!query_fits(condition, request.query, value)) return false;
    return true;
}

Rule::Rank Rule::rank() const {
    const std::size_t header_count = headers.size() + by_class;
    return {std::size_t(by_method), header_count, query.size()};
}

}  // namespace whinledge::route
