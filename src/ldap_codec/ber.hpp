// BER elements, one after the other, in place (ITU-T X.690 as RFC 4511, 5.1 restricts it). Decoding and
// encoding are OpenLDAP's liblber; what is added here is what it is lenient about.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "ldap_codec/bytes.hpp"

namespace whinledge::ldap {

struct Element {
    std::uint8_t tag = 0;
    std::string_view body;   // contents
    std::string_view whole;  // with tag and length
};

// `bytes` stay where they are, with a readable byte behind them. Throws nothing and allocates nothing.
class BerReader {
public:
    explicit BerReader(std::string_view bytes) : rest_(bytes) {}
    bool empty() const { return rest_.empty(); }
    std::string_view rest() const { return rest_; }
    // The next element; none: there is none, or its tag or length is not as it has to be: tags of one byte,
    // definite lengths within what is there.
    std::optional<Element> next();
    // The next one if it has that tag.
    std::optional<Element> next(std::uint8_t tag);
    // Its tag; 0: there is none.
    std::uint8_t peek() const { return rest_.empty() ? 0 : static_cast<std::uint8_t>(rest_.front()); }

    // INTEGER or ENUMERATED from 0 to 2^31 - 1 (maxInt), in at most four bytes.
    std::optional<std::int32_t> number(std::uint8_t tag);
    std::optional<std::string_view> octets(std::uint8_t tag = 0x04);
    std::optional<bool> boolean();

private:
    std::string_view rest_;
};

std::optional<std::int32_t> read_number(std::string_view body);

// What is written is framed by liblber; throws std::bad_alloc.
class BerWriter {
public:
    BerWriter();
    ~BerWriter();
    BerWriter(const BerWriter&) = delete;
    BerWriter& operator=(const BerWriter&) = delete;

    BerWriter& begin(std::uint8_t tag);  // constructed; end() closes it
    BerWriter& end();
    BerWriter& number(std::int32_t value, std::uint8_t tag = 0x02);
    BerWriter& octets(std::string_view value, std::uint8_t tag = 0x04);
    BerWriter& boolean(bool value);
    // Elements that are encoded already.
    BerWriter& raw(std::string_view elements);
    // All that was written; everything begun has ended.
    Bytes take();

private:
    void* ber_;
};

}  // namespace whinledge::ldap
