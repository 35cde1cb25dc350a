#include "feed/list_reading.hpp"

#include <iterator>
#include <utility>

namespace whinledge::feed {

ListReading::ListReading(Millis now, Millis patience) : until_(now + patience) {}

ListReading::Step ListReading::took(ListPage page) {
    ++pages_;
    servers_.insert(servers_.end(), std::make_move_iterator(page.servers.begin()),
                    std::make_move_iterator(page.servers.end()));
    page_ = std::move(page.next);
    if (page_.empty()) return Step::complete;
    return pages_ >= kMostPages ? Step::endless : Step::ask;
}

ListReading::Step ListReading::rate_limited(Millis now) const {
    return now + kPause > until_ ? Step::give_up : Step::ask_later;
}

}  // namespace whinledge::feed
