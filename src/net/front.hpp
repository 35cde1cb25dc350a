// The application's side: takes its requests over HTTP and gives each of them its one answer.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "kestrelhall/balancer.hpp"
#include "net/config.hpp"

namespace kestrelhall::net {

class Front {
public:
    using Message = boost::beast::http::request<boost::beast::http::string_body>;
    using Answer = boost::beast::http::response<boost::beast::http::string_body>;
    struct Arrival {
        RequestId id = 0;
        std::shared_ptr<const Message> message;
        std::string class_name;
        std::string tenant;
        Millis time_left = 0;
        Millis effort = 0;
        bool repeat = false;
    };
    struct Callbacks {
        std::function<void(Arrival)> arrived;
        std::function<void(RequestId)> gone;  // its client has closed the connection
        std::function<void()> drained;        // after drain(): no client is left
    };

    // Listens at once; throws boost::system::system_error where it can't.
    Front(boost::asio::io_context& io, const Tcp::endpoint& listen, std::size_t clients, Callbacks callbacks);
    ~Front();

    // The final answer; the first one counts.
    void answer(RequestId request, Answer answer);
    // Goes on taking requests for that long, closing each connection with its answer, then only finishes.
    void drain(Millis accepting);
    Tcp::endpoint address() const { return address_; }

private:
    class Client;
    using ClientPtr = std::shared_ptr<Client>;

    void accept();
    void accepted(Tcp::socket socket);
    void stop_accepting();
    bool make_room();
    void closed(const ClientPtr& client);
    void rested();

    boost::asio::io_context& io_;
    Tcp::acceptor acceptor_;
    Tcp::endpoint address_;
    std::size_t most_clients_;
    Callbacks callbacks_;
    boost::asio::steady_timer timer_;  // of the next try to accept
    boost::asio::steady_timer drain_timer_;
    std::unordered_set<ClientPtr> clients_;
    std::unordered_map<RequestId, ClientPtr> held_;
    RequestId next_request_ = 1;
    bool draining_ = false, accepting_ = false;
};

}  // namespace kestrelhall::net
