// What a request to a model server tells of its prompt: the parts it begins with and how many tokens it has.
// Pure.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace whinledge::placement {

struct PromptPart {
    std::uint64_t id = 0;
    std::int64_t tokens = 0;
    bool operator==(const PromptPart&) const = default;
};

struct TokenCount {
    std::int64_t prompt = 0;  // tokens
    std::int64_t most_out = 0;
    bool operator==(const TokenCount&) const = default;
};

// `Prompt-Start`: ID:TOKENS separated by commas, the id in hex, in the prompt's order. What follows an entry
// that can't be read is left out, as a server keeps a part only behind all those before it.
std::vector<PromptPart> parse_prompt_start(std::string_view text);

// `Token-Count`: tokens of the prompt, then the most out. What can't be read is 0.
TokenCount parse_token_count(std::string_view text);

// The same number for the same name in every process, well mixed.
std::uint64_t name_hash(std::string_view name);
std::uint64_t mixed(std::uint64_t a, std::uint64_t b);

}  // namespace whinledge::placement
