#include "ldap/listener.hpp"

#include <utility>

#include "ldap/client.hpp"

namespace whinledge::ldap {

namespace asio = boost::asio;

LdapListener::LdapListener(asio::io_context& io, Options options, Callbacks callbacks, Door::Budget budget)
    : options_(std::move(options)),
      callbacks_(std::move(callbacks)),
      door_(
          io, options_.listen, options_.places,
          [this](Places::Id place, Tcp::socket socket) {
              return std::make_shared<Client>(*this, place, std::move(socket));
          },
          callbacks_.drained, callbacks_.log, std::move(budget)) {}

void LdapListener::change(const Options& options) {
    options_.index = options.index;
    options_.head_timeout = options.head_timeout;
    options_.idle_timeout = options.idle_timeout;
    options_.operations = options.operations;
    options_.bounds = options.bounds;
    options_.tls_required = options.tls_required;
    if (options.tls) options_.tls = options.tls;
}

}  // namespace whinledge::ldap
