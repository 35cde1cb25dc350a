// The operator's calls over HTTP: the configuration, retirement of storage machines, rollouts, and pages to
// look at.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "consensus/register_service.hpp"
#include "control_plane/http_server.hpp"
#include "failure_domain/loss_tolerance.hpp"
#include "servers_list/version_id.hpp"

namespace whinledge::control_plane {

class OperatorApi {
public:
    struct Options {
        failure_domain::LossTolerance survive{};  // that the storage machines have to bear at once
        // Whether a storage machine of this name watches, though it may not be in the map yet.
        std::function<bool(const std::string& node)> storage_heard;
        std::function<std::set<std::int64_t>()>
            storages_voting;  // identities of those that are there and vote
        // Versions of a service's servers on the platform's list; empty: not known.
        std::function<std::vector<servers_list::VersionId>(const std::string& service)> listed_versions;
        // Pages for whinledge-ctl, by path; JSON.
        std::function<std::string()> members, acceptors, leases, replicas, openings, overlay, list, status,
            rollouts;
    };
    OperatorApi(consensus::RegisterService& reg, Options options);

    void handle(HttpRequest request, HttpServer::Respond respond);

private:
    void replace(HttpRequest request, HttpServer::Respond respond);
    void read(HttpServer::Respond respond);
    void begin_retirement(const std::string& node, HttpServer::Respond respond);
    void read_retirement(const std::string& node, HttpServer::Respond respond);
    void begin_rollout(const HttpRequest& request, HttpServer::Respond respond);
    void read_rollout(const std::string& service, HttpServer::Respond respond);
    bool serve_page(const std::string& path, const HttpServer::Respond& respond) const;

    consensus::RegisterService& register_;
    Options options_;
};

}  // namespace whinledge::control_plane
