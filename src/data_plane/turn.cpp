#include "data_plane/turn.hpp"

#include <algorithm>
#include <utility>

namespace whinledge::data_plane {

Turn::Turn(const RequestFacts& facts, std::string input, int keep_for_s, int chunk_tokens, Kept kept)
    : facts_(facts),
      input_(std::move(input)),
      keep_for_s_(keep_for_s),
      chunk_tokens_(std::max(1, chunk_tokens)),
      kept_(kept),
      parser_([this](std::string_view data) {
          ++events_;
          if (has_record()) output_.append(data).push_back('\n');
      }) {}

storage_plane::TurnStart Turn::start() const {
    storage_plane::TurnStart start;
    start.program = facts_.program;
    start.turn = facts_.try_id;
    if (has_record()) start.previous = facts_.previous;
    start.budget = facts_.budget;
    start.most = facts_.most_tokens;
    start.keep_for_s = keep_for_s_;
    return start;
}

std::string Turn::body(const std::vector<wire::TurnRecord>& chain) const {
    std::size_t size = input_.size();
    for (const wire::TurnRecord& turn : chain) size += turn.input.size() + turn.output.size();
    std::string body;
    body.reserve(size);
    for (const wire::TurnRecord& turn : chain) body.append(turn.input).append(turn.output);
    return body.append(input_);
}

void Turn::handed(std::string_view bytes) { parser_.feed(bytes); }

storage_plane::TurnEnd Turn::end() const {
    storage_plane::TurnEnd end;
    end.program = facts_.program;
    end.turn = facts_.try_id;
    end.tokens = tokens();
    end.keep_for_s = keep_for_s_;
    return end;
}

storage_plane::TurnEnd Turn::whole(std::int64_t ended_ms) const {
    storage_plane::TurnEnd end = this->end();
    if (!has_record()) return end;
    end.whole = true;
    end.record.id = facts_.try_id;
    end.record.parent = facts_.previous;
    end.record.program = facts_.program;
    end.record.input = input_;
    end.record.output = output_;
    end.record.ended_ms = ended_ms;
    end.record.keep_for_s = keep_for_s_;
    return end;
}

// An event of which a part has gone out may have told its client all that it holds.
storage_plane::TurnEnd Turn::broken() const {
    storage_plane::TurnEnd end = this->end();
    if (parser_.unfinished() > 0) end.tokens += chunk_tokens_;
    return end;
}

storage_plane::TurnEnd Turn::never_ran() const {
    storage_plane::TurnEnd end = this->end();
    end.tokens = 0;
    end.never_ran = true;
    return end;
}

}  // namespace whinledge::data_plane
