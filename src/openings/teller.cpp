#include "openings/teller.hpp"

#include <limits>
#include <utility>

namespace whinledge::openings {

Teller::Teller(Options options) : options_(options), told_at_(-std::numeric_limits<Millis>::infinity()) {}

std::optional<Teller::Word> Teller::due(const Traffic& seen, Millis now) {
    if (!is_open(now)) return std::nullopt;
    if (now - told_at_ < options_.pace && !differs(told_, seen)) return std::nullopt;
    is_out_ = true;
    told_at_ = now;
    told_ = seen;
    return Word{++sequence_, seen, source_, version_};
}

bool Teller::answered(Answer answer, Millis now) {
    is_out_ = false;
    const bool same = answer.source == source_ && answer.version == version_;
    if (!answer.sum) {
        // Of a sum that is not held any more, or of another process, it says nothing.
        if (same) heard_at_ = now;
        return false;
    }
    heard_at_ = now;
    source_ = answer.source;
    version_ = answer.version;
    return std::exchange(sum_, std::move(*answer.sum)) != sum_;
}

void Teller::failed() { is_out_ = false; }

void Teller::forget() {
    is_out_ = false;
    source_ = 0;
    version_ = 0;
    sum_.clear();
}

const Traffic& Teller::sum(Millis now) {
    if (source_ != 0 && now - heard_at_ > options_.holds) {
        source_ = 0;
        version_ = 0;
        sum_.clear();
    }
    return sum_;
}

}  // namespace whinledge::openings
