// Reads the platform's list for all while it holds the lease, and hands it on to the other control processes.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "control_plane/lease_service.hpp"
#include "feed/servers_list_client.hpp"
#include "rpc/client.hpp"
#include "rpc/server.hpp"

namespace whinledge::control_plane {

inline constexpr rpc::Call<wire::ListNews, wire::ListNewsReply> kListNews{"list_news"};
inline constexpr const char* kServersListLease = "servers-list";

class ServersListReader {
public:
    struct Options {
        std::string node;
        std::string list_address;                          // of the platform
        double calls_per_second = 1;                       // that the platform takes from all together
        std::function<std::vector<std::string>()> others;  // control processes to tell, by address
        std::function<void()> on_change;                   // the list is a newer one
    };
    ServersListReader(boost::asio::io_context& io, rpc::Client& client, rpc::Server& server,
                      LeaseService& leases, Options options);
    ~ServersListReader();

    void start();
    // The newest list known here, read or told of.
    const wire::ServersList& list() const;
    // What makes it of one that was the newest of late; none where only the whole list helps.
    std::optional<wire::ServersDifference> difference_since(std::int64_t term, std::int64_t sequence) const;
    // A living reader has been heard of (or is here).
    bool alive() const;
    // A watcher has a list under a higher number than ours.
    void seen(std::int64_t term);

    std::string counters() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace whinledge::control_plane
