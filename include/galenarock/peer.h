#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <galenarock/base.h>
#include <galenarock/control.h>
#include <galenarock/error.h>
#include <galenarock/metrics.h>

/// Messages between daemons: authenticated frames, and the transport thread that sends and receives them.
namespace Galenarock
{

/// Key of the MAC of each frame; shared by all daemons of a deployment.
using PeerKey = std::array<unsigned char, 32>;

/// Derives the key from the secret in the settings by hashing it.
PeerKey peerKeyFromSecret(std::string_view secret);

/// Frames up to this size are sent by UDP, larger ones by TCP; fits an Ethernet frame with IPv6 and tunnel headers.
inline constexpr std::size_t maxDatagramBytes = 1'200;
/// Larger frames are neither sent nor accepted.
inline constexpr std::size_t maxFrameBytes = 4 << 20;
/// Size of a frame without payload and sender name.
inline constexpr std::size_t frameOverheadBytes = 1 + 4 + 1 + 1 + 8 + 8 + 2 + 4 + 32;
/// Payloads up to this size fit one datagram with any sender name of up to 63 bytes.
inline constexpr std::size_t maxDatagramPayload = maxDatagramBytes - frameOverheadBytes - 63;

/// Content of a frame.
struct PeerFrame
{
    Identity sender;
    /// Increases with each frame of the sender; the receiver drops a frame whose counter it has already seen.
    std::uint64_t counter = 0;
    std::uint16_t type = 0;
    std::string payload;

    friend bool operator==(const PeerFrame &a, const PeerFrame &b)
    {
        return a.sender == b.sender && a.counter == b.counter && a.type == b.type && a.payload == b.payload;
    }
};

/// Layout: byte order mark 1, magic `GRK1`, version, sender name and boot, counter, type, payload, 32-byte MAC over all
/// preceding bytes. Fails with TooLarge above maxFrameBytes or for a sender name above 63 bytes.
Result<std::string> encodeFrame(const PeerFrame &frame, const PeerKey &key);

/// Checks size, magic, version and MAC, in this order, before any other field is parsed. Fails with Truncated or
/// TooLarge (size), MalformedMessage (magic or an invalid field), WrongVersion or BadMac.
Result<PeerFrame> decodeFrame(std::string_view bytes, const PeerKey &key);

/// Injected fault on the link to one peer, for failure tests.
struct LinkFault
{
    /// Drops frames in both directions.
    bool drop = false;
    /// Delay of outgoing frames.
    Duration delay{0};
};

struct PeerTransportSettings
{
    /// `ip:port` of the UDP socket and the TCP listener; port 0 lets the kernel assign one that both share.
    std::string address = "127.0.0.1:0";
    Identity self;
    PeerKey key{};
    /// Capacity of the queue of outgoing messages to the transport thread.
    std::size_t ringCapacity = 4096;
    /// Idle time after which an outgoing TCP connection is closed; accepted ones are closed after three times as long.
    Duration streamIdle = seconds(10);
};

/// A thread that owns one UDP socket and one TCP listener on the same port.
///
/// Example:
/// `PeerTransport transport(settings, metrics, [&](PeerEvent event) { ring.tryPush(std::move(event)); });`
/// `transport.setMembers(members); transport.send({"vm-2", type, payload});`
class PeerTransport
{
public:
    /// Called on the transport's thread for each verified frame.
    using Handler = std::function<void(PeerEvent)>;

    /// Opens the sockets and starts the thread; SystemCall when the address cannot be used.
    static Result<std::unique_ptr<PeerTransport>> open(PeerTransportSettings settings, Metrics &metrics,
                                                       Handler handler);
    ~PeerTransport();
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;

    /// Queues a message; returns false and counts a dropped message when the queue is full. `vm` is a member name, or
    /// `ip:port` for a daemon whose name is not yet known. Thread-safe.
    bool send(SendPeerAction message);
    /// Replaces the table of peer addresses by member name. Thread-safe.
    void setMembers(const std::vector<Member> &members);
    /// Replaces the fault of a link; a default LinkFault removes it. Thread-safe.
    void setLinkFault(const std::string &vm, LinkFault fault);
    /// Replaces the key of outgoing and incoming frames. Thread-safe.
    void setKey(const PeerKey &key);
    /// Number of received frames whose MAC was made with another key. Thread-safe.
    std::uint64_t foreignFrames() const;
    /// `ip:port` that the sockets are bound to.
    std::string address() const;
    /// True when the queue of outgoing messages is empty. Frames that are delayed by a link fault or buffered for TCP
    /// may still be unsent. Thread-safe.
    bool isIdle() const;

private:
    class Private;
    explicit PeerTransport(std::unique_ptr<Private> data);
    std::unique_ptr<Private> m_data;
};

}
