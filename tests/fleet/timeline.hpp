// Carries out an experiment's steps at their times.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "fleet/clock.hpp"
#include "fleet/connection_relay.hpp"
#include "fleet/datagram_relay.hpp"
#include "fleet/experiment.hpp"
#include "fleet/links.hpp"
#include "fleet/processes.hpp"
#include "fleet/record.hpp"
#include "fleet/watch.hpp"

namespace whinledge::fleetrig {

// What the steps act on.
struct Stage {
    const Experiment& experiment;
    const RunClock& clock;
    Record& record;
    Processes& processes;
    Watch& watch;
    Links& links;
    DatagramRelay& datagrams;
    ConnectionRelay& connections;
    // More requests begin; they end with what is returned.
    std::function<std::shared_ptr<void>(const Step&)> demand;
};

class Timeline {
public:
    Timeline(boost::asio::io_context& io, Stage stage);

    // From now on times of the experiment pass.
    void begin();
    // Every step is done, and what lasts is over.
    bool over() const { return begun_ && waiting_ == 0; }
    // Beside the steps: the rig starts all nodes by it.
    void start(Node node);
    // A process has ended by itself.
    void ended(Node node, int status);

private:
    struct Timer {
        boost::asio::steady_timer timer;
        explicit Timer(boost::asio::io_context& io) : timer(io) {}
    };
    // Something that is sent again and again.
    struct Source {
        const Step* step;
        Millis until, next;
        std::mt19937_64 random;
        std::uint32_t number = 0;
    };
    struct Tape {
        const Step* step;
        std::vector<std::pair<std::pair<Node, Node>, DatagramRelay::Bytes>> kept;
        bool runs = true;
    };

    void at(Millis when, std::function<void()> then);
    void carry_out(const Step& step);
    void lived(Node node, Life life, int status = 0);
    void kill(Node node);
    void befall(const Step& step);
    void impostor(const Step& step);
    void list(const Step& step);
    void limits(const Step& step);
    void play(const Step& step);
    void send_from(const std::shared_ptr<Source>& source);
    DatagramRelay::Bytes noise(Source& source, Node from, Node to);
    DatagramRelay::Bytes speak(Source& source, Node from, Node to);
    void heard(Node from, Node to, const DatagramRelay::Bytes& bytes);

    boost::asio::io_context& io_;
    Stage stage_;
    Millis zero_ = 0;
    bool begun_ = false;
    std::size_t waiting_ = 0;
    std::list<Timer> timers_;
    std::map<std::string, Tape> tapes_;
    std::map<std::pair<Node, Node>, DatagramRelay::Bytes> last_;  // of each pair, while noise wants them
    bool keeps_last_ = false;
};

}  // namespace whinledge::fleetrig
