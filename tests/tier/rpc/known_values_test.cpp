// Numbers of enumerations that this version does not know are refused where messages are decoded, and every
// structure of idl/*.thrift that holds an enumeration has its check.
#include "rpc/known_values.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <limits>
#include <map>
#include <regex>
#include <set>
#include <string>

#include "rpc/codec.hpp"

namespace whinledge::rpc {
namespace {

constexpr std::int32_t kUnknown = 7;

template <class Message>
void expect_refused(const Message& message) {
    const Result<Message> read = decode_body<Message>(encode_body(message));
    ASSERT_FALSE(read);
    EXPECT_EQ(read.error().failure, Failure::unreadable);
}

TEST(KnownValues, NumbersOfEachEnumeration) {
    EXPECT_EQ(known_value<wire::EntryState::type>(1), wire::EntryState::settled);
    EXPECT_EQ(known_value<wire::StorageStatus::type>(wire::StorageStatus::conflict),
              wire::StorageStatus::conflict);
    for (const std::int32_t number : {-1, 3, kUnknown, std::numeric_limits<std::int32_t>::min()})
        EXPECT_FALSE(known_value<wire::EntryState::type>(number)) << number;
    EXPECT_FALSE(known_value<wire::NodeRole::type>(3));
    EXPECT_EQ(known_value<wire::AcceptorStatus::type>(5), wire::AcceptorStatus::not_stored);
    EXPECT_FALSE(known_value<wire::AcceptorStatus::type>(6));
}

TEST(KnownValues, MessagesWithUnknownNumbersAreRefusedHoweverDeepTheyStand) {
    wire::LedgerEntry entry;
    entry.state = kUnknown;
    expect_refused(entry);
    wire::StoreRequest store;
    store.ledgers.resize(2);
    store.ledgers.back().entries = {entry};
    expect_refused(store);
    wire::EndTurnReply ended;
    ended.status = kUnknown;
    expect_refused(ended);

    wire::AcceptorReply accepted;
    accepted.__set_entry({});
    accepted.entry.state.storage.members.resize(1);
    EXPECT_TRUE(decode_body<wire::AcceptorReply>(encode_body(accepted)));
    accepted.entry.state.storage.members.front().state = kUnknown;
    expect_refused(accepted);

    wire::HelloReply hello;
    hello.controls.resize(3);
    hello.controls.back().role = -1;
    expect_refused(hello);
}

// A field of an enumeration, as Thrift would generate it, is refused by this test too: see
// idl/control.thrift.
class Idl {
public:
    Idl() {
        for (const char* name : {"control", "overlay", "register", "rollout", "storage"}) read(name);
    }

    // Structures that hold an enumeration, themselves or within.
    std::set<std::string> checked() const {
        std::set<std::string> found;
        for (bool more = true; more;) {
            more = false;
            for (const auto& [name, body] : structures_)
                if (!found.count(name) && holds(body, found)) more = found.insert(name).second;
        }
        return found;
    }
    std::set<std::string> typed_fields() const {
        std::set<std::string> found;
        for (const auto& [name, body] : structures_)
            for (const std::string& enumeration : enumerations_)
                if (std::regex_search(body, std::regex("\\d+: (optional )?(\\w+\\.)?" + enumeration + " ")))
                    found.insert(name);
        return found;
    }

private:
    void read(const std::string& name) {
        std::ifstream file(std::string(WHINLEDGE_IDL) + "/" + name + ".thrift");
        const std::string text((std::istreambuf_iterator<char>(file)), {});
        ASSERT_FALSE(text.empty()) << name;
        const std::regex item("(enum|struct) (\\w+) \\{([^}]*)\\}");
        for (std::sregex_iterator at(text.begin(), text.end(), item), end; at != end; ++at) {
            if ((*at)[1] == "enum")
                enumerations_.insert((*at)[2]);
            else
                structures_[(*at)[2]] = (*at)[3];
        }
    }
    // An enumeration's field is an i32 whose comment begins with its name; a structure's has it for its type.
    bool holds(const std::string& body, const std::set<std::string>& found) const {
        for (const std::string& enumeration : enumerations_)
            if (std::regex_search(body, std::regex("i32 [^\\n]*// " + enumeration + "\\b"))) return true;
        for (const std::string& structure : found)
            if (std::regex_search(body,
                                  std::regex("\\d+: (optional )?(list<)?(\\w+\\.)?" + structure + ">? ")))
                return true;
        return false;
    }

    std::set<std::string> enumerations_;
    std::map<std::string, std::string> structures_;
};

TEST(KnownValues, EveryStructureWithAnEnumerationHasItsCheck) {
    std::ifstream header(WHINLEDGE_KNOWN_VALUES);
    const std::string text((std::istreambuf_iterator<char>(header)), {});
    std::set<std::string> overloads;
    const std::regex overload("bool has_known_values\\(const wire::(\\w+)&");
    for (std::sregex_iterator at(text.begin(), text.end(), overload), end; at != end; ++at)
        overloads.insert((*at)[1]);
    const Idl idl;
    EXPECT_EQ(overloads, idl.checked());
    EXPECT_GT(overloads.size(), 20U);
    EXPECT_EQ(idl.typed_fields(), std::set<std::string>());
}

}  // namespace
}  // namespace whinledge::rpc
