// The text of a TOML file as plain values that know their place, in the order of the file. The parser is
// known to document.cpp alone.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace whinledge::config {

struct Place {
    int line = 1, column = 1;
    auto operator<=>(const Place&) const = default;
};

struct Entry;
struct Value {
    enum class Type { text, integer, number, flag, time, array, table } type = Type::table;
    Place at;
    std::string text;
    std::int64_t integer = 0;
    double number = 0;
    bool flag = false;
    std::vector<Value> items;    // array
    std::vector<Entry> entries;  // table
};
struct Entry {
    std::string key;
    Place at;
    Value value;
};

struct Document {
    Value root;  // a table
    struct Error {
        Place at;
        std::string what;
    };
    std::optional<Error> error;  // the first: what follows it can't be relied on
};

constexpr std::size_t kMostText = 1 << 20;  // bytes of a file

Document read_document(std::string_view text);

}  // namespace whinledge::config
