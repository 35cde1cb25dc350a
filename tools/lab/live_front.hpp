// A proxy process as the clients of a trial reach it: one connection for each try.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "lab/experiment.hpp"
#include "lab/front.hpp"
#include "lab/live_server.hpp"

namespace whinledge::lab {

inline constexpr const char* kLiveHost = "lab.example";

// The beginning of the paths of a kind's requests.
std::string path_of_program(const ProgramKind& kind);
std::string path_of_tool(const ToolKind& kind);

class LiveFront final : public Front, public std::enable_shared_from_this<LiveFront> {
public:
    struct Where {
        std::size_t zone = 0;
        tier_rig::Tcp::endpoint address;
    };
    // `kept_prefix`: whether requests name the parts of their prompts and their lines.
    LiveFront(LiveServers& servers, ClientSink& clients, Where where, bool kept_prefix)
        : servers_(servers), clients_(clients), where_(where), kept_prefix_(kept_prefix) {}

    std::size_t zone() const override { return where_.zone; }
    void take(const ClientRequest& request) override;
    void left(TryId id) override;

private:
    struct Reply {
        ClientWord word = ClientWord::failed;
        Millis retry_in = 0;
    };
    template <class T>
    using Task = tier_rig::Task<T>;

    static Task<void> run(std::shared_ptr<LiveFront> self, ClientRequest request);
    Task<Reply> exchange(tier_rig::Stream& stream, const ClientRequest& request);
    Task<Reply> read_answer(tier_rig::Stream& stream, const ClientRequest& request);
    tier_rig::Request message(const ClientRequest& request) const;
    void add_turn(const ClientRequest& request, tier_rig::Request& message) const;
    ServerTask task(const ClientRequest& request) const;

    LiveServers& servers_;
    ClientSink& clients_;
    Where where_;
    bool kept_prefix_;
    std::unordered_map<TryId, std::shared_ptr<tier_rig::Stream>> open_;
};

}  // namespace whinledge::lab
