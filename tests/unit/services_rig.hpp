// What the tests of services files share: a smallest right file in three parts, reading with the faults as
// lines, and the sample. The name of the sample's file is SERVICES_SAMPLE, set by CMake.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "config/document.hpp"
#include "config/read.hpp"

namespace whinledge::config::test {

using Lines = std::vector<std::string>;

// Three parts that make a right file, 3, 2 and 3 lines long.
inline const std::string kListener = R"([[listener]]
name = "l"
address = "127.0.0.1:80"
)";
inline const std::string kPool = R"([pool.a]
members = { source = "list", list = ["127.0.0.1:1"] }
)";
inline const std::string kRoute = R"([[route]]
name = "r"
pool = "a"
)";
inline const std::string kBase = kListener + kPool + kRoute;

inline Lines texts(const std::vector<Fault>& faults) {
    Lines lines;
    for (const Fault& fault : faults) lines.push_back(fault.text());
    return lines;
}
inline Lines faults_of(const std::string& text) { return texts(read_services(text, "services.toml").faults); }

inline Services right(const std::string& text) {
    const Result result = read_services(text, "services.toml");
    EXPECT_EQ(texts(result.faults), Lines{}) << text;
    return result.services.value_or(Services{});
}

// The file to begin from (deploy/services-sample.toml).
inline std::string sample() {
    std::string why;
    const auto text = read_file(SERVICES_SAMPLE, why);
    EXPECT_TRUE(text) << why;
    return text.value_or("");
}

}  // namespace whinledge::config::test
