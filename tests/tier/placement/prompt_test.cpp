#include "placement/prompt.hpp"

#include <gtest/gtest.h>

#include "placement/placement.hpp"

namespace whinledge::placement {
namespace {

TEST(PromptStart, NamesPartsInOrder) {
    const auto parts = parse_prompt_start("5c1e07a2:800,91bd3f06:410, e4402b7d:250");
    ASSERT_EQ(parts.size(), 3U);
    EXPECT_EQ(parts[0], (PromptPart{name_hash("5c1e07a2"), 800}));
    EXPECT_EQ(parts[1], (PromptPart{name_hash("91bd3f06"), 410}));
    EXPECT_EQ(parts[2], (PromptPart{name_hash("e4402b7d"), 250}));
}

TEST(PromptStart, EndsAtWhatCantBeRead) {
    EXPECT_TRUE(parse_prompt_start("").empty());
    EXPECT_TRUE(parse_prompt_start("abc").empty());
    EXPECT_TRUE(parse_prompt_start(":12,a:1").empty());
    EXPECT_TRUE(parse_prompt_start("a:-1").empty());
    EXPECT_EQ(parse_prompt_start("a:1,b:x,c:3").size(), 1U);
    EXPECT_EQ(parse_prompt_start("a:1,").size(), 1U);
    EXPECT_EQ(parse_prompt_start("a:99999999999999999999").size(), 0U);
}

TEST(PromptStart, OfManyPartsOnlySoManyAreLookedAt) {
    std::string text;
    for (int i = 0; i < 1000; ++i) text += "a:1,";
    EXPECT_EQ(parse_prompt_start(text).size(), 64U);
}

TEST(TokenCountField, IsThePromptAndTheMostOut) {
    EXPECT_EQ(parse_token_count("1460,80"), (TokenCount{1460, 80}));
    EXPECT_EQ(parse_token_count("1460"), (TokenCount{1460, 0}));
    EXPECT_EQ(parse_token_count("x,80"), (TokenCount{0, 80}));
    EXPECT_EQ(parse_token_count(""), (TokenCount{}));
}

TEST(LoadField, IsRunningWaitingSlots) {
    Load load;
    ASSERT_TRUE(parse_load("3,1,8", load));
    EXPECT_EQ(load.running, 3);
    EXPECT_EQ(load.waiting, 1);
    EXPECT_EQ(load.slots, 8);
    for (const char* const wrong : {"", "3", "3,1", "3,1,8,2", "3,,8", "-3,1,8", "a,1,8"})
        EXPECT_FALSE(parse_load(wrong, load)) << wrong;
    EXPECT_EQ(load.running, 3) << "left as it was";
}

TEST(LoadField, FiguresThatNoServerHasAreCut) {
    Load load;
    ASSERT_TRUE(parse_load("2147483647,2147483647,2147483647", load));
    EXPECT_EQ(load.running, 1 << 16);
    EXPECT_EQ(load.waiting, 1 << 16);
    EXPECT_EQ(load.slots, 1 << 16);
}

}  // namespace
}  // namespace whinledge::placement
