// The settings of a deployment, read by their dotted paths: from the simulator's first message or from the
// sidecar's configuration alike.
#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kestrelhall/balancer.hpp"

namespace kestrelhall {

// The whole text as a number, in the base given for whole ones; false where it is none.
template <class T, class... Base>
bool parse(std::string_view text, T& value, Base... base) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base...);
    return error == std::errc() && end == text.data() + text.size();
}

// What can't be read; what() names the place and the field.
struct FieldError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// name=value pairs with typed access, which throws FieldError.
class Fields {
public:
    virtual ~Fields() = default;
    virtual std::optional<std::string_view> find(std::string_view field) const = 0;
    virtual std::string place() const = 0;  // where they stand, for errors

    [[noreturn]] void fail(std::string_view field, std::string_view what) const;

    bool has(std::string_view field) const { return find(field).has_value(); }
    std::string_view text(std::string_view field) const;
    double number(std::string_view field) const;
    double number_or(std::string_view field, double fallback) const;
    std::uint64_t integer(std::string_view field) const;
    std::uint64_t integer_or(std::string_view field, std::uint64_t fallback) const;
    double within(std::string_view field, double least, double most) const;
    Millis time(std::string_view field) const;          // 0 or more
    Millis span(std::string_view field) const;          // more than 0
    std::uint32_t count(std::string_view field) const;  // 1 or more
    bool flag(std::string_view field) const;
    bool flag_or(std::string_view field, bool fallback) const;

    template <class T>
    using Names = std::vector<std::pair<std::string_view, T>>;
    template <class T>
    T named(std::string_view field, const Names<T>& names) const {
        const std::string_view word = text(field);
        for (const auto& [name, value] : names)
            if (name == word) return value;
        fail(field, "is not a known word");
    }
};

// What the settings say beyond the library's: the names behind its integers.
struct Site {
    Settings settings;
    std::vector<std::string> zones;
    std::vector<std::string> kinds;
    std::vector<std::string> classes;
    std::vector<std::string> tenants;
    Millis longest_wait = 0;  // of a client, for all tries of a request of any class

    // A name not met before gets the next number.
    ZoneId zone(std::string_view name);
    KindId kind(std::string_view name);
    // The place of a name; out of range where it is not known.
    std::uint32_t class_index(std::string_view name) const;
    std::uint32_t tenant_index(std::string_view name) const;
};
// Whatever the settings always say has to be there, and has to make sense; else FieldError names the field.
Site read_site(const Fields& settings);

}  // namespace kestrelhall
