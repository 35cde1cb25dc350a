#include "route/choices.hpp"

#include <algorithm>
#include <map>

#include "route/text.hpp"

namespace whinledge::route {

namespace {

std::uint64_t with(std::uint64_t hash, std::uint64_t value) { return mix64(hash + kSplitMixStep + value); }

// What rules of a group have in common. Sorted, since the order of conditions doesn't matter.
std::vector<std::string> shape(const Rule& rule) {
    std::vector<std::string> shape;
    const auto add = [&](char of, std::string_view name, ValueKind kind) {
        shape.push_back({of, kind == ValueKind::exact ? 'v' : kind == ValueKind::present ? 'p' : 'r'});
        shape.back() += name;
    };
    if (rule.by_method) add('m', "", ValueKind::exact);
    if (rule.by_class) add('c', "", ValueKind::exact);
    for (const Condition& condition : rule.headers) add('h', condition.name, condition.kind);
    for (const Condition& condition : rule.query) add('q', condition.name, condition.kind);
    std::ranges::sort(shape);
    return shape;
}

bool has_expression(const Rule& rule) {
    const auto is_regex = [](const Condition& condition) { return condition.kind == ValueKind::regex; };
    return std::ranges::any_of(rule.headers, is_regex) || std::ranges::any_of(rule.query, is_regex);
}

// Sums of hashes by name, since rules of a group may name them in different orders.
std::uint64_t part(std::string_view name, std::uint64_t value, bool header) {
    return with(hash_of(name) + header, value);
}

std::uint64_t hash_of_rule(const Rule& rule) {
    std::uint64_t hash = with(hash_of(rule.match->method), hash_of(rule.match->request_class));
    for (const Condition& condition : rule.headers)
        if (condition.kind == ValueKind::exact) hash += part(condition.name, hash_of(condition.value), true);
    for (const Condition& condition : rule.query)
        if (condition.kind == ValueKind::exact) hash += part(condition.name, hash_of(condition.value), false);
    return mix64(hash);
}

// The hash that a rule with the same names has if it holds for the request; none: none of them can.
std::optional<std::uint64_t> hash_of_request(const Rule& like, const RequestView& request,
                                             std::string& value) {
    std::uint64_t hash = with(hash_of(like.by_method ? request.method : ""),
                              hash_of(like.by_class ? request.request_class : ""));
    for (const Condition& condition : like.headers) {
        const auto came = header_value(request.headers, condition.name, value);
        if (!came) return std::nullopt;
        if (condition.kind == ValueKind::exact) hash += part(condition.name, hash_of(*came), true);
    }
    for (const Condition& condition : like.query) {
        const auto came = query_value(request.query, condition.name);
        if (!came) return std::nullopt;
        if (condition.kind != ValueKind::exact) continue;
        decode(*came, value);
        hash += part(condition.name, hash_of(value), false);
    }
    return mix64(hash);
}

}  // namespace

Choices::Choices(const std::vector<Rule>& all, std::span<const std::uint32_t> rules) : all_(all) {
    std::map<std::vector<std::string>, std::size_t> groups;
    for (const std::uint32_t at : rules) {
        const auto [known, is_new] = groups.emplace(shape(all_[at]), groups_.size());
        if (is_new) groups_.push_back({{}, !has_expression(all_[at]), {}});
        groups_[known->second].rules.push_back(at);
    }
    for (Group& group : groups_) {
        if (!group.hashed) continue;
        group.slots.reserve(group.rules.size());
        for (std::uint32_t n = 0; n < group.rules.size(); ++n)
            group.slots.insert(hash_of_rule(all_[group.rules[n]]), n + 1);
    }
}

const Rule* Choices::find(const RequestView& request, std::string& value) const {
    std::optional<std::uint32_t> best;
    Rule::Rank rank{};
    for (const Group& group : groups_) {
        const Rule::Rank own = all_[group.rules.front()].rank();
        if (best && own != rank) break;
        const auto found = in_group(group, request, value);
        if (!found || (best && *best < *found)) continue;
        best = found;
        rank = own;
    }
    return best ? &all_[*best] : nullptr;
}

std::optional<std::uint32_t> Choices::in_group(const Group& group, const RequestView& request,
                                               std::string& value) const {
    const auto holds = [&](std::uint32_t at) { return all_[group.rules[at]].holds(request, value); };
    if (group.hashed) {
        const auto hash = hash_of_request(all_[group.rules.front()], request, value);
        const std::uint32_t place = hash ? group.slots.find(*hash, holds) : Slots::kNone;
        return place == Slots::kNone ? std::nullopt : std::optional(group.rules[place - 1]);
    }
    for (std::uint32_t at = 0; at < group.rules.size(); ++at)
        if (holds(at)) return group.rules[at];
    return std::nullopt;
}

}  // namespace whinledge::route
