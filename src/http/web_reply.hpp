// Answers of the http profile's own, and what of a server's answer may be passed on.
#pragma once

#include <boost/beast/core/string_type.hpp>
#include <boost/beast/http.hpp>
#include <string>
#include <string_view>

#include "engine/types.hpp"
#include "http/message.hpp"
#include "http/stream.hpp"
#include "route/rewrite.hpp"

namespace whinledge::web {

using Reply = boost::beast::http::response<boost::beast::http::string_body>;

inline std::string text(boost::beast::string_view view) { return {view.data(), view.size()}; }
inline std::string_view view(boost::beast::string_view text) { return {text.data(), text.size()}; }

// Header edits of a route, made on Beast's fields.
class FieldSink final : public route::HeaderSink {
public:
    explicit FieldSink(boost::beast::http::fields& fields) : fields_(fields) {}
    void set(std::string_view name, std::string_view value) override {
        fields_.set(beast(name), beast(value));
    }
    void add(std::string_view name, std::string_view value) override {
        fields_.insert(beast(name), beast(value));
    }
    void remove(std::string_view name) override { fields_.erase(beast(name)); }

private:
    static boost::beast::string_view beast(std::string_view v) { return {v.data(), v.size()}; }
    boost::beast::http::fields& fields_;
};

// The trailer fields that may be passed on: none that frames, routes, or says who somebody is (RFC
// 9110, 6.5.1).
Trailers passed_on(Trailers trailers);

// An answer in plain text; without `why` its text is the status's usual reason.
Reply plain(unsigned status, std::string_view why = {});

// Whole seconds, as RFC 9110, 10.2.3 has them; `retry_in` in ms.
void set_retry_after(Reply& reply, Millis retry_in);

}  // namespace whinledge::web
