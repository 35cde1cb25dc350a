#include "ldap_codec/routes.hpp"

#include <algorithm>

#include "ldap_codec/dn.hpp"

namespace whinledge::ldap {

bool Routes::Rule::holds(const Asked& asked) const {
    if (!listeners.empty() && (asked.listener >= listeners.size() || !listeners[asked.listener]))
        return false;
    if (!operations.empty() && std::find(operations.begin(), operations.end(), asked.op) == operations.end())
        return false;
    if (identities.empty() && !anonymous) return true;
    if (asked.identity.empty()) return anonymous;
    return std::any_of(identities.begin(), identities.end(),
                       [&](const std::string& identity) { return is_under(asked.identity, identity); });
}

Routes::Compiled Routes::compile(std::vector<Route> routes, std::span<const std::string> listeners) {
    Compiled to;
    Routes& table = to.routes;
    table.routes_ = std::move(routes);
    for (std::size_t i = 0; i < table.routes_.size(); ++i) {
        const Route& route = table.routes_[i];
        const auto fault = [&](const std::string& what) { to.faults.push_back({route.name, what}); };
        Rule rule;
        rule.route = i;
        rule.operations = route.operations;
        if (!route.listeners.empty()) rule.listeners.resize(listeners.size());
        for (const std::string& name : route.listeners) {
            const auto at = std::find(listeners.begin(), listeners.end(), name);
            if (at == listeners.end())
                fault("there is no listener \"" + name + "\"");
            else
                rule.listeners[static_cast<std::size_t>(at - listeners.begin())] = true;
        }
        for (const std::string& identity : route.identities) {
            if (identity == "anonymous") {
                rule.anonymous = true;
                continue;
            }
            const auto normal = normal_dn(identity);
            if (!normal || normal->empty())
                fault("\"" + identity + "\" is no name");
            else
                rule.identities.push_back(*normal);
        }
        std::vector<std::string> suffixes = route.suffixes;
        if (suffixes.empty()) suffixes.emplace_back();
        for (const std::string& suffix : suffixes) {
            const auto normal = normal_dn(suffix);
            if (!normal)
                fault("\"" + suffix + "\" is no name");
            else
                table.by_suffix_[*normal].push_back(rule);
        }
    }
    for (auto& [suffix, rules] : table.by_suffix_)
        std::stable_sort(rules.begin(), rules.end(), [](const Rule& a, const Rule& b) {
            const auto rank = [](const Rule& r) {
                return 2 * !r.operations.empty() + (!r.identities.empty() || r.anonymous);
            };
            return rank(a) > rank(b);
        });
    return to;
}

const Route* Routes::find(const Asked& asked) const {
    const Route* found = nullptr;
    each_above(asked.dn, [&](std::string_view above) {
        const auto at = by_suffix_.find(std::string(above));
        if (at == by_suffix_.end()) return false;
        const auto rule =
            std::find_if(at->second.begin(), at->second.end(), [&](const Rule& r) { return r.holds(asked); });
        if (rule == at->second.end()) return false;
        found = &routes_[rule->route];
        return true;
    });
    return found;
}

const std::string& class_of(const Request& request, const Handling& how) {
    if (request.op == Op::extended)
        for (const auto& [oid, name] : how.extended)
            if (oid == request.oid) return name;
    for (const auto& [op, name] : how.classes)
        if (op == request.op) return name;
    const bool safe = request.op == Op::search || request.op == Op::compare || request.op == Op::bind;
    return safe ? how.safe_class : how.unsafe_class;
}

Meaning meaning_of(std::int32_t code, bool first, const Handling& how) {
    const auto among = [&](const std::vector<std::int32_t>& list) {
        return std::find(list.begin(), list.end(), code) != list.end();
    };
    if (among(how.never_ran)) return first ? Meaning::never_ran : Meaning::error;
    return among(how.errors) ? Meaning::error : Meaning::answer;
}

Tie tie_of(const Message& message, const Request& request) {
    if (message.control(oid::persistent)) return Tie::alone;
    if (const Control* const sync = message.control(oid::sync)) {
        // syncRequestValue's mode: refreshOnly is 1, refreshAndPersist 3 (RFC 4533, 2.2).
        BerReader outer(sync->value.value_or(std::string_view()));
        const auto sequence = outer.next(0x30);
        BerReader inner(sequence ? sequence->body : std::string_view());
        return inner.number(0x0a).value_or(3) == 1 ? Tie::none : Tie::alone;
    }
    if (message.control(oid::in_transaction)) return Tie::continues;
    if (request.op == Op::extended && request.oid == oid::start_transaction) return Tie::begins;
    if (request.op == Op::extended && request.oid == oid::end_transaction) return Tie::continues;
    if (const Control* const paged = message.control(oid::paged)) {
        const auto cookie = paged->value ? paged_cookie(*paged->value) : std::nullopt;
        return cookie && cookie->empty() ? Tie::begins : Tie::continues;
    }
    return Tie::none;
}

bool unties(const Message& response, const Request& request) {
    if (request.op == Op::extended) return request.oid == oid::end_transaction;
    const Control* const paged = response.control(oid::paged);
    const auto cookie = paged && paged->value ? paged_cookie(*paged->value) : std::nullopt;
    return !cookie || cookie->empty();
}

}  // namespace whinledge::ldap
