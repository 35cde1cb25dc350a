// Answers calls of other processes, several at once on each connection, in any order.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

#include "rpc/call.hpp"
#include "rpc/codec.hpp"
#include "rpc/traffic.hpp"

namespace whinledge::rpc {

class Server {
public:
    using Tcp = boost::asio::ip::tcp;

    // Sends one reply; may be kept and used later, or dropped (the caller then times out). Safe after the
    // connection or the server has gone.
    template <class Reply>
    class Responder {
    public:
        explicit Responder(std::function<void(std::string)> send) : send_(std::move(send)) {}
        void operator()(const Reply& reply) const { send_(encode_body(reply)); }

    private:
        std::function<void(std::string)> send_;
    };

    // Listens at once. Throws boost::system::system_error where the address can't be had.
    Server(boost::asio::io_context& io, const Tcp::endpoint& address);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    // Handlers run on the loop's thread.
    template <class Request, class ReplyT>
    void on(const Call<Request, ReplyT>& call,
            std::function<void(const Request&, Responder<ReplyT>)> handler) {
        add(call.name,
            [handler = std::move(handler)](const std::string& body, std::function<void(std::string)> send) {
                const Result<Request> request = decode_body<Request>(body);
                if (!request) return false;
                handler(request.value(), Responder<ReplyT>(std::move(send)));
                return true;
            });
    }

    Tcp::endpoint address() const;
    // Calls refused since the start, as they could not be decoded.
    std::uint64_t unreadable() const;
    const TrafficByCall& traffic() const;

private:
    class Connection;
    class State;
    using Handler = std::function<bool(const std::string& body, std::function<void(std::string)> send)>;
    void add(const char* name, Handler handler);

    std::shared_ptr<State> state_;
};

}  // namespace whinledge::rpc
