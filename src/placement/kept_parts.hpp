// Which parts of prompts a model server keeps, as far as our own sends tell: the least recently used give way
// where they are more than its memory holds. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

#include "placement/prompt.hpp"

namespace whinledge::placement {

class KeptParts {
public:
    // Parts beyond so many tokens give way, now and later.
    void set_limit(std::int64_t tokens);
    // A prompt that begins so has been sent there: all its parts are used now, the first of them last, so
    // that they give way after what builds on them.
    void use(std::span<const PromptPart> prompt);
    void forget(std::uint64_t part);

    // Tokens of the prompt that need not be read again: of the parts up to the first that is not kept.
    std::int64_t kept(std::span<const PromptPart> prompt) const;
    bool holds(std::uint64_t part) const { return places_.contains(part); }

    std::int64_t tokens() const { return tokens_; }
    std::size_t size() const { return places_.size(); }

private:
    void use(const PromptPart& part);
    void shrink();

    std::list<PromptPart> parts_;  // the least recently used last
    std::unordered_map<std::uint64_t, std::list<PromptPart>::iterator> places_;
    std::int64_t tokens_ = 0, limit_ = 0;
};

}  // namespace whinledge::placement
