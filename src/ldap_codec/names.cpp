// Names of operations and of result codes.
#include <algorithm>
#include <array>
#include <utility>

#include "ldap_codec/message.hpp"

namespace whinledge::ldap {

namespace {

struct OpName {
    Op op;
    const char* name;
    std::optional<Op> response;
};
constexpr std::array<OpName, 10> kRequests{{
    {Op::bind, "bind", Op::bind_response},
    {Op::unbind, "unbind", std::nullopt},
    {Op::search, "search", Op::search_done},
    {Op::modify, "modify", Op::modify_response},
    {Op::add, "add", Op::add_response},
    {Op::remove, "delete", Op::remove_response},
    {Op::rename, "modifyDN", Op::rename_response},
    {Op::compare, "compare", Op::compare_response},
    {Op::abandon, "abandon", std::nullopt},
    {Op::extended, "extended", Op::extended_response},
}};
const OpName* request_named(Op op) {
    const auto at =
        std::find_if(kRequests.begin(), kRequests.end(), [&](const OpName& n) { return n.op == op; });
    return at == kRequests.end() ? nullptr : &*at;
}
constexpr std::array<std::pair<std::int32_t, const char*>, 28> kCodes{{
    {success, "success"},
    {operations_error, "operationsError"},
    {protocol_error, "protocolError"},
    {time_limit_exceeded, "timeLimitExceeded"},
    {4, "sizeLimitExceeded"},
    {compare_false, "compareFalse"},
    {compare_true, "compareTrue"},
    {auth_method_not_supported, "authMethodNotSupported"},
    {stronger_auth_required, "strongerAuthRequired"},
    {10, "referral"},
    {admin_limit_exceeded, "adminLimitExceeded"},
    {unavailable_critical_extension, "unavailableCriticalExtension"},
    {confidentiality_required, "confidentialityRequired"},
    {sasl_bind_in_progress, "saslBindInProgress"},
    {no_such_object, "noSuchObject"},
    {48, "inappropriateAuthentication"},
    {invalid_credentials, "invalidCredentials"},
    {50, "insufficientAccessRights"},
    {busy, "busy"},
    {unavailable, "unavailable"},
    {unwilling_to_perform, "unwillingToPerform"},
    {68, "entryAlreadyExists"},
    {other, "other"},
    {canceled, "canceled"},
    {no_such_operation, "noSuchOperation"},
    {too_late, "tooLate"},
    {cannot_cancel, "cannotCancel"},
    {authorization_denied, "authorizationDenied"},
}};

}  // namespace

bool is_request(Op op) { return request_named(op) != nullptr; }
std::optional<Op> response_of(Op request) {
    const OpName* const name = request_named(request);
    return name ? name->response : std::nullopt;
}
const char* name_of(Op op) {
    const OpName* const name = request_named(op);
    return name ? name->name : "response";
}

std::optional<std::int32_t> code_named(std::string_view name) {
    for (const auto& [code, known] : kCodes)
        if (name == known) return code;
    return std::nullopt;
}
std::string name_of_code(std::int32_t code) {
    for (const auto& [known, name] : kCodes)
        if (code == known) return name;
    return std::to_string(code);
}

}  // namespace whinledge::ldap
