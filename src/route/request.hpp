// A request as routes see it.
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace whinledge::route {

// Access to a request's header fields, whatever holds them.
class Headers {
public:
    virtual ~Headers() = default;
    // The value of the nth line of that name, counted from 0; names are compared without case. None: no more.
    virtual std::optional<std::string_view> value(std::string_view name, std::size_t nth) const = 0;
};

class HeaderList : public Headers {
public:
    using Field = std::pair<std::string_view, std::string_view>;
    explicit HeaderList(std::span<const Field> fields) : fields_(fields) {}
    std::optional<std::string_view> value(std::string_view name, std::size_t nth) const override;

private:
    std::span<const Field> fields_;
};

struct RequestView {
    std::size_t listener = 0;  // by its place among the names given to compile
    std::string_view host;     // Host, or the target's authority (RFC 9112 3.2.2), as it came
    std::string_view method;
    // Of the target, up to '?', as it came; empty counts as "/" (RFC 9110 4.2.3). "*" is no route's.
    std::string_view path;
    std::string_view query;  // of the target, behind '?'
    const Headers* headers = nullptr;
    std::string_view request_class;
};

// The first parameter of that name as it came, not decoded; `name` is compared with the decoded one. "a" is a
// parameter with an empty value.
std::optional<std::string_view> query_value(std::string_view query, std::string_view name);
// The first cookie of that name (RFC 6265 4.2.1), over all Cookie lines.
std::optional<std::string_view> cookie(const Headers& headers, std::string_view name);

// Parameters are decoded as forms write them: triplets, and '+' for a space. A broken triplet stays as it is.
bool equals_decoded(std::string_view raw, std::string_view text);
void decode(std::string_view raw, std::string& out);

}  // namespace whinledge::route
