#include "http/web.hpp"

#include <cstdio>
#include <utility>

#include "http/web_client.hpp"

namespace whinledge {

namespace asio = boost::asio;

Web::Web(asio::io_context& io, Options options, Callbacks callbacks, Door::Budget budget,
         const TimeSource& clock)
    : options_(std::move(options)),
      callbacks_(std::move(callbacks)),
      id_seed_(callbacks_.random()),
      door_(
          io, options_.listen, options_.places,
          [this](Places::Id place, Tcp::socket socket) {
              return std::make_shared<Client>(*this, place, std::move(socket));
          },
          callbacks_.drained, callbacks_.log, std::move(budget), clock) {}

void Web::change(const Options& options) {
    options_.index = options.index;
    options_.head_timeout = options.head_timeout;
    options_.idle_timeout = options.idle_timeout;
    options_.via = options.via;
}

// Of this process's start and its count: different from all others', and without a look at anything.
std::string Web::request_id() {
    char id[40];
    const int size = std::snprintf(id, sizeof id, "%016llx-%llx", static_cast<unsigned long long>(id_seed_),
                                   static_cast<unsigned long long>(++next_id_));
    return {id, static_cast<std::size_t>(size)};
}

}  // namespace whinledge
