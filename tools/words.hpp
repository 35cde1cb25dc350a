// The command lines of the tools: `--name value`, `--name`, and what stands alone.
#pragma once

#include <algorithm>
#include <charconv>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace whinledge::tools {

struct UsageError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// The whole of it, or a UsageError.
template <class Number>
Number number(std::string_view text) {
    Number value{};
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (fault != std::errc() || end != text.data() + text.size() || !(value >= 0))
        throw UsageError("no number: '" + std::string(text) + "'");
    return value;
}

// "20ms", "1s"; in milliseconds.
inline long milliseconds(std::string_view text) {
    const bool ms = text.ends_with("ms");
    if (!ms && !text.ends_with("s")) throw UsageError("no duration: '" + std::string(text) + "'");
    const long value = number<long>(text.substr(0, text.size() - (ms ? 2 : 1)));
    if (value > 86400000) throw UsageError("too long: '" + std::string(text) + "'");
    return ms ? value : value * 1000;
}

class Words {
public:
    // `valued` are followed by a value, `flags` are not.
    Words(int count, char** words, const std::vector<std::string>& valued,
          const std::vector<std::string>& flags) {
        const auto among = [](const auto& list, const std::string& word) {
            return std::find(list.begin(), list.end(), word) != list.end();
        };
        for (int i = 1; i < count; ++i) {
            const std::string word = words[i];
            if (!word.starts_with("--"))
                alone_.push_back(word);
            else if (among(flags, word))
                given_.emplace_back(word, "");
            else if (!among(valued, word))
                throw UsageError("unknown: " + word);
            else if (++i == count)
                throw UsageError(word + " needs a value");
            else
                given_.emplace_back(word, words[i]);
        }
    }
    bool has(std::string_view name) const { return !all(name).empty(); }
    std::vector<std::string> all(std::string_view name) const {
        std::vector<std::string> values;
        for (const auto& [word, value] : given_)
            if (word == name) values.push_back(value);
        return values;
    }
    std::string get(std::string_view name, std::string_view otherwise) const {
        const auto values = all(name);
        return values.empty() ? std::string(otherwise) : values.back();
    }
    const std::vector<std::string>& alone() const { return alone_; }

private:
    std::vector<std::pair<std::string, std::string>> given_;
    std::vector<std::string> alone_;
};

}  // namespace whinledge::tools
