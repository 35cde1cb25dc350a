// Reading requests of the http profile: their route, the call made of it, and their bodies.
#include <algorithm>
#include <utility>

#include "http/head_fields.hpp"
#include "http/web_client.hpp"
#include "route/split.hpp"

namespace whinledge {

namespace http = boost::beast::http;

using web::FieldSink;
using web::passed_on;
using web::plain;
using web::Reply;
using web::set_retry_after;
using web::text;
using web::view;

namespace {

constexpr std::size_t kLongestId = 128;  // of X-Request-Id that is passed on

bool is_id(std::string_view id) {
    return !id.empty() && id.size() <= kLongestId &&
           std::all_of(id.begin(), id.end(), [](char c) { return c > ' ' && c < 127; });
}

}  // namespace

void Web::Client::begin() {
    if (!woken_) limit(web_.options_.head_timeout);
    woken_ = true;
    door_->places().wakes(place, door_->now());
    begin_reading({kHeaderLimit, kAnyLength, true, true});
}

bool Web::Client::judge_head(const Head& head) {
    has_body_ = parser_->chunked() || parser_->content_length().value_or(0) > 0;
    door_->places().asked(place, false, door_->now());
    woken_ = false;
    if (head.method() == http::verb::connect || head.method() == http::verb::trace) return reject(501), false;
    const auto target = read_target(head);
    if (!target) return reject(400), false;
    return routed(head, *target);
}

bool Web::Client::routed(const http::request_header<>& head, const Target& target) {
    const auto routing = web_.callbacks_.routing();
    const HeadFields fields(head);
    const std::string method = text(head.method_string());
    const std::string request_class = text(head["Request-Class"]);
    const route::RequestView request{web_.options_.index, target.host, method,       target.path,
                                     target.query,        &fields,     request_class};
    route::Scratch scratch;
    const route::Found found = routing->table->find(request, scratch);
    if (found.kind == route::Found::Kind::bad_request) return reject(400), false;
    if (found.kind == route::Found::Kind::none) return say_early(plain(404)), false;
    const route::Route& route = *found.route;
    if (route.redirect) return say_early(redirect(route, found, target)), false;
    if (route.answer) {
        Reply reply = plain(route.answer->status);
        if (!route.answer->content_type.empty())
            reply.set(http::field::content_type, route.answer->content_type);
        reply.body() = route.answer->body;
        return say_early(std::move(reply)), false;
    }
    const auto key = route.split_by ? route::split_key(*route.split_by, request) : std::nullopt;
    const auto share = key ? route::choose_by_key(found.shares, *key)
                           : route::choose(found.shares, web_.callbacks_.random());
    if (!share) return say_early(plain(503, "no pool has any weight")), false;
    return made(head, target, routing, found, routing->pools.at(found.shares[*share].pool));
}

bool Web::Client::made(const http::request_header<>& head, const Target& target,
                       const std::shared_ptr<const Routing>& routing, const route::Found& found,
                       const std::string& pool_name) {
    const route::Route& route = *found.route;
    const PoolView pool = web_.callbacks_.pool(pool_name);
    if (!pool.pool) return say_early(plain(503, "its pool is not in service")), false;
    if (parser_->content_length().value_or(0) > route.handling.request_limit) return reject(413), false;
    if (const auto expected = head[http::field::expect];
        !expected.empty() && !boost::beast::iequals(expected, "100-continue"))
        return reject(417), false;
    call_ = std::make_shared<Exchange>(std::static_pointer_cast<Client>(shared_from_this()));
    call_->class_name = class_of(head, route.handling);
    if (web_.callbacks_.admit) {
        Admission admission = web_.callbacks_.admit(pool_name, call_->class_name);
        if (!admission.grant) {
            Reply reply = plain(admission.of_listener ? 429 : 503, "over a limit");
            set_retry_after(reply, admission.retry_in);
            call_.reset();
            return say_early(std::move(reply)), false;
        }
        call_->grant = std::move(admission.grant);
    }
    call_->routing = routing;
    call_->route = &route;
    call_->pool_name = pool_name;
    call_->is_head = head_request_;
    call_->has_body = parser_->chunked() || parser_->content_length();
    if (const auto length = parser_->content_length()) call_->length = *length;
    outgoing_head(head, target, found, call_->head);
    // Nobody who speaks HTTP/1.0 knows of it (RFC 9110, 10.1.1).
    if (has_body_ && version_ == 11 && pending_.empty() && !head[http::field::expect].empty()) say_continue();
    phase_ = Phase::body;
    reading_body_ = true;
    limit(route.handling.stream_idle);
    return true;
}

std::string Web::Client::class_of(const http::request_header<>& head, const route::Handling& how) {
    const std::string method = text(head.method_string());
    const bool safe = method == "GET" || method == "HEAD" || method == "OPTIONS";
    std::string name = safe ? how.safe_class : how.unsafe_class;
    const bool keyed = head.count("Idempotency-Key") == 1 && !head["Idempotency-Key"].empty();
    if (!safe && keyed && !how.keyed_class.empty()) name = how.keyed_class;
    for (const auto& [of, named] : how.classes)
        if (of == method) name = named;
    return name;
}

std::uint32_t Web::Client::index_of(const std::string& name, const PoolView& pool) {
    const auto at = std::find(pool.classes->begin(), pool.classes->end(), name);
    return at == pool.classes->end() ? ~0U : static_cast<std::uint32_t>(at - pool.classes->begin());
}

void Web::Client::outgoing_head(const http::request_header<>& from, const Target& target,
                                const route::Found& found, http::request_header<>& to) {
    const route::Route& route = *found.route;
    to.version(11);
    to.method_string(from.method_string());
    if (route.rewrite_path)
        to.target(route::upstream_target(*route.rewrite_path, found, target.query));
    else if (target.asterisk)
        to.target("*");
    else  // as it came, but for segments that lead elsewhere: not every server reads them alike
        to.target(std::string(has_dot_segment(target.path) ? found.path : target.path) +
                  (target.has_query ? "?" + std::string(target.query) : ""));
    copy_end_to_end(to, from);
    const auto host = route::upstream_host(route, target.host);
    to.set(http::field::host, boost::beast::string_view(host.data(), host.size()));
    if (to.count("X-Request-Id") != 1 || !is_id(view(to["X-Request-Id"])))
        to.set("X-Request-Id", web_.request_id());
    if (route.handling.add_via)
        to.insert(http::field::via, (version_ == 11 ? "1.1 " : "1.0 ") + web_.options_.via);
    if (route.handling.add_forwarded) {
        error_code ignored;
        const auto peer = socket_.remote_endpoint(ignored).address();
        const std::string node = peer.is_v6() ? "\"[" + peer.to_string() + "]\"" : peer.to_string();
        to.insert("Forwarded", "for=" + node + ";proto=http;host=\"" + std::string(target.host) + "\"");
    }
    FieldSink sink(to);
    route::edit(route.request_headers, sink);
}

Reply Web::Client::redirect(const route::Route& route, const route::Found& found,
                            const Target& target) const {
    Reply reply = plain(route.redirect->status);
    error_code ignored;
    reply.set(http::field::location, route::location(*route.redirect, found, target.path, target.query,
                                                     {"http", socket_.local_endpoint(ignored).port()}));
    return reply;
}

void Web::Client::parse_body() {
    const auto self = shared_from_this();
    if (!call_ || !feed_) return;
    const error_code error = feed_body();
    const route::Handling& how = call_->route->handling;
    if (error) return spoilt(400);
    if (feed_->size(*parser_) > how.request_limit) return spoilt(413);
    limit(how.stream_idle);
    if (phase_ == Phase::body) {
        const std::size_t held = parser_->get().body().size();
        if (!parser_->is_done() && held < how.buffer && grows(held)) return wait_readable();
        if (!parser_->is_done()) {
            call_->rest = std::make_shared<Stream>(stream_bound(*call_));
            call_->rest->on_room = [weak = weak_from_this(), this] {
                if (const auto client = weak.lock()) room();
            };
        }
        call_->body = feed_->drain(*parser_);
        if (parser_->is_done()) body_done();
        return take();
    }
    const auto rest = call_->rest;
    rest->put(feed_->drain(*parser_));
    if (!door_ || !reading_body_) return;
    if (parser_->is_done()) {
        Trailers trailers = passed_on(feed_->trailers(*parser_));
        body_done();
        return rest->finish(std::move(trailers));
    }
    if (rest->stopped()) return;
    if (!rest->full()) return wait_readable();
    limit(0);  // its server takes its time
    paused_ = true;
    watch_end();
}

std::size_t Web::Client::stream_bound(Exchange& call) {
    constexpr std::size_t kLeast = 4 << 10;
    const std::size_t wanted = std::max(kLeast, call.route->handling.buffer);
    call.held += wanted;
    if (!call.grant || call.grant->hold(call.held)) return wanted;
    call.held -= wanted;
    return kLeast;
}

bool Web::Client::grows(std::size_t bytes) {
    constexpr std::size_t kStep = 16 << 10;
    call_->held = (bytes / kStep + 1) * kStep;
    return !call_->grant || call_->grant->hold(call_->held);
}

void Web::Client::room() {
    if (!std::exchange(paused_, false) || !door_ || !reading_body_) return;
    limit(call_ && call_->route ? call_->route->handling.stream_idle : 0);
    wait_readable();
}

void Web::Client::body_done() {
    reading_body_ = false;
    limit(0);
    if (call_ && !call_->rest) call_->trailers = passed_on(feed_->trailers(*parser_));
    end_reading();
}

void Web::Client::take() {
    phase_ = Phase::waiting;
    const PoolView pool = web_.callbacks_.pool(call_->pool_name);
    if (!pool.pool) {
        const auto call = call_;
        return call->refused(0);
    }
    Arrival arrival;
    arrival.class_index = index_of(call_->class_name, pool);
    arrival.time_left = call_->route->handling.timeout;
    wait_readable();
    const auto call = call_;
    pool.pool->take(call, arrival);
    call->arriving = false;
}

void Web::Client::spoilt(unsigned status) {
    if (phase_ != Phase::waiting) return reject(status);
    const auto call = call_;
    if (call->pool) {
        Pool* const pool = call->pool;
        const RequestId id = call->id;
        call->leave();
        call_.reset();
        pool->gone(id);
    }
    reject(status);
}

}  // namespace whinledge
