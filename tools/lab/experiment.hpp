// An experiment: a deployment, its traffic, its troubles, and the arms that are compared on the same seeds.
// Read from TOML (docs/operate/lab.md); every key has bounds, and each fault names its line, key and remedy.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/fault.hpp"
#include "lab/model_server.hpp"
#include "lab/random.hpp"
#include "lab/tool_server.hpp"
#include "placement/mechanisms.hpp"

namespace whinledge::lab {

struct Deployment {
    std::vector<std::string> zones{"north"};
    int proxies = 2, model_servers = 2, tool_servers = 2;  // of all zones, which they go round
    Millis zone_delay_ms = 1;                              // one way, between zones
    Millis near_delay_ms = 0.2;                            // one way, within a zone
    Millis client_delay_ms = 1;                            // one way, client to proxy
    Millis store_begin_ms = 5, store_end_ms = 5;  // what a turn's records take ahead of it and behind it
    int storage_members = 1;                      // that sum up what proxies have under way
    double load_report_loss = 0;                  // share of such reports, and of their replies
    Millis load_report_delay_ms = 0;              // more than a turn's call takes, of such reports
    Millis list_delay_ms = 1500;                  // until proxies know of a change of servers
    Millis connection_ms = 1;                     // at a server, for a new connection
    Millis idle_connection_ms = 10000;            // an idle one is closed after this
    double bytes_per_token = 1.4;                 // of a prompt, on its way to a server
    double event_bytes = 60, tool_bytes = 800;    // of a stream's event, of a tool's answer
    int event_tokens = 2;                         // in each event
    ModelSettings model;
    ToolSettings tool;
    std::vector<double> speeds{1};    // slowness of model servers, which go round them
    std::vector<double> memories{1};  // multiples of the model's memory, which model servers go round
    std::vector<double> readings{1};  // and of the tokens of prompts that are read in a millisecond
};

struct ToolKind {
    std::string name;
    bool repeatable = false;
    Amount work_ms{100, 0, 1000};
    Millis deadline_ms = 3000;
    int tries = 1;    // servers to which one try may go
    int retries = 1;  // of its client
};

struct ToolUse {
    std::size_t kind = 0;  // of Experiment::tools
    double share = 1;      // of the turns' ends
    int times = 1;         // at once
};

struct ProgramKind {
    std::string name;
    double per_second = 1;  // of the whole deployment
    double worth = 1;       // of a program of mean size that ends in time
    double late_share = 0;  // of its worth, inside twice the time
    Millis objective_ms = 250;
    double aim = 3;              // multiple of its time on idle servers
    Millis way_ms = 20;          // of that time, for each turn's way
    bool aim_reads_all = false;  // that time has each turn read its whole prompt, not what is new in its line
    Millis deadline_ms = 6000;   // of a request
    Millis gap_aim_ms = 400;
    int rank = 0;  // 0 is highest
    int tries = 2, retries = 1;
    Amount turns{3, 0.4, 6};
    std::size_t starts = 8;  // shared starts of prompts
    double start_skew = 0.7;
    Amount start_tokens{2560, 0.3, 5120};
    Amount input_tokens{500, 0.7, 2500};
    Amount output_tokens{34, 0.8, 136};
    Amount pause_ms{100, 0.6, 400};
    double sub_agents = 0;  // share of the turns' ends at which some are started
    Amount sub_agent_width{3, 0.3, 6};
    Amount sub_agent_turns{2, 0, 2};
    std::vector<ToolUse> tools;
};

enum class TroubleKind { burst, slow, answer_lost, grey, hang, crash, proxy_restart };

struct Trouble {
    TroubleKind kind = TroubleKind::burst;
    Millis at = 0, lasts = 1000;
    double servers = 0.1;  // share of the model servers (or of the proxies), one at least
    double factor = 2;     // of the traffic, or of the servers' time
    double share = 0.2;    // of their answers
};

enum class Choice {
    prefix,  // the candidates of src/placement
    plain,   // two choices by own outstanding requests among all
    random,  // one server drawn; the planted worse arm
};

struct Arm {
    std::string name;
    Choice choice = Choice::prefix;
    bool kept_prefix = true;  // placement is told of prompts' parts and of lines
    bool told_load = true;    // `Server-Load`
    bool zones = true;        // the own zone is preferred
    placement::Mechanisms mechanisms{};
    bool shared_loads = false;     // proxies tell with their turns what they have under way (simulated alone)
    bool shared_openings = false;  // proxies are told which openings are busiest in all (simulated alone)
};

struct Experiment {
    std::string title = "experiment";
    int seeds = 5;
    std::uint64_t first_seed = 1;
    Millis traffic_ms = 20000;
    Millis finish_ms = 10000;       // that programs have after the traffic's end
    double keeps_connection = 0.5;  // share of requests that go to the same proxy as the line's last
    Deployment deployment;
    std::vector<ToolKind> tools;
    std::vector<ProgramKind> programs;
    std::vector<Trouble> troubles;
    std::vector<Arm> arms;  // the first is what the others are compared with
};

struct ExperimentFaults {
    std::vector<config::Fault> faults;  // in the order of the file
};

std::variant<Experiment, ExperimentFaults> read_experiment(std::string_view text, const std::string& file);

}  // namespace whinledge::lab
