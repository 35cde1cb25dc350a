// whinledge-control: holds the operator's configuration and tells everybody of it.
#include <glog/logging.h>

#include <utility>

#include "control_plane/control_process.hpp"
#include "programs/hosted_service.hpp"

namespace {

namespace node = whinledge::node;

class HostedControl final : public whinledge::programs::HostedService {
public:
    HostedControl(boost::asio::io_context& io, const node::Settings& settings) : process_(io, settings) {
        process_.start();
        LOG(INFO) << settings.node << " serves the operator at " << settings.control_address;
    }
    void change(const node::Settings& settings) override {
        process_.set_seeds(settings.seed_rpc_addresses());
    }
    void terminate(std::function<void()> done) override { process_.stop(std::move(done)); }
    std::string counters() const override { return process_.counters(); }

private:
    whinledge::control_plane::ControlProcess process_;
};

}  // namespace

int main(int argc, char** argv) {
    return whinledge::programs::run_daemon(
        argc, argv,
        {"whinledge-control", "Holds the operator's configuration and tells the other processes of it.",
         [](auto& io, const auto& settings) { return std::make_unique<HostedControl>(io, settings); }});
}
