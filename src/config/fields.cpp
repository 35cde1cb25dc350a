#include "config/fields.hpp"

#include <algorithm>
#include <cmath>

namespace whinledge::config {

namespace {

std::string format_number(double value) {
    std::string text = std::to_string(value);
    if (!std::isfinite(value)) return text;
    text.erase(text.find_last_not_of('0') + 1);
    if (text.ends_with('.')) text.pop_back();
    return text;
}

std::string out_of_range(const std::string& value, const std::string& least, const std::string& most) {
    return value + " is out of range, " + least + " to " + most;
}

// A key as it stands in a path: in quotes where it would not be plain.
std::string plain(std::string_view key) { return is_name(key) ? std::string(key) : quote(key); }

bool any_address(std::string_view text) { return parse_address(text).has_value(); }
bool short_text(std::string_view text) { return !text.empty() && text.size() <= 256 && is_printable(text); }
bool any_host(std::string_view text) { return is_host(text); }

}  // namespace

const Form kName{is_name, "1 to 64 letters, digits, \"_\", \"-\" or \".\", the first a letter or a digit"};
const Form kAddress{any_address, "a numeric IP:PORT such as \"127.0.0.1:8080\" or \"[::1]:8080\""};
const Form kToken{is_token, "1 to 256 letters, digits or signs of an HTTP token"};
const Form kPrintable{short_text, "1 to 256 printable ASCII characters"};
const Form kHost{any_host, "a DNS name such as \"search.example.org\", without a port"};
const Form kPath{is_path, "an absolute path such as \"/a/b\" without \"//\", \".\", \"..\", \"?\" and \"#\""};
const Form kFieldText{is_field_text, "printable ASCII, 4096 at most, no space at either end"};

std::string Fault::text() const {
    std::string text = file + ":" + std::to_string(line) + ": ";
    if (column > 0) text = file + ":" + std::to_string(line) + ":" + std::to_string(column) + ": ";
    if (!key.empty()) text += key + ": ";
    return text + what;
}

std::string describe(Value::Type type) {
    switch (type) {
        case Value::Type::text:
            return "a text";
        case Value::Type::integer:
            return "a whole number";
        case Value::Type::number:
            return "a number with a fraction";
        case Value::Type::flag:
            return "true or false";
        case Value::Type::time:
            return "a date or time";
        case Value::Type::array:
            return "an array";
        case Value::Type::table:
            return "a table";
    }
    return "";
}

std::string join(std::span<const std::string> words) {
    std::string all;
    for (const std::string& word : words) (all += all.empty() ? "" : ", ") += word;
    return all;
}

void Faults::add(Place at, std::string key, std::string what) {
    found_.emplace_back(at, Fault{origin_, at.line, 0, std::move(key), std::move(what)});
}

std::vector<Fault> Faults::in_order() const {
    auto sorted = found_;
    std::ranges::stable_sort(sorted, {}, [](const auto& one) { return one.first; });
    std::vector<Fault> faults;
    for (auto& [at, fault] : sorted) faults.push_back(std::move(fault));
    return faults;
}

const std::string* Faults::nearest(std::string_view word, std::span<const std::string> known) {
    const std::string* best = nullptr;
    std::size_t least = std::max<std::size_t>(2, word.size() / 3) + 1;
    for (const std::string& candidate : known) {
        const std::size_t cost = word.size() * candidate.size();
        if (word.size() > 64 || cost > comparisons_) break;
        comparisons_ -= cost;
        const std::size_t far = distance(lower(word), lower(candidate));
        if (far < least && far < std::max(word.size(), candidate.size()) - 1) {
            least = far;
            best = &candidate;
        }
    }
    return best;
}
std::string Faults::hint(std::string_view word, std::span<const std::string> known) {
    const std::string* best = nearest(word, known);
    return best ? "; did you mean " + quote(*best) + "?" : "";
}

Table::Table(Faults& faults, const Value* value, std::string path)
    : faults_(&faults), value_(value), path_(std::move(path)) {}

std::span<const Entry> Table::entries() const {
    return value_ ? std::span<const Entry>(value_->entries) : std::span<const Entry>();
}
const Entry* Table::entry(std::string_view key) const {
    const auto all = entries();
    const auto at = std::ranges::find(all, key, &Entry::key);
    return at == all.end() ? nullptr : &*at;
}
bool Table::has(std::string_view key) const { return entry(key) != nullptr; }

const Value* Table::find(std::string_view key) {
    if (!asked(key)) asked_.emplace_back(key);
    const Entry* at = entry(key);
    return at ? &at->value : nullptr;
}
const Value* Table::need(std::string_view key, const std::string& right) {
    const Value* value = find(key);
    if (!value) absent({std::string(key)}, key, "is missing; " + right);
    return value;
}
const Value* Table::find(std::string_view key, Value::Type type, const char* wanted) {
    const Value* value = find(key);
    return value && right_type(*value, path(key), type, wanted) ? value : nullptr;
}

bool Table::right_type(const Value& value, const std::string& path, Value::Type type, const char* wanted) {
    if (value.type == type) return true;
    faults_->add(value.at, path, describe(value.type) + ", but it has to be " + wanted);
    return false;
}

bool Table::text(const Value& value, const std::string& path, std::string& out, const Form& form) {
    if (!right_type(value, path, Value::Type::text, "a text")) return false;
    if (!form.holds(value.text)) {
        faults_->add(value.at, path, quote(value.text) + " is not " + form.what);
        return false;
    }
    out = value.text;
    return true;
}
bool Table::integer(const Value& value, const std::string& path, std::int64_t& out,
                    Range<std::int64_t> range) {
    if (!right_type(value, path, Value::Type::integer, "a whole number")) return false;
    if (!range.holds(value.integer)) {
        faults_->add(value.at, path,
                     out_of_range(std::to_string(value.integer), std::to_string(range.least),
                                  std::to_string(range.most)));
        return false;
    }
    out = value.integer;
    return true;
}

bool Table::read(std::string_view key, std::string& out, const Form& form) {
    const Value* value = find(key);
    return value && text(*value, path(key), out, form);
}
bool Table::read(std::string_view key, bool& out) {
    const Value* value = find(key, Value::Type::flag, "true or false");
    if (value) out = value->flag;
    return value != nullptr;
}
bool Table::integer(std::string_view key, std::int64_t& out, Range<std::int64_t> range) {
    const Value* value = find(key);
    return value && integer(*value, path(key), out, range);
}

bool Table::duration(std::string_view key, Millis& out, Range<Millis> range) {
    const Value* value =
        find(key, Value::Type::text, "a duration in quotes such as \"250ms\", \"15s\" or \"2m\"");
    if (!value) return false;
    const auto parsed = parse_duration(value->text);
    if (!parsed) {
        fault(key, quote(value->text) + " is not a duration such as \"250ms\", \"15s\" or \"2m\"");
    } else if (!range.holds(*parsed)) {
        fault(key, out_of_range(format_duration(*parsed), format_duration(range.least),
                                format_duration(range.most)));
    } else {
        out = *parsed;
        return true;
    }
    return false;
}

bool Table::number(std::string_view key, double& out, Range<double> range) {
    const Value* value = find(key);
    if (!value) return false;
    const bool whole = value->type == Value::Type::integer;
    if (!whole && !right_type(*value, path(key), Value::Type::number, "a number")) return false;
    const double found = whole ? static_cast<double>(value->integer) : value->number;
    if (!range.holds(found)) {
        fault(key, out_of_range(format_number(found), format_number(range.least), format_number(range.most)));
        return false;
    }
    out = found;
    return true;
}

bool Table::size(std::string_view key, std::size_t& out, Range<std::size_t> range) {
    const Value* value = find(key);
    if (!value) return false;
    std::optional<std::uint64_t> parsed;
    if (value->type == Value::Type::text) {
        parsed = parse_size(value->text);
        if (!parsed)
            fault(key, quote(value->text) + " is not a size such as \"64KiB\", \"1MiB\" or 4096 (bytes)");
    } else if (right_type(*value, path(key), Value::Type::integer,
                          "a size such as \"64KiB\", \"1MiB\" or 4096 (bytes)")) {
        if (value->integer < 0) {
            fault(key, out_of_range(std::to_string(value->integer), format_size(range.least),
                                    format_size(range.most)));
            return false;
        }
        parsed = static_cast<std::uint64_t>(value->integer);
    }
    if (!parsed) return false;
    if (!range.holds(*parsed)) {
        fault(key, out_of_range(format_size(*parsed), format_size(range.least), format_size(range.most)));
        return false;
    }
    out = *parsed;
    return true;
}

std::optional<std::size_t> Table::word(std::string_view key, const Words& names) {
    const Value* value = find(key, Value::Type::text, "a text");
    if (!value) return std::nullopt;
    const auto at = std::ranges::find(names, value->text);
    if (at != names.end()) return static_cast<std::size_t>(at - names.begin());
    fault(key, quote(value->text) + " is none of: " + join(names));
    return std::nullopt;
}

Table Table::table(std::string_view key) {
    return {*faults_, find(key, Value::Type::table, "a table"), path(key)};
}

std::span<const Value> Table::items(std::string_view key, std::size_t most) {
    const Value* value = find(key, Value::Type::array, "an array");
    if (!value) return {};
    if (value->items.size() > most) {
        fault(key, std::to_string(value->items.size()) + " entries, " + std::to_string(most) + " at most");
        return {};
    }
    return value->items;
}
std::vector<Table> Table::tables(std::string_view key, std::size_t most) {
    std::vector<Table> all;
    const auto values = items(key, most);
    for (std::size_t i = 0; i < values.size(); ++i)
        if (right_type(values[i], item_path(key, i), Value::Type::table, "a table"))
            all.emplace_back(*faults_, &values[i], item_path(key, i));
    return all;
}

Place Table::at(std::string_view key) const {
    const Entry* found = entry(key);
    return found ? found->value.at : at();
}
void Table::fault(std::string_view key, const std::string& what) { faults_->add(at(key), path(key), what); }
void Table::fault(Place at, std::string_view key, const std::string& what) {
    faults_->add(at, path(key), what);
}

std::string Table::path(std::string_view key) const {
    if (key.empty()) return path_;  // of the table itself
    return path_.empty() ? plain(key) : path_ + "." + plain(key);
}
std::string Table::item_path(std::string_view key, std::size_t index) const {
    return path(key) + "[" + std::to_string(index) + "]";
}

bool Table::asked(std::string_view key) const { return std::ranges::find(asked_, key) != asked_.end(); }

Words Table::not_there() const {
    Words keys;
    for (const std::string& key : asked_)
        if (!has(key)) keys.push_back(key);
    return keys;
}
bool Table::misspelt(std::string_view key) const {
    if (has(key)) return false;
    const Words free = not_there();
    return std::ranges::any_of(entries(), [&](const Entry& entry) {
        const std::string* meant = asked(entry.key) ? nullptr : faults_->nearest(entry.key, free);
        return meant && *meant == key;
    });
}

void Table::absent(const Words& keys, std::string_view key, const std::string& what) {
    absent_.push_back({keys, std::string(key), what});
}

void Table::done() {
    const Words free = not_there();
    Words found;
    for (const Entry& entry : entries()) {
        if (asked(entry.key)) continue;
        const std::string* nearest = faults_->nearest(entry.key, free);
        if (nearest) found.push_back(*nearest);
        faults_->add(entry.at, path(entry.key),
                     "unknown key; " +
                         (nearest ? "did you mean " + quote(*nearest) + "?" : "known here: " + join(asked_)));
    }
    const auto is_found = [&](const std::string& key) { return std::ranges::count(found, key) > 0; };
    for (const Absence& absence : absent_)
        if (value_ && std::ranges::none_of(absence.keys, is_found)) fault(at(), absence.key, absence.what);
}

}  // namespace whinledge::config
