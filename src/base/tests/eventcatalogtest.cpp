#include <gtest/gtest.h>

#include <algorithm>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

namespace
{
std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::set<std::string> matches(const std::string &text, const std::regex &pattern)
{
    std::set<std::string> found;
    for (std::sregex_iterator it(text.begin(), text.end(), pattern), end; it != end; ++it) {
        auto severity = (*it)[2].str();
        std::transform(severity.begin(), severity.end(), severity.begin(),
                       [](unsigned char c) { return std::tolower(c); });
        found.insert((*it)[1].str() + " " + severity + " " + (*it)[3].str());
    }
    return found;
}
}

// Guards against events that the catalogue does not explain, and against entries whose event no longer exists.
TEST(EventLog, catalogueMatchesTheCode)
{
    const std::filesystem::path root = GALENAROCK_SOURCE_DIR;
    const std::regex inCode(R"(\{\s*(\d{3}),\s*Severity::(\w+),\s*"([a-z-]+)\"\})");
    const std::regex inPage(R"(\| (\d{3}) \| (\w+) \| ([a-z-]+) \|)");
    std::set<std::string> code;
    for (const auto &it : std::filesystem::recursive_directory_iterator(root / "src")) {
        if (it.path().filename() != "events_p.h") {
            continue;
        }
        code.merge(matches(readFile(it.path()), inCode));
    }
    EXPECT_GT(code.size(), 50u);
    EXPECT_EQ(code, matches(readFile(root / "docs/events.md"), inPage));
}

// Guards against two constants with one name, of which the linker keeps one: the other's lines are then logged under a
// wrong number.
TEST(EventLog, constantsHaveDifferentNames)
{
    const std::regex constant(R"(EventType (\w+)\{)");
    const std::regex scope(R"(namespace ([\w:]+))");
    std::set<std::string> names;
    for (const auto &it : std::filesystem::recursive_directory_iterator(std::string(GALENAROCK_SOURCE_DIR) + "/src")) {
        if (it.path().filename() != "events_p.h") {
            continue;
        }
        const auto text = readFile(it.path());
        std::smatch where;
        ASSERT_TRUE(std::regex_search(text, where, scope)) << it.path();
        for (std::sregex_iterator match(text.begin(), text.end(), constant), end; match != end; ++match) {
            const auto name = where[1].str() + "::" + (*match)[1].str();
            EXPECT_TRUE(names.insert(name).second) << name << " in " << it.path();
        }
    }
    EXPECT_GT(names.size(), 50u);
}
