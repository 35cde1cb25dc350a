#include "sim/wire.hpp"

#include <algorithm>
#include <charconv>
#include <istream>
#include <ostream>

#include "engine/ledger.hpp"
#include "engine/overloaded.hpp"

namespace kestrelhall::wire {

using whinledge::Overloaded;

namespace {

const Fields::Names<Phase> phases{{"on", Phase::on}, {"fading", Phase::fading}, {"off", Phase::off}};
const Fields::Names<ListKind> list_kinds{{"INCREMENTAL", ListKind::incremental},
                                         {"FULL", ListKind::full},
                                         {"SAVED", ListKind::saved},
                                         {"FAILED", ListKind::failed}};
const Fields::Names<Outcome> outcomes{{"completed", Outcome::completed},
                                      {"errored", Outcome::errored},
                                      {"saturated", Outcome::saturated},
                                      {"overdue", Outcome::overdue},
                                      {"refused_conn", Outcome::refused_connection},
                                      {"severed", Outcome::severed},
                                      {"recalled", Outcome::recalled},
                                      {"superseded", Outcome::superseded}};

void add_number(std::string& line, double value) {
    char buffer[40];
    const auto end = std::to_chars(buffer, buffer + sizeof buffer, value, std::chars_format::fixed, 3).ptr;
    line.append(buffer, end);
}

void add_hex(std::string& line, const std::vector<std::uint8_t>& bytes) {
    if (bytes.empty()) line += '-';
    for (const std::uint8_t byte : bytes) {
        line += "0123456789abcdef"[byte >> 4];
        line += "0123456789abcdef"[byte & 15];
    }
}

}  // namespace

// ---- Codec ----------------------------------------------------------------------------------------------

Message::Message(std::string_view line, std::size_t number) : line_(number) {
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    const auto space = line.find(' ');
    kind_ = line.substr(0, space);
    if (kind_.empty()) throw WireError("line " + std::to_string(line_) + ": empty line");
    std::string_view rest = space == std::string_view::npos ? std::string_view() : line.substr(space + 1);
    while (!rest.empty()) {
        const auto gap = rest.find(' ');
        const std::string_view pair = rest.substr(0, gap);
        rest = gap == std::string_view::npos ? std::string_view() : rest.substr(gap + 1);
        const auto equals = pair.find('=');
        if (equals == std::string_view::npos || equals == 0) fail(pair, "is not name=value");
        fields_.emplace_back(pair.substr(0, equals), pair.substr(equals + 1));
    }
}

std::string Message::place() const { return "line " + std::to_string(line_) + ": " + std::string(kind_); }

std::optional<std::string_view> Message::find(std::string_view field) const {
    for (const auto& [name, value] : fields_)
        if (name == field) return value;
    return std::nullopt;
}

Outcome read_outcome(const Message& message) { return message.named("rc", outcomes); }

std::vector<std::uint8_t> read_bytes(const Message& message, std::string_view field) {
    std::vector<std::uint8_t> bytes;
    const std::string_view hex = message.text(field);
    if (hex == "-") return bytes;
    if (hex.size() % 2) message.fail(field, "is not hex");
    for (std::size_t i = 0; i < hex.size(); i += 2) {
        std::uint8_t byte = 0;
        const auto [end, error] = std::from_chars(hex.data() + i, hex.data() + i + 2, byte, 16);
        if (error != std::errc() || end != hex.data() + i + 2) message.fail(field, "is not hex");
        bytes.push_back(byte);
    }
    return bytes;
}

// ---- Host -----------------------------------------------------------------------------------------------

// One sidecar: its balancer and the names behind the integers the balancer sees.
struct Host::Instance {
    struct Named {
        std::string name;
    };
    struct Nothing {};
    using Book = whinledge::Ledger<Named, Nothing>;

    Instance(std::string name_, Site site_, std::uint64_t seed)
        : name(std::move(name_)), site(std::move(site_)), balancer(site.settings, seed) {}

    void drop_request(RequestId id) {
        const auto* const request = ledger.request(id);
        const std::string rid = request ? request->name : std::string();
        if (ledger.settle_request(id)) request_ids.erase(rid);
    }
    void end_request(RequestId id) {
        if (auto* const request = ledger.request(id)) request->ended = true;
        drop_request(id);
    }

    std::string name;
    Site site;
    Balancer balancer;
    Book ledger;
    std::unordered_map<std::string, RequestId> request_ids;
    RequestId next_request = 1;
};

Host::Host(std::istream& in, std::ostream& out, std::ostream& err) : in_(in), out_(out), err_(err) {}
Host::~Host() = default;

bool Host::next_line(std::string& line) {
    if (!std::getline(in_, line)) return false;
    ++line_;
    return true;
}

int Host::run() {
    try {
        for (std::string line; next_line(line);) {
            const Message mark(line, line_);
            if (mark.kind() != "MARK") mark.fail(mark.kind(), "stands where MARK is due");
            batch(mark);
        }
    } catch (const WireError& error) {
        err_ << "kestrelhall_adapter: " << error.what() << '\n';
        return 2;
    }
    return 0;
}

void Host::batch(const Message& mark) {
    now_ = mark.number("now-ms");
    const std::uint64_t frame = mark.integer("frame");
    reply_.clear();
    for (std::string line;;) {
        if (!next_line(line))
            throw WireError("line " + std::to_string(line_) + ": MARK: input ends before 'OVER_TO_YOU'");
        const Message message(line, line_);
        if (message.kind() == "OVER_TO_YOU") break;
        event(message);
    }
    out_ << reply_ << "END frame=" << frame << '\n' << std::flush;
}

void Host::event(const Message& message) {
    const std::string_view kind = message.kind();
    if (kind == "CATALOG") return catalog(message);
    if (kind == "START") return start(message);
    static const std::vector<std::string_view> known{"POWER_OFF",     "PEERS_KNOWN", "ACCEPT",
                                                     "HEAD_RECEIVED", "VERDICT",     "EXPIRED",
                                                     "TICK_DUE",      "HEALTH",      "MEMO"};
    if (std::find(known.begin(), known.end(), kind) == known.end()) {
        if (std::find(unknown_kinds_.begin(), unknown_kinds_.end(), kind) == unknown_kinds_.end()) {
            unknown_kinds_.emplace_back(kind);
            err_ << "kestrelhall_adapter: line " << line_ << ": unknown event " << kind << " skipped\n";
        }
        return;
    }
    const auto at = instances_.find(message.text("who"));
    if (at == instances_.end()) message.fail("who", "names an instance that is not running");
    Instance& instance = at->second;
    if (kind == "POWER_OFF") {
        instances_.erase(at);
    } else if (kind == "PEERS_KNOWN") {
        list(instance, message);
    } else if (kind == "ACCEPT") {
        RequestArrived arrived;
        arrived.time_left = message.number("time-left-ms");
        arrived.effort = message.number_or("effort-ms", 0);
        arrived.repeat = message.flag_or("repeat", false);
        arrived.class_index = instance.site.class_index(message.text("grade"));
        if (message.has("realm")) arrived.tenant = instance.site.tenant_index(message.text("realm"));
        const std::string rid(message.text("rid"));
        const auto [known_id, fresh] = instance.request_ids.try_emplace(rid, instance.next_request);
        if (!fresh) message.fail("rid", "was given before");
        arrived.id = known_id->second;
        instance.ledger.open(instance.next_request++).name = rid;
        give(instance, arrived);
    } else if (kind == "HEAD_RECEIVED" || kind == "EXPIRED") {
        const auto request = instance.request_ids.find(std::string(message.text("rid")));
        const bool gone = kind == "EXPIRED";
        const auto hop = gone ? 0 : static_cast<std::uint32_t>(message.integer("hop"));
        if (request == instance.request_ids.end()) return;  // the instance has ended it meanwhile
        const RequestId id = request->second;
        give(instance, gone ? Event(ClientGone{id}) : Event(FirstByte{id, hop}));
        if (gone) instance.end_request(id);
    } else if (kind == "VERDICT") {
        attempt_ended(instance, message);
    } else if (kind == "TICK_DUE") {
        give(instance, TimerFired{message.integer("nonce")});
    } else if (kind == "HEALTH") {
        const ProbeEnded probed{instance.ledger.find(std::string(message.text("server"))),
                                read_outcome(message), message.number_or("duration-ms", 0)};
        if (probed.server) give(instance, probed);
    } else {
        give(instance, PeerMessage{static_cast<std::uint32_t>(message.integer("src-peer")),
                                   read_bytes(message, "msg")});
    }
}

void Host::catalog(const Message& message) {
    const std::uint64_t ref = message.integer("ref");
    if (ref >= catalogs_.size()) message.fail("ref", "is out of range");
    const std::uint64_t count = message.integer("items");
    std::vector<CatalogEntry> entries;
    for (std::uint64_t i = 0; i < count; ++i) {
        std::string line;
        if (!next_line(line))
            throw WireError("line " + std::to_string(line_) + ": CATALOG: input ends within 'items'");
        const Message entry(line, line_);
        if (entry.kind() != "M") message.fail("items", "does not match the entries that follow");
        CatalogEntry e;
        e.server = entry.text("server");
        if (entry.has("rack-zone")) e.zone = entry.text("rack-zone");
        if (entry.has("kind")) e.kind = entry.text("kind");
        e.cell = static_cast<std::uint32_t>(entry.integer_or("pod", 0));
        e.phase = entry.named("phase", phases);
        e.online_since = entry.number_or("online-since-ms", 0);
        entries.push_back(std::move(e));
    }
    catalogs_[ref] = std::move(entries);
}

void Host::start(const Message& message) {
    const std::string name(message.text("who"));
    const std::uint64_t seed = message.integer("entropy");
    instances_.erase(name);
    try {
        const auto at = instances_.try_emplace(name, name, read_site(message), seed).first;
        give(at->second, Started{});
    } catch (const std::exception& error) {  // settings that can't be read or make no sense
        reply_ += "FAULT who=" + name + " words=" + error.what() + "\n";
    }
}

void Host::list(Instance& instance, const Message& message) {
    ServerList list{message.named("mode", list_kinds), {}};
    if (list.kind != ListKind::failed) {
        const std::uint64_t ref = message.integer("ref");
        if (ref >= catalogs_.size()) message.fail("ref", "is out of range");
        if (list.kind != ListKind::incremental)
            for (auto& [id, server] : instance.ledger.servers()) server.listed = false;
        for (const CatalogEntry& e : catalogs_[ref]) {
            const ServerId id = instance.ledger.intern(e.server);
            instance.ledger.server(id)->listed = e.phase != Phase::off;
            list.servers.push_back({id, instance.site.zone(e.zone), e.cell, e.phase, e.online_since,
                                    instance.site.kind(e.kind), 1, instance.ledger.name_hash(id)});
        }
    }
    give(instance, list);
    if (list.kind == ListKind::failed) return;
    std::vector<ServerId> ids;
    for (const auto& [id, server] : instance.ledger.servers()) ids.push_back(id);
    for (const ServerId id : ids) instance.ledger.settle_server(id);
}

void Host::attempt_ended(Instance& instance, const Message& message) {
    AttemptEnded ended;
    ended.attempt = static_cast<std::uint32_t>(message.integer("hop"));
    ended.outcome = read_outcome(message);
    ended.duration = message.number_or("duration-ms", 0);
    ended.request_ended = message.flag_or("terminal", false);
    const ServerId server = instance.ledger.find(std::string(message.text("server")));
    const auto request = instance.request_ids.find(std::string(message.text("rid")));
    if (request == instance.request_ids.end()) return;
    ended.id = request->second;
    Instance::Book::OpenRequest& held = *instance.ledger.request(ended.id);
    instance.ledger.came_back(held, server);
    if (ended.request_ended) held.ended = true;
    give(instance, ended);
    instance.drop_request(ended.id);
    instance.ledger.settle_server(server);
}

void Host::give(Instance& instance, const Event& event) {
    actions_.clear();
    try {
        instance.balancer.handle(now_, event, actions_);
    } catch (const std::exception& error) {
        reply_ += "FAULT who=" + instance.name + " words=" + error.what() + "\n";
        return;
    }
    for (const Action& action : actions_)
        if (!std::holds_alternative<DropTimer>(action)) put(instance, action);  // no word for it
}

void Host::put(Instance& instance, const Action& action) {
    const auto head = [&](std::string_view kind) { (reply_ += kind) += " who=" + instance.name; };
    const auto request = [&](std::string_view kind, RequestId id) {
        head(kind);
        reply_ += " rid=" + instance.ledger.request(id)->name;
    };
    const auto server = [&](ServerId id) { reply_ += " server=" + instance.ledger.server(id)->name; };
    const auto time = [&](std::string_view field, Millis value) {
        (reply_ += field) += '=';
        add_number(reply_, value);
    };
    std::visit(
        Overloaded{[&](const Send& a) {
                       request("DISPATCH", a.id);
                       server(a.server);
                       time(" try-until-ms", a.try_until);
                       instance.ledger.sent(*instance.ledger.request(a.id), a.server);
                   },
                   [&](const Cancel& a) {
                       request("ABANDON", a.id);
                       reply_ += " hop=" + std::to_string(a.attempt);
                   },
                   [&](const Refuse& a) {
                       request("DECLINE", a.id);
                       if (a.retry_in > 0) time(" retry-in-ms", a.retry_in);
                       instance.end_request(a.id);
                   },
                   [&](const GiveUp& a) {
                       request("GIVE_UP", a.id);
                       instance.end_request(a.id);
                   },
                   [&](const SetTimer& a) {
                       head("AFTER");
                       time(" at-ms", a.at);
                       reply_ += " nonce=" + std::to_string(a.token);
                   },
                   [](const DropTimer&) {}, [&](const Probe& a) { head("ASK_LOAD"), server(a.server); },
                   [&](const CloseIdle& a) { head("SHUT_IDLE"), server(a.server); },
                   [&](const TellPeer& a) {
                       head("WRITE_PEER");
                       reply_ += " dst=" + (a.to ? std::to_string(*a.to) : std::string("all")) + " msg=";
                       add_hex(reply_, a.bytes);
                   },
                   [&](const Subscribe& a) {
                       head("SUBSCRIBE");
                       reply_ += a.active ? " active=1" : " active=0";
                   },
                   [&](const FetchList&) { head("READ_LIST"); },
                   [&](const Log& a) {
                       head("PRINT");
                       reply_ += " words=";
                       if (a.server) reply_ += instance.ledger.server(*a.server)->name + " ";
                       for (const char c : a.text) reply_ += c == '\n' || c == '\r' ? ' ' : c;
                   }},
        action);
    reply_ += '\n';
}

}  // namespace kestrelhall::wire
