// Typed, bounded and strict reading of a document's tables. What is wrong is collected, not thrown: reading
// goes on with the default, so that one pass tells of everything.
#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/document.hpp"
#include "config/fault.hpp"
#include "config/words.hpp"

namespace whinledge::config {

class Faults {
public:
    explicit Faults(std::string origin) : origin_(std::move(origin)) {}
    void add(Place at, std::string key, std::string what);
    std::size_t size() const { return found_.size(); }
    // In the order of the file; those of one place in the order in which they were found.
    std::vector<Fault> in_order() const;
    const std::string& origin() const { return origin_; }
    // The one of `known` that was probably meant.
    const std::string* nearest(std::string_view word, std::span<const std::string> known);
    // `; did you mean "x"?` or nothing.
    std::string hint(std::string_view word, std::span<const std::string> known);

private:
    std::string origin_;
    std::vector<std::pair<Place, Fault>> found_;
    std::size_t comparisons_ = 20'000'000;  // of letters, for hints: a file full of faults ends without them
};

template <class T>
struct Range {
    T least, most;
    bool holds(T value) const { return value >= least && value <= most; }  // false for NaN
};
using Words = std::vector<std::string>;

// Of texts: what they have to be, in words, and the check of it.
struct Form {
    bool (*holds)(std::string_view);
    const char* what;
};
extern const Form kName, kAddress, kToken, kPrintable, kHost, kPath, kFieldText;

// Keys that are never asked for are unknown; done() reports them. Each call of read() leaves its target as it
// is where the key is absent or wrong.
class Table {
public:
    // An empty one stands for a table that is absent or no table: it has no faults of its own.
    Table(Faults& faults, const Value* value, std::string path);

    bool has(std::string_view key) const;
    const Value* find(std::string_view key);
    // A fault if it is absent.
    const Value* need(std::string_view key, const std::string& right);
    const Value* find(std::string_view key, Value::Type type, const char* wanted);

    bool read(std::string_view key, std::string& out, const Form& form);
    bool read(std::string_view key, bool& out);
    bool duration(std::string_view key, Millis& out, Range<Millis> range);
    bool number(std::string_view key, double& out, Range<double> range);
    template <class T>
    bool count(std::string_view key, T& out, Range<std::int64_t> range) {
        std::int64_t value = 0;
        if (!integer(key, value, range)) return false;
        out = static_cast<T>(value);
        return true;
    }
    bool size(std::string_view key, std::size_t& out, Range<std::size_t> range);
    template <class T>
    bool word(std::string_view key, T& out, const std::vector<std::pair<std::string, T>>& words) {
        Words names;
        for (const auto& [name, value] : words) names.push_back(name);
        const auto at = word(key, names);
        if (at) out = words[*at].second;
        return at.has_value();
    }

    Table table(std::string_view key);
    // Of an array, with its faults' path; `most` of them. A wrong type or too many is a fault.
    std::span<const Value> items(std::string_view key, std::size_t most);
    std::vector<Table> tables(std::string_view key, std::size_t most);

    // The item as a text of that form, with faults at `path`.
    bool text(const Value& value, const std::string& path, std::string& out, const Form& form);
    bool integer(const Value& value, const std::string& path, std::int64_t& out, Range<std::int64_t> range);

    void fault(std::string_view key, const std::string& what);  // at the key's value, or at the table
    void fault(Place at, std::string_view key, const std::string& what);
    // A fault, found at done(), unless one of the keys is there under a name that is not quite right.
    void absent(const Words& keys, std::string_view key, const std::string& what);
    // Whether a key that nobody asked for was probably meant to be this one, of those asked for up to now.
    bool misspelt(std::string_view key) const;
    void done();

    std::string path(std::string_view key) const;
    std::string item_path(std::string_view key, std::size_t index) const;
    void rename(std::string path) { path_ = std::move(path); }
    const std::string& path() const { return path_; }
    Place at() const { return value_ ? value_->at : Place{}; }
    Place at(std::string_view key) const;
    std::span<const Entry> entries() const;
    Faults& faults() const { return *faults_; }
    explicit operator bool() const { return value_ != nullptr; }

private:
    const Entry* entry(std::string_view key) const;
    bool integer(std::string_view key, std::int64_t& out, Range<std::int64_t> range);
    std::optional<std::size_t> word(std::string_view key, const Words& names);
    bool right_type(const Value& value, const std::string& path, Value::Type type, const char* wanted);

    struct Absence {
        Words keys;
        std::string key, what;
    };
    Words not_there() const;  // of the keys asked for: what an unknown one can have been meant to be
    bool asked(std::string_view key) const;

    Faults* faults_;
    const Value* value_;
    std::string path_;
    Words asked_;
    std::vector<Absence> absent_;
};

std::string describe(Value::Type type);
// "a, b, c"
std::string join(std::span<const std::string> words);

}  // namespace whinledge::config
