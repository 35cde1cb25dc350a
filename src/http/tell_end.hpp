// How a request's client hears of its end.
#pragma once

#include <exception>
#include <memory>
#include <utility>

namespace whinledge {

// Once: the client is let go of first, and afterwards nobody is told. What throws while it is told fails the
// client's request. `Client` has fail(), which does not throw.
template <class Client, class Say>
void tell_end(std::shared_ptr<Client>& held, Say say) noexcept {
    const auto client = std::exchange(held, nullptr);
    if (!client) return;
    try {
        say(*client);
    } catch (const std::exception&) {
        client->fail();
    }
}

}  // namespace whinledge
