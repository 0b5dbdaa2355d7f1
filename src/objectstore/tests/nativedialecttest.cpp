#include <gtest/gtest.h>

#include <galenarock/storedialect.h>

using namespace Galenarock;

// Guards against one odd object that makes the whole page of a list or a watch unreadable.
TEST(NativeDialect, oddItemHidesNoOtherItem)
{
    const auto item = [](const std::string &name, const std::string &value) {
        return R"({"kind":"k","name":")" + name + R"(","version":5,"value":)" + value + "}";
    };
    const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    const auto dialect = nativeStoreDialect();
    for (const auto &odd : {std::string("7"), std::string(R"({"kind":"k"})"), item("b", "1e400"), item("b", "\"\xff\""),
                            item("b", deep), deep}) {
        const auto body = R"({"revision":9,"items":[)" + item("a", "1") + "," + odd + "," + item("c", "3") + "]}";
        for (const auto &decode : {dialect.decodeList, dialect.decodeWatch}) {
            const auto page = decode("k", body);
            ASSERT_TRUE(page) << odd.substr(0, 120);
            EXPECT_EQ(page->revision, 9U);
            ASSERT_EQ(page->items.size(), 2U);
            EXPECT_EQ(page->items[0].key.name, "a");
            EXPECT_EQ(page->items[1].key.name, "c");
            EXPECT_FALSE(page->skipped.empty());
        }
    }
}
