#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

#include "proxy/openconnections_p.h"

using namespace Galenarock;

// Guards against taking a connection for another one to the same address.
TEST(OpenConnections, findsAConnectionByBothEnds)
{
    OpenConnections connections;
    connections.opened(7, {"10.0.0.1", 80, 40'000});
    connections.opened(8, {"10.0.0.1", 80, 40'001});
    EXPECT_EQ(connections.find({"10.0.0.1", 80, 40'001}), 8);
    EXPECT_EQ(connections.find({"10.0.0.2", 80, 40'001}), -1);
    EXPECT_EQ(connections.find({"10.0.0.1", 81, 40'001}), -1);
    EXPECT_EQ(connections.find({"10.0.0.1", 80, 40'002}), -1);
}

// Guards against what is known of a closed connection being taken for that of the next one with its socket.
TEST(OpenConnections, newConnectionWithTheSameSocketStartsAnew)
{
    OpenConnections connections;
    connections.opened(7, {"10.0.0.1", 80, 40'000});
    connections.at(7)->answers = 3;
    connections.closed(7);
    EXPECT_EQ(connections.at(7), nullptr);
    connections.opened(7, {"10.0.0.2", 80, 40'000});
    EXPECT_EQ(connections.at(7)->answers, 0U);
}

TEST(OpenConnections, endOfTheConnectionCountsAsUnreadBytes)
{
    int ends[2];
    ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, ends), 0);
    EXPECT_FALSE(hasUnreadBytes(ends[0]));
    close(ends[1]);
    EXPECT_TRUE(hasUnreadBytes(ends[0]));
    close(ends[0]);
}

// Guards against log lines from which a copy of a refusal cannot be told from a refusal.
TEST(OpenConnections, textNamesConnectionAnswersAndTime)
{
    const AttemptConnection kept{{"10.0.0.1", 80, 40'000}, false, 12, milliseconds(3)};
    EXPECT_EQ(toString(kept),
              "kept connection 40000 to 10.0.0.1:80 with 12 answers before, 3.000 ms after it was sent");
}

// Guards against sending a request again over the connection on which it was refused, and against closing connections
// for requests that were not.
TEST(ExcludedIds, hasTheIdsThatWereAdded)
{
    ExcludedIds ids;
    EXPECT_FALSE(ids.has("r-1"));
    ids.add("r-1");
    EXPECT_TRUE(ids.has("r-1"));
    EXPECT_FALSE(ids.has("r-2"));
}

// Guards against memory that grows with each refusal on a connection.
TEST(ExcludedIds, isFullAtItsCapacity)
{
    ExcludedIds ids;
    for (std::size_t n = 0; n < ExcludedIds::Capacity; ++n) {
        EXPECT_FALSE(ids.isFull());
        ids.add(std::to_string(n));
        ids.add(std::to_string(n));
    }
    EXPECT_TRUE(ids.isFull());
}
