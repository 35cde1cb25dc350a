// The routes of one set of listeners, by host and path (table.hpp says in which order). Internal to the
// table.
//
// One hash table holds the hosts, one the paths under each; both take hashes that are built while the name is
// read, from its end for hosts and from its start for paths, so that a suffix's or prefix's hash costs
// nothing.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "route/check.hpp"
#include "route/choices.hpp"
#include "route/rule.hpp"
#include "route/slots.hpp"

namespace whinledge::route {

class Index {
public:
    explicit Index(const std::vector<Rule>& rules);
    ~Index();

    // `host`: read_host_pattern's; empty: any. Rules come in the file's order. Whether a rule added before is
    // proved to cover this one (Table::compile).
    bool add(std::uint32_t rule, std::string_view host);
    // After the last rule, before the first search.
    void finish();

    // The first rule that holds; null: none does. `path` is normalised.
    const Rule* search(const RequestView& request, std::string_view host, std::string_view path,
                       std::string& value) const;

private:
    static constexpr std::uint32_t kFew = 4;  // rules under one host and path, which are tried in turn

    // Half a line of the cache each. Their texts lie in `texts_`.
    struct alignas(32) Host {
        const char* name = nullptr;
        std::uint64_t depths = 0;  // bit n: has prefixes of n segments
        std::uint32_t size = 0;
        std::uint32_t first_regex = 0, regexes = 0;  // in lists_
        bool exact = false;                          // has exact paths
    };
    struct alignas(32) Bucket {  // the rules of one host and path
        const char* path = nullptr;
        std::uint32_t size = 0;
        std::uint32_t key = 0;    // bucket_key
        std::uint32_t first = 0;  // in lists_; of one rule the rule itself; of more than kFew in choices_
        std::uint32_t rules = 0;
    };
    // A request's path, cut at each segment: prefix n is that of n segments.
    struct PathKeys {
        struct Prefix {
            std::uint64_t hash;
            std::uint32_t length;
        };
        std::array<Prefix, kDeepestPrefix + 1> prefixes;
        unsigned count = 0;
        std::uint64_t whole = 0;
    };
    static void cut(std::string_view path, PathKeys& keys);
    static std::uint32_t bucket_key(std::uint32_t host, bool exact) { return host * 2 + exact; }

    struct Building;
    std::uint32_t host(std::string_view name);
    void add_path(std::uint32_t rule, std::uint32_t host);
    bool seen(const Rule& rule, std::uint32_t host);
    void sort_rules();
    void keep_rules();
    void keep_texts();

    const Host* find_host(std::uint64_t hash, std::string_view name) const;
    const Bucket* find_bucket(std::uint32_t key, std::uint64_t hash, std::string_view path) const;

    struct Lookup {
        const RequestView& request;
        std::string_view path;
        const PathKeys& keys;
        std::string& value;
    };
    const Rule* in_host(const Lookup& lookup, const Host& host) const;
    const Rule* in_bucket(const Lookup& lookup, const Bucket& bucket) const;
    const Rule* in_regexes(const Lookup& lookup, const Host& host, std::uint32_t& at,
                           std::size_t least) const;

    const std::vector<Rule>& rules_;
    std::vector<Host> hosts_;  // the first: any
    std::vector<Bucket> buckets_;
    Slots host_slots_, bucket_slots_;
    std::vector<std::uint32_t> lists_;
    std::vector<Choices> choices_;
    std::string texts_;
    std::uint64_t levels_ = 0;  // bit n: has wildcards over n labels
    std::unique_ptr<Building> building_;
};

}  // namespace whinledge::route
