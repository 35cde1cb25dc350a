#include "placement/prompt.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

#include "hash/mix64.hpp"

namespace whinledge::placement {

namespace {

constexpr std::size_t kMostParts = 64;  // of one prompt that are looked at
constexpr std::int64_t kMostTokens = 100'000'000;

std::string_view trimmed(std::string_view text) {
    const auto begin = text.find_first_not_of(" \t");
    if (begin == std::string_view::npos) return {};
    return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

// Takes what stands before the next comma.
std::string_view next_entry(std::string_view& text) {
    const auto comma = std::min(text.find(','), text.size());
    const std::string_view entry = trimmed(text.substr(0, comma));
    text.remove_prefix(std::min(comma + 1, text.size()));
    return entry;
}

std::optional<std::int64_t> tokens_of(std::string_view text) {
    std::int64_t tokens = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), tokens);
    if (error != std::errc{} || end != text.data() + text.size() || tokens < 0) return std::nullopt;
    return std::min(tokens, kMostTokens);
}

std::optional<PromptPart> part_of(std::string_view entry) {
    const auto colon = entry.rfind(':');
    if (colon == std::string_view::npos || colon == 0) return std::nullopt;
    const auto tokens = tokens_of(trimmed(entry.substr(colon + 1)));
    if (!tokens) return std::nullopt;
    return PromptPart{name_hash(trimmed(entry.substr(0, colon))), *tokens};
}

}  // namespace

std::vector<PromptPart> parse_prompt_start(std::string_view text) {
    std::vector<PromptPart> parts;
    while (!text.empty() && parts.size() < kMostParts) {
        const auto part = part_of(next_entry(text));
        if (!part) break;
        parts.push_back(*part);
    }
    return parts;
}

TokenCount parse_token_count(std::string_view text) {
    const std::int64_t prompt = tokens_of(next_entry(text)).value_or(0);
    return {prompt, tokens_of(next_entry(text)).value_or(0)};
}

std::uint64_t name_hash(std::string_view name) {
    std::uint64_t hash = 0xcbf29ce484222325;  // FNV-1a
    for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3;
    return hash;
}

std::uint64_t mixed(std::uint64_t a, std::uint64_t b) { return mix64(a + kSplitMixStep * (b + 1)); }

}  // namespace whinledge::placement
