#include "discovery/dns_message.hpp"

#include <algorithm>
#include <limits>

namespace whinledge::dns {

namespace {

constexpr std::size_t kLongestName = 255;  // bytes on the wire, RFC 1035 2.3.4
constexpr std::size_t kLongestLabel = 63;
constexpr std::size_t kLongestMessage = 65535;  // what the length before it on TCP can say

char small(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }
bool digit(char c) { return c >= '0' && c <= '9'; }

void append_label(std::string& name, std::span<const std::uint8_t> label) {
    if (!name.empty()) name += '.';
    for (const std::uint8_t byte : label) {
        if (byte > ' ' && byte < 0x7f && byte != '.' && byte != '\\') {
            name += static_cast<char>(byte);
        } else {
            name += '\\';
            for (const int place : {100, 10, 1}) name += static_cast<char>('0' + byte / place % 10);
        }
    }
}

// The labels of a name as text, as bytes.
std::vector<std::vector<std::uint8_t>> labels(std::string_view name) {
    std::vector<std::vector<std::uint8_t>> all;
    if (name.empty()) return all;
    all.emplace_back();
    for (std::size_t i = 0; i < name.size(); ++i) {
        if (name[i] == '.') {
            all.emplace_back();
        } else if (name[i] != '\\') {
            all.back().push_back(static_cast<std::uint8_t>(name[i]));
        } else {
            if (i + 3 >= name.size() || !digit(name[i + 1]) || !digit(name[i + 2]) || !digit(name[i + 3]))
                throw Error("an escape in a name");
            const int byte = (name[i + 1] - '0') * 100 + (name[i + 2] - '0') * 10 + (name[i + 3] - '0');
            if (byte > 255) throw Error("an escape in a name");
            all.back().push_back(static_cast<std::uint8_t>(byte));
            i += 3;
        }
    }
    std::size_t size = 1;
    for (const auto& label : all) {
        if (label.empty() || label.size() > kLongestLabel) throw Error("a label's length");
        size += 1 + label.size();
    }
    if (size > kLongestName) throw Error("a name's length");
    return all;
}

class Reader {
public:
    explicit Reader(std::span<const std::uint8_t> bytes) : bytes_(bytes) {}

    std::uint8_t byte() {
        if (at_ >= bytes_.size()) throw Error("the end is missing");
        return bytes_[at_++];
    }
    std::uint16_t word() {
        const std::uint16_t high = byte();
        return static_cast<std::uint16_t>(high << 8 | byte());
    }
    std::uint32_t long_word() {
        const std::uint32_t high = word();
        return high << 16 | word();
    }
    std::span<const std::uint8_t> take(std::size_t size) {
        if (size > bytes_.size() - at_) throw Error("the end is missing");
        at_ += size;
        return bytes_.subspan(at_ - size, size);
    }
    // A pointer leads to before the name (or the part of it) that it ends, so that no chain of them is
    // endless.
    std::string name() {
        std::string name;
        std::size_t before = at_, size = 1;
        std::optional<std::size_t> after;  // of the first pointer: where what follows the name begins
        for (;;) {
            const std::uint8_t length = byte();
            if (length == 0) break;
            if ((length & 0xc0) == 0xc0) {
                const std::size_t to = static_cast<std::size_t>(length & 0x3f) << 8 | byte();
                if (!after) after = at_;
                if (to >= before) throw Error("a pointer forward");
                before = at_ = to;
            } else if (length > kLongestLabel) {
                throw Error("an unknown kind of label");
            } else {
                size += 1 + static_cast<std::size_t>(length);
                if (size > kLongestName) throw Error("a name's length");
                append_label(name, take(length));
            }
        }
        if (after) at_ = *after;
        return name;
    }
    Record record() {
        Record r;
        r.name = name();
        r.type = static_cast<Type>(word());
        r.klass = word();
        const std::uint32_t ttl = long_word();
        // RFC 2181, 8: the top bit set means zero. An OPT has other things there.
        r.ttl = r.type != Type::opt && ttl >> 31 ? 0 : ttl;
        const std::size_t length = word();
        if (length > bytes_.size() - at_) throw Error("the end is missing");
        const std::size_t end = at_ + length;
        r.data = data(r, length);
        if (at_ != end) throw Error("a record's length");
        return r;
    }
    bool done() const { return at_ == bytes_.size(); }

private:
    decltype(Record::data) data(const Record& r, std::size_t length) {
        const bool internet = r.klass == kInternet;
        if (internet && r.type == Type::a) return address<A>(length);
        if (internet && r.type == Type::aaaa) return address<Aaaa>(length);
        if (internet && r.type == Type::cname) return Cname{name()};
        if (internet && r.type == Type::srv) {
            Srv srv;
            srv.priority = word();
            srv.weight = word();
            srv.port = word();
            srv.target = name();  // some compress it against the RFC
            return srv;
        }
        const auto raw = take(length);
        return Raw(raw.begin(), raw.end());
    }
    template <class Address>
    Address address(std::size_t length) {
        Address address;
        if (length != address.size()) throw Error("an address's length");
        const auto raw = take(length);
        std::copy(raw.begin(), raw.end(), address.begin());
        return address;
    }

    std::span<const std::uint8_t> bytes_;
    std::size_t at_ = 0;
};

class Writer {
public:
    void byte(std::uint8_t value) { bytes.push_back(value); }
    void word(std::uint16_t value) {
        byte(static_cast<std::uint8_t>(value >> 8));
        byte(static_cast<std::uint8_t>(value));
    }
    void long_word(std::uint32_t value) {
        word(static_cast<std::uint16_t>(value >> 16));
        word(static_cast<std::uint16_t>(value));
    }
    void name(std::string_view text) {
        for (const auto& label : labels(text)) {
            byte(static_cast<std::uint8_t>(label.size()));
            put(label);
        }
        byte(0);
    }
    template <class Bytes>
    void put(const Bytes& what) {
        bytes.insert(bytes.end(), what.begin(), what.end());
    }
    void count(std::size_t value) {
        if (value > std::numeric_limits<std::uint16_t>::max()) throw Error("too many records");
        word(static_cast<std::uint16_t>(value));
    }
    void record(const Record& r) {
        name(r.name);
        word(static_cast<std::uint16_t>(r.type));
        word(r.klass);
        long_word(r.ttl);
        Writer data;
        std::visit([&data](const auto& value) { data.rdata(value); }, r.data);
        count(data.bytes.size());
        put(data.bytes);
    }

    std::vector<std::uint8_t> bytes;

private:
    void rdata(const Raw& raw) { put(raw); }
    void rdata(const A& address) { put(address); }
    void rdata(const Aaaa& address) { put(address); }
    void rdata(const Cname& cname) { name(cname.name); }
    void rdata(const Srv& srv) {
        word(srv.priority);
        word(srv.weight);
        word(srv.port);
        name(srv.target);
    }
};

void read_flags(Message& message, std::uint16_t flags) {
    message.response = flags & 0x8000;
    message.opcode = static_cast<std::uint8_t>(flags >> 11 & 0xf);
    message.authoritative = flags & 0x0400;
    message.truncated = flags & 0x0200;
    message.recursion_desired = flags & 0x0100;
    message.recursion_available = flags & 0x0080;
    message.rcode = static_cast<Rcode>(flags & 0xf);
}

std::uint16_t flags_of(const Message& m) {
    const unsigned flags = (m.response ? 0x8000u : 0) | (m.opcode & 0xfu) << 11 |
                           (m.authoritative ? 0x0400u : 0) | (m.truncated ? 0x0200u : 0) |
                           (m.recursion_desired ? 0x0100u : 0) | (m.recursion_available ? 0x0080u : 0) |
                           (static_cast<unsigned>(m.rcode) & 0xf);
    return static_cast<std::uint16_t>(flags);
}

// RFC 6891, 6.1: the class holds the size, the TTL the rcode's upper bits, the version and flags.
void take_edns(Message& message) {
    const auto opt = [](const Record& r) { return r.type == Type::opt; };
    const auto at = std::find_if(message.additional.begin(), message.additional.end(), opt);
    if (at == message.additional.end()) return;
    if (std::any_of(at + 1, message.additional.end(), opt)) throw Error("two OPT records");
    if (!at->name.empty()) throw Error("an OPT record with a name");
    message.edns = Edns{at->klass, static_cast<std::uint8_t>(at->ttl >> 16),
                        static_cast<std::uint16_t>(at->ttl), std::get<Raw>(std::move(at->data))};
    message.rcode = static_cast<Rcode>(static_cast<unsigned>(message.rcode) | (at->ttl >> 24) << 4);
    message.additional.erase(at);
}

Record opt_record(const Message& m) {
    const std::uint32_t upper = static_cast<std::uint32_t>(m.rcode) >> 4;
    return {"", Type::opt, m.edns->udp_size,
            upper << 24 | static_cast<std::uint32_t>(m.edns->version) << 16 | m.edns->flags, m.edns->options};
}

const Record* cname_of(const Message& message, const std::string& name) {
    for (const Record& r : message.answers)
        if (std::holds_alternative<Cname>(r.data) && same_name(r.name, name)) return &r;
    return nullptr;
}

}  // namespace

Message decode(std::span<const std::uint8_t> bytes) {
    Reader reader(bytes);
    Message message;
    message.id = reader.word();
    read_flags(message, reader.word());
    const std::size_t questions = reader.word();
    const std::array<std::size_t, 3> counts{reader.word(), reader.word(), reader.word()};
    for (std::size_t i = 0; i < questions; ++i) {
        Question q;
        q.name = reader.name();
        q.type = static_cast<Type>(reader.word());
        q.klass = reader.word();
        message.questions.push_back(std::move(q));
    }
    const std::array sections{&message.answers, &message.authority, &message.additional};
    for (std::size_t s = 0; s < sections.size(); ++s)
        for (std::size_t i = 0; i < counts[s]; ++i) sections[s]->push_back(reader.record());
    if (!reader.done()) throw Error("bytes left over");
    take_edns(message);
    return message;
}

std::vector<std::uint8_t> encode(const Message& message) {
    if (static_cast<unsigned>(message.rcode) > (message.edns ? 0xfffu : 0xfu)) throw Error("the rcode");
    Writer writer;
    writer.word(message.id);
    writer.word(flags_of(message));
    writer.count(message.questions.size());
    writer.count(message.answers.size());
    writer.count(message.authority.size());
    writer.count(message.additional.size() + (message.edns ? 1 : 0));
    for (const Question& q : message.questions) {
        writer.name(q.name);
        writer.word(static_cast<std::uint16_t>(q.type));
        writer.word(q.klass);
    }
    for (const auto* section : {&message.answers, &message.authority, &message.additional})
        for (const Record& r : *section) writer.record(r);
    if (message.edns) writer.record(opt_record(message));
    if (writer.bytes.size() > kLongestMessage) throw Error("a message's length");
    return std::move(writer.bytes);
}

bool same_name(std::string_view a, std::string_view b) {
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return small(x) == small(y); });
}

std::string host_name(std::string_view text) {
    if (!text.empty() && text.back() == '.') text.remove_suffix(1);
    std::string name(text);
    for (char& c : name) {
        c = small(c);
        if (!(c >= 'a' && c <= 'z') && !digit(c) && c != '-' && c != '_' && c != '.')
            throw Error("is not a name");
    }
    if (name.empty()) throw Error("is not a name");
    labels(name);
    return name;
}

Answer answer_to(const Message& message, const Question& question) {
    if (!message.response || message.opcode != 0) throw Error("not an answer");
    if (message.questions.size() != 1 || !same_name(message.questions[0].name, question.name) ||
        message.questions[0].type != question.type || message.questions[0].klass != question.klass)
        throw Error("an answer to another question");
    if (message.truncated) throw Error("cut off");
    Answer answer;
    answer.exists = message.rcode != Rcode::no_such_name;
    if (!answer.exists) return answer;
    if (message.rcode != Rcode::ok)
        throw Error("the server answered with code " + std::to_string(static_cast<int>(message.rcode)));
    answer.ttl = std::numeric_limits<std::uint32_t>::max();
    std::string name = question.name;
    for (int links = 0; const Record* const cname = cname_of(message, name); ++links) {
        if (links == kLongestChain) throw Error("a chain of more than 8 CNAMEs");
        answer.ttl = std::min(answer.ttl, cname->ttl);
        name = std::get<Cname>(cname->data).name;
    }
    for (const Record& r : message.answers) {
        if (r.type != question.type || r.klass != question.klass || !same_name(r.name, name)) continue;
        answer.ttl = std::min(answer.ttl, r.ttl);
        answer.records.push_back(r);
    }
    return answer;
}

}  // namespace whinledge::dns
