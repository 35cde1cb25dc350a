#include <algorithm>
#include <set>

#include "config/document.hpp"
#include "config/fields.hpp"
#include "lab/experiment.hpp"

namespace whinledge::lab {

namespace {

using config::Range;
using config::Table;

constexpr std::size_t kMostKinds = 32, kMostArms = 16, kMostTroubles = 64, kMostZones = 32,
                      kMostMechanisms = 32;
constexpr Range<double> kShare{0, 1}, kMillis{0, 600000}, kTokens{1, 1e6}, kFactor{0.01, 1000},
    kRate{0, 100000};
constexpr Range<std::int64_t> kMachines{1, 5000};

// A table of its own: { mean = 3, spread = 0.4, most = 6 }.
void read_amount(Table& table, std::string_view key, Amount& amount, Range<double> range) {
    if (!table.has(key)) return;
    Table inner = table.table(key);
    if (!inner) return;
    if (inner.need("mean", "give the mean amount") && inner.number("mean", amount.mean, range)) {
        amount.spread = 0;
        amount.most = range.most;
    }
    inner.number("spread", amount.spread, {0, 10});
    inner.number("most", amount.most, range);
    if (amount.most < amount.mean) inner.fault("most", "is below the mean; give at least the mean");
    inner.done();
}

void read_run(Table& root, Experiment& experiment) {
    Table run = root.table("run");
    run.count("seeds", experiment.seeds, {1, 1000});
    run.count("first_seed", experiment.first_seed, {0, 1'000'000'000});
    double seconds = experiment.traffic_ms / 1000;
    if (run.number("traffic_s", seconds, {0.1, 3600})) experiment.traffic_ms = seconds * 1000;
    seconds = experiment.finish_ms / 1000;
    if (run.number("finish_s", seconds, {0, 600})) experiment.finish_ms = seconds * 1000;
    run.number("keeps_connection", experiment.keeps_connection, kShare);
    run.done();
}

void read_zones(Table& table, Deployment& deployment) {
    if (!table.has("zones")) return;
    deployment.zones.clear();
    std::size_t index = 0;
    for (const config::Value& item : table.items("zones", kMostZones)) {
        std::string name;
        if (table.text(item, table.item_path("zones", index++), name, config::kName))
            deployment.zones.push_back(std::move(name));
    }
    const std::set<std::string> names(deployment.zones.begin(), deployment.zones.end());
    if (names.size() != deployment.zones.size()) table.fault("zones", "names a zone twice; name each once");
    if (deployment.zones.empty()) table.fault("zones", "names no zone; name one at least");
}

void read_model(Table table, ModelSettings& model) {
    table.count("slots", model.slots, {1, 10000});
    table.count("queue", model.queue, {0, 100000});
    table.count("memory_tokens", model.memory_tokens, {1, 1'000'000'000});
    table.number("step_ms", model.step_ms, {0.01, 10000});
    table.number("step_ms_per_running", model.step_ms_per_running, {0, 1000});
    table.number("prefill_tokens_per_ms", model.prefill_tokens_per_ms, {0.01, 100000});
    table.count("prefill_tokens_per_step", model.prefill_tokens_per_step, {1, 1'000'000});
    table.read("urgent_takes_place", model.urgent_takes_place);
    table.done();
}

// Numbers that model servers go round.
void read_multiples(Table& table, const char* key, const char* plain, std::vector<double>& multiples) {
    if (!table.has(key)) return;
    multiples.clear();
    for (const config::Value& item : table.items(key, 100)) {
        const bool whole = item.type == config::Value::Type::integer;
        const double value = whole ? static_cast<double>(item.integer) : item.number;
        if ((!whole && item.type != config::Value::Type::number) || !kFactor.holds(value))
            table.fault(item.at, key, std::string("has to hold numbers from 0.01 to 1000; 1 is ") + plain);
        else
            multiples.push_back(value);
    }
    if (multiples.empty()) multiples = {1};
}

void read_deployment(Table& root, Deployment& deployment) {
    root.need("deployment", "give [deployment] with zones, proxies, model_servers and tool_servers");
    Table table = root.table("deployment");
    read_zones(table, deployment);
    table.count("proxies", deployment.proxies, kMachines);
    table.count("model_servers", deployment.model_servers, kMachines);
    table.count("tool_servers", deployment.tool_servers, kMachines);
    table.number("zone_delay_ms", deployment.zone_delay_ms, kMillis);
    table.number("near_delay_ms", deployment.near_delay_ms, kMillis);
    table.number("client_delay_ms", deployment.client_delay_ms, kMillis);
    table.number("store_begin_ms", deployment.store_begin_ms, kMillis);
    table.count("storage_members", deployment.storage_members, kMachines);
    table.number("load_report_loss", deployment.load_report_loss, kShare);
    table.number("load_report_delay_ms", deployment.load_report_delay_ms, kMillis);
    table.number("store_end_ms", deployment.store_end_ms, kMillis);
    table.number("list_delay_ms", deployment.list_delay_ms, kMillis);
    table.number("connection_ms", deployment.connection_ms, kMillis);
    table.number("idle_connection_ms", deployment.idle_connection_ms, kMillis);
    table.number("bytes_per_token", deployment.bytes_per_token, {0, 1000});
    table.number("event_bytes", deployment.event_bytes, {0, 1e6});
    table.number("tool_bytes", deployment.tool_bytes, {0, 1e9});
    table.count("event_tokens", deployment.event_tokens, {1, 1000});
    read_multiples(table, "speeds", "the plain time", deployment.speeds);
    read_multiples(table, "memories", "the model's memory", deployment.memories);
    read_multiples(table, "readings", "the model's rate", deployment.readings);
    read_model(table.table("model"), deployment.model);
    Table tool = table.table("tool");
    tool.count("slots", deployment.tool.slots, {1, 10000});
    tool.count("queue", deployment.tool.queue, {0, 100000});
    tool.done();
    table.done();
}
void read_tools(Table& root, Experiment& experiment) {
    for (Table& table : root.tables("tool_call", kMostKinds)) {
        ToolKind kind;
        if (table.need("name", "give the kind's name, which programs use"))
            table.read("name", kind.name, config::kName);
        table.read("repeatable", kind.repeatable);
        read_amount(table, "work_ms", kind.work_ms, {0.01, 600000});
        table.number("deadline_ms", kind.deadline_ms, {1, 600000});
        table.count("tries", kind.tries, {1, 6});
        table.count("retries", kind.retries, {0, 10});
        table.done();
        experiment.tools.push_back(std::move(kind));
    }
}

void read_uses(Table& program, const Experiment& experiment, ProgramKind& kind) {
    for (Table& table : program.tables("tools", kMostKinds)) {
        ToolUse use;
        std::string name;
        if (table.need("kind", "give the name of a [[tool_call]]") &&
            table.read("kind", name, config::kName)) {
            const auto at = std::find_if(experiment.tools.begin(), experiment.tools.end(),
                                         [&](const ToolKind& tool) { return tool.name == name; });
            if (at == experiment.tools.end())
                table.fault("kind",
                            "there is no [[tool_call]] \"" + name + "\"; add it ahead, or name another");
            use.kind = static_cast<std::size_t>(at - experiment.tools.begin());
        }
        table.number("share", use.share, kShare);
        table.count("times", use.times, {1, 100});
        table.done();
        kind.tools.push_back(use);
    }
}

void read_programs(Table& root, Experiment& experiment) {
    root.need("program", "give one [[program]] at least: what agent programs do");
    std::set<std::string> names;
    for (Table& table : root.tables("program", kMostKinds)) {
        ProgramKind kind;
        if (table.need("name", "give the kind's name")) table.read("name", kind.name, config::kName);
        if (!names.insert(kind.name).second) table.fault("name", "is there already; give another name");
        table.number("per_second", kind.per_second, kRate);
        table.number("worth", kind.worth, {0, 1e6});
        table.number("late_share", kind.late_share, kShare);
        table.number("objective_ms", kind.objective_ms, kMillis);
        table.number("aim", kind.aim, {1, 1000});
        table.number("way_ms", kind.way_ms, kMillis);
        table.read("aim_reads_all", kind.aim_reads_all);
        table.number("deadline_ms", kind.deadline_ms, {1, 600000});
        table.number("gap_aim_ms", kind.gap_aim_ms, {1, 600000});
        table.count("rank", kind.rank, {0, 9});
        table.count("tries", kind.tries, {1, 6});
        table.count("retries", kind.retries, {0, 10});
        read_amount(table, "turns", kind.turns, {1, 1000});
        table.count("starts", kind.starts, {1, 10000});
        table.number("start_skew", kind.start_skew, {0, 10});
        read_amount(table, "start_tokens", kind.start_tokens, kTokens);
        read_amount(table, "input_tokens", kind.input_tokens, kTokens);
        read_amount(table, "output_tokens", kind.output_tokens, kTokens);
        read_amount(table, "pause_ms", kind.pause_ms, kMillis);
        table.number("sub_agents", kind.sub_agents, kShare);
        read_amount(table, "sub_agent_width", kind.sub_agent_width, {1, 100});
        read_amount(table, "sub_agent_turns", kind.sub_agent_turns, {1, 100});
        read_uses(table, experiment, kind);
        table.done();
        experiment.programs.push_back(std::move(kind));
    }
}

void read_troubles(Table& root, Experiment& experiment) {
    for (Table& table : root.tables("trouble", kMostTroubles)) {
        Trouble trouble;
        if (table.need("kind", "give burst, slow, answer_lost, grey, hang, crash or proxy_restart"))
            table.word("kind", trouble.kind,
                       {{"burst", TroubleKind::burst},
                        {"slow", TroubleKind::slow},
                        {"answer_lost", TroubleKind::answer_lost},
                        {"grey", TroubleKind::grey},
                        {"hang", TroubleKind::hang},
                        {"crash", TroubleKind::crash},
                        {"proxy_restart", TroubleKind::proxy_restart}});
        double seconds = 0;
        if (table.need("at_s", "give the second of the traffic at which it begins") &&
            table.number("at_s", seconds, {0, 3600}))
            trouble.at = seconds * 1000;
        if (trouble.at >= experiment.traffic_ms)
            table.fault("at_s", "is not before the traffic's end; give less than run.traffic_s");
        seconds = trouble.lasts / 1000;
        if (table.number("for_s", seconds, {0.001, 3600})) trouble.lasts = seconds * 1000;
        table.number("servers", trouble.servers, kShare);
        table.number("factor", trouble.factor, kFactor);
        table.number("share", trouble.share, kShare);
        table.done();
        experiment.troubles.push_back(trouble);
    }
}

void read_mechanisms(Table& table, Arm& arm) {
    if (!table.has("without")) return;
    std::vector<std::string> names;
    std::size_t index = 0;
    for (const config::Value& item : table.items("without", kMostMechanisms)) {
        std::string name;
        if (table.text(item, table.item_path("without", index++), name, config::kName))
            names.push_back(std::move(name));
    }
    const auto mechanisms = placement::all_without(names);
    if (!mechanisms) return table.fault("without", mechanisms.error().message);
    arm.mechanisms = mechanisms.value();
}

void read_arms(Table& root, Experiment& experiment) {
    root.need("arm", "give one [[arm]] at least; the first is what the others are compared with");
    std::set<std::string> names;
    for (Table& table : root.tables("arm", kMostArms)) {
        Arm arm;
        if (table.need("name", "give the arm's name")) table.read("name", arm.name, config::kName);
        if (!names.insert(arm.name).second) table.fault("name", "is there already; give another name");
        table.word("choice", arm.choice,
                   {{"prefix", Choice::prefix}, {"plain", Choice::plain}, {"random", Choice::random}});
        table.read("kept_prefix", arm.kept_prefix);
        table.read("told_load", arm.told_load);
        table.read("zones", arm.zones);
        table.read("shared_loads", arm.shared_loads);
        table.read("shared_openings", arm.shared_openings);
        read_mechanisms(table, arm);
        table.read("urgency", arm.mechanisms.urgency);
        table.done();
        experiment.arms.push_back(std::move(arm));
    }
}

}  // namespace

std::variant<Experiment, ExperimentFaults> read_experiment(std::string_view text, const std::string& file) {
    const config::Document document = config::read_document(text);
    config::Faults faults(file);
    if (document.error) {
        faults.add(document.error->at, "", document.error->what);
        return ExperimentFaults{faults.in_order()};
    }
    Experiment experiment;
    Table root(faults, &document.root, "");
    root.read("title", experiment.title, config::kPrintable);
    read_run(root, experiment);
    read_deployment(root, experiment.deployment);
    read_tools(root, experiment);
    read_programs(root, experiment);
    read_troubles(root, experiment);
    read_arms(root, experiment);
    root.done();
    if (faults.size() > 0) return ExperimentFaults{faults.in_order()};
    return experiment;
}

}  // namespace whinledge::lab
