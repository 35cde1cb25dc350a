#include "config/document.hpp"

// Its assertions are wrong about some texts ("[[[" fails one, 3.3) whose errors the code after them reports.
// With NDEBUG they would be promises to some compilers, so that is not set here.
#undef NDEBUG
#define TOML_HEADER_ONLY 1
#define TOML_ASSERT(condition) static_cast<void>(0)
// Deepest nesting of arrays and inline tables; the services file needs 4.
#define TOML_MAX_NESTED_VALUES 32
#define TOML_ENABLE_FORMATTERS 0
#include <toml++/toml.h>

#include <algorithm>

#include "config/words.hpp"

namespace whinledge::config {

namespace {

constexpr int kMostDots = 16;  // in one key; the deepest key of a services file has 4

// What the parser (3.3) must not meet: it nests tables by a key's dots without a bound and takes them down by
// recursion, so a long row of dots runs out of stack; and its tables of letters are wrong for some beyond
// ASCII (U+03CB reaches what is declared unreachable), which TOML allows in texts and comments alone. A quote
// where no text can begin is an error, and told here, since the parser takes no notice of quotes within a
// bare value.
class Scan {
public:
    explicit Scan(std::string_view text) : text_(text) {
        if (text_.starts_with("\xef\xbb\xbf")) at_ = 3;  // a byte order mark
    }

    std::optional<Document::Error> find() {
        while (at_ < text_.size()) {
            const char c = text_[at_];
            if (c == '#') {
                skip_to('\n');
            } else if (c == '"' || c == '\'') {
                if (!may_begin_text()) return error("a quote in the middle of a key or a value");
                const std::size_t begin = at_;
                skip_text(c);
                // After a dot it is part of a key, or of a bare value that is no value.
                if (last_ == '.' && !is_ascii(text_.substr(begin, at_ - begin))) {
                    at_ = begin;
                    return beyond_ascii();
                }
                last_ = c;
            } else if (c == '.' && ++dots_ > kMostDots) {
                return error("more than " + std::to_string(kMostDots) + " dots in one key");
            } else if (!is_ascii(text_.substr(at_, 1))) {
                return beyond_ascii();
            } else {
                step(c);
            }
        }
        return std::nullopt;
    }

private:
    static bool is_ascii(std::string_view text) {
        return std::ranges::all_of(text, [](unsigned char c) { return c < 0x80; });
    }
    std::optional<Document::Error> beyond_ascii() const {
        return error("a letter beyond ASCII outside of quotes and comments");
    }
    bool may_begin_text() const { return std::string_view("\n=[{,.").find(last_) != std::string_view::npos; }
    void step(char c) {
        if (std::string_view("=,[]{}\n").find(c) != std::string_view::npos) dots_ = 0;
        if (c != ' ' && c != '\t' && c != '\r') last_ = c;
        ++at_;
    }
    void skip_to(char end) { at_ = std::min(text_.find(end, at_), text_.size()); }
    void skip_text(char quote) {
        const std::string three(3, quote);
        const bool many_lines = text_.substr(at_, 3) == three;
        const std::string_view end =
            many_lines ? std::string_view(three) : std::string_view(three).substr(0, 1);
        for (at_ += end.size(); at_ < text_.size(); ++at_) {
            if (text_[at_] == '\\' && quote == '"') {
                ++at_;
            } else if (text_.substr(at_, end.size()) == end) {
                at_ += end.size();
                // The last three of up to five quotes end a text of many lines.
                for (int i = 0; many_lines && i < 2 && text_.substr(at_, 1) == end.substr(0, 1); ++i) ++at_;
                return;
            } else if (text_[at_] == '\n' && !many_lines) {
                return;  // not closed: the parser's to report
            }
        }
    }
    Document::Error error(std::string what) const {
        const std::string_view before = text_.substr(0, at_);
        const auto lines = std::count(before.begin(), before.end(), '\n');
        const auto start = before.rfind('\n') + 1;  // npos + 1 is 0
        return {{static_cast<int>(lines) + 1, static_cast<int>(at_ - start) + 1}, std::move(what)};
    }

    std::string_view text_;
    std::size_t at_ = 0;
    char last_ = '\n';  // but for blanks
    int dots_ = 0;
};

Place place(const toml::source_region& region) {
    return {std::max(1, static_cast<int>(region.begin.line)),
            std::max(1, static_cast<int>(region.begin.column))};
}

Value convert(const toml::node& node);

void add_entries(Value& value, const toml::table& table) {
    for (const auto& [key, node] : table)
        value.entries.push_back({std::string(key.str()), place(key.source()), convert(node)});
    std::ranges::stable_sort(value.entries, {}, &Entry::at);
}

Value convert(const toml::node& node) {
    Value value;
    value.at = place(node.source());
    if (const auto* table = node.as_table()) {
        add_entries(value, *table);
    } else if (const auto* array = node.as_array()) {
        value.type = Value::Type::array;
        for (const toml::node& item : *array) value.items.push_back(convert(item));
    } else if (const auto* text = node.as_string()) {
        value.type = Value::Type::text;
        value.text = text->get();
    } else if (const auto* integer = node.as_integer()) {
        value.type = Value::Type::integer;
        value.integer = integer->get();
    } else if (const auto* number = node.as_floating_point()) {
        value.type = Value::Type::number;
        value.number = number->get();
    } else if (const auto* flag = node.as_boolean()) {
        value.type = Value::Type::flag;
        value.flag = flag->get();
    } else {
        value.type = Value::Type::time;
    }
    return value;
}

// The parser's messages hold what it read, as it is.
Document failed(Place at, const std::string& what) {
    Document document;
    document.error = {at, one_line(what)};
    return document;
}

}  // namespace

Document read_document(std::string_view text) {
    if (text.size() > kMostText) return failed({}, "the file is longer than 1MiB");
    if (const auto error = Scan(text).find()) return failed(error->at, error->what);
    try {
        Document document;
        document.root = convert(toml::parse(text));
        return document;
    } catch (const toml::parse_error& error) {
        return failed(place(error.source()), std::string(error.description()));
    }
}

}  // namespace whinledge::config
