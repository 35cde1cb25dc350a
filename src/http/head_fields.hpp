// A request's fields as routes look at them.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <optional>
#include <string_view>

#include "route/request.hpp"

namespace whinledge {

class HeadFields final : public route::Headers {
public:
    explicit HeadFields(const boost::beast::http::fields& fields) : fields_(fields) {}
    std::optional<std::string_view> value(std::string_view name, std::size_t nth) const override {
        const auto range = fields_.equal_range(boost::beast::string_view(name.data(), name.size()));
        for (auto at = range.first; at != range.second; ++at)
            if (nth-- == 0) return std::string_view(at->value().data(), at->value().size());
        return std::nullopt;
    }

private:
    const boost::beast::http::fields& fields_;
};

}  // namespace whinledge
