// Reads the platform's list of servers: GET /servers, page by page, over one kept connection. Used by the one
// process that reads for all, and by an edge that hears nothing of it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/outcome/result.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "control_types.h"  // generated from idl/control.thrift
#include "engine/types.hpp"
#include "feed/list_reading.hpp"

namespace whinledge::feed {

enum class ListFailure {
    unreachable,   // no connection, or it broke
    timed_out,     // a page did not come in time
    rate_limited,  // 429: too many calls from all together
    refused,       // any other status
    unreadable,    // no list in it
};

struct ListError {
    ListFailure failure = ListFailure::unreachable;
    std::string message;
};

template <class T>
using ListResult = boost::outcome_v2::result<T, ListError, boost::outcome_v2::policy::all_narrow>;

// Pure. Entries that can't be read are left out, unless the whole is no list.
ListResult<ListPage> parse_list_page(std::string_view json);

class ServersListClient {
public:
    struct Reading {
        std::vector<wire::ListedServer> servers;
        int calls = 0;  // made to the platform, those that it refused included
    };
    using Done = std::function<void(ListResult<Reading>)>;

    // `address`: IP:PORT.
    ServersListClient(boost::asio::io_context& io, std::string address);
    ~ServersListClient();
    ServersListClient(const ServersListClient&) = delete;
    ServersListClient& operator=(const ServersListClient&) = delete;

    // Reads all pages. One reading at a time; `done` is called once, never from within fetch(), and not after
    // this client has been destroyed. `patience`: see ListReading; `on_wait`, which may be empty, is called
    // each time that the platform has no call left and the reading goes on later.
    void fetch(Done done, Millis patience = 0, std::function<void()> on_wait = nullptr);
    // Ends a reading; its `done` is not called.
    void cancel();
    bool busy() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace whinledge::feed
