// The platform's profile (PROTOCOL-whinledge.md): takes the application's requests and gives each of them its
// one answer.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

#include "engine/pool.hpp"
#include "http/call.hpp"
#include "listen/admission.hpp"
#include "listen/listener.hpp"
#include "site/site.hpp"

namespace whinledge {

class Front final : public Listener {
public:
    using Tcp = Door::Tcp;
    using Message = boost::beast::http::request<boost::beast::http::string_body>;
    // An answer; whoever writes it adds Connection and Content-Length to its head.
    struct Reply {
        HeadText head;
        std::string body;
    };
    // Where a request goes: whose classes it is of, and the pool.
    struct Place {
        const Site* site = nullptr;
        Pool* pool = nullptr;
    };
    struct Callbacks {
        // None: nobody has such a request. By its head, once its Host, id and class stand there.
        std::function<std::optional<Place>(const boost::beast::http::request_header<>& head)> place;
        Admit admit;                    // by the pool's name
        std::function<void()> drained;  // after drain(): no client is left
        std::function<void(const std::string&)> log;
    };

    // Listens at once; throws boost::system::system_error where it can't. `clients`: connections at once.
    Front(boost::asio::io_context& io, const Door::Listen& listen, std::size_t clients, Callbacks callbacks,
          Door::Budget budget = {}, const TimeSource& clock = Door::steady());

    Door& door() override { return door_; }
    using Listener::door;

private:
    class Client;
    class Request;

    // The ids of requests taken of late, of which none may come again. Older ones are forgotten.
    class RecentIds {
    public:
        explicit RecentIds(Millis now) : since_(now) {}
        // False: it has been. `longest`: what a request like this one may be open for.
        bool take(const std::string& id, Millis longest, Millis now);

    private:
        std::unordered_set<std::string> now_, before_;
        Millis since_;
        Millis memory_ = 0;  // the longest of all
    };

    Callbacks callbacks_;
    RecentIds ids_;
    Door door_;
};

}  // namespace whinledge
