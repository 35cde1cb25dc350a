#include "control_side.hpp"

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "control_plane/control_process.hpp"
#include "process.hpp"

namespace whinledge::control_bench {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;
using Tcp = boost::asio::ip::tcp;

constexpr double kCallsPerSecond = 280;  // that the platform takes

// GET /servers, page by page; the first servers drain.
class Platform {
public:
    Platform(boost::asio::io_context& io, const Shape& shape, Board& board)
        : shape_(shape),
          board_(board),
          server_(io, endpoint(shape),
                  [this](const control_plane::HttpRequest& request,
                         const control_plane::HttpServer::Respond& respond) {
                      ++board_.calls;
                      respond({200, page(request.target), std::nullopt});
                      note(request.target);
                  }) {}

private:
    static Tcp::endpoint endpoint(const Shape& shape) {
        return {boost::asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(shape.port + 2)};
    }
    static std::size_t first_of(const std::string& target) {
        const auto at = target.rfind('=');
        return at == std::string::npos ? 0 : std::stoul(target.substr(at + 1));
    }
    void note(const std::string& target) {
        const std::size_t from = first_of(target);
        if (from == 0 && board_.shown_at == 0) board_.shown_at = now_us();
        const bool last = from + kServersOnAPage >= shape_.servers;
        if (last && board_.shown_at != 0 && board_.read_at == 0) board_.read_at = now_us();
    }
    std::string page(const std::string& target) const {
        const std::size_t from = first_of(target);
        const std::size_t until = std::min(from + kServersOnAPage, shape_.servers);
        Json servers = Json::array();
        for (std::size_t i = from; i < until; ++i) servers.push_back(server(i));
        const Json next = until < shape_.servers ? Json(std::to_string(until)) : Json(nullptr);
        return Json{{"servers", servers}, {"nextPage", next}}.dump();
    }
    Json server(std::size_t i) const {
        char id[24];
        std::snprintf(id, sizeof id, "i-%08zx", i);
        const std::string address =
            "10.9." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1) + ":80";
        return {{"id", id},
                {"service", "chat"},
                {"address", address},
                {"zone", zone(i)},
                {"slots", 96},
                {"state", i < board_.drains.load() ? "draining" : "active"},
                {"coldLeftMs", 0},
                {"version", "7"},
                {"models", {{{"name", "large"}}}}};
    }

    const Shape& shape_;
    Board& board_;
    control_plane::HttpServer server_;
};

node::Settings control_settings(const Shape& shape, int i) {
    node::Settings settings;
    settings.node = std::string("core-").append(std::to_string(i));
    settings.ip = control_ip(i);
    settings.zone = zone(static_cast<std::size_t>(i));
    settings.control_address = with_port(control_ip(i), shape.port + 1);
    settings.spare_ports = {std::to_string(shape.port), std::to_string(shape.port)};
    for (int seed = 0; seed < kControls; ++seed)
        settings.seed_nodes.push_back(with_port(control_ip(seed), shape.port + 1));
    settings.first_boot = true;
    settings.data_folder = shape.folder + "/" + settings.node;
    settings.survive_machines = 1;
    settings.list_address = with_port("127.0.0.1", shape.port + 2);
    settings.list_calls_per_second = kCallsPerSecond;
    std::filesystem::create_directories(settings.data_folder);
    return settings;
}

}  // namespace

void run_controls(const Shape& shape, Board& board) {
    boost::asio::io_context io;
    const Platform platform(io, shape, board);
    const Stall stall(io, board.controls_stall_us);
    std::vector<std::unique_ptr<control_plane::ControlProcess>> controls;
    for (int i = 0; i < kControls; ++i) {
        controls.push_back(std::make_unique<control_plane::ControlProcess>(io, control_settings(shape, i)));
        controls.back()->start();
    }
    const pid_t parent = ::getppid();
    while (::getppid() == parent) {
        io.restart();
        io.run_for(100ms);
        board.controls_ms = processor_ms();
    }
    std::_Exit(0);
}

}  // namespace whinledge::control_bench
