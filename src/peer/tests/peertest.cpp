#include <gtest/gtest.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

#include <galenarock/peer.h>

#include "peer/replaywindow_p.h"

using namespace Galenarock;

namespace
{
const PeerKey key = peerKeyFromSecret("test secret");

std::string encoded(const PeerFrame &frame)
{
    return tryOr([&] { return encodeFrame(frame, key); }, [](ErrorCode, const std::string &) { return std::string(); });
}

ErrorCode errorOf(std::string_view bytes, const PeerKey &frameKey = key)
{
    return tryOr(
        [&]() -> Result<ErrorCode> {
            BOOST_LEAF_CHECK(decodeFrame(bytes, frameKey));
            return ErrorCode::Success;
        },
        [](ErrorCode code, const std::string &) { return code; });
}

/// Collects the messages received by a transport; wait() blocks until at least `count` messages have arrived.
class Inbox
{
public:
    PeerTransport::Handler handler()
    {
        return [this](PeerEvent event) {
            const std::lock_guard lock(m_mutex);
            m_events.push_back(std::move(event));
            m_changed.notify_all();
        };
    }
    std::vector<PeerEvent> wait(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return m_events.size() >= count; });
        return m_events;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<PeerEvent> m_events;
};

struct Daemon
{
    explicit Daemon(const std::string &name)
    {
        PeerTransportSettings settings;
        settings.self = {name, 7};
        settings.key = key;
        transport = PeerTransport::open(settings, metrics, inbox.handler()).value();
    }
    Member member(const std::string &name) const
    {
        Member result;
        result.identity = {name, 7};
        result.peerAddress = transport->address();
        return result;
    }
    Inbox inbox;
    Metrics metrics;
    std::unique_ptr<PeerTransport> transport;
};
}

// Guards against fields that change in encoding or decoding, and against a frameOverheadBytes that does not match the
// encoding.
TEST(PeerFrameCodec, roundTripKeepsFieldsAndSize)
{
    const PeerFrame frame{{"vm-1", 42}, 9, 3, std::string("a\0b", 3)};
    const auto bytes = encoded(frame);
    EXPECT_EQ(bytes.size(), frameOverheadBytes + 4 + 3);
    EXPECT_EQ(decodeFrame(bytes, key).value(), frame);
}

// Guards against accepting a frame that is modified, truncated, authenticated with another key or oversized.
TEST(PeerFrameCodec, invalidFramesFailWithTheirError)
{
    const auto bytes = encoded({{"vm-1", 42}, 9, 3, "payload"});
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        auto damaged = bytes;
        damaged[n] = static_cast<char>(damaged[n] ^ 0x40);
        EXPECT_NE(errorOf(damaged), ErrorCode::Success) << "byte " << n;
        EXPECT_NE(errorOf(bytes.substr(0, n)), ErrorCode::Success) << "cut to " << n;
    }
    auto version = bytes;
    version[5] = 2;
    EXPECT_EQ(errorOf(version), ErrorCode::WrongVersion);
    EXPECT_EQ(errorOf(bytes, peerKeyFromSecret("other")), ErrorCode::BadMac);
    EXPECT_EQ(errorOf("short"), ErrorCode::Truncated);
    EXPECT_EQ(errorOf(std::string(maxFrameBytes + 1, 'x')), ErrorCode::TooLarge);
    EXPECT_TRUE(encoded({{"vm-1", 1}, 1, 1, std::string(maxFrameBytes, 'x')}).empty());
    EXPECT_TRUE(encoded({{std::string(64, 'n'), 1}, 1, 1, ""}).empty());
}

// Guards against accepting a replayed or duplicated frame, and against rejecting reordered frames.
TEST(PeerReplayWindow, acceptsEachCounterOnce)
{
    ReplayWindow window;
    const Identity sender{"vm-1", 1};
    EXPECT_TRUE(window.accept(sender, 5));
    EXPECT_TRUE(window.accept(sender, 3));
    EXPECT_FALSE(window.accept(sender, 5));
    EXPECT_FALSE(window.accept(sender, 3));
    EXPECT_TRUE(window.accept(sender, 5000));
    EXPECT_FALSE(window.accept(sender, 4));
    EXPECT_TRUE(window.accept({"vm-1", 2}, 1));
}

// A daemon takes another key over while it runs. Guards against frames that are still made or checked with the former
// one, and against frames of another key that go unnoticed.
TEST(PeerTransport, keyIsReplacedWhileItRuns)
{
    Daemon a("vm-a");
    Daemon b("vm-b");
    a.transport->setMembers({b.member("vm-b")});
    a.transport->setKey(peerKeyFromSecret("other secret"));
    ASSERT_TRUE(a.transport->send({"vm-b", 1, "unread"}));
    while (b.transport->foreignFrames() == 0) {
        std::this_thread::yield();
    }
    b.transport->setKey(peerKeyFromSecret("other secret"));
    ASSERT_TRUE(a.transport->send({"vm-b", 1, "read"}));
    EXPECT_EQ(b.inbox.wait(1).front().payload, "read");
    EXPECT_EQ(b.transport->foreignFrames(), 1U);
}

// Guards against large messages that are truncated or lost because they are sent by TCP instead of UDP.
TEST(PeerTransport, smallFramesUseUdpAndLargeFramesUseTcp)
{
    Daemon a("vm-a");
    Daemon b("vm-b");
    a.transport->setMembers({b.member("vm-b")});
    EXPECT_TRUE(a.transport->send({"vm-b", 1, "small"}));
    EXPECT_EQ(b.inbox.wait(1).at(0).payload, "small");
    const std::string large(3 << 20, 'x');
    EXPECT_TRUE(a.transport->send({"vm-b", 2, large}));
    const auto events = b.inbox.wait(2);
    EXPECT_EQ(events.at(1).payload, large);
    EXPECT_EQ(events.at(1).sender, (Identity{"vm-a", 7}));
    EXPECT_EQ(a.metrics.counter("galenarock_peer_sent_total", "transport=\"udp\"").value(), 1u);
    EXPECT_EQ(a.metrics.counter("galenarock_peer_sent_total", "transport=\"tcp\"").value(), 1u);
}

// Guards against a link fault that lets frames pass or stays active after its removal, and against a message to an
// unknown VM that is not counted.
TEST(PeerTransport, linkFaultsDropAndDelayFrames)
{
    Daemon a("vm-a");
    Daemon b("vm-b");
    a.transport->setMembers({b.member("vm-b")});
    a.transport->setLinkFault("vm-b", {true, Duration::zero()});
    a.transport->send({"vm-b", 1, "dropped"});
    while (!a.transport->isIdle()) {
        sched_yield();
    }
    a.transport->setLinkFault("vm-b", {false, milliseconds(1)});
    a.transport->send({"vm-b", 1, "delayed"});
    EXPECT_EQ(b.inbox.wait(1).at(0).payload, "delayed");
    b.transport->setLinkFault("vm-a", {true, Duration::zero()});
    a.transport->setLinkFault("vm-b", {});
    a.transport->send({b.transport->address(), 1, "by address, dropped by the receiver"});
    auto &dropped = b.metrics.counter("galenarock_peer_dropped_total", "reason=\"link-fault\"");
    while (dropped.value() == 0) {
        sched_yield();
    }
    a.transport->send({"vm-z", 1, "nobody"});
    auto &unknown = a.metrics.counter("galenarock_peer_dropped_total", "reason=\"unknown-member\"");
    while (unknown.value() == 0) {
        sched_yield();
    }
    EXPECT_EQ(b.inbox.wait(1).size(), 1u);
}
