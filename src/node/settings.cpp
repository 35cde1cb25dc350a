#include "node/settings.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <limits>
#include <optional>
#include <sstream>

namespace whinledge::node {

namespace {

enum class Presence { required, optional };
using enum Presence;

struct Field {
    const char* key;
    const char* type;
    Presence presence;
    double minimum, maximum;
    const char* unit;
    const char* help;
};

constexpr Field kFields[] = {
#define WHINLEDGE_SETTING(member, key, type, presence, minimum, maximum, unit, help) \
    {key, #type, Presence::presence, minimum, maximum, unit, help},
#include "node/settings_fields.def"
#undef WHINLEDGE_SETTING
};

constexpr std::string_view kZonePrefix = "zones.";

std::string_view trimmed(std::string_view text) {
    const auto blank = [](char c) { return c == ' ' || c == '\t' || c == '\r'; };
    while (!text.empty() && blank(text.front())) text.remove_prefix(1);
    while (!text.empty() && blank(text.back())) text.remove_suffix(1);
    return text;
}

template <class Number>
std::optional<Number> parse_number(std::string_view text) {
    Number value{};
    const char* const end = text.data() + text.size();
    const auto [at, wrong] = std::from_chars(text.data(), end, value);
    if (wrong != std::errc() || at != end) return std::nullopt;
    return value;
}

// Each reads one kind of value; null is no fault, else what was expected.
const char* read_value(std::string_view text, std::string& value) {
    value = text;
    return nullptr;
}
const char* read_value(std::string_view text, std::int64_t& value) {
    const auto number = parse_number<std::int64_t>(text);
    if (!number) return "a whole number";
    value = *number;
    return nullptr;
}
const char* read_value(std::string_view text, double& value) {
    const auto number = parse_number<double>(text);
    if (!number || !std::isfinite(*number)) return "a number";
    value = *number;
    return nullptr;
}
const char* read_value(std::string_view text, bool& value) {
    if (text != "true" && text != "false") return "true or false";
    value = text == "true";
    return nullptr;
}
const char* read_value(std::string_view text, std::vector<std::string>& value) {
    value.clear();
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        const std::string_view item = trimmed(text.substr(0, comma));
        if (!item.empty()) value.emplace_back(item);
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return nullptr;
}

bool within(const Field& field, double value) {
    return field.minimum >= field.maximum || (value >= field.minimum && value <= field.maximum);
}
bool within(const Field& field, std::int64_t value) { return within(field, static_cast<double>(value)); }
template <class Other>
bool within(const Field&, const Other&) {
    return true;
}

std::string number_text(double value) {
    std::ostringstream text;
    text << value;
    return text.str();
}

using Lines = std::map<std::string, std::string, std::less<>>;

template <class Value>
std::optional<SettingsError> read_field(const Field& field, const Lines& lines, std::string_view file,
                                        Value& value) {
    const auto line = lines.find(field.key);
    const std::string at = std::string(file) + ": '" + field.key + "'";
    if (line == lines.end()) {
        if (field.presence == Presence::optional) return std::nullopt;
        return SettingsError{SettingsFault::missing,
                             at + " is missing (" + field.help + "): add a line " + field.key + "=VALUE"};
    }
    if (const char* const expected = read_value(line->second, value))
        return SettingsError{SettingsFault::bad_value,
                             at + " is '" + line->second + "': give " + expected + " (" + field.help + ")"};
    if (!within(field, value))
        return SettingsError{SettingsFault::out_of_bounds, at + " is " + line->second + ": give " +
                                                               number_text(field.minimum) + " to " +
                                                               number_text(field.maximum) + " " + field.unit};
    return std::nullopt;
}

std::optional<SettingsError> contradictions(const Settings& settings, std::string_view file) {
    const auto fault = [&](const std::string& text) {
        return SettingsError{SettingsFault::contradiction, std::string(file) + ": " + text};
    };
    const auto serves = [&](const char* whom) {
        for (const std::string& served : settings.serves)
            if (served == whom) return true;
        return false;
    };
    if (settings.spare_ports.empty() || !parse_number<std::uint16_t>(settings.spare_ports.front()))
        return fault("'sparePorts' names no port: give the first and the last, as 7380,7395");
    if (serves("edge") && settings.public_address.empty())
        return fault("'serves' has edge, and 'listenOn.public' is missing: add where clients connect");
    if (serves("edge") && settings.readiness_address.empty())
        return fault("'serves' has edge, and 'listenOn.readiness' is missing: add where readiness is asked");
    if (serves("control") && settings.control_address.empty())
        return fault(
            "'serves' has control, and 'listenOn.controlPort' is missing: add where the operator calls");
    if ((serves("control") || serves("storage")) && settings.data_folder.empty())
        return fault("a role with data needs 'dataFolder': add the folder on its disk");
    return std::nullopt;
}

SettingsResult<Lines> split_lines(std::string_view text, std::string_view file) {
    Lines lines;
    for (int number = 1; !text.empty(); ++number) {
        const auto end = std::min(text.find('\n'), text.size());
        const std::string_view line = trimmed(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
        if (line.empty() || line.front() == '#') continue;
        const auto equals = line.find('=');
        if (equals == std::string_view::npos || equals == 0)
            return SettingsError{SettingsFault::bad_line, std::string(file) + ":" + std::to_string(number) +
                                                              ": '" + std::string(line) +
                                                              "' is no line of the form KEY=VALUE"};
        lines[std::string(trimmed(line.substr(0, equals)))] = trimmed(line.substr(equals + 1));
    }
    return lines;
}

}  // namespace

failure_domain::LossTolerance Settings::survive() const {
    return {static_cast<int>(survive_machines), static_cast<int>(survive_zones),
            static_cast<int>(survive_regions)};
}

std::optional<std::string> Settings::told_region() const {
    return survive_regions > 0 ? std::optional(region) : std::nullopt;
}

std::vector<std::string> Settings::seed_rpc_addresses() const {
    std::vector<std::string> addresses;
    for (const std::string& seed : seed_nodes)
        addresses.push_back(rpc_address_of(seed.substr(0, seed.rfind(':'))));
    return addresses;
}

SettingsResult<Settings> parse_settings(std::string_view text, std::string_view file_name) {
    auto lines = split_lines(text, file_name);
    if (!lines) return lines.error();
    Settings settings;
    const Field* field = kFields;
#define WHINLEDGE_SETTING(member, key, type, presence, minimum, maximum, unit, help) \
    if (const auto fault = read_field(*field++, lines.value(), file_name, settings.member)) return *fault;
#include "node/settings_fields.def"
#undef WHINLEDGE_SETTING
    for (const auto& [key, value] : lines.value())
        if (key.size() > kZonePrefix.size() && key.starts_with(kZonePrefix))
            settings.zone_regions[key.substr(kZonePrefix.size())] = value;
    if (const auto fault = contradictions(settings, file_name)) return *fault;
    return settings;
}

SettingsResult<Settings> read_settings(const std::string& path, const std::vector<std::string>& overrides) {
    std::ifstream file(path, std::ios::binary);
    std::stringstream text;
    if (file) text << file.rdbuf();
    if (!file)
        return SettingsError{
            SettingsFault::unreadable_file,
            "'" + path + "' can't be read: set WHINLEDGE_BOOT to the path of a settings file"};
    std::string lines = text.str();
    for (const std::string& line : overrides) lines.append("\n").append(line);
    return parse_settings(lines, path);
}

std::string settings_help() {
    std::ostringstream out;
    for (const Field& field : kFields) {
        out << field.key << "  (" << field.type << (field.presence == Presence::required ? ", required" : "");
        if (field.minimum < field.maximum) out << ", " << field.minimum << " to " << field.maximum;
        if (*field.unit) out << " " << field.unit;
        out << ")  " << field.help << "\n";
    }
    out << "zones.NAME  (text)  region of a zone\n";
    return out.str();
}

}  // namespace whinledge::node
