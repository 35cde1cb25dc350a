#include "route/regex.hpp"

namespace whinledge::route {

namespace {

bool is_special(char c) { return std::string_view("\\.[](){}*+?|^$").find(c) != std::string_view::npos; }

// Past the class that starts there ("[...]", where "]" may come first).
std::size_t after_class(std::string_view pattern, std::size_t at) {
    at += pattern.substr(at).starts_with("[^") ? 2 : 1;
    if (at < pattern.size() && pattern[at] == ']') ++at;
    for (; at < pattern.size() && pattern[at] != ']'; ++at)
        if (pattern[at] == '\\') ++at;
    return at + 1;
}

bool has_choice(std::string_view pattern) {
    int depth = 0;
    for (std::size_t at = 0; at < pattern.size();) {
        const char c = pattern[at];
        if (c == '[') {
            at = after_class(pattern, at);
            continue;
        }
        if (c == '|' && depth == 0) return true;
        depth += c == '(' ? 1 : c == ')' ? -1 : 0;
        at += c == '\\' ? 2 : 1;
    }
    return false;
}

}  // namespace

std::size_t literal_length(std::string_view pattern) {
    if (has_choice(pattern)) return 0;
    std::size_t at = 0, length = 0;
    if (pattern.starts_with('^')) at = 1;
    for (; at < pattern.size(); ++length) {
        const bool escaped = pattern[at] == '\\' && at + 1 < pattern.size() && is_special(pattern[at + 1]);
        if (is_special(pattern[at]) && !escaped) break;
        at += escaped ? 2 : 1;
    }
    const bool repeats =
        at < pattern.size() && std::string_view("*?{").find(pattern[at]) != std::string_view::npos;
    return repeats && length > 0 ? length - 1 : length;
}

}  // namespace whinledge::route
