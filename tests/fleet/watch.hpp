// Listens to what every node says on its control socket: `fleet watch`, and on the same connection `fleet
// members` now and then, so that what no event told is seen too.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/clock.hpp"
#include "fleet/record.hpp"

namespace whinledge::fleetrig {

class Watch {
public:
    // `poll`: how often each is asked for its whole view, ms.
    Watch(boost::asio::io_context& io, const RunClock& clock, Record& record, Millis poll);
    ~Watch();
    Watch(const Watch&) = delete;
    Watch& operator=(const Watch&) = delete;

    // A process of that node has been started, and will answer there.
    void expect(Node node, const std::string& path);
    // It is gone; nothing it held is held any more.
    void gone(Node node);
    // Whether it has answered since it was expected.
    bool up(Node node) const;
    // The incarnation that node says it has; 0: it has not said.
    std::uint64_t incarnation(Node node) const;
    // Questions that still wait for an answer count as not answered.
    void finish();
    // One line as a node said it; false: it is none that could be read.
    bool take(Node node, std::string_view line);

private:
    class Ear;
    struct Last {
        Belief belief = Belief::unknown;
        std::uint64_t incarnation = 0;
        bool draining = false;
    };
    void hold(Node node, Member member, const Last& now, double said_at, bool polled);
    void stand(Node node, const std::string& standing);
    Member member(std::string_view name) const;  // the count of members, where it is none

    boost::asio::io_context& io_;
    const RunClock& clock_;
    Record& record_;
    Millis poll_;
    std::vector<std::shared_ptr<Ear>> ears_;  // by node; none: it is not expected
    std::vector<std::vector<Last>> last_;     // by node and member
    std::vector<std::string> standing_;
    std::vector<bool> up_;
};

}  // namespace whinledge::fleetrig
