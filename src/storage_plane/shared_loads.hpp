// What all proxies together have under way at each model server, as each of them has told of late. Pure: the
// caller brings the time, in milliseconds on a clock that never goes back.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "storage_types.h"  // generated from idl/storage.thrift

namespace whinledge::storage_plane {

class SharedLoads {
public:
    struct Options {
        double memory_ms = 3000;  // a proxy that has told nothing for so long counts no more
        std::size_t most_proxies = 4096;
        std::size_t most_servers = 512;  // of one proxy; what it tells of more is left out
    };
    SharedLoads() : SharedLoads(Options()) {}
    explicit SharedLoads(Options options) : options_(options) {}

    // In place of what the same proxy told before; one that comes after a later one is not taken.
    void told(const wire::LoadReport& report, double now_ms);
    // Requests of all other proxies, for each server that the report asks for.
    std::vector<std::int32_t> others(const wire::LoadReport& report, double now_ms);

    // Of the reports that count, in the mean, milliseconds.
    double mean_age_ms(double now_ms);

    std::size_t proxies() const { return reports_.size(); }
    std::size_t servers() const { return requests_.size(); }

private:
    struct Report {
        std::int64_t proxy = 0;
        std::int64_t number = 0;
        double told_ms = 0;
        std::unordered_map<std::int32_t, std::int32_t> under_way;  // by server
    };
    using Reports = std::list<Report>;
    void forget_old(double now_ms);
    void forget(Reports::iterator report);
    void withdraw(const Report& report);

    Options options_;
    Reports reports_;  // the one told longest ago first
    std::unordered_map<std::int64_t, Reports::iterator> by_proxy_;
    std::unordered_map<std::int32_t, std::int32_t> requests_;  // of all proxies, by server
    double told_ms_sum_ = 0;                                   // of all reports
};

}  // namespace whinledge::storage_plane
