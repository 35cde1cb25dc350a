// LDAP messages from strangers. The first byte says whose they are: a client's or a server's. Held: no
// message reaches beyond its bytes, is read in two ways when it stands behind another id, or with the proxied
// control; a request's views lie within it; bounds hold.
#include <cstdlib>
#include <string>
#include <vector>

#include "fuzz/seeds.hpp"
#include "ldap_codec/dn.hpp"
#include "ldap_codec/message.hpp"
#include "ldap_codec/routes.hpp"

using namespace whinledge::ldap;

namespace {

void hold(bool property) {
    if (!property) std::abort();
}
void within(std::string_view part, std::string_view whole) {
    hold(part.empty() ||
         (part.data() >= whole.data() && part.data() + part.size() <= whole.data() + whole.size()));
}

void check(std::string_view bytes, bool request) {
    Bounds bounds;
    bounds.message = 4096;
    bounds.elements = 100;
    bounds.depth = 20;
    bounds.controls = 4;
    const Framed framed = frame(bytes, bounds.message);
    if (framed.found == Framed::Found::more)
        return hold(framed.size > bytes.size() && framed.size <= bounds.message);
    if (framed.found == Framed::Found::fault) return hold(framed.fault != nullptr);
    hold(framed.size <= bytes.size() && framed.size <= bounds.message);
    // A copy of its own, so that a sanitizer sees what reaches beyond it.
    const Bytes whole = whinledge::ldap::bytes(bytes.substr(0, framed.size));
    const Read read = read_message(whole, bounds);
    const auto* const message = std::get_if<Message>(&read);
    if (!message) return;
    hold(message->id >= 0 && message->controls.size() <= bounds.controls);
    within(message->tail, whole);
    within(message->body, message->tail);
    for (const Control& control : message->controls) {
        within(control.oid, whole);
        if (control.value) within(*control.value, whole);
    }
    // Under another id it is the same.
    const Bytes moved = with_id(0x7fffffff, message->tail);
    const Read again = read_message(moved, bounds);
    hold(std::holds_alternative<Message>(again) && std::get<Message>(again).tail == message->tail &&
         std::get<Message>(again).id == 0x7fffffff);
    if (!request) {
        const ReadResponse response = read_response(*message, bounds);
        if (const auto* const r = std::get_if<Response>(&response)) hold(r->code >= 0);
        return;
    }
    const ReadRequest read_one = read_request(*message, bounds);
    const auto* const one = std::get_if<Request>(&read_one);
    if (!one) return;
    hold(message->id > 0 && one->time_limit >= 0 && one->target >= 0);
    for (const std::string_view part : {one->dn, one->credentials, one->mechanism, one->oid})
        within(part, whole);
    if (const auto normal = normal_dn(one->dn)) hold(normal_dn(*normal) == normal);
    tie_of(*message, *one);
    Handling how;
    class_of(*one, how);
    if (message->op == Op::bind || message->op == Op::unbind || message->op == Op::abandon) return;
    // With whose it is, it is the same request with one control more.
    const Bytes proxied = with_id(message->id, proxied_tail(*message, "uid=a,dc=x"));
    bounds.controls = 5;
    const Read spoken = read_message(proxied, bounds);
    hold(std::holds_alternative<Message>(spoken));
    const Message& for_it = std::get<Message>(spoken);
    hold(for_it.whole_op == message->whole_op && for_it.controls.size() == message->controls.size() + 1 &&
         for_it.controls.back().oid == oid::proxied && for_it.controls.back().value == "dn:uid=a,dc=x");
}

std::string text(const Bytes& bytes) { return {bytes.data(), bytes.size()}; }

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size == 0) return 0;
    check({reinterpret_cast<const char*>(data) + 1, size - 1}, data[0] & 1);
    return 0;
}

std::vector<std::string> fuzz_seeds() {
    BerWriter search, modify, rename, extensible, paged, entry;
    search.begin(0x63)
        .octets("ou=people,dc=example,dc=org")
        .number(2, 0x0a)
        .number(0, 0x0a)
        .number(0)
        .number(5)
        .boolean(false);
    search.begin(0xa0).begin(0xa3).octets("cn").octets("x").end().begin(0xa4).octets("sn").begin(0x30).octets(
        "a", 0x80);
    search.octets("b", 0x81).octets("c", 0x82).end().end().begin(0xa2).octets("uid", 0x87).end().end();
    search.begin(0x30).octets("cn").octets("sn").end().end();
    extensible.begin(0x63).octets("").number(0, 0x0a).number(3, 0x0a).number(1).number(0).boolean(true).begin(
        0xa9);
    extensible.octets("1.2.3", 0x81)
        .octets("cn", 0x82)
        .octets("x", 0x83)
        .octets(std::string_view("\xff", 1), 0x84)
        .end();
    extensible.begin(0x30).end().end();
    modify.begin(0x66).octets("cn=a").begin(0x30).begin(0x30).number(2, 0x0a).begin(0x30).octets("d").begin(
        0x31);
    modify.octets("v").end().end().end().end().end();
    rename.begin(0x6c).octets("cn=a,dc=x").octets("cn=b").boolean(true).octets("dc=y", 0x80).end();
    BerWriter value;
    value.begin(0x30).number(10).octets("cookie").end();
    paged.raw(search.take())
        .begin(0xa0)
        .begin(0x30)
        .octets(oid::paged)
        .boolean(true)
        .octets(value.take())
        .end()
        .end();
    entry.begin(0x64)
        .octets("cn=a")
        .begin(0x30)
        .begin(0x30)
        .octets("cn")
        .begin(0x31)
        .octets("a")
        .end()
        .end()
        .end()
        .end();
    std::vector<std::string> seeds;
    const auto add = [&](char whose, const Bytes& whole) { seeds.push_back(whose + text(whole)); };
    add(1, with_id(1, paged.take()));
    add(1, with_id(300, extensible.take()));
    add(1, with_id(2, modify.take()));
    add(1, with_id(3, rename.take()));
    add(1, with_id(4, bind_tail("uid=a,dc=x", "secret")));
    add(1, with_id(5, extended_tail(oid::cancel)));
    add(1, with_id(6, abandon_tail(3)));
    add(0, with_id(7, entry.take()));
    add(0, with_id(8, result_tail(Op::search_done, busy, "later")));
    add(0, notice(unavailable, "down"));
    return seeds;
}
