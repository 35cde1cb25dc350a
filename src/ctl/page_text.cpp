#include "ctl/page_text.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

namespace whinledge::ctl {
namespace {

using Json = nlohmann::json;

// Columns that come first, in this order; others follow by name.
constexpr std::array<std::string_view, 10> kFirstColumns{"lease", "node",  "id",   "service", "opening",
                                                         "role",  "state", "zone", "address", "identity"};
constexpr std::size_t kGap = 2;

std::string cell_of(const Json& value) {
    if (value.is_null()) return "-";
    if (value.is_string()) return value.get<std::string>().empty() ? "-" : value.get<std::string>();
    if (value.is_boolean()) return value.get<bool>() ? "yes" : "no";
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::vector<std::string> columns_of(const Json& rows) {
    std::vector<std::string> columns;
    for (const std::string_view first : kFirstColumns)
        if (rows.front().contains(first)) columns.emplace_back(first);
    for (const auto& [name, value] : rows.front().items())
        if (std::find(columns.begin(), columns.end(), name) == columns.end()) columns.push_back(name);
    return columns;
}

std::string table_of(const Json& rows) {
    std::vector<std::vector<std::string>> lines{columns_of(rows)};
    const std::vector<std::string> columns = lines.front();
    for (const Json& row : rows) {
        std::vector<std::string>& line = lines.emplace_back();
        for (const std::string& column : columns)
            line.push_back(row.is_object() && row.contains(column) ? cell_of(row[column]) : "-");
    }
    std::vector<std::size_t> widths(columns.size(), 0);
    for (const auto& line : lines)
        for (std::size_t at = 0; at < line.size(); ++at) widths[at] = std::max(widths[at], line[at].size());
    std::string text;
    for (const auto& line : lines) {
        std::string row;
        for (std::size_t at = 0; at < line.size(); ++at)
            row.append(line[at]).append(widths[at] - line[at].size() + kGap, ' ');
        text.append(row.substr(0, row.find_last_not_of(' ') + 1)).append("\n");
    }
    return text;
}

void add_text(const std::string& name, const Json& value, std::string& text) {
    if (value.is_object()) {
        for (const auto& [inner, inner_value] : value.items()) {
            std::string inner_name = name;
            inner_name.append(".").append(inner);
            add_text(inner_name, inner_value, text);
        }
        return;
    }
    const bool table = value.is_array() && !value.empty() && value.front().is_object();
    if (table) {
        text.append(name).append(":\n").append(table_of(value));
        return;
    }
    text.append(name).append(": ");
    if (!value.is_array()) {
        text.append(cell_of(value)).append("\n");
        return;
    }
    if (value.empty()) text.append("none");
    for (std::size_t at = 0; at < value.size(); ++at)
        text.append(at > 0 ? ", " : "").append(cell_of(value[at]));
    text.append("\n");
}

}  // namespace

std::string page_text(const std::string& json) {
    const Json page = Json::parse(json, nullptr, false);
    if (!page.is_object()) return json + "\n";
    std::string single, lists;
    for (const auto& [name, value] : page.items()) add_text(name, value, value.is_array() ? lists : single);
    return single + lists;
}

}  // namespace whinledge::ctl
