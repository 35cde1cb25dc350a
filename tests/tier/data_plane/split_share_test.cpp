// Of the requests of a route that is split, each service gets the share that its weight says.
#include <algorithm>
#include <random>
#include <string>

#include "edge_rig.hpp"

namespace whinledge::data_plane::test {
namespace {

constexpr int kRequests = 400;
// The operators' rule breaks at 0.2; chance gives 400 draws a standard deviation of 0.022.
constexpr double kOff = 0.08;

TEST_F(EdgeRig, PartsOfASplitGetTheSharesOfTheirWeights) {
    std::mt19937_64 random(1);
    host.draw = [&random] { return std::uniform_real_distribution<double>(0, 1)(random); };
    std::string configuration = kConfiguration;
    const std::string whole = R"("service":"web","tries":2})", services = R"("services":[)";
    configuration.replace(
        configuration.find(whole), whole.size(),
        R"("split":[{"service":"web","weight":90},{"service":"next","weight":30}],"tries":2})");
    configuration.insert(
        configuration.find(services) + services.size(),
        R"({"name":"next","healthPath":"/health","maxConns":50,"protocol":"h1","tls":false},)");
    configure(configuration);
    wire::ServersList list;
    list.sequence = 1;
    for (const auto& [service, address] : {std::pair("web", a.address()), std::pair("next", b.address())}) {
        wire::ListedServer server;
        server.id = std::string("i-") + service;
        server.service_name = service;
        server.address = address;
        server.zone = "here";
        list.servers.push_back(server);
    }
    pools.set_servers(list);
    RawClient& c = client();
    for (std::size_t sent = 0; sent < kRequests; ++sent) {
        c.send(get("/read/x"));
        until([&] { return arrived() == sent + 1 && c.heard().ends_with("served"); });
    }
    const double share = static_cast<double>(a.requests.size()) / kRequests;
    EXPECT_NEAR(share, 90. / 120, kOff);
}

}  // namespace
}  // namespace whinledge::data_plane::test
