#include "ldap_codec/ber.hpp"

#include <lber.h>

#include <memory>
#include <new>

namespace whinledge::ldap {

namespace {

berval value_of(std::string_view text) { return {text.size(), const_cast<char*>(text.data())}; }
BerElement* element(void* ber) { return static_cast<BerElement*>(ber); }
// liblber's elements can't be had without its allocating them: one for each thread, as a mere cursor.
BerElement* cursor() {
    struct Free {
        void operator()(BerElement* ber) const { ber_free(ber, 0); }
    };
    thread_local const std::unique_ptr<BerElement, Free> one(ber_alloc_t(LBER_USE_DER));
    return one.get();
}
void check(int written) {
    if (written < 0) throw std::bad_alloc();
}

}  // namespace

std::optional<Element> BerReader::next() {
    if (rest_.size() < 2) return std::nullopt;
    // Tags beyond one byte are none of LDAP's; liblber would take them.
    if ((rest_.front() & 0x1f) == 0x1f) return std::nullopt;
    BerElement* const ber = cursor();
    berval whole = value_of(rest_), body{};
    ber_init2(ber, &whole, LBER_USE_DER);
    const ber_tag_t tag = ber_peek_element(ber, &body);
    if (tag == LBER_DEFAULT) return std::nullopt;
    const auto head = static_cast<std::size_t>(body.bv_val - rest_.data());
    Element found{static_cast<std::uint8_t>(tag), rest_.substr(head, body.bv_len),
                  rest_.substr(0, head + body.bv_len)};
    rest_.remove_prefix(found.whole.size());
    return found;
}

std::optional<Element> BerReader::next(std::uint8_t tag) {
    if (peek() != tag) return std::nullopt;
    return next();
}

std::optional<std::int32_t> read_number(std::string_view body) {
    if (body.empty() || body.size() > 4) return std::nullopt;
    const berval value = value_of(body);
    ber_int_t number = 0;
    if (ber_decode_int(&value, &number) < 0 || number < 0) return std::nullopt;
    return number;
}

std::optional<std::int32_t> BerReader::number(std::uint8_t tag) {
    const auto found = next(tag);
    return found ? read_number(found->body) : std::nullopt;
}

std::optional<std::string_view> BerReader::octets(std::uint8_t tag) {
    const auto found = next(tag);
    if (!found) return std::nullopt;
    return found->body;
}

std::optional<bool> BerReader::boolean() {
    const auto found = next(0x01);
    if (!found || found->body.size() != 1) return std::nullopt;
    return found->body.front() != 0;
}

BerWriter::BerWriter() : ber_(ber_alloc_t(LBER_USE_DER)) {
    if (!ber_) throw std::bad_alloc();
}
// It may hold a password.
BerWriter::~BerWriter() {
    berval all{};
    if (ber_flatten2(element(ber_), &all, 0) == 0 && all.bv_val) ::explicit_bzero(all.bv_val, all.bv_len);
    ber_free(element(ber_), 1);
}

BerWriter& BerWriter::begin(std::uint8_t tag) {
    check(ber_start_seq(element(ber_), tag));
    return *this;
}
BerWriter& BerWriter::end() {
    check(ber_put_seq(element(ber_)));
    return *this;
}
BerWriter& BerWriter::number(std::int32_t value, std::uint8_t tag) {
    // The same octets; only the tag differs.
    check(ber_put_enum(element(ber_), value, tag));
    return *this;
}
BerWriter& BerWriter::octets(std::string_view value, std::uint8_t tag) {
    check(ber_put_ostring(element(ber_), value.data() ? value.data() : "", value.size(), tag));
    return *this;
}
BerWriter& BerWriter::boolean(bool value) {
    check(ber_put_boolean(element(ber_), value, 0x01));
    return *this;
}
BerWriter& BerWriter::raw(std::string_view elements) {
    if (!elements.empty())
        check(static_cast<int>(ber_write(element(ber_), elements.data(), elements.size(), 0)));
    return *this;
}

Bytes BerWriter::take() {
    berval all{};
    check(ber_flatten2(element(ber_), &all, 0));
    return bytes({all.bv_val, all.bv_len});
}

}  // namespace whinledge::ldap
