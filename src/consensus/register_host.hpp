// What the register's cores ask of their surroundings: network, disk, time and chance.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "consensus/acceptor.hpp"

namespace whinledge::consensus {

using AcceptorRequest = std::variant<wire::PrepareRequest, wire::AcceptRequest, wire::QueryRequest>;

// Steps of an acceptor that are synced together.
struct AcceptorWrite {
    std::vector<wire::AcceptorRecord> records;  // in their order; at least one
    std::shared_ptr<const Acceptor> before;     // the state that they are to be applied to
};

// No callback comes from within the call that asked for it.
class RegisterHost {
public:
    virtual ~RegisterHost() = default;
    virtual Millis now() const = 0;
    virtual std::uint64_t random() = 0;
    virtual void after(Millis delay, std::function<void()> act) = 0;
    // `done(true)` once all records are synced; false: they must be taken as not written, though after a loss
    // of power some may be found. Called again only after `done`.
    virtual void persist(AcceptorWrite write, std::function<void(bool synced)> done) = 0;
    // `done` is called once, with nothing where no reply came within `timeout`.
    virtual void send(const std::string& address, const AcceptorRequest& request, Millis timeout,
                      std::function<void(std::optional<wire::AcceptorReply>)> done) = 0;
    virtual void send(const std::string& address, const wire::ShareRequest& request, Millis timeout,
                      std::function<void(std::optional<wire::ShareReply>)> done) = 0;
    virtual void chosen(const wire::ChosenValue& value) = 0;
};

struct RegisterCounters {
    std::uint64_t reads = 0;      // asked for
    std::uint64_t rounds = 0;     // prepare rounds begun
    std::uint64_t conflicts = 0;  // rounds lost to a higher ballot
    std::uint64_t changes = 0;    // chosen
    std::uint64_t seals = 0;
    std::uint64_t finished = 0;        // values accepted here that were looked after
    std::uint64_t refused_writes = 0;  // of the disk
    std::uint64_t turned_away = 0;     // requests, since too much waited for the disk
};

// Identities of proposers and changes; above 0.
inline std::int64_t identity_from(std::uint64_t random) { return static_cast<std::int64_t>(random >> 1) | 1; }

}  // namespace whinledge::consensus
