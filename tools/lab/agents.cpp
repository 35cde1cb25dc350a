#include "lab/agents.hpp"

#include <algorithm>
#include <utility>

namespace whinledge::lab {

namespace {

constexpr int kMostTurnFailures = 3;                   // of one turn: then its program has failed
constexpr Millis kLeastAgain = 100, kMostAgain = 400;  // until a failed turn is sent anew
constexpr Millis kLeastSilence = 2000;  // a client leaves a stream that is silent for the longest
constexpr double kSilentAims = 4, kSilentPauses = 8;  // of this, so many aims and so many pauses
constexpr double kRetryShare = 1.0 / 3;     // of the time left, that advice to retry later is obeyed
constexpr double kAnswerBytes = 2000;       // of a stream, as the program counts them for placement
constexpr double kLikelyMost = 8;           // means: the most that a turn says it will put out
constexpr std::uint64_t kClientDraws = 13;  // names the draws of clients

}  // namespace

Agents::Agents(const Experiment& experiment, Timeline& timeline, Measures& measures, std::uint64_t seed)
    : experiment_(experiment), timeline_(timeline), measures_(measures), seed_(seed) {
    measures_.kinds.resize(experiment.programs.size());
}

// A draw for each thing that a program does, in its own order: the same on all arms as far as it goes alike.
double Agents::draw(Program& program) {
    return Random({seed_, kClientDraws, program.plan->id, program.draws++}).share();
}

void Agents::begin(const ProgramPlan& plan) {
    auto program = std::make_shared<Program>();
    program->plan = &plan;
    program->began = timeline_.now();
    programs_.push_back(program);
    ++measures_.kinds[plan.kind].programs;
    measures_.worth_owed += plan.worth;
    start_line(program, nullptr, plan.line);
}

void Agents::start_line(const std::shared_ptr<Program>& program, const std::shared_ptr<Line>& parent,
                        const LinePlan& plan) {
    auto line = std::make_shared<Line>();
    line->program = program;
    line->parent = parent;
    line->plan = &plan;
    line->number = program->lines++;
    if (parent) {
        line->said = parent->said;
        line->previous = parent->previous;
    } else {
        line->said = {program->plan->start};
    }
    start_turn(line);
}

void Agents::start_turn(const std::shared_ptr<Line>& line) {
    const ProgramKind& kind = this->kind(*line->program);
    auto job = std::make_shared<Job>();
    job->line = line;
    job->began = job->heard = timeline_.now();
    job->deadline = job->began + kind.deadline_ms;
    job->silence =
        std::max({kLeastSilence, kSilentAims * kind.objective_ms, kSilentPauses * kind.gap_aim_ms});
    job->retries = kind.retries;
    send(std::move(job), false);
}

void Agents::start_tool(const std::shared_ptr<Line>& line, const ToolPlan& tool) {
    const ToolKind& kind = experiment_.tools[tool.kind];
    auto job = std::make_shared<Job>();
    job->line = line;
    job->tool = &tool;
    job->began = job->heard = timeline_.now();
    job->deadline = job->began + kind.deadline_ms;
    job->retries = kind.retries;
    send(std::move(job), false);
}

// One of the own zone; the nearest thing to it where the zone has none is any.
std::size_t Agents::choose_proxy(Line& line, bool elsewhere) {
    Program& program = *line.program;
    const double keeps = draw(program), which = draw(program);
    if (line.has_proxy && !elsewhere && keeps < experiment_.keeps_connection) return line.proxy;
    std::vector<std::size_t> near;
    for (std::size_t i = 0; i < fronts_->size(); ++i)
        if ((*fronts_)[i]->zone() == program.plan->zone) near.push_back(i);
    if (near.empty())
        for (std::size_t i = 0; i < fronts_->size(); ++i) near.push_back(i);
    if (elsewhere && near.size() > 1) std::erase(near, line.proxy);
    line.proxy = near[static_cast<std::size_t>(which * static_cast<double>(near.size()))];
    line.has_proxy = true;
    return line.proxy;
}

void Agents::send(std::shared_ptr<Job> job, bool elsewhere) {
    if (job->line->program->over) return;
    const TryId id = next_try_++;
    const std::size_t proxy = choose_proxy(*job->line, elsewhere);
    ClientRequest made = request(*job);
    made.id = id;
    tries_[id] = {job, proxy};
    job->heard = timeline_.now();
    ++measures_.tries.sent;
    const Millis way = experiment_.deployment.client_delay_ms;
    timeline_.in(way, [this, to = std::weak_ptr<Front>((*fronts_)[proxy]), made = std::move(made)] {
        const auto taker = to.lock();
        if (taker)
            taker->take(made);
        else
            closed({made.id});
    });
    timeline_.at(job->deadline, [this, id] { leave(id); });
    if (job->silence > 0) watch(id);
}

ClientRequest Agents::request(const Job& job) const {
    const Program& program = *job.line->program;
    const Millis now = timeline_.now();
    ClientRequest made;
    made.time_left = job.deadline - now;
    made.finish_ms = program.began + program.plan->aim - now;
    made.program = placement::mixed(seed_ + 1, program.plan->id);
    made.session = placement::mixed(made.program, job.line->number + 1);
    if (!job.tool) {
        add_turn(job, made);
        return made;
    }
    const ToolKind& kind = experiment_.tools[job.tool->kind];
    made.kind = job.tool->kind;
    made.repeatable = kind.repeatable;
    made.tries = kind.tries;
    made.work = job.tool->work;
    return made;
}

void Agents::add_turn(const Job& job, ClientRequest& request) const {
    const Line& line = *job.line;
    const Program& program = *line.program;
    const ProgramKind& kind = this->kind(program);
    const TurnPlan& turn = line.plan->turns[line.turn];
    const std::uint64_t session = request.session;
    request.is_turn = true;
    request.kind = program.plan->kind;
    request.previous = line.previous;
    request.tries = kind.tries;
    request.rank = kind.rank;
    request.out = turn.output;
    request.output_part = placement::mixed(session, 2 * line.turn + 3);
    placement::Request& prompt = request.prompt;
    prompt.model = 1;
    prompt.parts = line.said;
    prompt.parts.push_back({placement::mixed(session, 2 * line.turn + 2), turn.input});
    for (const PromptPart& part : prompt.parts) prompt.tokens.prompt += part.tokens;
    prompt.tokens.most_out =
        static_cast<std::int64_t>(std::min(kind.output_tokens.most, kLikelyMost * kind.output_tokens.mean));
    request.bytes = experiment_.deployment.bytes_per_token * static_cast<double>(prompt.tokens.prompt);
    prompt.bytes = static_cast<std::int64_t>(request.bytes + kAnswerBytes);
    prompt.line = session;
    prompt.program = request.program;
    prompt.continues = line.turn > 0 || line.parent != nullptr;
}

// ---- Answers ----------------------------------------------------------------------------------------------

void Agents::answered(TryId id, ClientWord word, Millis retry_in) {
    timeline_.in(experiment_.deployment.client_delay_ms,
                 [this, id, word, retry_in] { told(id, word, retry_in); });
}

void Agents::closed(const std::vector<TryId>& tries) {
    for (const TryId id : tries) answered(id, ClientWord::failed, 0);
}

void Agents::told(TryId id, ClientWord word, Millis retry_in) {
    const auto at = tries_.find(id);
    if (at == tries_.end()) return;
    const auto job = at->second.job;
    if (word == ClientWord::piece) return piece(*job);
    tries_.erase(at);
    TryEnds& ends = measures_.tries;
    if (word == ClientWord::done) {
        ++ends.served;
        return done(job, id);
    }
    ++(word == ClientWord::refused ? ends.refused : ends.failed);
    const Millis left = job->deadline - timeline_.now();
    const bool repeatable = job->tool && experiment_.tools[job->tool->kind].repeatable;
    const bool may_retry = word == ClientWord::refused || repeatable;
    if (!may_retry || job->retries == 0 || left <= 0) return failed(job);
    --job->retries;
    timeline_.in(std::min(retry_in, kRetryShare * left), [this, job] { send(job, true); });
}

void Agents::piece(Job& job) {
    const Millis now = timeline_.now();
    if (!std::exchange(job.has_begun, true))
        measures_.first_events.push_back(static_cast<float>(now - job.began));
    else
        measures_.pauses.push_back(static_cast<float>(now - job.heard));
    job.heard = now;
}

// Leaves when it has heard nothing for too long.
void Agents::watch(TryId id) {
    const auto at = tries_.find(id);
    if (at == tries_.end()) return;
    const Job& job = *at->second.job;
    const Millis until = job.heard + job.silence;
    if (timeline_.now() >= until) return leave(id);
    timeline_.at(until, [this, id] { watch(id); });
}

void Agents::leave(TryId id) {
    const auto at = tries_.find(id);
    if (at == tries_.end()) return;
    const OpenTry open = at->second;
    tries_.erase(at);
    ++measures_.tries.left;
    timeline_.in(experiment_.deployment.client_delay_ms,
                 [to = std::weak_ptr<Front>((*fronts_)[open.proxy]), id] {
                     if (const auto proxy = to.lock()) proxy->left(id);
                 });
    failed(open.job);
}

void Agents::failed(const std::shared_ptr<Job>& job) {
    Line& line = *job->line;
    Program& program = *line.program;
    if (program.over) return;
    if (job->tool || ++line.failures >= kMostTurnFailures) return end_program(program, false);
    const Millis wait = kLeastAgain + draw(program) * (kMostAgain - kLeastAgain);
    timeline_.in(wait, [this, again = job->line] {
        if (!again->program->over) start_turn(again);
    });
}

void Agents::done(const std::shared_ptr<Job>& job, TryId id) {
    const auto line = job->line;
    if (line->program->over) return;
    if (job->tool) return joined(line);
    const ClientRequest said = request(*job);
    const TurnPlan& turn = line->plan->turns[line->turn];
    line->said = said.prompt.parts;
    line->said.push_back({said.output_part, turn.output});
    line->failures = 0;
    line->previous = id;
    timeline_.in(turn.pause, [this, line] { go_on(line); });
}

// ---- Programs ---------------------------------------------------------------------------------------------

// Behind a turn and its pause: its tools or sub-agents, or the end of its line.
void Agents::go_on(const std::shared_ptr<Line>& line) {
    if (line->program->over) return;
    if (line->turn + 1 == line->plan->turns.size()) {
        if (line->parent) return joined(line->parent);
        return end_program(*line->program, true);
    }
    const TurnPlan& turn = line->plan->turns[line->turn];
    line->waiting = static_cast<int>(turn.tools.size() + turn.sub_agents.size());
    if (line->waiting == 0) {
        line->waiting = 1;
        return joined(line);
    }
    for (const ToolPlan& tool : turn.tools) start_tool(line, tool);
    for (const LinePlan& sub : turn.sub_agents) start_line(line->program, line, sub);
}

// One of those that the line waits for has ended; the last lets its next turn begin.
void Agents::joined(const std::shared_ptr<Line>& line) {
    if (line->program->over || --line->waiting > 0) return;
    ++line->turn;
    start_turn(line);
}

void Agents::end_program(Program& program, bool whole) {
    if (std::exchange(program.over, true)) return;
    KindMeasures& kind = measures_.kinds[program.plan->kind];
    const Millis took = timeline_.now() - program.began;
    std::vector<TryId> open;
    for (const auto& [id, entry] : tries_)
        if (entry.job->line->program.get() == &program) open.push_back(id);
    std::sort(open.begin(), open.end());
    for (const TryId id : open) leave(id);
    if (!whole) {
        ++kind.failed;
        return;
    }
    if (took <= program.plan->aim) {
        ++kind.in_time;
        measures_.worth_earned += program.plan->worth;
    } else {
        ++kind.late;
        if (took <= 2 * program.plan->aim)
            measures_.worth_earned += program.plan->worth * this->kind(program).late_share;
    }
}

void Agents::finish() {
    for (const auto& program : programs_)
        if (!program->over) ++measures_.kinds[program->plan->kind].unended;
    measures_.tries.open = tries_.size();
}

}  // namespace whinledge::lab
