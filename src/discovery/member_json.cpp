#include "discovery/member_json.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_set>

#include "discovery/address.hpp"

namespace whinledge {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kDeepest = 8;          // levels of nesting; the form has 3
constexpr std::size_t kMostKeys = 64;        // of an object; they are compared one by one
constexpr std::size_t kLongestString = 256;  // bytes of an id, a zone, a kind

[[noreturn]] void fail(const std::string& what) { throw MemberJsonError(what); }

// A first pass, which keeps nothing: refuses what is nested deeply (memory), and a key that stands twice in
// one object (two readings).
class Guard : public nlohmann::json_sax<Json> {
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t&) override { return true; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool start_object(std::size_t) override {
        deeper();
        keys_[depth_].clear();
        return true;
    }
    bool end_object() override { return --depth_, true; }
    bool start_array(std::size_t) override { return deeper(), true; }
    bool end_array() override { return --depth_, true; }
    bool key(string_t& key) override {
        auto& keys = keys_[depth_];
        if (std::find(keys.begin(), keys.end(), key) != keys.end())
            fail("key '" + key.substr(0, kLongestString) + "' stands twice");
        if (keys.size() == kMostKeys) fail("holds an object of more than 64 keys");
        keys.push_back(std::move(key));
        return true;
    }
    bool parse_error(std::size_t, const std::string&, const Json::exception&) override { return false; }

private:
    void deeper() {
        if (++depth_ > kDeepest) fail("is nested too deeply");
    }
    std::size_t depth_ = 0;
    std::array<std::vector<std::string>, kDeepest + 1> keys_;  // of the objects that are open, by depth
};

// One entry; its place in the list is for the errors alone.
class Entry {
public:
    Entry(const Json& json, std::size_t place) : json_(json), place_(place) {
        if (!json.is_object()) fail(at() + " is not an object");
    }

    [[noreturn]] void wrong(const char* key, const char* what) const {
        fail(at() + " '" + key + "' " + what);
    }
    std::string text(const char* key, bool required) const {
        const Json* const json = find(key, required);
        if (!json) return "";
        if (!json->is_string()) wrong(key, "is not a string");
        const auto& text = json->get_ref<const std::string&>();
        if (required && text.empty()) wrong(key, "is empty");
        if (text.size() > kLongestString) wrong(key, "is too long");
        // They go to the log as they are.
        for (const unsigned char c : text)
            if (c < 0x20 || c == 0x7f) wrong(key, "holds a control character");
        return text;
    }
    double number(const char* key) const {
        const Json* const json = find(key, false);
        if (!json) return 0;
        if (!json->is_number()) wrong(key, "is not a number");
        const double number = json->get<double>();
        if (!std::isfinite(number) || number < 0) wrong(key, "is out of range");
        return number;
    }
    std::uint32_t whole(const char* key) const {
        const Json* const json = find(key, false);
        if (!json) return 0;
        if (!json->is_number_unsigned()) wrong(key, "is not a whole number");
        const auto number = json->get<std::uint64_t>();
        if (number > std::numeric_limits<std::uint32_t>::max()) wrong(key, "is out of range");
        return static_cast<std::uint32_t>(number);
    }
    const Json* find(const char* key, bool required) const {
        const auto found = json_.find(key);
        if (found != json_.end() && !found->is_null()) return &*found;
        if (required) wrong(key, "is missing");
        return nullptr;
    }

private:
    std::string at() const { return "servers[" + std::to_string(place_) + "]"; }
    const Json& json_;
    std::size_t place_;
};

Member read_member(const Entry& entry) {
    Member m;
    m.id = entry.text("id", true);
    // A word not known is handled as the careful one of those that are: nothing new goes there.
    const std::string state = entry.text("state", true);
    m.phase = state == "Ready" ? Phase::on : state == "Gone" ? Phase::off : Phase::fading;
    // Who is gone needs no address.
    const std::string address = entry.text("addr", m.phase != Phase::off);
    if (!address.empty()) {
        const auto canonical = canonical_address(address);
        if (!canonical) entry.wrong("addr", "is not IP:PORT");
        m.address = *canonical;
    }
    m.zone = entry.text("zone", false);
    m.kind = entry.text("kind", false);
    m.cell = entry.whole("cell");
    m.started = entry.number("started_ms");
    entry.number("weight");  // checked alone: a Member has no room for it
    return m;
}

Json parse(std::string_view text) {
    // The parser takes a NUL for the end of its input, whatever comes behind it.
    if (text.find('\0') != std::string_view::npos) fail("holds a NUL");
    Guard guard;
    Json json;
    if (Json::sax_parse(text, &guard)) json = Json::parse(text, nullptr, false);
    if (json.is_null() || json.is_discarded()) fail("is not JSON, or not all of it is there");
    return json;
}

const Json& top(const Json& json, const char* key, bool (Json::*is)() const noexcept, const char* what) {
    const auto found = json.find(key);
    if (found == json.end()) fail(std::string("'") + key + "' is missing");
    if (!((*found).*is)()) fail(std::string("'") + key + "' is not " + what);
    return *found;
}

}  // namespace

MemberList read_member_list(std::string_view text, const MemberRules& rules) {
    const Json json = parse(text);
    if (!json.is_object()) fail("is not an object");
    MemberList list;
    list.version = top(json, "version", &Json::is_number_unsigned, "a whole number").get<std::uint64_t>();
    list.full = top(json, "full", &Json::is_boolean, "true or false").get<bool>();
    const Json& servers = top(json, "servers", &Json::is_array, "a list");
    if (servers.size() > rules.most) fail("'servers' holds more than " + std::to_string(rules.most));
    std::unordered_set<std::string> ids, addresses;
    list.members.reserve(servers.size());
    for (const Json& item : servers) {
        const Entry entry(item, list.members.size());
        Member m = read_member(entry);
        if (!ids.insert(m.id).second) entry.wrong("id", "stands twice in the list");
        // One that is gone may have left its address to a successor.
        if (rules.distinct_addresses && m.phase != Phase::off && !addresses.insert(m.address).second)
            entry.wrong("addr", "stands twice in the list");
        list.members.push_back(std::move(m));
    }
    return list;
}

}  // namespace whinledge
