#include "http/web_reply.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace whinledge::web {

namespace http = boost::beast::http;

Trailers passed_on(Trailers trailers) {
    static constexpr std::array<std::string_view, 14> never{"transfer-encoding",
                                                            "content-length",
                                                            "host",
                                                            "connection",
                                                            "trailer",
                                                            "te",
                                                            "upgrade",
                                                            "keep-alive",
                                                            "authorization",
                                                            "cookie",
                                                            "set-cookie",
                                                            "content-type",
                                                            "expect",
                                                            "x-request-id"};
    std::erase_if(trailers, [](const auto& field) {
        const boost::beast::string_view name(field.first.data(), field.first.size());
        return std::any_of(never.begin(), never.end(), [&](std::string_view n) {
            return boost::beast::iequals(name, boost::beast::string_view(n.data(), n.size()));
        });
    });
    return trailers;
}

Reply plain(unsigned status, std::string_view why) {
    Reply reply;
    reply.version(11);
    reply.result(status);
    reply.set(http::field::content_type, "text/plain; charset=utf-8");
    reply.body() = why.empty() ? text(http::obsolete_reason(reply.result())) + "\n" : std::string(why) + "\n";
    return reply;
}

void set_retry_after(Reply& reply, Millis retry_in) {
    reply.set(http::field::retry_after,
              std::to_string(std::max<long>(1, std::lround(std::ceil(retry_in / 1000)))));
}

}  // namespace whinledge::web
