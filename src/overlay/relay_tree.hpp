// The tree by which the newest version of each topic reaches every process, formed over the links of the
// partial view (Plumtree). A version is pushed at once over eager links, and told of over the others; a
// process that is told of a version and gets no push grafts the link; a push that was not needed prunes it.
// Pure.
//
// Two choices differ from the published protocol. Links begin lazy, and a process without a parent grafts at
// the first digest: a large body is not sent over every link of a new process. Every message is answered with
// the versions that the other has, so that a push that got lost is noticed, and none goes where it is known.
//
// Where there is a keeper, bodies may be differences to the version before: to a link that has told of a
// recent version go the changes since, to any other the whole. A difference whose base is not held is as good
// as lost; one that does not fit its base has the whole asked for.
//
// Signs of life: while links come and go or calls stay without a reply, and at roots always, over each link
// that carried nothing else for kBeatPeriod. In calm over each link after kCalmBeatPeriod only, and a process
// that has said nothing for kSamplePeriod says it over the link that was silent longest: one with many dead
// neighbours knows about as soon as ever, and then looks at all of them.
//
// Any number of roots may publish the same version. Versions only rise, and only the newest of a topic is
// held.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "overlay/types.hpp"

namespace whinledge::overlay {

class RelayTree {
public:
    struct Options {
        bool root = false;
        std::string zone;
        Millis started = 0;
        std::uint64_t random_seed = 1;
        bool grafts = true;        // false: a planted fault, for tests of their checkers
        Keeper* keeper = nullptr;  // null: every body is whole
    };
    explicit RelayTree(Options options);

    // ---- Links, as the partial view has them
    void linked(Millis now, const Contact& contact, Effects& effects);
    void unlinked(Millis now, const std::string& address, Effects& effects);

    // ---- What roots publish and others deliver
    // A body that is not newer than what is held is ignored.
    void publish(Millis now, Topic topic, Version version, std::shared_ptr<const std::string> body,
                 Effects& effects);
    // The same, for a version that the keeper holds.
    void publish_change(Millis now, Topic topic, Version base, Version version,
                        std::shared_ptr<const std::string> difference, Effects& effects);
    // None held yet: {0, 0}.
    Version held(Topic topic) const;

    wire::RelayReply received(Millis now, const std::string& from, const wire::RelayMessage& message,
                              Effects& effects);
    void answered(Millis now, const std::string& from, const wire::RelayReply& reply, Effects& effects);
    // A call over a link had no reply. True: give up the link.
    bool failed(Millis now, const std::string& address, CallFailure failure);

    void tick(Millis now, Effects& effects);
    Millis due() const { return due_; }

    // When a root sent what has reached this process, to the next millisecond; of a root now.
    Millis root_seen(Millis now) const { return options_.root ? now : root_seen_; }
    bool eager(const std::string& address) const;
    // Link that brought the newest version first; empty: none.
    const std::string& parent() const { return parent_; }

private:
    struct Change {
        Version base;
        Version version;
        std::shared_ptr<const std::string> difference;
    };
    struct Item {
        Version version;
        std::shared_ptr<const std::string> body;  // null: the keeper has it
        int hops = 0;
        std::deque<Change> recent;  // one after another, up to `version`
    };
    struct Link {
        Contact contact;
        bool eager = false;
        bool differences = false;       // it takes them
        std::map<Topic, Version> has;   // as far as it has told
        std::map<Topic, Version> told;  // sent to it, pushed or as a digest
        Millis heard_at = 0;
        Millis beat_at = 0;
        Millis check_at = kNever;  // whether it has what was sent
        int checks = 0;
        int silences = 0;  // calls without a reply since it was last heard
    };
    // A version that others have told of.
    struct Want {
        Version version;
        std::vector<std::string> holders;  // to be asked, in turn
        std::size_t next = 0;
        Millis graft_at = kNever;
    };
    using Drafts = std::map<std::string, wire::RelayMessage>;

    void heard(Millis now, Link& link, Millis root_age);
    // Something has gone wrong or is new: quick signs of life for a while, to see what else.
    void hurry(Millis now);
    bool calm(Millis now) const { return !options_.root && now >= hurried_until_; }
    Millis beat_period(Millis now);
    // The link that nothing was heard over for longest, where nothing was said for a while.
    void sample_links(Millis now, Drafts& drafts);
    void take_digest(Millis now, Link& link, const std::vector<wire::TopicVersion>& digest, Drafts& drafts);
    bool near(const Link& link) const { return link.contact.zone == options_.zone; }
    // A parent in the own zone takes the place of a far one.
    void prefer(Link& link, const wire::TopicVersion& told, Drafts& drafts);
    Millis patience(const Link& holder) const;
    // Whether it was new.
    bool take_push(const std::string& from, const wire::TopicPush& push, Effects& effects);
    bool take_difference(const wire::TopicPush& push);
    void take_whole(const wire::TopicPush& push);
    static void add_change(Item& item, Change change);
    void take_grafts(Link& link, const std::vector<wire::TopicVersion>& grafts, Drafts& drafts);
    void want(Millis now, const Link& link, Topic topic, Version version);
    void spread(Topic topic, Drafts& drafts);
    // To a link that has `base`.
    void push_to(Link& link, Topic topic, Version base, Drafts& drafts);
    // Topics to be grafted now from this holder alone: they can go with a reply.
    std::vector<wire::TopicVersion> grafts_due(Millis now, const std::string& holder);
    void graft_due(Millis now, Drafts& drafts);
    void check(Millis now, Link& link, Drafts& drafts);
    bool lags(const Link& link) const;
    std::vector<wire::TopicVersion> digest() const;
    void send(Millis now, Drafts& drafts, Effects& effects);
    void work_out_due();
    double unit() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }

    Options options_;
    std::mt19937_64 random_;
    std::map<std::string, Link> links_;
    std::map<Topic, Item> items_;
    std::map<Topic, Want> wants_;
    std::string parent_;
    Millis root_seen_;
    Millis hurried_until_ = 0;
    Millis sample_at_ = kNever;
    Millis due_ = kNever;
};

}  // namespace whinledge::overlay
