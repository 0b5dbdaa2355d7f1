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

/// Key of the frames' MAC; all daemons of a deployment share it.
using PeerKey = std::array<unsigned char, 32>;

/// Derives the key from the secret text of the settings.
PeerKey peerKeyFromSecret(std::string_view secret);

/// Frames up to this size travel by UDP; fits an Ethernet frame with IPv6 and tunnel headers.
inline constexpr std::size_t maxDatagramBytes = 1'200;
/// Frames above this size are not sent and not accepted.
inline constexpr std::size_t maxFrameBytes = 4 << 20;
/// Frame size beyond payload and sender name.
inline constexpr std::size_t frameOverheadBytes = 1 + 4 + 1 + 1 + 8 + 8 + 2 + 4 + 32;
/// Payloads up to this size fit one datagram with any sender name of up to 63 bytes.
inline constexpr std::size_t maxDatagramPayload = maxDatagramBytes - frameOverheadBytes - 63;

/// Content of a frame.
struct PeerFrame
{
    Identity sender;
    /// Grows with each frame of the sender; a receiver drops a counter that it has seen.
    std::uint64_t counter = 0;
    std::uint16_t type = 0;
    std::string payload;

    friend bool operator==(const PeerFrame &a, const PeerFrame &b)
    {
        return a.sender == b.sender && a.counter == b.counter && a.type == b.type && a.payload == b.payload;
    }
};

/// Layout: byte order mark 1, magic `GRK1`, version, sender name and boot, counter, type, payload, 32 bytes MAC over
/// everything before it. TooLarge above maxFrameBytes or for a name above 63 bytes.
Result<std::string> encodeFrame(const PeerFrame &frame, const PeerKey &key);

/// Checks size, magic, version and MAC in this order before any field is read: Truncated, TooLarge, MalformedMessage,
/// WrongVersion or BadMac.
Result<PeerFrame> decodeFrame(std::string_view bytes, const PeerKey &key);

/// Fault on the links to and from one peer, for failure tests.
struct LinkFault
{
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
    /// Outgoing messages that may wait for the transport thread.
    std::size_t ringCapacity = 4096;
    /// An idle TCP connection is closed after this time.
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

    /// Queues a message; false when the ring is full (counted). `vm` is a member's name, or `ip:port` for a daemon
    /// whose name is not yet known. Any thread.
    bool send(SendPeerAction message);
    /// Replaces the addresses by name. Any thread.
    void setMembers(const std::vector<Member> &members);
    /// A default LinkFault removes the fault. Any thread.
    void setLinkFault(const std::string &vm, LinkFault fault);
    /// `ip:port` in use.
    std::string address() const;
    /// True when all queued messages have been handed to the kernel. Any thread.
    bool isIdle() const;

private:
    class Private;
    explicit PeerTransport(std::unique_ptr<Private> data);
    std::unique_ptr<Private> m_data;
};

}
