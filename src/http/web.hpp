// The http profile of a listener: ordinary clients, which send none of the platform's headers. A request's
// route says which pool has it, of which class it is and how long it may take; bodies of any size are
// streamed both ways in bounded memory.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "engine/pool.hpp"
#include "http/call.hpp"
#include "listen/admission.hpp"
#include "listen/listener.hpp"
#include "route/table.hpp"

namespace whinledge {

// The routes in force, and the names behind their pools. A request keeps those it began with.
struct Routing {
    std::shared_ptr<const route::Table> table;
    std::vector<std::string> pools;
};

class Web final : public Listener {
public:
    using Tcp = Door::Tcp;
    struct Options {
        std::string name;
        std::size_t index = 0;  // of the listener, in the table
        Door::Listen listen;
        std::size_t places = 1000;  // connections at once
        Millis head_timeout = 2500, idle_timeout = 60000;
        std::string via = "whinledge";
    };
    // A pool as the listener needs it.
    struct PoolView {
        Pool* pool = nullptr;  // null: not in service
        const std::vector<std::string>* classes = nullptr;
    };
    struct Callbacks {
        std::function<std::shared_ptr<const Routing>()> routing;
        std::function<PoolView(std::string_view name)> pool;
        Admit admit;
        std::function<std::uint64_t()> random;
        std::function<void()> drained;
        std::function<void(const std::string&)> log;
    };

    // Listens at once; throws boost::system::system_error where it can't.
    Web(boost::asio::io_context& io, Options options, Callbacks callbacks, Door::Budget budget = {},
        const TimeSource& clock = Door::steady());

    const std::string& name() const { return options_.name; }
    Door& door() override { return door_; }
    using Listener::door;
    // Of a reload: what can change while it listens.
    void change(const Options& options);

private:
    class Client;
    class Exchange;

    std::string request_id();

    Options options_;
    Callbacks callbacks_;
    std::uint64_t id_seed_;
    std::uint64_t next_id_ = 0;
    Door door_;
};

}  // namespace whinledge
