// Tables of what servers may answer, each entry with its verdicts.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "rig/byte_splits.hpp"

namespace whinledge::test::http_bytes {

// Verdicts: the outcome, of a served one its body and fields, and whether the connection is used again.
// "waits": more is to come. Then what it is when the server closes behind the bytes, where that is another
// outcome.
struct AnswerEntry {
    std::string name, bytes;
    std::vector<std::string> allowed;  // mostly one
    std::string when_closed{};
};
struct AnswerEntries : std::vector<AnswerEntry> {
    void add(std::string_view name, const std::string& bytes, std::string_view verdict,
             std::string_view when_closed = "") {
        push_back({std::string(name), bytes, {std::string(verdict)}, std::string(when_closed)});
    }
};

// The verdict on an answer of which more is to come.
inline const std::string waits = "waits";

// The tables, each of one part of an answer.
AnswerEntries status_lines();
AnswerEntries proofs();
AnswerEntries bodies();
AnswerEntries chunked_bodies();

// By the names of the tests.
inline const std::map<std::string, AnswerEntries (*)()> answer_tables{
    {"StatusLines", status_lines}, {"Proofs", proofs}, {"Bodies", bodies}, {"ChunkedBodies", chunked_bodies}};

}  // namespace whinledge::test::http_bytes
