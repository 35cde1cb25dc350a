// Requests and servers behind the integers that the module knows: kept while anything of them is open. Used
// by the engine's pools and by the simulator's adapter alike.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "engine/types.hpp"

namespace whinledge {

// A request is kept until it has its end and none of its attempts is out; a server while it is listed or an
// attempt on it is out. `Request` and `Server` are what their users keep beside that.
template <class Request, class Server>
class Ledger {
public:
    struct OpenRequest : Request {
        std::size_t out = 0;  // attempts
        bool ended = false;
    };
    struct KnownServer : Server {
        std::string name;
        std::size_t out = 0;  // attempts
        bool listed = false;
    };

    OpenRequest& open(RequestId id) { return requests_[id]; }
    OpenRequest* request(RequestId id) {
        const auto at = requests_.find(id);
        return at == requests_.end() ? nullptr : &at->second;
    }
    const OpenRequest* request(RequestId id) const {
        const auto at = requests_.find(id);
        return at == requests_.end() ? nullptr : &at->second;
    }
    const KnownServer* server(ServerId id) const {
        const auto at = servers_.find(id);
        return at == servers_.end() ? nullptr : &at->second;
    }
    KnownServer* server(ServerId id) {
        const auto at = servers_.find(id);
        return at == servers_.end() ? nullptr : &at->second;
    }
    // By name; a new one gets the next number.
    ServerId intern(const std::string& name) {
        const auto [at, fresh] = ids_.try_emplace(name, next_server_);
        if (fresh) servers_[next_server_++].name = name;
        return at->second;
    }
    // FNV-1a of its name: the same at every sidecar, which the id is not.
    std::uint64_t name_hash(ServerId id) const {
        std::uint64_t hash = 0xcbf29ce484222325;
        for (const char c : servers_.at(id).name)
            hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3;
        return hash;
    }
    // 0: not known.
    ServerId find(const std::string& name) const {
        const auto at = ids_.find(name);
        return at == ids_.end() ? 0 : at->second;
    }

    // An attempt has gone out, or has ended.
    void sent(OpenRequest& request, ServerId server) {
        ++request.out;
        if (KnownServer* const s = this->server(server)) ++s->out;
    }
    void came_back(OpenRequest& request, ServerId server) {
        if (request.out > 0) --request.out;
        if (KnownServer* const s = this->server(server); s && s->out > 0) --s->out;
    }

    // Drops it if nothing of it is open. True: it did.
    bool settle_request(RequestId id) {
        const auto at = requests_.find(id);
        if (at == requests_.end() || !at->second.ended || at->second.out > 0) return false;
        requests_.erase(at);
        return true;
    }
    bool settle_server(ServerId id) {
        const auto at = servers_.find(id);
        if (at == servers_.end() || at->second.listed || at->second.out > 0) return false;
        ids_.erase(at->second.name);
        servers_.erase(at);
        return true;
    }
    void forget_request(RequestId id) { requests_.erase(id); }

    std::unordered_map<RequestId, OpenRequest>& requests() { return requests_; }
    const std::unordered_map<RequestId, OpenRequest>& requests() const { return requests_; }
    std::map<ServerId, KnownServer>& servers() { return servers_; }
    const std::map<ServerId, KnownServer>& servers() const { return servers_; }

private:
    std::unordered_map<RequestId, OpenRequest> requests_;
    std::map<ServerId, KnownServer> servers_;
    std::unordered_map<std::string, ServerId> ids_;
    ServerId next_server_ = 1;
};

}  // namespace whinledge
