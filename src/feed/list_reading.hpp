// One reading of the platform's list, page by page: which page is to be asked for, and what to do while the
// platform takes no more calls. Pure: the caller brings pages and time.
#pragma once

#include <string>
#include <vector>

#include "control_types.h"  // generated from idl/control.thrift
#include "engine/types.hpp"

namespace whinledge::feed {

struct ListPage {
    std::vector<wire::ListedServer> servers;
    std::string next;  // token of the page that follows; empty: none
};

class ListReading {
public:
    enum class Step {
        ask,        // for page(), at once
        ask_later,  // for page(), after kPause
        complete,   // all pages are in
        endless,    // more pages than any list has
        give_up,    // the platform's rate has been spent for longer than the caller waits
    };
    // Milliseconds before a page is asked for again that the platform had no call left for.
    static constexpr Millis kPause = 50;
    static constexpr int kMostPages = 1000;

    // `patience`: milliseconds from `now` for which a page is asked for again while the platform's rate is
    // spent. The one who reads for all waits, since a reading begun anew would ask for all pages again;
    // others give up at once (0), and leave the rate to that one.
    explicit ListReading(Millis now = 0, Millis patience = 0);

    Step took(ListPage page);
    Step rate_limited(Millis now) const;

    const std::string& page() const { return page_; }  // empty: the first
    std::vector<wire::ListedServer> take_servers() { return std::move(servers_); }

private:
    Millis until_;
    std::string page_;
    int pages_ = 0;
    std::vector<wire::ListedServer> servers_;
};

}  // namespace whinledge::feed
