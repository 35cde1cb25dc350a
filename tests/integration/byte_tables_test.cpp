// The tables of requests and answers themselves.
#include <set>
#include <string>

#include "integration/answer_tables.hpp"
#include "integration/request_tables.hpp"

namespace whinledge::test::http_bytes {
namespace {

TEST(Bytes, EveryEntryHasANameOfItsOwn) {
    std::set<std::string> names;
    const auto add = [&](const std::string& table, const auto& entries) {
        for (const auto& entry : entries)
            EXPECT_TRUE(names.insert(table + ": " + entry.name).second)
                << table << ": " << entry.name << ", twice";
    };
    for (const auto& [table, entries] : request_tables) add(table, entries());
    for (const auto& [table, entries] : answer_tables) add(table, entries());
    add("Continue", expecting());
    EXPECT_GT(names.size(), 500u);
}

}  // namespace
}  // namespace whinledge::test::http_bytes
