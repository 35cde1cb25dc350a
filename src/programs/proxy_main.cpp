// whinledge-proxy: the sidecar that clients connect to.
#include <glog/logging.h>

#include <utility>

#include "data_plane/proxy.hpp"
#include "programs/hosted_service.hpp"

namespace {

namespace node = whinledge::node;

class HostedProxy final : public whinledge::programs::HostedService {
public:
    HostedProxy(boost::asio::io_context& io, const node::Settings& settings) : proxy_(io, settings) {
        LOG(INFO) << settings.node << " serves clients at " << settings.public_address;
    }
    void change(const node::Settings& settings) override { proxy_.change(settings); }
    void terminate(std::function<void()> done) override { proxy_.terminate(std::move(done)); }
    std::string counters() const override { return proxy_.counters(); }

private:
    whinledge::data_plane::Proxy proxy_;
};

}  // namespace

int main(int argc, char** argv) {
    return whinledge::programs::run_daemon(
        argc, argv,
        {"whinledge-proxy", "Sends clients' requests to the servers of their services.",
         [](auto& io, const auto& settings) { return std::make_unique<HostedProxy>(io, settings); },
         whinledge::data_plane::Proxy::fault});
}
