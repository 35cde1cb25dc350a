#include "ldap_codec/message.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace whinledge::ldap {

namespace {

bool is_response(Op op) {
    switch (op) {
        case Op::bind_response:
        case Op::entry:
        case Op::search_done:
        case Op::reference:
        case Op::modify_response:
        case Op::add_response:
        case Op::remove_response:
        case Op::rename_response:
        case Op::compare_response:
        case Op::extended_response:
        case Op::intermediate:
            return true;
        default:
            return false;
    }
}

// How many more elements a message may have.
class Budget {
public:
    Budget(std::size_t elements, int depth) : left_(elements), depth_(depth) {}
    bool take() { return left_ > 0 && (--left_, true); }
    int depth() const { return depth_; }

private:
    std::size_t left_;
    int depth_;
};

constexpr const char* kTooMany = "more elements than are taken";

bool is_oid(std::string_view text) {
    return !text.empty() && text.size() <= 128 && text.front() != '.' && text.back() != '.' &&
           text.find("..") == text.npos && text.find_first_not_of("0123456789.") == text.npos;
}

// A SEQUENCE or SET of octet strings.
const char* check_strings(std::string_view body, Budget& budget) {
    for (BerReader list(body); !list.empty();) {
        if (!budget.take()) return kTooMany;
        if (!list.octets()) return "a list of strings that is none";
    }
    return nullptr;
}

// PartialAttribute: a type and a set of values (RFC 4511, 4.1.7).
const char* check_attribute(std::string_view body, Budget& budget) {
    BerReader attribute(body);
    if (!budget.take()) return kTooMany;
    const auto type = attribute.octets();
    const auto values = attribute.next(0x31);
    if (!type || !values || !attribute.empty()) return "an attribute that is none";
    return check_strings(values->body, budget);
}
const char* check_attributes(std::string_view body, Budget& budget) {
    for (BerReader list(body); !list.empty();) {
        const auto attribute = list.next(0x30);
        if (!attribute) return "a list of attributes that is none";
        if (const char* const fault = check_attribute(attribute->body, budget)) return fault;
    }
    return nullptr;
}

// RFC 4511, 4.5.1.7.
const char* check_filter(const Element& filter, Budget& budget, int depth);
const char* check_filters(std::string_view body, Budget& budget, int depth) {
    for (BerReader list(body); !list.empty();) {
        const auto filter = list.next();
        if (!filter) return "a filter that can't be read";
        if (const char* const fault = check_filter(*filter, budget, depth + 1)) return fault;
    }
    return nullptr;
}
const char* check_substrings(std::string_view body, Budget& budget) {
    BerReader all(body);
    const auto type = all.octets();
    const auto parts = all.next(0x30);
    if (!type || !parts || parts->body.empty() || !all.empty()) return "a filter of substrings that is none";
    bool first = true;
    for (BerReader list(parts->body); !list.empty(); first = false) {
        const auto part = list.next();
        if (!budget.take()) return kTooMany;
        const bool initial = part && part->tag == 0x80, any = part && part->tag == 0x81,
                   final = part && part->tag == 0x82;
        if (!(initial && first) && !any && !(final && list.empty())) return "substrings out of order";
    }
    return nullptr;
}
const char* check_extensible(std::string_view body) {
    BerReader all(body);
    const bool rule = all.next(0x81).has_value(), type = all.next(0x82).has_value();
    if (!all.next(0x83) || (!rule && !type)) return "an extensible filter that is none";
    if (all.peek() == 0x84) {
        const auto flag = all.next(0x84);
        if (!flag || flag->body.size() != 1) return "an extensible filter that is none";
    }
    return all.empty() ? nullptr : "an extensible filter that is none";
}
const char* check_filter(const Element& filter, Budget& budget, int depth) {
    if (depth > budget.depth()) return "a filter that is nested too deeply";
    if (!budget.take()) return kTooMany;
    switch (filter.tag) {
        case 0xa0:  // and
        case 0xa1:  // or
            return check_filters(filter.body, budget, depth);
        case 0xa2: {  // not
            BerReader one(filter.body);
            const auto inner = one.next();
            if (!inner || !one.empty()) return "a negation of not one filter";
            return check_filter(*inner, budget, depth + 1);
        }
        case 0xa3:    // equality
        case 0xa5:    // at least
        case 0xa6:    // at most
        case 0xa8: {  // approximately
            BerReader pair(filter.body);
            const bool type = pair.octets().has_value(), value = pair.octets().has_value();
            return type && value && pair.empty() ? nullptr : "a comparison that is none";
        }
        case 0xa4:
            return check_substrings(filter.body, budget);
        case 0x87:  // present
            return nullptr;
        case 0xa9:
            return check_extensible(filter.body);
        default:
            return "a filter of no known kind";
    }
}

const char* read_search(BerReader body, Request& to, Budget& budget) {
    const auto base = body.octets();
    const auto scope = body.number(0x0a), deref = body.number(0x0a);
    const auto size = body.number(0x02), time = body.number(0x02);
    const auto types = body.boolean();
    if (!base || !scope || !deref || !size || !time || !types) return "a search that can't be read";
    if (*scope > 3 || *deref > 3) return "a search of no known scope";
    to.dn = *base;
    to.scope = *scope;
    to.time_limit = *time;
    const auto filter = body.next();
    if (!filter) return "a search without a filter";
    if (const char* const fault = check_filter(*filter, budget, 1)) return fault;
    const auto wanted = body.next(0x30);
    if (!wanted || !body.empty()) return "a search that can't be read";
    return check_strings(wanted->body, budget);
}

const char* read_bind(BerReader body, Request& to) {
    const auto version = body.number(0x02);
    if (!version || *version < 1 || *version > 127) return "a bind without a version";
    to.version = *version;
    if (to.version != 3) return nullptr;  // of which nothing else is known
    const auto name = body.octets();
    const auto how = body.next();
    if (!name || !how || !body.empty()) return "a bind that can't be read";
    to.dn = *name;
    to.simple = how->tag == 0x80;
    if (to.simple) return to.credentials = how->body, nullptr;
    if (how->tag != 0xa3) return "a bind of no known kind";
    BerReader sasl(how->body);
    const auto mechanism = sasl.octets();
    if (!mechanism) return "a bind without a mechanism";
    to.mechanism = *mechanism;
    if (sasl.empty()) return nullptr;
    const auto credentials = sasl.octets();
    if (!credentials || !sasl.empty()) return "a bind that can't be read";
    to.credentials = *credentials;
    return nullptr;
}

const char* read_modify(BerReader body, Request& to, Budget& budget) {
    const auto object = body.octets();
    const auto changes = body.next(0x30);
    if (!object || !changes || !body.empty()) return "a modify that can't be read";
    to.dn = *object;
    for (BerReader list(changes->body); !list.empty();) {
        const auto change = list.next(0x30);
        if (!change) return "a change that is none";
        BerReader one(change->body);
        const auto kind = one.number(0x0a);
        const auto attribute = one.next(0x30);
        if (!kind || *kind > 3 || !attribute || !one.empty()) return "a change that is none";
        if (const char* const fault = check_attribute(attribute->body, budget)) return fault;
    }
    return nullptr;
}

const char* read_add(BerReader body, Request& to, Budget& budget) {
    const auto entry = body.octets();
    const auto attributes = body.next(0x30);
    if (!entry || !attributes || !body.empty()) return "an add that can't be read";
    to.dn = *entry;
    return check_attributes(attributes->body, budget);
}

const char* read_rename(BerReader body, Request& to) {
    const auto entry = body.octets(), name = body.octets();
    const auto drop = body.boolean();
    if (!entry || !name || !drop) return "a modifyDN that can't be read";
    if (!body.empty() && (!body.next(0x80) || !body.empty())) return "a modifyDN that can't be read";
    to.dn = *entry;
    return nullptr;
}

const char* read_compare(BerReader body, Request& to) {
    const auto entry = body.octets();
    const auto claim = body.next(0x30);
    if (!entry || !claim || !body.empty()) return "a compare that can't be read";
    BerReader pair(claim->body);
    const bool type = pair.octets().has_value(), value = pair.octets().has_value();
    if (!type || !value || !pair.empty()) return "a compare that can't be read";
    to.dn = *entry;
    return nullptr;
}

const char* read_extended(BerReader body, Request& to) {
    const auto name = body.next(0x80);
    if (!name || !is_oid(name->body)) return "an extended request without a name";
    to.oid = name->body;
    if (body.empty()) return nullptr;
    const auto value = body.next(0x81);
    if (!value || !body.empty()) return "an extended request that can't be read";
    to.value = value->body;
    if (to.oid != oid::cancel) return nullptr;
    BerReader outer(value->body);  // RFC 3909, 2.1
    const auto sequence = outer.next(0x30);
    if (!sequence || !outer.empty()) return "a cancel that can't be read";
    BerReader inner(sequence->body);
    const auto target = inner.number(0x02);
    if (!target || !inner.empty()) return "a cancel that can't be read";
    to.target = *target;
    return nullptr;
}

const char* read_controls(std::string_view body, const Bounds& bounds, std::vector<Control>& to) {
    for (BerReader list(body); !list.empty();) {
        const auto whole = list.next(0x30);
        if (!whole) return "controls that can't be read";
        if (to.size() >= bounds.controls) return "more controls than are taken";
        BerReader one(whole->body);
        Control control;
        const auto name = one.octets();
        if (!name || !is_oid(*name)) return "a control without a name";
        control.oid = *name;
        if (one.peek() == 0x01) {
            const auto critical = one.boolean();
            if (!critical) return "controls that can't be read";
            control.critical = *critical;
        }
        if (one.peek() == 0x04) {
            const auto value = one.octets();
            if (!value) return "controls that can't be read";
            control.value = *value;
        }
        if (!one.empty()) return "controls that can't be read";
        to.push_back(control);
    }
    return nullptr;
}

// LDAPResult's components (4.1.9); what a response has behind them is left in `body`.
const char* read_result(BerReader& body, Response& to, Budget& budget) {
    const auto code = body.number(0x0a);
    const auto matched = body.octets(), text = body.octets();
    if (!code || !matched || !text) return "a result that can't be read";
    to.code = *code;
    to.final = true;
    if (body.peek() != 0xa3) return nullptr;
    const auto referral = body.next(0xa3);
    if (!referral) return "a referral that can't be read";
    return check_strings(referral->body, budget);
}

std::size_t head_size(std::size_t length) {
    std::size_t octets = 0;
    if (length >= 0x80)
        for (std::size_t rest = length; rest > 0; rest >>= 8) ++octets;
    return 2 + octets;
}
void append_length(Bytes& to, std::size_t length) {
    if (length < 0x80) return to.push_back(static_cast<char>(length));
    const std::size_t octets = head_size(length) - 2;
    to.push_back(static_cast<char>(0x80 | octets));
    for (std::size_t i = octets; i-- > 0;) to.push_back(static_cast<char>(length >> (8 * i)));
}

}  // namespace

Framed frame(std::string_view bytes, std::size_t most) {
    using Found = Framed::Found;
    if (bytes.empty()) return {Found::more, 2, nullptr};
    if (bytes[0] != 0x30) return {Found::fault, 0, "no LDAP message"};
    if (bytes.size() < 2) return {Found::more, 2, nullptr};
    const auto first = static_cast<unsigned char>(bytes[1]);
    std::size_t length = first, head = 2;
    if (first >= 0x80) {
        const std::size_t octets = first & 0x7f;
        if (octets == 0) return {Found::fault, 0, "an indefinite length"};  // RFC 4511, 5.1
        if (octets > 4) return {Found::fault, 0, "a length that is too long"};
        head += octets;
        if (bytes.size() < head) return {Found::more, head, nullptr};
        length = 0;
        for (std::size_t i = 2; i < head; ++i) length = length << 8 | static_cast<unsigned char>(bytes[i]);
    }
    if (length > most || head + length > most) return {Found::fault, 0, "a message that is too long"};
    // At the least an id and an operation without contents.
    if (length < 5) return {Found::fault, 0, "a message with nothing in it"};
    if (bytes.size() < head + length) return {Found::more, head + length, nullptr};
    return {Found::whole, head + length, nullptr};
}

const Control* Message::control(std::string_view oid) const {
    const auto at =
        std::find_if(controls.begin(), controls.end(), [&](const Control& c) { return c.oid == oid; });
    return at == controls.end() ? nullptr : &*at;
}

Read read_message(std::string_view bytes, const Bounds& bounds) {
    Message message;
    BerReader outer(bytes);
    const auto sequence = outer.next(0x30);
    if (!sequence || !outer.empty()) return "no LDAP message";
    BerReader all(sequence->body);
    const auto id = all.number(0x02);
    if (!id) return "a message id that is none";
    message.id = *id;
    message.tail = all.rest();
    const auto op = all.next();
    if (!op) return "an operation that can't be read";
    message.op = static_cast<Op>(op->tag);
    if (!is_request(message.op) && !is_response(message.op)) return "an unknown operation";
    message.body = op->body;
    message.whole_op = op->whole;
    if (!all.empty()) {
        const auto controls = all.next(0xa0);
        if (!controls || !all.empty()) return "bytes behind the operation";
        message.inner = controls->body;
        if (const char* const fault = read_controls(controls->body, bounds, message.controls)) return fault;
    }
    return message;
}

ReadRequest read_request(const Message& message, const Bounds& bounds) {
    Request to;
    to.op = message.op;
    if (!is_request(message.op)) return "a response, sent by a client";
    if (message.id == 0) return "a request with the id 0";
    Budget budget(bounds.elements, bounds.depth);
    const BerReader body(message.body);
    const char* fault = nullptr;
    switch (message.op) {
        case Op::bind:
            fault = read_bind(body, to);
            break;
        case Op::unbind:
            fault = message.body.empty() ? nullptr : "an unbind with contents";
            break;
        case Op::search:
            fault = read_search(body, to, budget);
            break;
        case Op::modify:
            fault = read_modify(body, to, budget);
            break;
        case Op::add:
            fault = read_add(body, to, budget);
            break;
        case Op::remove:
            to.dn = message.body;
            break;
        case Op::rename:
            fault = read_rename(body, to);
            break;
        case Op::compare:
            fault = read_compare(body, to);
            break;
        case Op::abandon:
            if (const auto target = read_number(message.body))
                to.target = *target;
            else
                fault = "an abandon of nothing";
            break;
        default:
            fault = read_extended(body, to);
    }
    if (fault) return fault;
    return to;
}

ReadResponse read_response(const Message& message, const Bounds& bounds) {
    Response to;
    Budget budget(bounds.elements, bounds.depth);
    BerReader body(message.body);
    const char* fault = nullptr;
    switch (message.op) {
        case Op::entry: {
            const auto name = body.octets();
            const auto attributes = body.next(0x30);
            if (!name || !attributes || !body.empty()) return "an entry that can't be read";
            fault = check_attributes(attributes->body, budget);
            break;
        }
        case Op::reference:
            if (message.body.empty()) return "a reference to nothing";
            fault = check_strings(message.body, budget);
            break;
        case Op::intermediate:
            if (body.peek() == 0x80) {
                const auto name = body.next(0x80);
                if (!name) return "an intermediate response that can't be read";
                to.oid = name->body;
            }
            if (body.peek() == 0x81 && !body.next(0x81)) return "an intermediate response that can't be read";
            fault = body.empty() ? nullptr : "an intermediate response that can't be read";
            break;
        case Op::bind_response:
            fault = read_result(body, to, budget);
            if (!fault && body.peek() == 0x87 && !body.next(0x87)) fault = "credentials that can't be read";
            if (!fault && !body.empty()) fault = "bytes behind a result";
            break;
        case Op::extended_response:
            fault = read_result(body, to, budget);
            if (!fault && body.peek() == 0x8a) {
                const auto name = body.next(0x8a);
                if (name) to.oid = name->body;
                fault = name ? nullptr : "a name that can't be read";
            }
            if (!fault && body.peek() == 0x8b && !body.next(0x8b)) fault = "a value that can't be read";
            if (!fault && !body.empty()) fault = "bytes behind a result";
            break;
        case Op::search_done:
        case Op::modify_response:
        case Op::add_response:
        case Op::remove_response:
        case Op::rename_response:
        case Op::compare_response:
            fault = read_result(body, to, budget);
            if (!fault && !body.empty()) fault = "bytes behind a result";
            break;
        default:
            return "a request, sent by a server";
    }
    if (fault) return fault;
    return to;
}

std::optional<std::string_view> paged_cookie(std::string_view value) {
    BerReader outer(value);
    const auto sequence = outer.next(0x30);
    if (!sequence || !outer.empty()) return std::nullopt;
    BerReader inner(sequence->body);
    if (!inner.number(0x02)) return std::nullopt;
    const auto cookie = inner.octets();
    return cookie && inner.empty() ? cookie : std::nullopt;
}

// ---- Writing
// ----------------------------------------------------------------------------------------------------

Bytes with_id(MessageId id, std::string_view tail) {
    char digits[6];
    std::size_t size = 0;
    for (int shift = 24; shift >= 0; shift -= 8)
        if (const auto octet = static_cast<unsigned char>(id >> shift);
            size > 0 || octet != 0 || shift == 0) {
            if (size == 0 && octet >= 0x80) digits[size++] = 0;
            digits[size++] = static_cast<char>(octet);
        }
    const std::size_t length = 2 + size + tail.size();
    Bytes all;
    all.reserve(head_size(length) + length);
    all.push_back(0x30);
    append_length(all, length);
    all.push_back(0x02);
    all.push_back(static_cast<char>(size));
    all.append(digits, size).append(tail);
    return all;
}

Bytes result_tail(Op response, std::int32_t code, std::string_view text, std::string_view name) {
    BerWriter to;
    to.begin(static_cast<std::uint8_t>(response)).number(code, 0x0a).octets("").octets(text);
    if (!name.empty()) to.octets(name, 0x8a);
    return to.end().take();
}

Bytes notice(std::int32_t code, std::string_view text) {
    return with_id(0, result_tail(Op::extended_response, code, text, oid::notice_of_disconnection));
}

Bytes abandon_tail(MessageId target) {
    BerWriter to;
    return to.number(target, static_cast<std::uint8_t>(Op::abandon)).take();
}

Bytes bind_tail(std::string_view dn, std::string_view password) {
    BerWriter to;
    to.begin(static_cast<std::uint8_t>(Op::bind)).number(3).octets(dn).octets(password, 0x80);
    return to.end().take();
}

Bytes extended_tail(std::string_view name) {
    BerWriter to;
    return to.begin(static_cast<std::uint8_t>(Op::extended)).octets(name, 0x80).end().take();
}

Bytes proxied_tail(const Message& message, std::string_view dn) {
    const std::string who = dn.empty() ? std::string() : "dn:" + std::string(dn);
    BerWriter to;
    to.raw(message.whole_op).begin(0xa0).raw(message.inner);
    to.begin(0x30).octets(oid::proxied).boolean(true).octets(who).end();
    return to.end().take();
}

}  // namespace whinledge::ldap
