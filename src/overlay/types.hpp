// What the parts of the overlay share: time, contacts, versions, and what a step asks to be done. Pure.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "overlay_types.h"  // generated from idl/overlay.thrift

namespace whinledge::overlay {

using Millis = double;  // of any steady clock
using Contact = wire::OverlayContact;
using Topic = std::int32_t;

inline constexpr Millis kNever = 1e300;
// A call without a reply for so long has failed.
inline constexpr Millis kCallTimeout = 400;

struct Version {
    std::int64_t term = 0;
    std::int64_t sequence = 0;
    auto operator<=>(const Version&) const = default;
};

inline Version version_of(const wire::TopicVersion& told) { return {told.term, told.sequence}; }

inline wire::TopicVersion told_version(Topic topic, Version version) {
    wire::TopicVersion told;
    told.topic = topic;
    told.term = version.term;
    told.sequence = version.sequence;
    return told;
}

// Why a call has no reply.
enum class CallFailure {
    refused,    // nobody listens there
    timed_out,  // dead, frozen, cut off, or the message was lost
};

struct Outgoing {
    Contact to;
    wire::OverlayRequest request;  // its sender is filled in by OverlayNode
};

// A version that this process did not have.
struct Delivery {
    Topic topic = 0;
    Version version;
    std::shared_ptr<const std::string> body;  // null: a whole that the keeper holds
    int hops = 0;
    bool difference = false;  // `body` is one, to the version delivered before
};

// Holds what a topic's newest version is, where its bodies may come as differences; for RelayTree such bodies
// are bytes.
class Keeper {
public:
    virtual ~Keeper() = default;
    // To what is held. False: it does not fit.
    virtual bool apply(Topic topic, const std::string& difference) = 0;
    // True: the keeper holds it, so that whole() gives it and nobody else need keep the bytes.
    virtual bool replace(Topic topic, const std::string& body) = 0;
    // The difference that replace() has just made between what was held before and the body; null: not known.
    // Given once.
    virtual std::shared_ptr<const std::string> replacement(Topic) { return nullptr; }
    // Of the newest version; for topics that came as differences, or that replace() has taken.
    virtual std::shared_ptr<const std::string> whole(Topic topic) = 0;
};

// What a step asks for, in this order within each list.
struct Effects {
    std::vector<Outgoing> calls;
    std::vector<Contact> linked;
    std::vector<Contact> unlinked;
    std::vector<Delivery> delivered;
};

}  // namespace whinledge::overlay
