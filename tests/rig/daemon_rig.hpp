// A daemon of several services with a directory of the test's own: reloads, and clients whose request is
// under way.
#pragma once

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "rig/service_rig.hpp"

namespace whinledge::test {

namespace fs = std::filesystem;

struct DaemonTest : ServiceRig {
    // A directory of this test's own.
    fs::path directory = fs::temp_directory_path() / ("whinledge-daemon-" + std::to_string(::getpid()));
    DaemonTest() { fs::create_directories(directory); }
    ~DaemonTest() override { fs::remove_all(directory); }

    // At once whole, as a deployment does it.
    void write(const fs::path& path, const std::string& text) const {
        const fs::path next = path.string() + ".next";
        std::ofstream(next) << text;
        fs::rename(next, path);
    }
    std::size_t connections(const std::string& name) {
        return daemon->descriptors().held(daemon->pool(name)->id());
    }
    // Sends it and returns once it has reached its server.
    TestClient& under_way(const std::string& bytes, const ScriptedServer& server) {
        const std::size_t before = server.requests.size();
        TestClient& c = client();
        c.send(bytes);
        until([&] { return server.requests.size() > before; });
        return c;
    }
    void answered(TestClient& c, unsigned status, const std::string& body = "") {
        until([&] { return !c.answers.empty() || c.ended; });
        ASSERT_EQ(c.answers.size(), 1u);
        EXPECT_EQ(c.answers[0].result_int(), status);
        if (!body.empty()) {
            EXPECT_EQ(c.answers[0].body(), body);
        }
    }
    std::string two(const std::string& archive_to, const std::vector<std::string>& archive,
                    const std::vector<std::string>& search) const {
        return listener_ + pool("archive", archive) + pool("search", search) +
               route("archive", "/archive", "pool = \"" + archive_to + "\"") +
               route("search", "/search", "pool = \"search\"");
    }
    std::string listener_ = listener();
    // Why a reload was refused; empty: it was not.
    std::string refused(const std::string& text) {
        config::Services services = services_of(text);
        try {
            daemon->reload(std::move(services));
        } catch (const std::runtime_error& why) {
            return why.what();
        }
        return "";
    }
};

}  // namespace whinledge::test
