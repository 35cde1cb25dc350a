// What a process hears from the control plane: the newest configuration, the storage map, the servers list,
// and which control processes there are. Every edge and storage process holds one; it watches several control
// processes at once by long polls, so that one that is dead, frozen or cut off delays nothing.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "control_types.h"  // generated from idl/control.thrift
#include "node/settings.hpp"
#include "rpc/client.hpp"

namespace whinledge::feed {

class Feed {
public:
    struct Options {
        wire::NodeInfo self;
        std::vector<std::string> seeds;  // RPC addresses
    };
    Feed(boost::asio::io_context& io, rpc::Client& client, Options options);
    ~Feed();

    void start();
    // Seeds may be others after the settings file has changed.
    void set_seeds(std::vector<std::string> seeds);
    // From another way than the watches (the overlay): ignored unless newer.
    void take(wire::RegisterState state);
    void take(wire::ServersList servers);
    // False: it does not fit the list that is held, which is older than what comes of it.
    bool take(wire::ServersDifference difference);
    // Progress that a storage process reports: "", "synced", "emptied".
    void set_storage_note(std::string note);
    // Of a storage process: asked for what goes out with each watch. Unset: nothing does.
    std::function<wire::StorageProgress()> storage_progress;

    // Newest known; sequence 0: none yet.
    const wire::RegisterState& state() const;
    const wire::ServersList& servers() const;
    const std::vector<wire::NodeInfo>& controls() const;
    // Since the start of this process, a control process has confirmed at a majority that the state held was
    // current: only then is a restarted process ready.
    bool confirmed() const;
    // Milliseconds since anybody told of a living reader of the platform's list; infinite: nobody has.
    double list_silence_ms() const;
    // Milliseconds since any control process answered a watch.
    double control_silence_ms() const;

    std::function<void(const wire::RegisterState&)> on_state;  // newer than the one before, never older
    std::function<void(const wire::ServersList&)> on_servers;  // the same
    std::function<void()> on_confirmed;
    // A control process has told how many edge processes are live; never 0.
    std::function<void(std::size_t)> on_proxies;
    // Whether control processes ask that states and lists come by the overlay. Where this is set and they do,
    // two of them are watched, and only for what is new; what does not come in time is asked for all the
    // same.
    std::function<void(bool)> on_relay;

    std::string counters() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace whinledge::feed
