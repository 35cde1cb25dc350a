// What is wrong with a services file is told line by line, each fault once, in the order of the file.
#include <random>
#include <sstream>

#include "unit/wrong_services.hpp"

namespace whinledge::config::test {
namespace {

std::vector<Wrong> wrong_files() {
    std::vector<Wrong> all = wrong_process_and_listeners();
    all.insert(all.end(), wrong_pools().begin(), wrong_pools().end());
    all.insert(all.end(), wrong_routes().begin(), wrong_routes().end());
    return all;
}

TEST(WrongServices, EachFaultIsOneLineThatNamesItsPlace) {
    for (const Wrong& wrong : wrong_files()) {
        Lines expected;
        for (const std::string& fault : wrong.faults) expected.push_back("services.toml:" + fault);
        const Result result = read_services(wrong.text, "services.toml");
        EXPECT_EQ(texts(result.faults), expected) << wrong.name << "\n" << wrong.text;
        EXPECT_FALSE(result.services) << wrong.name;
        EXPECT_TRUE(result.warnings.empty()) << wrong.name;
    }
}

TEST(WrongServices, BytesThatAreNoText) {
    EXPECT_EQ(faults_of("a = \"\xff\""), (Lines{"services.toml:1:5: Encountered invalid utf-8 sequence"}));
    EXPECT_EQ(faults_of("a =t\nb"),
              (Lines{"services.toml:1:5: Error while parsing boolean: expected 'true', saw 't\\x0a'"}));
    EXPECT_EQ(faults_of(std::string(kMostText + 1, '\n')),
              (Lines{"services.toml:1:1: the file is longer than 1MiB"}));
}

TEST(WrongServices, AMatchThatCannotBeReadIsLikeNoOther) {
    EXPECT_EQ(faults_of(kBase + "match = [{}, { method = \"get\" }]\n").size(), 1U);
    EXPECT_EQ(faults_of(kBase + "match = [{ method = \"get\" }, {}]\n").size(), 1U);
    EXPECT_EQ(faults_of(kBase + "match = [{}, {}]\n").size(), 1U);
}

TEST(WrongServices, LettersBeyondAsciiAreForQuotesAndComments) {
    const std::string fault = ": a letter beyond ASCII outside of quotes and comments";
    EXPECT_EQ(faults_of("\na\u03cb = 1\n"), (Lines{"services.toml:2:2" + fault}));
    EXPECT_EQ(faults_of("a = 1\n \u03cb"), (Lines{"services.toml:2:2" + fault}));
    EXPECT_EQ(faults_of("a = '''x''''\u03cb"), (Lines{"services.toml:1:13" + fault}));
    // Within what is no value, quotes do not count.
    EXPECT_EQ(faults_of("a = 1.'\u03cb'"), (Lines{"services.toml:1:7" + fault}));
    EXPECT_EQ(faults_of("a = b'\u03cb'"),
              (Lines{"services.toml:1:6: a quote in the middle of a key or a value"}));
    const std::string route = "[[route]]\nname = \"s\"\nanswer.body = ";
    for (const char* body : {"\"\u03cb\\\"\u03cb\" # \u03cb", "'\u03cb\\'",
                             "\"\"\"\n\u03cb\"\u03cb\"\"\"\"\"", "'''\n'\u03cb'''"})
        EXPECT_NE(right(kBase + route + body + "\n").routes.back().answer->body.find("\u03cb"),
                  std::string::npos);
    right("\xef\xbb\xbf# \u03cb\n" + kBase);  // after a byte order mark
}

TEST(WrongServices, TooManyOfAKind) {
    std::string listeners, members = "list = [";
    for (int i = 0; i < 65; ++i) listeners += "[[listener]]\nname = \"l" + std::to_string(i) + "\"\n";
    EXPECT_EQ(faults_of(kPool + listeners), (Lines{"services.toml:3: listener: 65 entries, 64 at most"}));
    std::string dots;
    for (int i = 0; i < 200000; ++i) dots += "a.";
    EXPECT_EQ(faults_of("[" + dots + "a]"), (Lines{"services.toml:1:35: more than 16 dots in one key"}));
    EXPECT_EQ(faults_of("a = \"" + dots + "\" # " + dots + "\n" + kBase).size(), 1U);
}

// Faults that have nothing to do with one another, each in a line of its own: for each of them the right line
// and the wrong one.
struct Slip {
    std::string right, wrong;
};
const std::vector<Slip>& slips() {
    static const std::vector<Slip> all{
        {"descriptors = 2000", "descriptors = 0"},
        {"bytes = \"1GiB\"", "bytes = \"1GB\""},
        {"requests = 5000", "reqests = 5000"},
        {"drain = \"10s\"", "drain = 10"},
        {"seed = 7", "seed = \"7\""},
        {"address = \"127.0.0.1:80\"", "adress = \"127.0.0.1:80\""},
        {"address = \"127.0.0.1:81\"", "address = \"127.0.0.1\""},
        {"head_timeout = \"1s\"", "head_timeout = \"1\""},
        {"via = \"edge\"", "via = \"\""},
        {"profile = \"http\"", "profle = \"http\""},
        {"profile = \"platform\"", "profile = \"none\""},
        {"limits.requests = { guaranteed = 10, most = 20 }",
         "limits.requests = { guaranteed = 21, most = 20 }"},
        {"limits.descriptors = { most = 30 }", "limits.descriptors = { mots = 30 }"},
        {"source = \"list\"", "sorce = \"list\""},
        {"members = { source = \"list\", list = [\"127.0.0.1:1\"] }",
         "members = { source = \"list\", list = [\"127.0.0.1:1\", \"127.0.0.1:1\"] }"},
        {"max_attempts = 2", "max_attempts = 9"},
        {"effect = \"safe\"", "effect = \"none\""},
        {"aim = \"100ms\"", "aim = \"100us\""},
        {"name = \"write\"", "nme = \"write\""},
        {"worth = 2.5", "worth = -2.5"},
        {"source = \"file\"", "source = \"path\""},
        {"pool = \"a\"", "pool = \"z\""},
        {"listeners = [\"l\"]", "listeners = [\"k\"]"},
        {"hosts = [\"*.example.org\"]", "hosts = [\"*\"]"},
        {"path = { prefix = \"/a\" }", "path = { prefix = \"a\" }"},
        {"method = \"GET\"", "method = \"\""},
        {"rewrite = { prefix = \"/b\" }", "rewrite = { prefix = \"/b\", path = \"/b\" }"},
        {"safe_class = \"get\"", "safe_class = \"gett\""},
        {"errors = [500, 503]", "errrs = [500, 503]"},
        {"buffer = \"1MiB\"", "buffer = \"1TiB\""},
        {"redirect = { port = 8080 }", "redirect = { prt = 8080 }"},
        {"answer = { status = 404 }", "anser = { status = 404 }"},
    };
    return all;
}
const char* const kAllParts = R"([process]
descriptors = 2000
bytes = "1GiB"
requests = 5000
drain = "10s"
seed = 7
[[listener]]
name = "l"
address = "127.0.0.1:80"
head_timeout = "1s"
via = "edge"
profile = "http"
limits.requests = { guaranteed = 10, most = 20 }
[[listener]]
name = "m"
address = "127.0.0.1:81"
profile = "platform"
limits.descriptors = { most = 30 }
[pool.a]
max_attempts = 2
[pool.a.members]
source = "list"
list = ["127.0.0.1:1"]
[[pool.a.class]]
name = "read"
effect = "safe"
aim = "100ms"
[[pool.a.class]]
name = "write"
effect = "unsafe"
worth = 2.5
[pool.b.members]
source = "file"
path = "members.toml"
[pool.c]
members = { source = "list", list = ["127.0.0.1:1"] }
[[pool.c.class]]
name = "get"
effect = "safe"
[[route]]
name = "q"
pool = "a"
[route.handling]
safe_class = "read"
unsafe_class = "write"
[[route]]
name = "r"
pool = "c"
listeners = ["l"]
hosts = ["*.example.org"]
rewrite = { prefix = "/b" }
[[route.match]]
path = { prefix = "/a" }
method = "GET"
[route.handling]
safe_class = "get"
errors = [500, 503]
never_ran = [503]
buffer = "1MiB"
[[route]]
name = "s"
redirect = { port = 8080 }
[[route]]
name = "t"
answer = { status = 404 }
)";

// The text with those slips in it, and the lines that they stand on.
std::pair<std::string, std::vector<int>> slip(const std::vector<const Slip*>& made) {
    std::istringstream in(kAllParts);
    std::string text, line;
    std::vector<int> at;
    for (int number = 1; std::getline(in, line); ++number) {
        for (const Slip* one : made)
            if (line == one->right) {
                line = one->wrong;
                at.push_back(number);
            }
        text += line + "\n";
    }
    return {text, at};
}

std::vector<int> fault_lines(const std::string& text) {
    std::vector<int> lines;
    for (const Fault& fault : read_services(text, "f").faults) lines.push_back(fault.line);
    return lines;
}

TEST(WrongServices, OneSlipIsOneFault) {
    right(kAllParts);
    for (const Slip& one : slips()) {
        const auto [text, lines] = slip({&one});
        ASSERT_FALSE(lines.empty()) << one.right;
        EXPECT_EQ(fault_lines(text), lines) << one.wrong << "\n" << testing::PrintToString(faults_of(text));
    }
}

TEST(WrongServices, ManySlipsAreAsManyFaultsInTheOrderOfTheFile) {
    std::mt19937 random(20);
    for (int round = 0; round < 500; ++round) {
        std::vector<const Slip*> made;
        const unsigned part = 2 + random() % 6;
        for (const Slip& one : slips())
            if (random() % part == 0) made.push_back(&one);
        const auto [text, lines] = slip(made);
        ASSERT_EQ(fault_lines(text), lines) << text << testing::PrintToString(faults_of(text));
    }
}

TEST(WrongServices, AFileFullOfFaultsEndsSoon) {
    std::string text;
    for (int i = 0; i < 20000; ++i)
        text += "unknown_key_number_" + std::to_string(i) + " = " + std::to_string(i) + "\n";
    EXPECT_EQ(faults_of(text).size(), 20001U);  // and no listener
}

}  // namespace
}  // namespace whinledge::config::test
