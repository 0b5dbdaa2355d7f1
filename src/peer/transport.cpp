#include <galenarock/peer.h>

#include <atomic>
#include <cerrno>
#include <cstring>
#include <map>
#include <mutex>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>

#include <fmt/format.h>

#include <galenarock/ring.h>
#include <galenarock/thread.h>

#include "base/guard_p.h"
#include "peer/events_p.h"
#include "peer/replaywindow_p.h"
#include "peer/streams_p.h"

namespace Galenarock
{

namespace
{
/// Upper limit of one epoll timeout, so that idle connections are closed in time.
constexpr int MaxPollTimeoutMs = 500;
/// Maximum datagrams read before outgoing messages are sent.
constexpr int MaxDatagramsPerPoll = 256;
constexpr int MaxEventsPerPoll = 64;

void watchForInput(int epoll, int fd)
{
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = fd;
    ::epoll_ctl(epoll, EPOLL_CTL_ADD, fd, &event);
}
}

class PeerTransport::Private
{
public:
    Private(PeerTransportSettings settings, SocketPair sockets, Metrics &metrics, Handler handler);
    ~Private();

    bool send(SendPeerAction message);
    void setMembers(const std::vector<Member> &members);
    void setLinkFault(const std::string &vm, LinkFault fault);
    void setKey(const PeerKey &key);
    std::uint64_t foreignFrames() const
    {
        return m_foreignFrames.load();
    }
    std::string address() const
    {
        return toString(m_sockets.address);
    }
    bool isIdle() const
    {
        return m_queuedMessages.load() == 0;
    }

private:
    void run();
    void pollOnce();
    int pollTimeoutMs() const;
    void handleSocket(const epoll_event &event, Instant now);
    void sendQueued();
    void sendOrDelay(const SendPeerAction &message, Instant now);
    void sendDelayed(Instant now);
    void sendNow(const SendPeerAction &message, Instant now);
    void transmit(const SendPeerAction &message, const std::string &frame, const sockaddr_in &address, Instant now);
    std::optional<sockaddr_in> addressOf(const std::string &vm);
    LinkFault faultOf(const std::string &vm);
    PeerKey key();
    void receiveDatagrams();
    void onFrame(std::string_view bytes);
    void wakeThread();
    Counter &rejectedCounter(ErrorCode code);

    const PeerTransportSettings m_settings;
    const SocketPair m_sockets;
    Metrics &m_metrics;
    const Handler m_handler;
    Descriptor m_epoll;
    Descriptor m_wakeEvent;
    Streams m_streams;

    std::mutex m_sendMutex; ///< Serializes the producers of m_ring; locked for one push.
    Ring<SendPeerAction> m_ring;
    std::atomic<std::uint64_t> m_queuedMessages{0};
    std::atomic<std::uint64_t> m_foreignFrames{0};
    std::mutex m_peersMutex; ///< Guards m_key, m_addresses and m_faults.
    PeerKey m_key;
    std::map<std::string, sockaddr_in> m_addresses;
    std::map<std::string, LinkFault> m_faults;
    std::atomic<bool> m_stop{false};

    std::uint64_t m_frameCounter = 0;
    ReplayWindow m_replayWindow;
    std::multimap<Instant, SendPeerAction> m_delayed;
    Thread m_thread; ///< Last member, because the thread uses all others.
};

PeerTransport::Private::Private(PeerTransportSettings settings, SocketPair sockets, Metrics &metrics, Handler handler)
    : m_settings(std::move(settings))
    , m_sockets(std::move(sockets))
    , m_metrics(metrics)
    , m_handler(std::move(handler))
    , m_epoll(::epoll_create1(EPOLL_CLOEXEC))
    , m_wakeEvent(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    , m_streams(m_epoll.get(), m_settings.streamIdle, [this](std::string_view bytes) { onFrame(bytes); })
    , m_ring(m_settings.ringCapacity)
    , m_key(m_settings.key)
{
    watchForInput(m_epoll.get(), m_wakeEvent.get());
    watchForInput(m_epoll.get(), m_sockets.datagram.get());
    watchForInput(m_epoll.get(), m_sockets.listener.get());
    logEvent(Events::PeerListening, "address {} identity {}", address(), toString(m_settings.self));
    m_thread = Thread("peer", [this] { run(); });
}

PeerTransport::Private::~Private()
{
    m_stop.store(true);
    wakeThread();
    m_thread.join();
}

void PeerTransport::Private::wakeThread()
{
    const std::uint64_t one = 1;
    if (::write(m_wakeEvent.get(), &one, sizeof one) < 0) {
        return; // the eventfd counter is at its maximum, so a wakeup is already pending
    }
}

bool PeerTransport::Private::send(SendPeerAction message)
{
    {
        const std::lock_guard lock(m_sendMutex);
        m_queuedMessages.fetch_add(1);
        if (!m_ring.tryPush(std::move(message))) {
            m_queuedMessages.fetch_sub(1);
            m_metrics.counter("galenarock_peer_dropped_total", "reason=\"ring-full\"").add();
            return false;
        }
    }
    wakeThread();
    return true;
}

void PeerTransport::Private::setMembers(const std::vector<Member> &members)
{
    std::map<std::string, sockaddr_in> addresses;
    for (const auto &it : members) {
        const auto address = parseSocketAddress(it.peerAddress);
        if (!address) {
            continue;
        }
        addresses[it.identity.name] = *address;
    }
    const std::lock_guard lock(m_peersMutex);
    m_addresses = std::move(addresses);
}

void PeerTransport::Private::setLinkFault(const std::string &vm, LinkFault fault)
{
    const std::lock_guard lock(m_peersMutex);
    if (!fault.drop && fault.delay == Duration::zero()) {
        m_faults.erase(vm);
        return;
    }
    m_faults[vm] = fault;
}

void PeerTransport::Private::setKey(const PeerKey &key)
{
    const std::lock_guard lock(m_peersMutex);
    m_key = key;
}

PeerKey PeerTransport::Private::key()
{
    const std::lock_guard lock(m_peersMutex);
    return m_key;
}

std::optional<sockaddr_in> PeerTransport::Private::addressOf(const std::string &vm)
{
    const std::lock_guard lock(m_peersMutex);
    const auto it = m_addresses.find(vm);
    return it == m_addresses.end() ? parseSocketAddress(vm) : it->second;
}

LinkFault PeerTransport::Private::faultOf(const std::string &vm)
{
    const std::lock_guard lock(m_peersMutex);
    const auto it = m_faults.find(vm);
    return it == m_faults.end() ? LinkFault() : it->second;
}

void PeerTransport::Private::run()
{
    while (!m_stop.load()) {
        pollOnce();
    }
}

int PeerTransport::Private::pollTimeoutMs() const
{
    if (m_delayed.empty()) {
        return MaxPollTimeoutMs;
    }
    const auto left = duration_cast<milliseconds>(m_delayed.begin()->first - MonotonicClock::now()).count() + 1;
    return static_cast<int>(std::clamp<std::int64_t>(left, 0, MaxPollTimeoutMs));
}

void PeerTransport::Private::pollOnce()
{
    epoll_event events[MaxEventsPerPoll];
    const int count = ::epoll_wait(m_epoll.get(), events, MaxEventsPerPoll, pollTimeoutMs());
    const auto now = MonotonicClock::now();
    for (int n = 0; n < count; ++n) {
        runGuarded("socket of other daemons", [&] { handleSocket(events[n], now); });
    }
    sendQueued();
    runGuarded("delayed messages", [&] { sendDelayed(now); });
    runGuarded("idle connections of daemons", [&] { m_streams.closeIdle(now); });
}

void PeerTransport::Private::handleSocket(const epoll_event &event, Instant now)
{
    const int fd = event.data.fd;
    if (fd == m_wakeEvent.get()) {
        std::uint64_t ignored = 0;
        static_cast<void>(::read(fd, &ignored, sizeof ignored) < 0);
    } else if (fd == m_sockets.datagram.get()) {
        receiveDatagrams();
    } else if (fd == m_sockets.listener.get()) {
        m_streams.acceptConnections(fd, now);
    } else if (m_streams.owns(fd)) {
        m_streams.onReady(fd, event.events, now);
    }
}

void PeerTransport::Private::sendQueued()
{
    SendPeerAction message;
    while (m_ring.tryPop(message)) {
        runGuarded("message to another daemon", [&] { sendOrDelay(message, MonotonicClock::now()); });
        m_queuedMessages.fetch_sub(1);
    }
}

void PeerTransport::Private::sendOrDelay(const SendPeerAction &message, Instant now)
{
    const auto fault = faultOf(message.vm);
    if (fault.drop) {
        m_metrics.counter("galenarock_peer_dropped_total", "reason=\"link-fault\"").add();
    } else if (fault.delay > Duration::zero()) {
        m_delayed.emplace(now + fault.delay, message);
    } else {
        sendNow(message, now);
    }
}

void PeerTransport::Private::sendDelayed(Instant now)
{
    while (!m_delayed.empty() && m_delayed.begin()->first <= now) {
        sendNow(m_delayed.begin()->second, now);
        m_delayed.erase(m_delayed.begin());
    }
}

void PeerTransport::Private::sendNow(const SendPeerAction &message, Instant now)
{
    const auto address = addressOf(message.vm);
    if (!address) {
        m_metrics.counter("galenarock_peer_dropped_total", "reason=\"unknown-member\"").add();
        logEvent(Events::PeerUnknownMember, "no address for member '{}'; dropped message of type {}", message.vm,
                 message.type);
        return;
    }
    tryOr(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(frame,
                            encodeFrame({m_settings.self, ++m_frameCounter, message.type, message.payload}, key()));
            transmit(message, frame, *address, now);
            return {};
        },
        [&](ErrorCode code, const std::string &detail) {
            m_metrics.counter("galenarock_peer_dropped_total", "reason=\"too-large\"").add();
            logEvent(Events::PeerSendFailed, "dropped message: {}: {}", errorMessage(code), detail);
        });
}

void PeerTransport::Private::transmit(const SendPeerAction &message, const std::string &frame,
                                      const sockaddr_in &address, Instant now)
{
    const bool isDatagram = frame.size() <= maxDatagramBytes;
    bool isSent = false;
    if (isDatagram) {
        isSent = ::sendto(m_sockets.datagram.get(), frame.data(), frame.size(), MSG_NOSIGNAL,
                          reinterpret_cast<const sockaddr *>(&address), sizeof address)
            >= 0;
    } else {
        isSent = m_streams.send(address, frame, now);
    }
    if (!isSent) {
        m_metrics.counter("galenarock_peer_dropped_total", "reason=\"send-failed\"").add();
        logEvent(Events::PeerSendFailed, "dropped message of type {} to {}: {}", message.type, message.vm,
                 std::strerror(errno));
        return;
    }
    const auto *label = isDatagram ? "transport=\"udp\"" : "transport=\"tcp\"";
    m_metrics.counter("galenarock_peer_sent_total", label).add();
    m_metrics.counter("galenarock_peer_sent_bytes_total", label).add(frame.size());
}

void PeerTransport::Private::receiveDatagrams()
{
    char buf[maxDatagramBytes + 1];
    for (int n = 0; n < MaxDatagramsPerPoll; ++n) {
        const auto size = ::recv(m_sockets.datagram.get(), buf, sizeof buf, 0);
        if (size < 0) {
            return;
        }
        onFrame({buf, static_cast<std::size_t>(size)});
    }
}

Counter &PeerTransport::Private::rejectedCounter(ErrorCode code)
{
    return m_metrics.counter("galenarock_peer_rejected_total", fmt::format("reason=\"{}\"", errorMessage(code)));
}

void PeerTransport::Private::onFrame(std::string_view bytes)
{
    tryOr(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(frame, decodeFrame(bytes, key()));
            if (!m_replayWindow.accept(frame.sender, frame.counter)) {
                m_metrics.counter("galenarock_peer_rejected_total", "reason=\"repeated\"").add();
                return {};
            }
            if (faultOf(frame.sender.name).drop) {
                m_metrics.counter("galenarock_peer_dropped_total", "reason=\"link-fault\"").add();
                return {};
            }
            m_metrics.counter("galenarock_peer_received_total").add();
            m_metrics.counter("galenarock_peer_received_bytes_total").add(bytes.size());
            runGuarded("peer message", [&] {
                m_handler(PeerEvent{std::move(frame.sender), frame.type, std::move(frame.payload)});
            });
            return {};
        },
        [&](ErrorCode code, const std::string &detail) {
            rejectedCounter(code).add();
            m_foreignFrames += code == ErrorCode::BadMac ? 1 : 0;
            logEvent(Events::PeerFrameRejected, "dropped received frame: {}: {}", errorMessage(code), detail);
        });
}

PeerTransport::PeerTransport(std::unique_ptr<Private> data)
    : m_data(std::move(data))
{
}

PeerTransport::~PeerTransport() = default;

Result<std::unique_ptr<PeerTransport>> PeerTransport::open(PeerTransportSettings settings, Metrics &metrics,
                                                           Handler handler)
{
    BOOST_LEAF_AUTO(sockets, bindSocketPair(settings.address));
    auto data = std::make_unique<Private>(std::move(settings), std::move(sockets), metrics, std::move(handler));
    return std::unique_ptr<PeerTransport>(new PeerTransport(std::move(data)));
}

bool PeerTransport::send(SendPeerAction message)
{
    return m_data->send(std::move(message));
}

void PeerTransport::setMembers(const std::vector<Member> &members)
{
    m_data->setMembers(members);
}

void PeerTransport::setLinkFault(const std::string &vm, LinkFault fault)
{
    m_data->setLinkFault(vm, fault);
}

void PeerTransport::setKey(const PeerKey &key)
{
    m_data->setKey(key);
}

std::uint64_t PeerTransport::foreignFrames() const
{
    return m_data->foreignFrames();
}

std::string PeerTransport::address() const
{
    return m_data->address();
}

bool PeerTransport::isIdle() const
{
    return m_data->isIdle();
}

}
