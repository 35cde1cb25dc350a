// The fleet's limits in this process: which of them a request is under, and what they say to other members.
#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "config/services.hpp"
#include "fleet/limits.hpp"
#include "io/clock.hpp"
#include "io/wake.hpp"

namespace whinledge {

// All calls on the loop's thread.
class FleetLimits {
public:
    // Items for a member, to be sent at once.
    using Tell = std::function<void(fleet::Key to, const std::vector<fleet::Item>& items)>;
    // Members that are believed to be away.
    using Absent = std::function<std::vector<fleet::Key>()>;

    FleetLimits(boost::asio::io_context& io, const Clock& clock, std::uint64_t seed, Tell tell,
                Absent absent);

    // Those of the file from now on; `members` are all that are configured, self among them. Another self
    // begins anew. Does not fail.
    void configure(fleet::Key self, const std::vector<config::Fleet::Limit>& limits,
                   const std::vector<fleet::Key>& members);

    // What a request holds of limits of what is open at once, until its end. The limits may have gone by
    // then.
    class Hold {
    public:
        Hold() = default;
        Hold(Hold&&) = default;
        Hold& operator=(Hold&&) = delete;
        ~Hold();

    private:
        friend class FleetLimits;
        std::weak_ptr<FleetLimits*> of_;
        std::vector<std::string> names_;
    };
    // Admits a request under all limits of its pool and class, or says after how many ms to come back. No
    // allocation where there is no limit.
    std::optional<Millis> admit(const std::string& pool, const std::string& request_class, Hold& hold);

    void receive(fleet::Key from, const fleet::Item& item);
    // For `whinledge fleet limits`.
    nlohmann::json report() const;

private:
    bool covers(const config::Fleet::Limit& limit, const std::string& pool,
                const std::string& request_class) const;
    void give_back(const std::string& name);
    void tick();
    void send(std::vector<fleet::Limits::Send> all);

    const Clock& clock_;
    Tell tell_;
    Absent absent_;
    std::vector<config::Fleet::Limit> config_;
    std::uint64_t seed_;
    fleet::Key self_ = 0;
    std::optional<fleet::Limits> limits_;
    Wake wake_;
    std::shared_ptr<FleetLimits*> here_ = std::make_shared<FleetLimits*>(this);
};

}  // namespace whinledge
