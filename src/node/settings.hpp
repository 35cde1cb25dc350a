// The settings of a process, read from the file that WHINLEDGE_BOOT names: lines of the form a.b=value.
#pragma once

#include <boost/outcome/result.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "failure_domain/loss_tolerance.hpp"

namespace whinledge::node {

// What kinds of value the list of settings names.
namespace setting_type {
using text = std::string;
using integer = std::int64_t;
using number = double;
using flag = bool;
using list = std::vector<std::string>;
}  // namespace setting_type

struct Settings {
#define WHINLEDGE_SETTING(member, key, type, presence, minimum, maximum, unit, help) \
    setting_type::type member{};
#include "node/settings_fields.def"
#undef WHINLEDGE_SETTING
    std::map<std::string, std::string> zone_regions;  // zones.NAME=REGION

    // What may be lost at once while all that was promised holds.
    failure_domain::LossTolerance survive() const;
    // To be told to others; none where no loss of regions is to be borne.
    std::optional<std::string> told_region() const;

    // IP:PORT of this process's RPC server, and of the one on another machine: ports are alike everywhere.
    std::string rpc_address() const { return rpc_address_of(ip); }
    std::string rpc_address_of(std::string_view other_ip) const {
        return std::string(other_ip) + ":" + spare_ports.front();
    }
    // RPC addresses of the seeds, which the file names by their control ports.
    std::vector<std::string> seed_rpc_addresses() const;
};

enum class SettingsFault { unreadable_file, bad_line, missing, bad_value, out_of_bounds, contradiction };

struct SettingsError {
    SettingsFault fault = SettingsFault::unreadable_file;
    std::string message;  // names the file, the line or key, and the remedy
};

template <class T>
using SettingsResult = boost::outcome_v2::result<T, SettingsError, boost::outcome_v2::policy::all_narrow>;

// Fields that are not known are ignored; the last of several lines with one key counts.
SettingsResult<Settings> parse_settings(std::string_view text, std::string_view file_name);
// `overrides`: lines KEY=VALUE that come after those of the file.
SettingsResult<Settings> read_settings(const std::string& path,
                                       const std::vector<std::string>& overrides = {});

// A table of all settings: key, type, unit, bounds, text.
std::string settings_help();

}  // namespace whinledge::node
