#include "data_plane/list_pace.hpp"

#include <algorithm>
#include <utility>

namespace whinledge::data_plane {

ListPace::ListPace(Millis now, std::function<double()> draw)
    : draw_(std::move(draw)), not_before_(now + kAtStart + kSpread * draw_()), share_(draw_()) {}

// Where a reading takes much of the platform's rate, processes that hold a list wait longer: all of them miss
// the reader at the same moment, and the one that follows it needs the calls.
bool ListPace::silent(const ListSituation& situation) const {
    const Millis spread = kCrowd * situation.reading_cost * (0.5 + share_);
    return situation.silence > kSilence + (situation.has_list ? spread : 0);
}

bool ListPace::due(Millis now, const ListSituation& situation) {
    const bool lacks_list = situation.configured && !situation.has_list;
    if (!lacks_list) without_list_since_ = -1;
    if (lacks_list && without_list_since_ < 0) without_list_since_ = now;
    if (!situation.configured || now < not_before_) return false;
    if (silent(situation)) return true;
    return lacks_list && now - without_list_since_ > kPatience;
}

void ListPace::ended(Millis now, bool succeeded, Millis reading_cost) {
    share_ = draw_();
    if (succeeded) {
        backoff_ = kBackoff;
        not_before_ = now + std::max(kAgain, kCrowd * reading_cost) * (1 + draw_());
        return;
    }
    not_before_ = now + std::max(backoff_, 0.5 * kCrowd * reading_cost) * (0.5 + draw_());
    backoff_ = std::min(2 * backoff_, kLongestBackoff);
}

}  // namespace whinledge::data_plane
