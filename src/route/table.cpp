#include "route/table.hpp"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <unordered_set>

#include "route/check.hpp"
#include "route/index.hpp"
#include "route/path.hpp"
#include "route/rule.hpp"
#include "route/text.hpp"

namespace whinledge::route {

class Compiler {
public:
    Compiler(std::vector<Route> routes, std::span<const std::string> listeners,
             std::span<const std::string> pools, RegexMaker regexes)
        : listener_names_(index(listeners)),
          pool_names_(index(pools)),
          make_regex_(regexes),
          table_(new Table) {
        table_->routes_ = std::move(routes);
        table_->shares_.resize(table_->routes_.size());
        table_->indexes_.resize(listeners.size());
    }

    Table::Compiled run() {
        for (Route& route : table_->routes_)
            if (route.matches.empty()) route.matches.emplace_back();
        check_all();
        for (std::uint32_t at = 0; at < table_->routes_.size(); ++at) add_rules(at);
        add_entries();
        const auto fatal = [](const Fault& fault) { return fault.kind != Fault::Kind::unreachable; };
        if (std::ranges::any_of(faults_, fatal)) table_.reset();
        return {std::move(table_), std::move(faults_)};
    }

private:
    static NameIndex index(std::span<const std::string> names) {
        NameIndex places;
        for (const std::string& name : names) places.emplace(name, static_cast<std::uint32_t>(places.size()));
        return places;
    }

    void add_fault(Fault::Kind kind, const Route& route, std::string what) {
        faults_.push_back({kind, route.origin, route.name, std::move(what)});
    }

    // Routes with a fault are left out of the index, so that what is said of the others is true of them.
    void check_all() {
        std::unordered_map<std::string_view, const Route*> names;
        for (const Route& route : table_->routes_) {
            const std::size_t before = faults_.size();
            check(route, {listener_names_, pool_names_}, faults_);
            const auto [same, is_new] = names.emplace(route.name, &route);
            if (!is_new) add_fault(Fault::Kind::name, route, "the name is taken at " + same->second->origin);
            sound_.push_back(faults_.size() == before);
        }
    }

    const Regex* regex(const Route& route, const std::string& where, const std::string& pattern) {
        if (const auto known = regexes_.find(pattern); known != regexes_.end() && known->second)
            return known->second;
        std::string fault = "regular expressions are not built in";
        std::unique_ptr<const Regex> made;
        if (make_regex_ && table_->regexes_.size() >= kMostRegexes)
            fault = "is one too many different expressions";
        else if (make_regex_)
            made = make_regex_(pattern, fault);
        if (!made) {
            add_fault(Fault::Kind::regex, route, where + ": " + fault);
            return nullptr;
        }
        table_->regexes_.push_back(std::move(made));
        return regexes_[pattern] = table_->regexes_.back().get();
    }

    // Of several conditions on one name the first counts.
    std::vector<Condition> conditions(const Route& route, const std::string& where,
                                      const std::vector<ValueMatch>& matches, bool header) {
        std::vector<Condition> made;
        for (const ValueMatch& match : matches) {
            const auto same = [&](const Condition& c) {
                return header ? same_name(c.name, match.name) : c.name == match.name;
            };
            if (std::ranges::any_of(made, same)) continue;
            const std::string name = header ? lowered(match.name) : match.name;
            const Regex* expression = match.kind == ValueKind::regex
                                          ? regex(route, where + " on " + match.name, match.value)
                                          : nullptr;
            made.push_back({name, match.kind, match.value, expression});
        }
        return made;
    }

    void add_rules(std::uint32_t route_at) {
        const Route& route = table_->routes_[route_at];
        first_rule_.push_back(table_->rules_.size());
        const std::size_t before = faults_.size();
        table_->shares_[route_at] = shares(route);
        for (std::size_t at = 0; at < route.matches.size(); ++at)
            add_rule(route, route_at, route.matches[at],
                     std::string("matches[").append(std::to_string(at)) + "]");
        if (faults_.size() != before) sound_[route_at] = false;
    }

    void add_rule(const Route& route, std::uint32_t route_at, const Match& match, const std::string& where) {
        Rule& rule = table_->rules_.emplace_back();
        rule.route = &route;
        rule.match = &match;
        rule.shares = table_->shares_[route_at];
        rule.kind = match.path.kind;
        rule.by_method = !match.method.empty();
        rule.by_class = !match.request_class.empty();
        rule.headers = conditions(route, where + ".headers", match.headers, true);
        rule.query = conditions(route, where + ".query", match.query, false);
        rule.conditions = rule.rank() != Rule::Rank{};
        if (rule.kind == PathKind::regex) {
            rule.path = match.path.value;
            rule.literal = literal_length(rule.path);
            rule.regex = regex(route, where + ".path", rule.path);
        } else if (sound_[route_at]) {
            read_path(match.path.value, {}, rule.path);
            if (rule.kind != PathKind::prefix) return;
            rule.path.resize(without_slash(rule.path).size());
            rule.prefix_length = static_cast<std::uint32_t>(rule.path.size());
        }
    }

    std::vector<Share> shares(const Route& route) const {
        std::vector<Share> shares;
        for (const Backend& backend : route.backends) {
            const auto pool = pool_names_.find(backend.pool);
            if (pool == pool_names_.end()) continue;
            const auto same = std::ranges::find(shares, pool->second, &Share::pool);
            if (same != shares.end())
                same->weight += backend.weight;
            else
                shares.push_back({pool->second, backend.weight, hash_of(backend.pool)});
        }
        return shares;
    }

    static std::vector<std::string> hosts(const Route& route) {
        if (route.hosts.empty()) return {""};
        std::vector<std::string> hosts;
        for (const std::string& host : route.hosts) hosts.push_back(read_host_pattern(host).value());
        std::ranges::sort(hosts);
        hosts.erase(std::unique(hosts.begin(), hosts.end()), hosts.end());
        return hosts;
    }

    // The routes of each listener, by their places; alike listeners share an index.
    void add_entries() {
        std::vector<std::vector<std::uint32_t>> of_listener(table_->indexes_.size());
        for (std::uint32_t at = 0; at < table_->routes_.size(); ++at) {
            if (!sound_[at]) continue;
            const auto& named = table_->routes_[at].listeners;
            std::unordered_set<std::uint32_t> places;
            for (const std::string& name : named) places.insert(listener_names_.at(name));
            for (std::uint32_t l = 0; l < of_listener.size(); ++l)
                if (named.empty() || places.contains(l)) of_listener[l].push_back(at);
        }
        std::map<std::vector<std::uint32_t>, std::shared_ptr<const Index>> made;
        std::vector<char> reached(table_->routes_.size()), added(table_->routes_.size());
        for (std::size_t l = 0; l < of_listener.size(); ++l) {
            auto& index = made[of_listener[l]];
            if (!index) index = make_index(of_listener[l], reached, added);
            table_->indexes_[l] = index;
        }
        for (std::size_t at = 0; at < reached.size(); ++at)
            if (added[at] && !reached[at])
                add_fault(Fault::Kind::unreachable, table_->routes_[at],
                          "routes before it take all its requests");
    }

    std::shared_ptr<const Index> make_index(const std::vector<std::uint32_t>& routes,
                                            std::vector<char>& reached, std::vector<char>& added) {
        auto index = std::make_shared<Index>(table_->rules_);
        for (const std::uint32_t at : routes) {
            const std::vector<std::string> names = hosts(table_->routes_[at]);
            const std::size_t rules = table_->routes_[at].matches.size();
            if ((entries_ += names.size() * rules) > kMostEntries) {
                add_fault(Fault::Kind::bound, table_->routes_[at], "is one too many for a table");
                break;
            }
            added[at] = true;
            for (const std::string& name : names)
                for (std::size_t r = 0; r < rules; ++r)
                    if (!index->add(static_cast<std::uint32_t>(first_rule_[at] + r), name))
                        reached[at] = true;
        }
        index->finish();
        return index;
    }

    NameIndex listener_names_, pool_names_;
    RegexMaker make_regex_;
    std::shared_ptr<Table> table_;
    std::vector<Fault> faults_;
    std::vector<char> sound_;              // by route
    std::vector<std::size_t> first_rule_;  // by route
    std::unordered_map<std::string, const Regex*> regexes_;
    std::size_t entries_ = 0;
};

Table::Table() = default;
Table::~Table() = default;

Table::Compiled Table::compile(std::vector<Route> routes, std::span<const std::string> listeners,
                               std::span<const std::string> pools, RegexMaker regexes) {
    return Compiler(std::move(routes), listeners, pools, regexes).run();
}

Found Table::read(const RequestView& request, const Index& index, PathLook look, Scratch& scratch) const {
    Found found;
    found.kind = Found::Kind::bad_request;
    const std::string_view path = request.path.empty() ? "/" : request.path;
    if (!look.normal && !read_path(path, {}, scratch.path)) return found;
    found.path = look.normal ? path : std::string_view(scratch.path);
    const auto host = read_host(request.host, scratch.host);
    if (!host) return found;
    found.host = *host;
    const Rule* rule = index.search(request, *host, found.path, scratch.value);
    // The other readings, where there are any.
    for (unsigned reading = 1; reading < 4; ++reading) {
        const Reading other{(reading & 1) != 0, (reading & 2) != 0};
        const bool differs = (other.parts_encoded && look.encoded_slash) ||
                             (other.merges && (look.empty_segment || look.encoded_slash));
        if (!differs) continue;
        if (!read_path(path, other, scratch.other)) return found;
        const Rule* same = index.search(request, *host, scratch.other, scratch.value);
        if ((same ? same->route : nullptr) != (rule ? rule->route : nullptr)) return found;
    }
    found.kind = rule ? Found::Kind::route : Found::Kind::none;
    if (!rule) return found;
    found.route = rule->route;
    found.match = rule->match;
    found.shares = rule->shares;
    found.prefix_length = rule->prefix_length;
    return found;
}

Found Table::find(const RequestView& request, Scratch& scratch) const {
    if (request.listener >= indexes_.size() || request.path == "*") return {};
    const PathLook look = look_at(request.path.empty() ? "/" : request.path);
    if (!look.valid) return {Found::Kind::bad_request, nullptr, nullptr, {}, {}, {}, 0};
    return read(request, *indexes_[request.listener], look, scratch);
}

}  // namespace whinledge::route
