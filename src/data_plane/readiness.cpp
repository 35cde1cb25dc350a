#include "data_plane/readiness.hpp"

#include <glog/logging.h>

#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "http/message.hpp"

namespace whinledge::data_plane {

namespace asio = boost::asio;

namespace {
constexpr std::size_t kPlaces = 32;
constexpr Millis kLongestSilence = 15000;
constexpr std::size_t kLongestHead = 4096;
}  // namespace

// Its requests have no bodies: each ends with its head.
class Readiness::Asker final : public Door::Guest {
public:
    Asker(Readiness& readiness, Places::Id place, Door::Tcp::socket socket)
        : Guest(readiness.door_, place, std::move(socket)), readiness_(readiness) {}

    void welcome() override {
        limit(kLongestSilence);
        wait_readable();
    }
    bool spare() const override { return true; }
    void out_of_time() override { close(); }
    void last_chance() override { close(); }

private:
    void readable(error_code) override {
        error_code error;
        const std::string_view bytes = receive(error);
        if (error == asio::error::would_block) return wait_readable();
        if (error) return close();
        pending_.append(bytes);
        for (auto end = pending_.find(kHeadEnd); end != std::string::npos; end = pending_.find(kHeadEnd)) {
            const std::string_view head(pending_.data(), end);
            const bool closes = head.find("close") != std::string_view::npos;
            const bool known = head.starts_with("GET /ready ") || head.starts_with("GET /ready?");
            answer(!known ? "404 Not Found" : readiness_.is_ready_() ? "200 OK" : "503 Service Unavailable");
            pending_.erase(0, end + kHeadEnd.size());
            if (closes) return finish(false);
        }
        if (pending_.size() > kLongestHead) return close();
        limit(kLongestSilence);
        wait_readable();
    }
    void answer(std::string_view status) {
        const std::string text = "HTTP/1.1 " + std::string(status) + "\r\nContent-Length: 0\r\n\r\n";
        error_code failed;  // a few bytes: they fit, or the connection has ended
        socket_.write_some(asio::buffer(text), failed);
    }
    void broken() noexcept override { close(); }
    void left() override {}

    static constexpr std::string_view kHeadEnd = "\r\n\r\n";
    Readiness& readiness_;
    std::string pending_;
};

Readiness::Readiness(asio::io_context& io, const Door::Tcp::endpoint& address, std::function<bool()> is_ready)
    : is_ready_(std::move(is_ready)),
      door_(
          io, address, kPlaces,
          [this](Places::Id place, Door::Tcp::socket socket) {
              return std::make_shared<Asker>(*this, place, std::move(socket));
          },
          [] {}, [](const std::string& line) { LOG(WARNING) << line; }) {}

}  // namespace whinledge::data_plane
