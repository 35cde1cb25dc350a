// Bytes split on their way in every manner that a parser could mind, and the check that a table's entries
// have one verdict however they are split.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace whinledge::test::http_bytes {

using namespace std::string_literals;

using Cuts = std::vector<std::size_t>;

// After every byte; long runs of one byte are filler and go in one piece, their ends apart.
inline Cuts every_byte(const std::string& bytes) {
    constexpr std::size_t kEnd = 8;
    Cuts cuts;
    std::size_t run = 0;  // where it ends
    for (std::size_t i = 1, begin = 0; i < bytes.size(); ++i) {
        if (bytes[i] != bytes[i - 1]) begin = i;
        if (run <= i) run = std::min(bytes.find_first_not_of(bytes[i], i), bytes.size());
        if (i < begin + kEnd || i + kEnd > run) cuts.push_back(i);
    }
    return cuts;
}

// Once, at each place where a parser may have to stop: beside line ends, blanks and separators.
inline std::vector<Cuts> single_cuts(const std::string& bytes) {
    const auto edge = [](char c) { return std::string_view("\r\n:; \t").find(c) != std::string_view::npos; };
    constexpr std::size_t kMost = 100;  // the first and the last ones
    std::vector<Cuts> all;
    for (std::size_t i = 1; i < bytes.size(); ++i)
        if (edge(bytes[i - 1]) || edge(bytes[i])) all.push_back({i});
    if (all.size() > kMost) all.erase(all.begin() + kMost / 2, all.end() - kMost / 2);
    return all;
}

inline std::vector<std::string> pieces(const std::string& bytes, const Cuts& cuts) {
    std::vector<std::string> parts;
    std::size_t from = 0;
    for (const std::size_t cut : cuts) {
        parts.push_back(bytes.substr(from, cut - from));
        from = cut;
    }
    parts.push_back(bytes.substr(from));
    return parts;
}

inline std::string replaced(std::string text, const std::string& from, const std::string& to) {
    for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size())
        text.replace(at, from.size(), to);
    return text;
}

// In print, on one line; what repeats one byte, shorter.
inline std::string shown(const std::string& bytes) {
    constexpr std::string_view digits = "0123456789abcdef";
    if (bytes.size() > 64 && bytes.find_first_not_of(bytes[0]) == std::string::npos)
        return std::to_string(bytes.size()) + " times " + bytes[0];
    std::string text;
    for (const char c : bytes) {
        const auto code = static_cast<unsigned char>(c);
        if (code >= ' ' && code < 127)
            text += c;
        else if (c == '\r' || c == '\n')
            text += c == '\r' ? "\\r" : "\\n";
        else
            text += "\\x"s + digits[code / 16] + digits[code % 16];
    }
    return text;
}

inline std::string repeated(std::size_t times, const std::string& text) {
    std::string all;
    while (times-- > 0) all += text;
    return all;
}

// An entry's verdict is among those allowed, and the same however its bytes are split.
template <class Entry, class Judge>
std::string expect_one_verdict(const Entry& entry, const Judge& verdict) {
    const std::string whole = verdict(Cuts{});
    EXPECT_TRUE(std::find(entry.allowed.begin(), entry.allowed.end(), whole) != entry.allowed.end())
        << "is:     " << whole << "\nshould: " << entry.allowed[0];
    std::vector<Cuts> splits = single_cuts(entry.bytes);
    splits.push_back(every_byte(entry.bytes));
    for (const Cuts& cuts : splits) {
        if (testing::Test::HasFatalFailure()) break;
        const std::string split = verdict(cuts);
        EXPECT_EQ(split, whole) << "in " << cuts.size() + 1 << " pieces, the first of "
                                << (cuts.empty() ? 0 : cuts[0]);
        if (split != whole) break;
    }
    return whole;
}

template <class Entry, class Check>
void check_entries(const std::vector<Entry>& entries, const Check& check) {
    for (const Entry& entry : entries) {
        SCOPED_TRACE(entry.name + ": " + shown(entry.bytes).substr(0, 500));
        try {
            check(entry);
        } catch (const std::exception& error) {  // it went through the loop that the program runs
            ADD_FAILURE() << "thrown: " << error.what();
        }
        if (testing::Test::HasFatalFailure()) return;
    }
}

}  // namespace whinledge::test::http_bytes
