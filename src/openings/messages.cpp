#include "openings/messages.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace whinledge::openings {

namespace {

constexpr double kKilosecond = 1000;
constexpr std::size_t kLongestName = 256;  // of a service, in bytes
constexpr std::int64_t kMostTokens = 1 << 24;
constexpr std::size_t kMostNewcomers = 256;

std::int32_t per_kilosecond(double rate) {
    const double most = std::numeric_limits<std::int32_t>::max();
    return static_cast<std::int32_t>(std::clamp(std::round(rate * kKilosecond), 0.0, most));
}

double rate_of(std::int32_t per_kilosecond) { return std::max(0, per_kilosecond) / kKilosecond; }

Opening opening_of(const wire::OpeningRate& told, double most) {
    Opening opening;
    opening.key = static_cast<std::uint64_t>(told.key);
    opening.tokens = std::clamp<std::int64_t>(told.tokens, 0, kMostTokens);
    opening.rate = std::min(rate_of(told.per_kilosecond), most);
    return opening;
}

}  // namespace

std::vector<wire::ServiceOpenings> to_wire(const Traffic& traffic) {
    std::vector<wire::ServiceOpenings> told;
    for (const ServiceTraffic& service : traffic) {
        wire::ServiceOpenings& each = told.emplace_back();
        each.service_name = service.service;
        each.per_kilosecond = per_kilosecond(service.rate);
        for (const Opening& opening : service.openings) {
            wire::OpeningRate& rate = each.openings.emplace_back();
            rate.key = static_cast<std::int64_t>(opening.key);
            rate.tokens = static_cast<std::int32_t>(std::clamp<std::int64_t>(opening.tokens, 0, kMostTokens));
            rate.per_kilosecond = per_kilosecond(opening.rate);
        }
    }
    return told;
}

Traffic from_wire(const std::vector<wire::ServiceOpenings>& told, std::size_t most) {
    Traffic traffic;
    std::set<std::string> names;
    for (const wire::ServiceOpenings& each : told) {
        if (traffic.size() == kMostServices) break;
        if (each.service_name.size() > kLongestName || !names.insert(each.service_name).second) continue;
        ServiceTraffic service{each.service_name, rate_of(each.per_kilosecond)};
        std::set<std::int64_t> keys;
        for (const wire::OpeningRate& rate : each.openings) {
            if (service.openings.size() == most) break;
            if (keys.insert(rate.key).second) service.openings.push_back(opening_of(rate, service.rate));
        }
        traffic.push_back(std::move(service));
    }
    return heaviest(std::move(traffic), most);
}

wire::OpeningsRequest to_wire(std::uint64_t node, const Teller::Word& word) {
    wire::OpeningsRequest request;
    request.protocol = kOpeningsProtocol;
    request.node = static_cast<std::int64_t>(node);
    request.sequence = static_cast<std::int64_t>(word.sequence);
    request.seen = to_wire(word.seen);
    request.known_source = static_cast<std::int64_t>(word.known_source);
    request.known_version = static_cast<std::int64_t>(word.known_version);
    return request;
}

Teller::Answer from_wire(const wire::OpeningsReply& reply) {
    Teller::Answer answer;
    answer.source = static_cast<std::uint64_t>(reply.source);
    answer.version = static_cast<std::uint64_t>(reply.version);
    if (!reply.unchanged) answer.sum = from_wire(reply.sum, kMostSummedOpenings);
    return answer;
}

wire::OpeningsReply answer(Merger& merger, const wire::OpeningsRequest& request, Millis now) {
    merger.told(static_cast<std::uint64_t>(request.node), static_cast<std::uint64_t>(request.sequence),
                from_wire(request.seen, kMostToldOpenings), now);
    const Traffic& sum = merger.sum(now);
    wire::OpeningsReply reply;
    reply.protocol = kOpeningsProtocol;
    reply.source = static_cast<std::int64_t>(merger.source());
    reply.version = static_cast<std::int64_t>(merger.version());
    reply.unchanged = request.known_source == reply.source && request.known_version == reply.version;
    if (!reply.unchanged) reply.sum = to_wire(sum);
    return reply;
}

wire::OpeningsSubtotal to_wire(const Subtotal& subtotal) {
    wire::OpeningsSubtotal message;
    message.protocol = kOpeningsProtocol;
    message.source = static_cast<std::int64_t>(subtotal.source);
    message.sequence = static_cast<std::int64_t>(subtotal.sequence);
    message.subtotal = to_wire(subtotal.traffic);
    for (const Newcomer& newcomer : subtotal.newcomers) {
        wire::OpeningsNewcomer& told = message.newcomers.emplace_back();
        told.node = static_cast<std::int64_t>(newcomer.node);
        told.sequence = static_cast<std::int64_t>(newcomer.sequence);
    }
    return message;
}

Subtotal from_wire(const wire::OpeningsSubtotal& message) {
    Subtotal subtotal;
    subtotal.source = static_cast<std::uint64_t>(message.source);
    subtotal.sequence = static_cast<std::uint64_t>(message.sequence);
    subtotal.traffic = from_wire(message.subtotal, kMostSubtotalOpenings);
    for (const wire::OpeningsNewcomer& told : message.newcomers) {
        if (subtotal.newcomers.size() == kMostNewcomers) break;
        subtotal.newcomers.push_back(
            {static_cast<std::uint64_t>(told.node), static_cast<std::uint64_t>(told.sequence)});
    }
    return subtotal;
}

}  // namespace whinledge::openings
