#include "data_plane/exchange.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "http/message.hpp"
#include "http/tell_end.hpp"
#include "placement/urgency.hpp"

namespace whinledge::data_plane {

namespace http = boost::beast::http;
using serving::RouteKind;

namespace {

constexpr std::size_t kWholeUpTo = 256 << 10;  // larger answers are passed on as they come
constexpr Millis kTurnEndTimeout = 5000;       // for copies of a turn to be synced, and no longer than
constexpr Millis kPastDeadline = 200;  // so much past its deadline: an end that comes later is of no use
constexpr Millis kSettleTimeout = 10000;
// Kept back of the time that is left when a turn is begun, for the request itself.
constexpr double kBeginShare = 0.5;
constexpr std::int64_t kAnswerBytes = 2000;  // of a stream, about, for what crossing a zone costs
constexpr Millis kRetryIn = 200;             // advised where nothing else tells
// In the mean, of a program that had better begin later: a share of the time within which it ought to be
// over, so that what comes in a burst is spread beyond it and can still be in time.
constexpr double kPutOffShare = 0.2;
constexpr Millis kPutOffLeast = 500;  // where no time is told as well
constexpr Millis kPutOffMost = 3000;
constexpr int kLedgerKeptForS = 300;  // of programs on routes that state no time for their turns

std::string_view view(boost::beast::string_view text) { return {text.data(), text.size()}; }

std::int64_t unix_now_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// Statuses that promise that the request never ran.
bool is_promise(unsigned status) { return status == 408 || status == 421 || status == 429 || status == 503; }

bool is_success(unsigned status) { return status / 100 == 2; }

}  // namespace

Exchange::Exchange(ExchangeHost& host, std::shared_ptr<AnswerSink> client, Request request)
    : host_(host), client_(std::move(client)), request_(std::move(request)) {
    const Millis timeout = request_.route->timeout_ms;
    deadline_ = request_.received + std::min(timeout, request_.facts.time_left.value_or(timeout));
    ++host_.counters.taken;
}

Effect Exchange::effect() const {
    return request_.route->kind == RouteKind::repeatable ? Effect::repeatable : Effect::once;
}

// A program's budget holds on all routes, also on those whose turns are not kept.
bool Exchange::is_turn() const {
    if (request_.route->remembered) return true;
    return streams() && request_.facts.budget > 0 && !request_.facts.program.empty();
}

// ---- Its way ----------------------------------------------------------------------------------------------

void Exchange::start() {
    service_ = choose_service();
    if (!is_turn()) {
        body_ = std::move(request_.body);
        return dispatch();
    }
    // Without an id of its own it could neither be kept nor reserved.
    if (request_.facts.try_id.empty()) return end([](AnswerSink& client) { client.own(400, std::nullopt); });
    if (!is_admitted()) return put_off();
    ++host_.counters.turns;
    const serving::Service* const service = request_.configuration->service(service_);
    const int chunk_tokens = service && service->engine ? service->engine->chunk_tokens : 1;
    const int route_keeps_s = static_cast<int>(request_.route->keep_for_s);
    turn_.emplace(request_.facts, std::move(request_.body),
                  route_keeps_s > 0 ? route_keeps_s : kLedgerKeptForS, chunk_tokens,
                  request_.route->remembered ? Turn::Kept::record : Turn::Kept::tokens_only);
    stage_from_ = host_.clock.now();
    beginning_ = true;
    storage_plane::TurnStart start = turn_->start();
    start.longest_ms = time_left();
    host_.turns.begin(
        start, kBeginShare * time_left(),
        [self = shared_from_this()](storage_plane::BegunTurn turn) { self->begun(std::move(turn)); });
}

bool Exchange::is_admitted() {
    if (request_.facts.program.empty()) return true;
    placement::ProgramTurn turn;
    turn.program = placement::name_hash(request_.facts.program);
    turn.rank = request_.route->priority;
    // Where turns are not kept nothing tells a program's first turn from those after it.
    turn.continues = !request_.facts.previous.empty() || !request_.route->remembered;
    turn.lost = request_.facts.finish_in && *request_.facts.finish_in <= 0;
    return host_.pools.admit(service_, turn);
}

// Nothing of this turn has run, and nothing ever will: its client may come again.
void Exchange::put_off() {
    ++host_.counters.put_off;
    const Millis share = kPutOffShare * request_.facts.finish_in.value_or(0);
    const Millis mean = std::clamp(share, kPutOffLeast, kPutOffMost);
    end([&](AnswerSink& client) { client.own(503, mean * (0.5 + host_.draw())); });
}

void Exchange::begun(storage_plane::BegunTurn turn) {
    using storage_plane::BeginStatus;
    beginning_ = false;
    turn_open_ = turn.status == BeginStatus::ok;
    if (!client_) return settle(false);
    if (turn_open_) {
        host_.times.turn_begun.record(host_.clock.now() - stage_from_);
        body_ = turn_->body(turn.chain);
        arriving_ = false;
        return dispatch();
    }
    ++host_.counters.turns_refused;
    end([&](AnswerSink& client) {
        if (turn.status == BeginStatus::budget_spent) return client.own(402, std::nullopt);
        if (turn.status == BeginStatus::no_such_turn) return client.own(404, std::nullopt);
        client.own(503, kRetryIn);
    });
}

void Exchange::dispatch() {
    const std::string& program = request_.facts.program;
    const std::uint64_t line = program.empty() ? static_cast<std::uint64_t>(std::ldexp(host_.draw(), 53))
                                               : placement::name_hash(program);
    dispatch_to(host_.pools.choose_pool(service_, line));
}

void Exchange::dispatch_to(std::string pool_name) {
    pool_name_ = std::move(pool_name);
    const ServicePools::Place place = host_.pools.place(pool_name_, effect(), request_.route->timeout_ms);
    if (!place.pool || time_left() <= 0) return refused(0);
    Arrival arrival;
    arrival.class_index = place.class_index;
    arrival.time_left = time_left();
    prompt_ = placement_request();
    arrival.candidates = host_.pools.candidates(pool_name_, prompt_);
    if (streams()) {
        awaited_ = {host_.clock.now(), request_.route->target_ms};
        host_.pools.awaits(pool_name_, *awaited_);
    }
    const auto self = shared_from_this();
    place.pool->take(self, arrival);
    arriving_ = false;
}

placement::Request Exchange::placement_request() const {
    const auto& head = request_.head;
    placement::Request request;
    request.model = placement::name_hash(view(head["Model-Name"]));
    request.parts = placement::parse_prompt_start(view(head["Prompt-Start"]));
    request.tokens = placement::parse_token_count(view(head["Token-Count"]));
    request.bytes = static_cast<std::int64_t>(body_.size()) + kAnswerBytes;
    if (!request_.facts.program.empty()) {
        request.line = placement::name_hash(view(head["Session"]));
        request.program = placement::name_hash(request_.facts.program);
    }
    request.continues = !view(head["Previous"]).empty();
    return request;
}

const std::string& Exchange::choose_service() {
    const auto& split = request_.route->split;
    double sum = 0;
    for (const serving::WeightedService& to : split) sum += to.weight;
    double at = host_.draw() * sum;
    for (const serving::WeightedService& to : split)
        if (to.weight > 0 && (at -= to.weight) < 0) return to.service;
    const auto last =
        std::find_if(split.rbegin(), split.rend(), [](const auto& to) { return to.weight > 0; });
    return last == split.rend() ? split.back().service : last->service;
}

void Exchange::hurry() noexcept {
    if (!beginning_ || !client_) return;
    ++host_.counters.refused;
    end([](AnswerSink& client) { client.own(503, kRetryIn); });
}

void Exchange::leave() noexcept {
    if (!release_client()) return;
    ++host_.counters.left;
    gave_up_silence = judged_at < 0 && host_.pools.is_overdue(id);
    if (gave_up_silence) ++host_.counters.gave_up_silence;
    if (passing_) return settle(true);  // its stream's end ends the attempt
    // A request that can't be repeated and is not streamed goes on to its own end: breaking it off saves
    // little.
    if (Pool* const pool = this->pool) pool->gone(id, request_.route->kind == RouteKind::one_shot);
    settle(sent_);
}

// ---- To servers -------------------------------------------------------------------------------------------

Upstream::Request Exchange::outgoing(Millis time_left) const { return outgoing_to({}, time_left); }

Upstream::Request Exchange::outgoing_to(std::string_view member, Millis time_left) const {
    member_ = member;
    sent_ = true;
    host_.pools.sent(pool_name_, id, member, prompt_, request_.route->name);
    Upstream::Request to;
    to.head = head_for(time_left);
    to.body = body_;
    to.keep = shared_from_this();
    return to;
}

void Exchange::retell(std::string& head, Millis time_left) const { head = head_for(time_left); }

std::string Exchange::head_for(Millis time_left) const {
    const auto& from = request_.head;
    HeadText head = HeadText::request(view(from.method_string()), view(from.target()));
    head.add("Host", view(from[http::field::host]));
    each_end_to_end(from, [&](const auto& field) {
        if (!is_set_by_proxy(field.name_string())) head.add(view(field.name_string()), view(field.value()));
    });
    head.add("Time-Left", static_cast<std::uint64_t>(std::max(1.0, time_left)));
    if (!member_.empty()) head.add("Wanted-Server", member_);
    const Millis needs = host_.pools.idle_ms(pool_name_, prompt_);
    if (needs > 0 && host_.pools.mechanisms().urgency) {
        placement::UrgencyFacts facts;
        facts.rank = request_.route->priority;
        if (request_.facts.finish_in)
            facts.finish_ms = *request_.facts.finish_in - (host_.clock.now() - request_.received);
        facts.needs_ms = needs;
        head.add("Priority", static_cast<std::uint64_t>(placement::urgency(facts)));
    }
    if (request_.has_body || !body_.empty()) head.add("Content-Length", body_.size());
    return head.whole();
}

bool Exchange::head_only() const { return request_.head.method() == http::verb::head; }

bool Exchange::may_start(std::uint32_t attempt) const noexcept {
    return attempt < static_cast<std::uint32_t>(std::max(1, request_.route->tries)) &&
           (arriving_ || (client_ && !client_->has_left()));
}

std::size_t Exchange::whole_up_to() const { return kWholeUpTo; }

// An answer that does not carry the request's own id back is another's, whatever it says.
Outcome Exchange::outcome_of(const http::response_header<>& answer) const {
    const std::string& id = request_.facts.try_id;
    if (!id.empty() && (answer.count("Try-Id") != 1 || view(answer["Try-Id"]) != id)) {
        ++host_.counters.foreign_answers;
        return Outcome::severed;
    }
    host_.pools.load_seen(pool_name_, member_, view(answer["Server-Load"]));
    const unsigned status = answer.result_int();
    if (status == 421) {  // it is another server than we were told of
        if (host_.wrong_server) host_.wrong_server(member_);
        return Outcome::superseded;
    }
    if (answer.count("Not-Run") > 0) return Outcome::saturated;
    if (is_success(status)) return answer.count("Server-Seal") == 1 ? Outcome::completed : Outcome::severed;
    return status >= 500 || is_promise(status) ? Outcome::errored : Outcome::completed;
}

// ---- To its client ----------------------------------------------------------------------------------------

std::shared_ptr<AnswerSink> Exchange::release_client() noexcept {
    if (const auto event = std::exchange(awaited_, std::nullopt)) host_.pools.withdrawn(pool_name_, *event);
    return std::exchange(client_, nullptr);
}

template <class Say>
void Exchange::end(Say say) noexcept {
    auto client = release_client();
    tell_end(client, std::move(say));
}

void Exchange::first_piece() {
    if (judged_at >= 0) return;
    judged_at = host_.clock.now();
    host_.pools.first_event(id);
    if (!streams()) return;
    host_.times.first_event.record(judged_at - request_.received);
    if (const auto event = std::exchange(awaited_, std::nullopt))
        host_.pools.stream_began(pool_name_, *event);
}

void Exchange::handed(std::string_view bytes) {
    if (turn_ && passing_success_) turn_->handed(bytes);
}

void Exchange::finish(std::function<void(bool)> done) {
    release_client();
    ++host_.counters.served;
    if (turn_open_ && !(turn_->has_record() && passing_success_)) {
        settle(true);
        return done(true);
    }
    if (!std::exchange(turn_open_, false)) return done(true);
    const Millis wait = std::clamp(time_left() + kPastDeadline, kPastDeadline, kTurnEndTimeout);
    stage_from_ = host_.clock.now();
    host_.turns.end(turn_->whole(unix_now_ms()), wait,
                    [self = shared_from_this(), done = std::move(done)](bool durable) {
                        self->ended(durable);
                        done(durable);
                    });
}

void Exchange::ended(bool durable) {
    if (durable)
        host_.times.turn_ended.record(host_.clock.now() - stage_from_);
    else
        ++host_.counters.turns_not_durable;
}

void Exchange::settle(bool ran) noexcept {
    if (!std::exchange(turn_open_, false)) return;
    try {
        host_.turns.end(ran ? turn_->broken() : turn_->never_ran(), kSettleTimeout, {});
    } catch (const std::exception&) {  // it stays reserved at its most
    }
}

std::shared_ptr<Stream> Exchange::pass_on(Upstream::Response answer, std::optional<std::uint64_t> length) {
    if (!client_) return nullptr;
    passing_ = true;
    passing_success_ = is_success(answer.result_int());
    return client_->begin(answer, length);
}

void Exchange::served(std::unique_ptr<Answer> answer) noexcept {
    if (passing_ || !client_) return;  // the stream's end tells its client
    const std::unique_ptr<HttpAnswer> whole(static_cast<HttpAnswer*>(answer.release()));
    if (turn_open_ && is_success(whole->message.result_int())) return stream_whole(*whole);
    ++host_.counters.served;
    settle(true);
    end([&](AnswerSink& client) { client.whole(*whole); });
}

// Of a turn that came all at once: its events go out while its end waits, as those of any other.
void Exchange::stream_whole(HttpAnswer& answer) noexcept {
    const auto client = client_;
    try {
        const std::string body = std::move(answer.message.body());
        const auto stream = pass_on(std::move(answer.message), std::nullopt);
        if (!stream) return;
        stream->put(body);
        stream->finish();
    } catch (const std::exception&) {
        client->fail();
    }
}

void Exchange::errored(std::unique_ptr<Answer> answer) noexcept {
    last_.reset(static_cast<HttpAnswer*>(answer.release()));
}

// For a request that can't be repeated this is proof: it never ran, and never will.
void Exchange::refused(Millis retry_in) noexcept {
    const bool may_have_run = effect() == Effect::repeatable && sent_;
    // A new version on trial has few servers: where they take nothing, the others may.
    if (!may_have_run && client_ && pool_name_ != service_ && time_left() > 0) return dispatch_to(service_);
    if (may_have_run && (last_ || time_left() <= 0)) return failed(Failure::gave_up);
    ++host_.counters.refused;
    settle(false);
    end([&](AnswerSink& client) { client.own(503, retry_in > 0 ? retry_in : kRetryIn); });
}

void Exchange::failed(Failure) noexcept {
    ++host_.counters.failed;
    settle(true);
    if (passing_) {
        if (const auto client = release_client()) client->cut_off();
        return;
    }
    end([&](AnswerSink& client) {
        // A server's word, unless it would promise what nobody knows.
        if (last_ && !is_promise(last_->message.result_int())) return client.whole(*last_);
        client.own(time_left() <= 0 ? 504 : 502, std::nullopt);
    });
}

}  // namespace whinledge::data_plane
