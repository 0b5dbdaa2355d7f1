#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include <galenarock/jsontext.h>

using namespace Galenarock;

// review/7. Guards against bytes of another process that end this one when they are written as JSON (LOST).
TEST(JsonText, BytesThatAreNotUtf8DoNotThrow)
{
    for (const auto *text : {"\xff", "\xc3", "\xed\xa0\x80", "a\x80z", "\xf5\x80\x80\x80"}) {
        const nlohmann::json value{{"name", text}, {text, 1}};
        EXPECT_NO_THROW(jsonText(value)) << text;
        EXPECT_NO_THROW(jsonText(value, 2)) << text;
        EXPECT_NO_THROW(jsonText(nlohmann::ordered_json{{"name", text}})) << text;
        EXPECT_FALSE(isJsonString(text)) << text;
    }
    for (const auto *text : {"", "5c0e7a21d94b36f8", "\x01\t\"\\", "caf\xc3\xa9", "\xf0\x9f\x8c\xb0"}) {
        EXPECT_TRUE(isJsonString(text)) << text;
    }
}

// Guards against a second place that writes JSON and does not expect such bytes.
TEST(JsonText, IsTheOnlyPlaceThatWritesJson)
{
    const std::filesystem::path root = GALENAROCK_SOURCE_DIR;
    int files = 0;
    for (const auto *folder : {"include", "platform", "src", "tools"}) {
        for (const auto &it : std::filesystem::recursive_directory_iterator(root / folder)) {
            const auto path = it.path();
            const bool isTest = path.string().find("/tests/") != std::string::npos;
            const bool isSource = path.extension() == ".cpp" || path.extension() == ".h";
            if (isTest || !isSource || path.filename() == "jsontext.cpp") {
                continue;
            }
            std::ostringstream text;
            text << std::ifstream(path).rdbuf();
            EXPECT_EQ(text.str().find("dump("), std::string::npos) << path;
            ++files;
        }
    }
    EXPECT_GT(files, 200);
}
