// Whom this process knows: a few neighbours with whom it holds links, and a larger set of contacts that take
// a neighbour's place when it dies. The cost is the same whatever the number of processes (HyParView;
// contacts are exchanged directly, as in Cyclon). Pure: messages and time in, calls and links out.
//
// A newcomer asks one seed, which answers with contacts and sends the newcomer on one random walk, so that a
// seed spends two messages on each newcomer however many come at once. Links are symmetric.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "overlay/types.hpp"

namespace whinledge::overlay {

struct ViewSizes {
    std::size_t wanted = 4;    // neighbours that are sought
    std::size_t most = 6;      // neighbours that are accepted, links between control processes not counted
    std::size_t passive = 24;  // contacts
    static ViewSizes of_edge() { return {}; }
    static ViewSizes of_control() { return {6, 10, 48}; }
};

class PartialView {
public:
    struct Options {
        Contact self;
        std::vector<std::string> seeds;  // addresses of control processes
        ViewSizes sizes;
        std::uint64_t random_seed = 1;
    };
    explicit PartialView(Options options);

    // ---- Requests of others
    wire::NeighbourReply asked(Millis now, const Contact& from, const wire::NeighbourRequest& request,
                               Effects& effects);
    wire::ShuffleContacts shuffled(Millis now, const Contact& from, const wire::ShuffleContacts& offer);
    void walked(Millis now, const Contact& from, const wire::ForwardJoin& walk, Effects& effects);
    void disconnected(Millis now, const Contact& from, Effects& effects);

    // ---- Replies to own requests
    void answered(Millis now, const Contact& from, const wire::NeighbourReply& reply, Effects& effects);
    void answered(Millis now, const Contact& from, const wire::ShuffleContacts& reply, Effects& effects);
    // A call other than one over a link has failed.
    void failed(Millis now, const std::string& address, CallFailure failure, Effects& effects);

    // A call over a link had no reply: another link is sought meanwhile.
    void link_doubted(Millis now, const std::string& address, Effects& effects);
    void link_trusted(const std::string& address) { doubted_.erase(address); }
    // The process at the other end of a link is gone, or does not answer.
    void link_lost(Millis now, const std::string& address, Effects& effects);
    // The other side holds no link (any more).
    void link_denied(Millis now, const std::string& address, Effects& effects);
    // No root has been heard of for long: asks a control process for contacts and links with one of them.
    void adrift(Millis now);

    // Control processes as they are known from elsewhere, beside those heard of here.
    void set_seeds(std::vector<std::string> seeds);
    void tick(Millis now, Effects& effects);
    Millis due() const { return due_; }

    bool linked(const std::string& address) const { return active_.contains(address); }
    const std::map<std::string, Contact>& active() const { return active_; }
    std::vector<Contact> passive() const;

private:
    // A contact, and when it may be asked again.
    struct Candidate {
        Contact contact;
        Millis not_before = 0;
        Millis pause = 0;  // the last one; doubles with each failure
    };
    // A neighbour that was lost: it may be back, or a cut may have healed.
    struct Lost {
        Contact contact;
        Millis knock_at = 0;
        Millis pause = 0;
        int knocks = 0;
    };

    bool is_self(const Contact& contact) const { return contact.address == options_.self.address; }
    std::size_t counted_links() const;
    // A link in doubt leaves its place to another.
    bool has_room() const { return counted_links() < options_.sizes.most + doubted_.size(); }
    bool near(const Contact& contact) const { return contact.zone == options_.self.zone; }
    std::size_t far_links() const;
    // All wanted links but one are to be within the own zone.
    bool wants_near() const { return active_.size() - far_links() + 1 < options_.sizes.wanted; }
    bool exempt(const Contact& contact) const { return options_.self.control && contact.control; }
    bool seeks() const;
    bool starving() const { return active_.size() < kFewestLinks + doubted_.size(); }
    std::size_t most_asked() const { return starving() ? kMostAskedInNeed : kMostAsked; }

    void link(Millis now, const Contact& contact, Effects& effects);
    void unlink(const std::string& address, Effects& effects);
    // False: there is none that may be given up.
    bool evict_one(const std::string& except, Effects& effects);
    void learn(const Contact& contact);
    void learn_control(const Contact& contact);
    void forget_candidate(const std::string& address);
    void ask(Millis now, const Contact& contact, bool urgent, bool joining, Effects& effects);
    void seek(Millis now, Effects& effects);
    void seek_controls(Millis now, Effects& effects);
    void knock(Millis now, Effects& effects);
    void shuffle(Millis now, Effects& effects);
    Candidate* choose(std::vector<Candidate>& among, Millis now);
    std::vector<Candidate*> ready(std::vector<Candidate>& among, Millis now);
    void seek_near(Millis now, Effects& effects);
    std::optional<Contact> random_neighbour(const std::string& except, const std::string& or_this);
    std::vector<Contact> sample(std::size_t most, const std::string& except);
    void put_off(Candidate& candidate, Millis now, Millis shortest, Millis longest);
    double unit() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
    Millis jittered(Millis pause) { return pause * (0.5 + unit()); }
    std::size_t below(std::size_t bound) { return static_cast<std::size_t>(random_() % bound); }
    void work_out_due(Millis now);

    static constexpr std::size_t kFewestLinks = 2;
    static constexpr std::size_t kMostAsked = 2;  // neighbour requests that are out at once
    static constexpr std::size_t kMostAskedInNeed = 6;

    Options options_;
    std::mt19937_64 random_;
    std::map<std::string, Contact> active_;
    std::vector<Candidate> passive_;
    std::vector<Candidate> controls_;
    std::vector<Lost> lost_;
    std::set<std::string> doubted_;  // links without a reply of late
    std::set<std::string> asking_;   // neighbour requests that are out
    bool adrift_ = false;            // the next contact told of is linked with, though there are enough
    Millis shuffle_at_ = kNever;
    Millis due_ = 0;
};

}  // namespace whinledge::overlay
