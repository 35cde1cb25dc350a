// A model server as the pages tell of one ("Requests" and "Servers" of the protocol): a batch that steps,
// prompts read in pieces between the tokens of others, one memory for running requests and kept parts,
// preemption, and a queue by priority. Pure: no clock and no I/O; times are milliseconds on any clock that
// never goes back.
//
// Submit and cancel at any time; call advance() when next() has come. The work of a step is fixed as it
// begins and has its effects as it ends.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <unordered_map>
#include <vector>

#include "engine/types.hpp"
#include "placement/placement.hpp"

namespace whinledge::lab {

using placement::PromptPart;

struct ModelSettings {
    int slots = 96;   // requests in the batch
    int queue = 288;  // that wait beside them
    std::int64_t memory_tokens = 256000;
    Millis step_ms = 6;
    Millis step_ms_per_running = 0.02;  // more, for each request that puts out a token in the step
    double prefill_tokens_per_ms = 32;
    std::int64_t prefill_tokens_per_step = 4096;  // a piece, over all prompts that are read
    double slowness = 1;                          // multiple of all its times
    bool urgent_takes_place = true;               // a more urgent request preempts a less urgent one
};

struct ModelRequest {
    std::uint64_t id = 0;  // the caller's, never used twice
    std::vector<PromptPart> parts{};
    std::int64_t prompt = 0;  // tokens, those of the parts included
    std::int64_t out = 1;     // tokens that it puts out
    int priority = 5;         // 0 to 9, 0 first
    std::uint64_t output_part =
        0;  // what it puts out is kept as this part behind its prompt; 0: it is not kept
};

enum class Verdict { accepted, full, too_large };

struct ModelEvent {
    enum class Kind {
        token,       // the request's next
        done,        // behind its last token; part: its output, where that is kept
        part_read,   // a part of its prompt has been read and is kept
        preempted,   // it waits again, and is read anew; tokens: what had been read and put out
        read_again,  // tokens behind its parts that had been read or put out here before a preemption
    };
    Kind kind = Kind::token;
    std::uint64_t request = 0;
    std::uint64_t part = 0;
    std::int64_t tokens = 0;
};

class ModelServer {
public:
    explicit ModelServer(ModelSettings settings) : settings_(settings) {}

    Verdict submit(const ModelRequest& request, Millis now);
    // Its connection has closed. Events of it that a step under way would have had do not come.
    void cancel(std::uint64_t request, Millis now);

    // When the step under way ends; infinity: nothing is under way.
    Millis next() const;
    // Ends the steps that are due, and begins the next. Appends what happened.
    void advance(Millis now, std::vector<ModelEvent>& events);

    // A multiple of its times, from the next step on.
    void set_slowdown(double slowdown) { slowdown_ = slowdown; }
    // Frozen: takes requests, and no step ends.
    void set_frozen(bool frozen, Millis now);

    placement::Load load() const;
    std::size_t open() const { return requests_.size(); }
    // Tokens of a prompt that would not have to be read.
    std::int64_t kept(const std::vector<PromptPart>& parts) const;
    std::int64_t memory_used() const { return own_ + pinned_; }  // what can't give way
    std::int64_t memory_held() const { return own_ + kept_; }    // kept parts that can give way as well
    std::int64_t tokens_read() const { return tokens_read_; }

private:
    enum class State { waiting, reading, running };
    struct Open {
        ModelRequest request;
        std::uint64_t order = 0;  // of arrival
        State state = State::waiting;
        std::int64_t own = 0;        // memory that no other request shares
        std::size_t pinned = 0;      // parts of the prompt that are kept and held by this
        std::int64_t position = 0;   // tokens of what is to be read that are there
        std::int64_t put_out = 0;    // tokens
        std::int64_t read_once = 0;  // tokens that had been there before a preemption
        std::int64_t piece = 0;      // read in the step under way
        std::int64_t to_read() const { return request.prompt + put_out; }
    };
    struct KeptPart {
        std::int64_t tokens = 0;
        int holders = 0;
        std::list<std::uint64_t>::iterator use;  // in uses_
    };
    using Key = std::pair<int, std::uint64_t>;  // priority, order: the first is let in first

    void begin_step(Millis now);
    void end_step(std::vector<ModelEvent>& events);
    void make_room_for_tokens();
    void let_in();
    bool start(Open& open);
    void plan_pieces();
    void read_piece(Open& open, std::vector<ModelEvent>& events);
    void put_out(Open& open, std::vector<ModelEvent>& events);
    void finish(Open& open, std::vector<ModelEvent>& events);
    Open* least_urgent();
    void preempt(Open& open);
    void release(Open& open);
    void pin(const PromptPart& part);
    void unpin(std::uint64_t part);
    void keep(const PromptPart& part, int holders);
    bool make_room(std::int64_t tokens);
    std::int64_t part_end(const Open& open) const;
    bool pass_kept_part(Open& open);

    ModelSettings settings_;
    double slowdown_ = 1;
    bool frozen_ = false, stepping_ = false;
    Millis ends_ = 0, left_ = 0;
    std::uint64_t next_order_ = 0;
    std::unordered_map<std::uint64_t, Open> requests_;
    std::map<Key, std::uint64_t> waiting_, inside_;  // inside: reading or running
    std::unordered_map<std::uint64_t, KeptPart> parts_;
    std::list<std::uint64_t> uses_;  // the least recently used last
    std::int64_t own_ = 0, kept_ = 0, pinned_ = 0, tokens_read_ = 0;
    std::int64_t promised_ = 0;     // to running requests, for the tokens of the step that begins
    std::vector<ModelEvent> told_;  // of preemptions, until the next advance()
};

}  // namespace whinledge::lab
