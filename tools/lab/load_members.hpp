// The storage members of a simulated deployment, as far as proxies tell them what they have under way at
// model servers, and ask what others have.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "lab/experiment.hpp"
#include "lab/random.hpp"
#include "lab/simulation.hpp"
#include "storage_plane/shared_loads.hpp"
#include "storage_plane/turn_types.hpp"

namespace whinledge::lab {

class LoadMembers {
public:
    using Told = std::function<void(const storage_plane::ToldLoads&)>;

    LoadMembers(const Deployment& deployment, Simulation& simulation, std::uint64_t seed);

    // With one turn's call to a majority of members, which takes so long there and back. `told` once for each
    // member that hears it and whose reply arrives; empty: nothing is asked for.
    void call(const wire::LoadReport& report, Millis takes, Told told);

private:
    bool is_lost();

    const Deployment& deployment_;
    Simulation& simulation_;
    Random random_;
    std::vector<storage_plane::SharedLoads> members_;
};

}  // namespace whinledge::lab
