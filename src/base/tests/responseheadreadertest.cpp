#include <gtest/gtest.h>

#include "base/responseheadreader_p.h"

using namespace Galenarock;

namespace
{
/// Feeds the lines of `text` to a reader; returns the last progress.
HeadProgress read(ResponseHeadReader &reader, std::string_view text)
{
    auto progress = HeadProgress::Incomplete;
    while (!text.empty()) {
        const auto n = std::min(text.find('\n'), text.size() - 1) + 1;
        progress = reader.addLine(text.substr(0, n));
        text.remove_prefix(n);
    }
    return progress;
}

HeadProgress read(std::string_view text)
{
    ResponseHeadReader reader;
    return read(reader, text);
}
}

// Guards against refusing answers of sound servers: control for the tests below.
TEST(ResponseHeadReader, wellFormedHeadsAreComplete)
{
    for (const std::string it : {
             "HTTP/1.1 200 OK\r\n\r\n",
             "HTTP/1.1 200\r\n\r\n",
             "HTTP/1.1 200 \r\n\r\n",
             "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
             "HTTP/1.1 200 OK\r\nContent-Length:51\r\n\r\n",
             "HTTP/1.1 200 OK\r\ncontent-length: \t51 \t\r\n\r\n",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n",
             "HTTP/1.1 200 OK\r\nEmpty:\r\nA: b\tc: d\xe9\r\n\r\n",
             "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
             "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\nHTTP/1.1 599 x\r\n\r\n",
             "HTTP/1.1 200 OK\nContent-Length: 2\n\n",
         }) {
        EXPECT_EQ(read(it), HeadProgress::Complete) << it;
    }
}

// Guards against the fields of an interim head, or of a trailer, in the final response.
TEST(ResponseHeadReader, onlyTheFinalHeadCounts)
{
    ResponseHeadReader reader;
    EXPECT_EQ(read(reader, "HTTP/1.1 103 Hints\r\nContent-Length: 3\r\n\r\n"), HeadProgress::Incomplete);
    EXPECT_EQ(read(reader, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"), HeadProgress::Complete);
    EXPECT_EQ(read(reader, "Late: field\r\n\r\n"), HeadProgress::Complete);
    EXPECT_EQ(reader.status(), 200U);
    EXPECT_EQ(reader.takeFields(), (std::vector<HeaderField>{{"Transfer-Encoding", "chunked"}}));
}

// Guards against two readings of one status line.
TEST(ResponseHeadReader, malformedStatusLinesAreRefused)
{
    for (const std::string it :
         {"", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1 20", "HTTP/1.1 2000 OK", "HTTP/1.1  200 OK", "HTTP/1.2 200 OK",
          "HTTP/2 200 OK", "http/1.1 200 OK", " HTTP/1.1 200 OK", "200 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 099 OK",
          "HTTP/1.1 600 OK", "HTTP/1.1 101 Upgrade", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200\rOK"}) {
        EXPECT_EQ(read(it + "\r\n"), HeadProgress::Malformed) << it;
    }
}

// Guards against fields that this process and the caller's read in different ways.
TEST(ResponseHeadReader, malformedFieldsAreRefused)
{
    for (const std::string it : {"no colon", ": b", "A : b", "A\t: b", " A: b", "\tfolded", "A b: c", "A\x01: b",
                                 "A: b\x01", "A: b\x7f", "A: b\rc", "(A): b", "HTTP/1.1 404 No: Object"}) {
        EXPECT_EQ(read("HTTP/1.1 200 OK\r\n" + it + "\r\n"), HeadProgress::Malformed) << it;
    }
    EXPECT_EQ(read("HTTP/1.1 200 OK\r\n" + std::string("A: b\0c\r\n", 8)), HeadProgress::Malformed);
    EXPECT_EQ(read("HTTP/1.1 200 OK\r\n" + std::string("A\0: b\r\n", 7)), HeadProgress::Malformed);
    EXPECT_EQ(read("HTTP/1.1 200 OK\r\nA: b"), HeadProgress::Malformed);
}

// Guards against a body of another length than the server's.
TEST(ResponseHeadReader, ambiguousFramingIsRefused)
{
    for (const std::string it : {
             "Content-Length: 5\r\nContent-Length: 6",
             "Content-Length: 5\r\ncontent-length: 5",
             "Content-Length: 5, 5",
             "Content-Length: +5",
             "Content-Length: -5",
             "Content-Length: 0x5",
             "Content-Length: 5 5",
             "Content-Length:",
             "Content-Length: 9223372036854775808",
             "Content-Length: 5\r\nTransfer-Encoding: chunked",
             "Transfer-Encoding: chunked\r\nContent-Length: 5",
             "Transfer-Encoding: gzip, chunked",
             "Transfer-Encoding: chunked, chunked",
             "Transfer-Encoding: chunked, identity",
             "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
             "Transfer-Encoding: xchunked",
             "Transfer-Encoding:",
         }) {
        EXPECT_EQ(read("HTTP/1.1 200 OK\r\n" + it + "\r\n\r\n"), HeadProgress::Malformed) << it;
    }
    for (const std::string it : {"HTTP/1.0 200 OK", "HTTP/1.1 204 No Content", "HTTP/1.1 103 Hints"}) {
        EXPECT_EQ(read(it + "\r\nTransfer-Encoding: chunked\r\n\r\n"), HeadProgress::Malformed) << it;
    }
}

// Guards against believing what follows a malformed line.
TEST(ResponseHeadReader, malformedHeadStaysMalformed)
{
    ResponseHeadReader reader;
    EXPECT_EQ(read(reader, "HTTP/1.1 200 OK\r\nA : b\r\n"), HeadProgress::Malformed);
    EXPECT_EQ(read(reader, "HTTP/1.1 200 OK\r\n\r\n"), HeadProgress::Malformed);
    EXPECT_FALSE(reader.isComplete());
    EXPECT_EQ(reader.defect(), "malformed name of a header field");
}
