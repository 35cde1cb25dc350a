// A stand-in for a directory server, for demonstrations and measurements: entries below dc=example,dc=org,
// any password that is its user's name, changes counted. SIGSTOP freezes it, SIGCONT thaws it, SIGUSR1 makes
// it give notice that it disconnects, SIGTERM ends it.
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

#include "rig/directory_server.hpp"

namespace {

constexpr const char* kHelp = "whinledge_directory PORT [ENTRIES [MILLISECONDS]]\n";

}  // namespace

int main(int count, char** words) {
    using whinledge::test::DirectoryServer;
    if (count < 2 || count > 4) {
        std::cerr << kHelp;
        return 2;
    }
    const auto port = static_cast<std::uint16_t>(std::atoi(words[1]));
    const int entries = count > 2 ? std::atoi(words[2]) : 1000, delay = count > 3 ? std::atoi(words[3]) : 0;
    try {
        boost::asio::io_context io(1);
        DirectoryServer server(io, port);
        server.keeps_seen = false;
        const std::string base = "dc=example,dc=org";
        server.add(base);
        server.add("ou=people," + base);
        for (int i = 0; i < entries; ++i) {
            const std::string name = "uid=u" + std::to_string(i) + ",ou=people," + base;
            server.add(name, 200);
            server.passwords[*whinledge::ldap::normal_dn(name)] = "u" + std::to_string(i);
        }
        server.passwords["cn=service," + base] = "service";
        server.script = [delay](const auto&) {
            DirectoryServer::Fault fault;
            fault.delay_ms = delay;
            return fault;
        };
        boost::asio::signal_set end(io, SIGTERM, SIGINT), notice(io, SIGUSR1);
        end.async_wait([&](auto, int) { io.stop(); });
        std::function<void()> wait = [&] {
            notice.async_wait([&](boost::system::error_code failed, int) {
                if (failed) return;
                server.give_notice();
                wait();
            });
        };
        wait();
        std::cout << "listens on " << server.address() << std::endl;
        io.run();
        for (const auto& [name, times] : server.changed) std::cout << name << ' ' << times << '\n';
    } catch (const std::exception& error) {
        std::cerr << "whinledge_directory: " << error.what() << '\n';
        return 1;
    }
}
