// Agent programs as clients of the proxies: their lines of turns, tools and sub-agents, their retries, and
// what they earn.
#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "lab/front.hpp"
#include "lab/measures.hpp"
#include "lab/program_plan.hpp"
#include "lab/timeline.hpp"

namespace whinledge::lab {

class Agents final : public ClientSink {
public:
    Agents(const Experiment& experiment, Timeline& timeline, Measures& measures, std::uint64_t seed);

    // Those that take clients from here on; by index. Outlives no call of them.
    void set_fronts(std::vector<std::shared_ptr<Front>>* fronts) { fronts_ = fronts; }
    void begin(const ProgramPlan& plan);
    // A proxy's process has ended: the connections of these have closed.
    void closed(const std::vector<TryId>& tries);
    // At the trial's end: programs that have not ended.
    void finish();

    void answered(TryId id, ClientWord word, Millis retry_in) override;

private:
    struct Program {
        const ProgramPlan* plan = nullptr;
        Millis began = 0;
        bool over = false;
        std::uint64_t lines = 0, draws = 0;
    };
    // A line of turns: the program's own or a sub-agent's.
    struct Line {
        std::shared_ptr<Program> program;
        std::shared_ptr<Line> parent;
        const LinePlan* plan = nullptr;
        std::uint64_t number = 0;  // in its program
        std::size_t turn = 0;
        std::vector<PromptPart> said;  // all that came earlier
        TryId previous = 0;            // that answered the turn before; 0: there is none
        int failures = 0;              // of the turn under way
        int waiting = 0;               // for so many tools or sub-agents
        std::size_t proxy = 0;         // of the latest request
        bool has_proxy = false;
    };
    // A turn or a tool's call, over the tries of its client.
    struct Job {
        std::shared_ptr<Line> line;
        const ToolPlan* tool = nullptr;  // null: it is a turn
        Millis began = 0, deadline = 0, heard = 0;
        Millis silence = 0;  // its client leaves after it; 0: it does not
        int retries = 0;     // that are left
        bool has_begun = false;
    };

    void start_line(const std::shared_ptr<Program>& program, const std::shared_ptr<Line>& parent,
                    const LinePlan& plan);
    void start_turn(const std::shared_ptr<Line>& line);
    void start_tool(const std::shared_ptr<Line>& line, const ToolPlan& tool);
    void send(std::shared_ptr<Job> job, bool elsewhere);
    ClientRequest request(const Job& job) const;
    void add_turn(const Job& job, ClientRequest& request) const;
    void told(TryId id, ClientWord word, Millis retry_in);
    void piece(Job& job);
    void watch(TryId id);
    void leave(TryId id);
    void done(const std::shared_ptr<Job>& job, TryId id);
    void failed(const std::shared_ptr<Job>& job);
    void go_on(const std::shared_ptr<Line>& line);
    void joined(const std::shared_ptr<Line>& line);
    void end_program(Program& program, bool whole);
    std::size_t choose_proxy(Line& line, bool elsewhere);
    double draw(Program& program);
    const ProgramKind& kind(const Program& program) const { return experiment_.programs[program.plan->kind]; }

    const Experiment& experiment_;
    Timeline& timeline_;
    Measures& measures_;
    std::uint64_t seed_;
    std::vector<std::shared_ptr<Front>>* fronts_ = nullptr;
    std::vector<std::shared_ptr<Program>> programs_;
    struct OpenTry {
        std::shared_ptr<Job> job;
        std::size_t proxy = 0;
    };
    std::unordered_map<TryId, OpenTry> tries_;
    TryId next_try_ = 1;
};

}  // namespace whinledge::lab
