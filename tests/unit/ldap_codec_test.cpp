// The codec: framing, ids, names, classes, what binds an operation to a server, and what results mean.
#include <gtest/gtest.h>

#include "ldap_codec/dn.hpp"
#include "ldap_codec/message.hpp"
#include "ldap_codec/routes.hpp"

namespace whinledge::ldap {
namespace {

Bytes search(MessageId id, std::string_view dn, std::string_view controls = {}, int time = 0) {
    BerWriter to;
    to.begin(0x63).octets(dn).number(2, 0x0a).number(0, 0x0a).number(0).number(time).boolean(false);
    to.octets("objectClass", 0x87).begin(0x30).end().end();
    if (!controls.empty()) to.begin(0xa0).raw(controls).end();
    return with_id(id, to.take());
}
Bytes control(std::string_view oid, std::string_view value, bool critical = true) {
    BerWriter to;
    to.begin(0x30).octets(oid);
    if (critical) to.boolean(true);
    return to.octets(value).end().take();
}
Message read(const Bytes& bytes) {
    const Read read = read_message(bytes, {});
    if (const auto* const fault = std::get_if<const char*>(&read)) ADD_FAILURE() << *fault;
    return std::get<Message>(read);
}
Request request_of(const Message& message) {
    const ReadRequest read = read_request(message, {});
    if (const auto* const fault = std::get_if<const char*>(&read)) ADD_FAILURE() << *fault;
    return std::get<Request>(read);
}

// ---- Messages

TEST(LdapFrame, FindsTheEndWhereverItIsCut) {
    for (const std::size_t size : {0UL, 10UL, 100UL, 300UL, 70000UL}) {
        const Bytes whole = search(1, std::string(size, 'a'));
        for (std::size_t cut = 0; cut < std::min<std::size_t>(whole.size(), 400); ++cut) {
            const Framed framed = frame(std::string_view(whole).substr(0, cut), 1 << 20);
            ASSERT_EQ(framed.found, Framed::Found::more) << cut;
            EXPECT_GT(framed.size, cut) << "more is needed than there is";
        }
        const Framed framed = frame(whole + search(2, "dc=x"), 1 << 20);
        EXPECT_EQ(framed.found, Framed::Found::whole);
        EXPECT_EQ(framed.size, whole.size());
        EXPECT_EQ(frame(whole, whole.size()).found, Framed::Found::whole);
        EXPECT_EQ(frame(whole, whole.size() - 1).found, Framed::Found::fault) << "beyond the limit";
    }
}

TEST(LdapFrame, TakesLengthsThatAreLongerThanTheyNeedBe) {
    const Bytes whole = search(1, "dc=x");
    ASSERT_LT(whole.size(), 128u);
    const auto size = static_cast<char>(whole.size() - 2);
    for (const std::string& length : {std::string("\x81") + size, std::string("\x84\0\0\0", 4) + size}) {
        const std::string padded = "\x30" + length + std::string(whole.substr(2));
        const Framed framed = frame(padded, 1000);
        ASSERT_EQ(framed.found, Framed::Found::whole);
        EXPECT_EQ(framed.size, padded.size());
        EXPECT_EQ(read(bytes(padded)).id, 1);
    }
}

TEST(LdapMessage, AnIdIsReplacedAndAllElseStays) {
    const Bytes controls = control("1.2.3.4", "value") + control("1.2.3.5", "", false);
    for (const MessageId id : {1, 127, 128, 255, 256, 32767, 32768, 8388607, 8388608, 2147483647}) {
        const Bytes whole = search(id, "ou=people,dc=example", controls);
        const Message message = read(whole);
        EXPECT_EQ(message.id, id);
        const Bytes other = with_id(77, message.tail);
        const Message again = read(other);
        EXPECT_EQ(again.id, 77);
        EXPECT_EQ(again.tail, message.tail);
        EXPECT_EQ(with_id(id, again.tail), whole) << "byte for byte";
        ASSERT_EQ(again.controls.size(), 2u);
        EXPECT_EQ(again.controls[0].oid, "1.2.3.4");
        EXPECT_TRUE(again.controls[0].critical);
        EXPECT_EQ(again.controls[0].value, "value");
        EXPECT_FALSE(again.controls[1].critical);
    }
}

TEST(LdapMessage, EachResponseIsTheOneOfItsRequest) {
    for (const auto& [request, response] :
         {std::pair(Op::bind, Op::bind_response), std::pair(Op::search, Op::search_done),
          std::pair(Op::modify, Op::modify_response), std::pair(Op::add, Op::add_response),
          std::pair(Op::remove, Op::remove_response), std::pair(Op::rename, Op::rename_response),
          std::pair(Op::compare, Op::compare_response), std::pair(Op::extended, Op::extended_response)}) {
        EXPECT_EQ(response_of(request), response);
        const Bytes whole =
            with_id(3, result_tail(response, busy, "later", response == Op::extended_response ? "1.2" : ""));
        const Message message = read(whole);
        const auto result = std::get<Response>(read_response(message, {}));
        EXPECT_EQ(result.code, busy);
        EXPECT_TRUE(result.final);
    }
    EXPECT_EQ(response_of(Op::abandon), std::nullopt);
    EXPECT_EQ(response_of(Op::unbind), std::nullopt);
}

TEST(LdapMessage, TheProxiedControlStandsBehindAllOthers) {
    const Bytes alone = search(5, "dc=x");
    const Message plain = read(alone);
    const Bytes proxied = with_id(5, proxied_tail(plain, "uid=anna,dc=x"));
    const Message message = read(proxied);
    ASSERT_EQ(message.controls.size(), 1u);
    EXPECT_EQ(message.controls[0].oid, oid::proxied);
    EXPECT_TRUE(message.controls[0].critical) << "a server that does not know it must do nothing";
    EXPECT_EQ(message.controls[0].value, "dn:uid=anna,dc=x");
    EXPECT_EQ(message.whole_op, plain.whole_op);
    const Bytes with_others = search(6, "dc=x", control(oid::paged, "x"));
    const Bytes both = with_id(6, proxied_tail(read(with_others), ""));
    ASSERT_EQ(read(both).controls.size(), 2u);
    EXPECT_EQ(read(both).controls[1].value, "") << "anonymous";
}

TEST(LdapMessage, BoundsCountEverythingThatIsNested) {
    Bounds bounds;
    bounds.depth = 3;
    const auto with_filter = [](int depth) {
        BerWriter to;
        to.begin(0x63).octets("").number(2, 0x0a).number(0, 0x0a).number(0).number(0).boolean(false);
        for (int i = 1; i < depth; ++i) to.begin(0xa0);
        to.octets("a", 0x87);
        for (int i = 1; i < depth; ++i) to.end();
        to.begin(0x30).end().end();
        return with_id(1, to.take());
    };
    const Bytes fits = with_filter(3), deep = with_filter(4);
    EXPECT_TRUE(std::holds_alternative<Request>(read_request(read(fits), bounds)));
    EXPECT_TRUE(std::holds_alternative<const char*>(read_request(read(deep), bounds)));
    bounds = {};
    bounds.elements = 4;
    const auto with_attributes = [](int count) {
        BerWriter to;
        to.begin(0x63).octets("").number(2, 0x0a).number(0, 0x0a).number(0).number(0).boolean(false).octets(
            "a", 0x87);
        to.begin(0x30);
        for (int i = 0; i < count; ++i) to.octets("cn");
        to.end().end();
        return with_id(1, to.take());
    };
    const Bytes few = with_attributes(3), many = with_attributes(4);
    EXPECT_TRUE(std::holds_alternative<Request>(read_request(read(few), bounds)));
    EXPECT_TRUE(std::holds_alternative<const char*>(read_request(read(many), bounds)));
}

TEST(LdapMessage, AServersNoticeIsUnderstood) {
    const Bytes whole = notice(unavailable, "going down");
    const Message message = read(whole);
    EXPECT_EQ(message.id, 0);
    EXPECT_EQ(std::get<Response>(read_response(message, {})).oid, oid::notice_of_disconnection);
}

TEST(LdapNames, OfCodesAndOperationsAreTheStandards) {
    for (const std::int32_t code : {1, 2, 3, 10, 32, 48, 49, 50, 51, 52, 53, 68, 80, 118, 123}) {
        EXPECT_EQ(code_named(name_of_code(code)), code);
    }
    EXPECT_EQ(code_named("nonsense"), std::nullopt);
    EXPECT_EQ(name_of_code(4242), "4242");
}

// ---- Names

TEST(LdapDn, TwoSpellingsOfOneNameAreOne) {
    const std::pair<const char*, const char*> same[] = {
        {"DC=Example,DC=Org", "dc=example,dc=org"},
        {"dc=example , dc = org", "dc=example,dc=org"},
        {"  dc=example,  dc=org", "dc=example,dc=org"},
        {"cn=a\\,b,dc=x", "cn=a\\2cb,dc=x"},
        {"cn=a\\2Cb,dc=x", "cn=a\\2cb,dc=x"},
        {"cn=\\41bc,dc=x", "cn=abc,dc=x"},
        {"cn=a\\ ,dc=x", "cn=a\\20,dc=x"},
        {"cn=a  ,dc=x", "cn=a,dc=x"},
        {"cn=a+uid=b,dc=x", "cn=a+uid=b,dc=x"},
        {"cn=a=b,dc=x", "cn=a\\3db,dc=x"},
        {"1.2.840=x", "1.2.840=x"},
        {"cn=,dc=x", "cn=,dc=x"},
        {"", ""},
        {"   ", ""},
    };
    for (const auto& [text, normal] : same) EXPECT_EQ(normal_dn(text), normal) << text;
    for (const char* const none : {"x", "=x", "dc", "dc=a,", "dc=a,,dc=b", "dc=a,b", "d c=x", "cn=a\\",
                                   "cn=a\\x", "cn=\"a\"", "cn=a;dc=b", "cn=<a", ",dc=x", "cn=a+,dc=x"})
        EXPECT_EQ(normal_dn(none), std::nullopt) << none;
    EXPECT_EQ(normal_dn(std::string(5000, 'a')), std::nullopt);
    // What is normal stays as it is.
    for (const auto& [text, normal] : same) EXPECT_EQ(normal_dn(normal), normal) << normal;
}

TEST(LdapDn, UnderIsByWholeParts) {
    EXPECT_TRUE(is_under("uid=a,ou=people,dc=x", "ou=people,dc=x"));
    EXPECT_TRUE(is_under("ou=people,dc=x", "ou=people,dc=x"));
    EXPECT_TRUE(is_under("dc=x", ""));
    EXPECT_FALSE(is_under("ou=xpeople,dc=x", "people,dc=x"));
    EXPECT_FALSE(is_under("dc=x", "ou=people,dc=x"));
    EXPECT_FALSE(is_under("cn=a\\2cou=people,dc=x", "ou=people,dc=x")) << "a comma that is a value's";
}

// ---- Routes

Route route(const std::string& name, std::vector<std::string> suffixes = {}, std::vector<Op> operations = {},
            std::vector<std::string> identities = {}) {
    Route r;
    r.name = name;
    r.pool = name;
    r.suffixes = std::move(suffixes);
    r.operations = std::move(operations);
    r.identities = std::move(identities);
    return r;
}
std::string found(const Routes& routes, Op op, const std::string& dn, const std::string& identity = "",
                  std::size_t listener = 0) {
    const Route* const r = routes.find({listener, op, dn, identity});
    return r ? r->name : "-";
}

TEST(LdapRoutes, TheLongestSuffixThenTheNarrowestRouteIsTaken) {
    const std::vector<std::string> listeners{"a", "b"};
    std::vector<Route> all{route("any"),
                           route("x", {"dc=x"}),
                           route("people", {"OU=People,DC=X"}),
                           route("changes", {"ou=people,dc=x"}, {Op::modify, Op::add}),
                           route("by anna", {"ou=people,dc=x"}, {}, {"uid=anna,dc=x"}),
                           route("nobody", {"dc=x"}, {Op::search}, {"anonymous"}),
                           route("second", {"dc=x"})};
    all.push_back(route("of b", {"dc=b"}));
    all.back().listeners = {"b"};
    const auto compiled = Routes::compile(all, listeners);
    ASSERT_TRUE(compiled.faults.empty());
    const Routes& r = compiled.routes;
    EXPECT_EQ(found(r, Op::search, "uid=1,ou=people,dc=x"), "people");
    EXPECT_EQ(found(r, Op::modify, "uid=1,ou=people,dc=x"), "changes");
    EXPECT_EQ(found(r, Op::modify, "uid=1,ou=people,dc=x", "uid=anna,dc=x"), "changes")
        << "operations come first";
    EXPECT_EQ(found(r, Op::search, "uid=1,ou=people,dc=x", "uid=anna,dc=x"), "by anna");
    EXPECT_EQ(found(r, Op::search, "uid=1,ou=people,dc=x", "uid=berta,dc=x"), "people");
    EXPECT_EQ(found(r, Op::search, "dc=x"), "nobody");
    EXPECT_EQ(found(r, Op::search, "dc=x", "uid=anna,dc=x"), "x") << "of equals the first";
    EXPECT_EQ(found(r, Op::search, "dc=y"), "any");
    EXPECT_EQ(found(r, Op::search, ""), "any");
    EXPECT_EQ(found(r, Op::search, "dc=b", "", 1), "of b");
    EXPECT_EQ(found(r, Op::search, "dc=b", "", 0), "any");
}

TEST(LdapRoutes, WithoutARouteThereIsNone) {
    const auto compiled = Routes::compile({route("x", {"dc=x"}, {Op::search})}, {});
    EXPECT_EQ(found(compiled.routes, Op::search, "dc=y"), "-");
    EXPECT_EQ(found(compiled.routes, Op::modify, "dc=x"), "-");
}

TEST(LdapRoutes, FaultsNameTheirRoute) {
    auto wrong = route("wrong", {"nonsense"}, {}, {"also nonsense"});
    wrong.listeners = {"none"};
    const auto compiled = Routes::compile({wrong}, {});
    EXPECT_EQ(compiled.faults.size(), 3u);
    for (const Fault& fault : compiled.faults) EXPECT_EQ(fault.route, "wrong");
}

// ---- Classes, ties, meanings

TEST(LdapClasses, ReadsAreSafeAndAllElseIsNotUnlessTheRouteSaysSo) {
    Handling how;
    Request request;
    for (const Op op : {Op::search, Op::compare, Op::bind}) {
        request.op = op;
        EXPECT_EQ(class_of(request, how), "safe");
    }
    for (const Op op : {Op::modify, Op::add, Op::remove, Op::rename, Op::extended}) {
        request.op = op;
        EXPECT_EQ(class_of(request, how), "unsafe");
    }
    how.extended = {{std::string(oid::who_am_i), "quick"}};
    request.op = Op::extended;
    request.oid = oid::who_am_i;
    EXPECT_EQ(class_of(request, how), "quick");
    request.oid = "1.2.3";
    EXPECT_EQ(class_of(request, how), "unsafe") << "an unknown one";
    how.classes = {{Op::extended, "other"}, {Op::bind, "careful"}};
    EXPECT_EQ(class_of(request, how), "other");
    request.op = Op::bind;
    EXPECT_EQ(class_of(request, how), "careful");
}

TEST(LdapMeanings, BusyProvesThatNothingRanAsTheFirstResponseAlone) {
    Handling how;
    EXPECT_EQ(meaning_of(busy, true, how), Meaning::never_ran);
    EXPECT_EQ(meaning_of(busy, false, how), Meaning::error);
    EXPECT_EQ(meaning_of(unavailable, true, how), Meaning::error);
    for (const std::int32_t answer :
         {std::int32_t{success}, std::int32_t{no_such_object}, std::int32_t{invalid_credentials},
          std::int32_t{compare_false}, std::int32_t{unwilling_to_perform}})
        EXPECT_EQ(meaning_of(answer, true, how), Meaning::answer);
    how.never_ran = {unwilling_to_perform};
    EXPECT_EQ(meaning_of(unwilling_to_perform, true, how), Meaning::never_ran);
}

TEST(LdapTies, WhatHasToGoOnWhereItBegan) {
    const auto tie = [](const Bytes& whole) {
        const Message message = read(whole);
        return tie_of(message, request_of(message));
    };
    const auto paged = [](std::string_view cookie) {
        BerWriter value;
        return control(oid::paged, value.begin(0x30).number(10).octets(cookie).end().take());
    };
    const auto sync = [](int mode) {
        BerWriter value;
        return control(oid::sync, value.begin(0x30).number(mode, 0x0a).end().take());
    };
    EXPECT_EQ(tie(search(1, "dc=x")), Tie::none);
    EXPECT_EQ(tie(search(1, "dc=x", paged(""))), Tie::begins);
    EXPECT_EQ(tie(search(1, "dc=x", paged("cookie"))), Tie::continues);
    EXPECT_EQ(tie(search(1, "dc=x", control(oid::paged, "nonsense"))), Tie::continues) << "with care";
    EXPECT_EQ(tie(search(1, "dc=x", control(oid::persistent, "x"))), Tie::alone);
    EXPECT_EQ(tie(search(1, "dc=x", sync(1))), Tie::none) << "refreshOnly ends by itself";
    EXPECT_EQ(tie(search(1, "dc=x", sync(3))), Tie::alone);
    EXPECT_EQ(tie(search(1, "dc=x", control(oid::sync, "nonsense"))), Tie::alone);
    EXPECT_EQ(tie(search(1, "dc=x", control(oid::in_transaction, "t"))), Tie::continues);
    EXPECT_EQ(tie(with_id(1, extended_tail(oid::start_transaction))), Tie::begins);
    EXPECT_EQ(tie(with_id(1, extended_tail(oid::end_transaction))), Tie::continues);
    EXPECT_EQ(tie(with_id(1, extended_tail(oid::who_am_i))), Tie::none);
}

}  // namespace
}  // namespace whinledge::ldap
