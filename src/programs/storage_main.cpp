// whinledge-storage: keeps the turns of conversations and the token ledgers of programs.
#include "programs/hosted_service.hpp"
#include "storage_plane/storage_service.hpp"

namespace {

namespace node = whinledge::node;

class HostedStorage final : public whinledge::programs::HostedService {
public:
    HostedStorage(boost::asio::io_context& io, const node::Settings& settings) : service_(io, settings) {}
    void change(const node::Settings& settings) override { service_.change(settings); }
    // What was acknowledged is on the disk, and what was not is not owed: there is nothing to wait for.
    void terminate(std::function<void()> done) override { done(); }
    std::string counters() const override { return service_.counters(); }

private:
    whinledge::storage_plane::StorageService service_;
};

}  // namespace

int main(int argc, char** argv) {
    return whinledge::programs::run_daemon(
        argc, argv,
        {"whinledge-storage", "Keeps the turns of conversations and the token ledgers of programs.",
         [](auto& io, const auto& settings) { return std::make_unique<HostedStorage>(io, settings); }});
}
