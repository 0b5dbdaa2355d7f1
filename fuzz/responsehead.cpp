/// Heads of responses: no input may crash the reader, and a head that it takes has one meaning only.

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "base/responseheadreader_p.h"

using namespace Galenarock;

namespace
{
void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

bool isPlain(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char it) { return it == '\r' || it == '\n' || it == '\0'; });
}

void checkHead(const ResponseHeadReader &reader)
{
    require(reader.status() >= 200 && reader.status() <= 599);
    std::size_t framingFields = 0;
    for (const auto &it : reader.fields()) {
        require(!it.name.empty() && isPlain(it.name) && isPlain(it.value));
        require(it.name.find_first_of(" \t:") == std::string::npos);
        const bool isFraming =
            equalsIgnoreCase(it.name, "Content-Length") || equalsIgnoreCase(it.name, "Transfer-Encoding");
        framingFields += isFraming ? 1 : 0;
    }
    require(framingFields <= 1);
}
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    std::string_view left(reinterpret_cast<const char *>(data), size);
    ResponseHeadReader reader;
    while (!left.empty() && !reader.isComplete()) {
        const auto n = std::min(left.find('\n'), left.size() - 1) + 1;
        const auto progress = reader.addLine(left.substr(0, n));
        left.remove_prefix(n);
        require((progress == HeadProgress::Malformed) == !reader.defect().empty());
    }
    if (reader.isComplete()) {
        checkHead(reader);
    }
    return 0;
}
