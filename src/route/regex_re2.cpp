#include <re2/re2.h>

#include "route/regex.hpp"

namespace whinledge::route {

namespace {

RE2::Options options() {
    RE2::Options options(RE2::Latin1);  // paths are ASCII, values of headers any bytes
    options.set_log_errors(false);
    options.set_max_mem(kRegexMemory);
    options.set_never_capture(true);
    return options;
}

class Re2Regex : public Regex {
public:
    explicit Re2Regex(const std::string& pattern) : expression_(pattern, options()) {}
    bool matches(std::string_view text) const override {
        return RE2::FullMatch(re2::StringPiece(text.data(), text.size()), expression_);
    }
    const RE2& expression() const { return expression_; }

private:
    RE2 expression_;
};

}  // namespace

std::unique_ptr<const Regex> make_regex(const std::string& pattern, std::string& fault) {
    if (pattern.size() > kLongestRegex) {
        fault = "is longer than " + std::to_string(kLongestRegex) + " bytes";
        return nullptr;
    }
    auto regex = std::make_unique<const Re2Regex>(pattern);
    if (regex->expression().ok()) return regex;
    fault = regex->expression().error();
    return nullptr;
}

}  // namespace whinledge::route
