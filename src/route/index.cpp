#include "route/index.hpp"

#include <algorithm>
#include <bit>
#include <deque>
#include <unordered_set>

#include "route/text.hpp"

namespace whinledge::route {

namespace {

constexpr std::size_t kMostProved = 6;  // conditions of a rule whose wider forms are looked for

std::uint64_t bucket_hash(std::uint64_t path, std::uint32_t key) { return mix64(path + key * kSplitMixStep); }

// Texts one after the other, so that no two lists of texts give the same.
void append_sized(std::string& key, std::string_view text) {
    ((key += std::to_string(text.size())) += ':') += text;
}

std::string condition_key(const Condition& condition, bool header, bool as_present) {
    std::string key(1, header ? 'h' : 'q');
    const ValueKind kind = as_present ? ValueKind::present : condition.kind;
    key += std::to_string(static_cast<int>(kind));
    append_sized(key, condition.name);
    if (kind != ValueKind::present) append_sized(key, condition.value);
    return key;
}

// `wider`: bit n: condition n (headers, then query) asks for presence only.
std::string rule_key(const Rule& rule, std::uint32_t host, unsigned wider) {
    std::string key = std::to_string(host) + ',' + std::to_string(static_cast<int>(rule.kind));
    append_sized(key, rule.path);
    append_sized(key, rule.match->method);
    append_sized(key, rule.match->request_class);
    std::vector<std::string> conditions;
    for (const Condition& c : rule.headers)
        conditions.push_back(condition_key(c, true, wider >> conditions.size() & 1));
    for (const Condition& c : rule.query)
        conditions.push_back(condition_key(c, false, wider >> conditions.size() & 1));
    std::ranges::sort(conditions);
    for (const std::string& condition : conditions) append_sized(key, condition);
    return key;
}

}  // namespace

// What is needed only until all rules are there.
struct Index::Building {
    std::deque<std::string> names;                    // of hosts
    std::vector<std::vector<std::uint32_t>> regexes;  // by host
    std::vector<std::vector<std::uint32_t>> rules;    // by bucket
    std::unordered_set<std::string> seen;
};

Index::Index(const std::vector<Rule>& rules) : rules_(rules), building_(new Building) { host({}); }
Index::~Index() = default;

std::uint32_t Index::host(std::string_view name) {
    std::uint64_t hash = kHashStart;
    for (auto c = name.rbegin(); c != name.rend(); ++c) hash = hash_next(hash, *c);
    const auto same = [&](std::uint32_t at) { return building_->names[at] == name; };
    if (const std::uint32_t place = host_slots_.find(mix64(hash), same)) return place - 1;
    const std::string& kept = building_->names.emplace_back(name);
    building_->regexes.emplace_back();
    Host& host = hosts_.emplace_back();
    host.name = kept.data();
    host.size = static_cast<std::uint32_t>(kept.size());
    host_slots_.insert(mix64(hash), static_cast<std::uint32_t>(hosts_.size()));
    if (name.starts_with('.')) levels_ |= std::uint64_t(1) << std::ranges::count(name, '.');
    return static_cast<std::uint32_t>(hosts_.size() - 1);
}

bool Index::add(std::uint32_t rule, std::string_view name) {
    const std::uint32_t at = host(name);
    if (seen(rules_[rule], at)) return true;  // and never found: left out
    if (rules_[rule].kind == PathKind::regex)
        building_->regexes[at].push_back(rule);
    else
        add_path(rule, at);
    return false;
}

void Index::add_path(std::uint32_t rule, std::uint32_t at) {
    const std::string& path = rules_[rule].path;
    const bool exact = rules_[rule].kind == PathKind::exact;
    if (exact)
        hosts_[at].exact = true;
    else
        hosts_[at].depths |= std::uint64_t(1) << std::ranges::count(path, '/');
    std::uint64_t hash = kHashStart;
    for (const char c : path) hash = hash_next(hash, c);
    const std::uint32_t key = bucket_key(at, exact);
    const Bucket* known = find_bucket(key, hash, path);
    if (!known) {
        buckets_.push_back({path.data(), static_cast<std::uint32_t>(path.size()), key, 0, 0});
        building_->rules.emplace_back();
        bucket_slots_.insert(bucket_hash(hash, key), static_cast<std::uint32_t>(buckets_.size()));
        known = &buckets_.back();
    }
    building_->rules[static_cast<std::size_t>(known - buckets_.data())].push_back(rule);
}

bool Index::seen(const Rule& rule, std::uint32_t at) {
    const std::size_t conditions = rule.headers.size() + rule.query.size();
    const unsigned forms = conditions <= kMostProved ? 1u << conditions : 1;
    for (unsigned wider = 1; wider < forms; ++wider)
        if (building_->seen.contains(rule_key(rule, at, wider))) return true;
    return !building_->seen.insert(rule_key(rule, at, 0)).second;
}

void Index::finish() {
    sort_rules();
    keep_rules();
    keep_texts();
    building_.reset();
}

// Stable: what is equal stays in the file's order.
void Index::sort_rules() {
    const auto first = [&](std::uint32_t a, std::uint32_t b) { return rules_[a].rank() > rules_[b].rank(); };
    for (auto& rules : building_->rules) std::ranges::stable_sort(rules, first);
    for (auto& regexes : building_->regexes)
        std::ranges::stable_sort(regexes, [&](std::uint32_t a, std::uint32_t b) {
            if (rules_[a].literal != rules_[b].literal) return rules_[a].literal > rules_[b].literal;
            return first(a, b);
        });
}

void Index::keep_rules() {
    const auto keep = [&](const std::vector<std::uint32_t>& list) {
        lists_.insert(lists_.end(), list.begin(), list.end());
        return static_cast<std::uint32_t>(lists_.size() - list.size());
    };
    for (std::size_t at = 0; at < hosts_.size(); ++at) {
        hosts_[at].first_regex = keep(building_->regexes[at]);
        hosts_[at].regexes = static_cast<std::uint32_t>(building_->regexes[at].size());
    }
    for (std::size_t at = 0; at < buckets_.size(); ++at) {
        const std::vector<std::uint32_t>& rules = building_->rules[at];
        buckets_[at].rules = static_cast<std::uint32_t>(rules.size());
        if (rules.size() == 1) {
            buckets_[at].first = rules.front();
        } else if (rules.size() <= kFew) {
            buckets_[at].first = keep(rules);
        } else {
            buckets_[at].first = static_cast<std::uint32_t>(choices_.size());
            choices_.emplace_back(rules_, rules);
        }
    }
}

void Index::keep_texts() {
    std::size_t size = 0;
    for (const Host& host : hosts_) size += host.size;
    for (const Bucket& bucket : buckets_) size += bucket.size;
    texts_.reserve(size);  // so that it stays where it is
    const auto keep = [&](const char*& text, std::uint32_t length) {
        texts_.append(text, length);
        text = texts_.data() + texts_.size() - length;
    };
    for (Host& host : hosts_) keep(host.name, host.size);
    for (Bucket& bucket : buckets_) keep(bucket.path, bucket.size);
}

void Index::cut(std::string_view path, PathKeys& keys) {
    std::uint64_t hash = kHashStart;
    keys.prefixes[keys.count++] = {hash, 0};
    for (std::size_t at = 0; at < path.size(); ++at) {
        if (path[at] == '/' && at > 0 && keys.count < keys.prefixes.size())
            keys.prefixes[keys.count++] = {hash, static_cast<std::uint32_t>(at)};
        hash = hash_next(hash, path[at]);
    }
    keys.whole = hash;
    if (path.back() != '/' && keys.count < keys.prefixes.size())
        keys.prefixes[keys.count++] = {hash, static_cast<std::uint32_t>(path.size())};
}

const Index::Host* Index::find_host(std::uint64_t hash, std::string_view name) const {
    const auto same = [&](std::uint32_t at) {
        return std::string_view(hosts_[at].name, hosts_[at].size) == name;
    };
    const std::uint32_t place = host_slots_.find(mix64(hash), same);
    return place == Slots::kNone ? nullptr : &hosts_[place - 1];
}

const Index::Bucket* Index::find_bucket(std::uint32_t key, std::uint64_t hash, std::string_view path) const {
    const auto same = [&](std::uint32_t at) {
        return buckets_[at].key == key && std::string_view(buckets_[at].path, buckets_[at].size) == path;
    };
    const std::uint32_t place = bucket_slots_.find(bucket_hash(hash, key), same);
    return place == Slots::kNone ? nullptr : &buckets_[place - 1];
}

const Rule* Index::search(const RequestView& request, std::string_view host, std::string_view path,
                          std::string& value) const {
    PathKeys keys;
    cut(path, keys);
    const Lookup lookup{request, path, keys, value};
    struct Suffix {
        std::uint64_t hash;
        std::size_t at;
    };
    std::array<Suffix, kDeepestWildcard + 1> suffixes;
    std::size_t count = 0;
    std::uint64_t hash = kHashStart, dots = 0;
    for (std::size_t at = host.size(); at-- > 0;) {
        hash = hash_next(hash, host[at]);
        if (host[at] == '.' && ++dots <= kDeepestWildcard && levels_ >> dots & 1)
            suffixes[count++] = {hash, at};
    }
    if (const Host* exact = host.empty() ? nullptr : find_host(hash, host))
        if (const Rule* rule = in_host(lookup, *exact)) return rule;
    while (count-- > 0)
        if (const Host* wildcard = find_host(suffixes[count].hash, host.substr(suffixes[count].at)))
            if (const Rule* rule = in_host(lookup, *wildcard)) return rule;
    return in_host(lookup, hosts_.front());
}

const Rule* Index::in_host(const Lookup& lookup, const Host& host) const {
    const auto at = static_cast<std::uint32_t>(&host - hosts_.data());
    const PathKeys& keys = lookup.keys;
    if (host.exact)
        if (const Bucket* bucket = find_bucket(bucket_key(at, true), keys.whole, lookup.path))
            if (const Rule* rule = in_bucket(lookup, *bucket)) return rule;
    std::uint32_t regex = 0;
    // Depths that the path has; there are 64 at most.
    const std::uint64_t reach = ~std::uint64_t(0) >> (keys.prefixes.size() - keys.count);
    for (std::uint64_t depths = host.depths & reach; depths != 0;) {
        const auto depth = static_cast<unsigned>(std::bit_width(depths) - 1);
        depths ^= std::uint64_t(1) << depth;
        const auto [hash, length] = keys.prefixes[depth];
        const Bucket* bucket = find_bucket(bucket_key(at, false), hash, lookup.path.substr(0, length));
        if (!bucket) continue;
        if (const Rule* rule = in_regexes(lookup, host, regex, std::max<std::size_t>(1, length))) return rule;
        if (const Rule* rule = in_bucket(lookup, *bucket)) return rule;
    }
    return in_regexes(lookup, host, regex, 0);
}

const Rule* Index::in_bucket(const Lookup& lookup, const Bucket& bucket) const {
    if (bucket.rules > kFew) return choices_[bucket.first].find(lookup.request, lookup.value);
    const std::uint32_t* rules = bucket.rules == 1 ? &bucket.first : &lists_[bucket.first];
    for (std::uint32_t n = 0; n < bucket.rules; ++n)
        if (rules_[rules[n]].holds(lookup.request, lookup.value)) return &rules_[rules[n]];
    return nullptr;
}

// Those whose literal text is at least that long, from the host's expression `at` on.
const Rule* Index::in_regexes(const Lookup& lookup, const Host& host, std::uint32_t& at,
                              std::size_t least) const {
    for (; at < host.regexes; ++at) {
        const Rule& rule = rules_[lists_[host.first_regex + at]];
        if (rule.literal < least) return nullptr;
        if (rule.holds(lookup.request, lookup.value) && rule.regex->matches(lookup.path)) return &rule;
    }
    return nullptr;
}

}  // namespace whinledge::route
