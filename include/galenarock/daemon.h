#pragma once

#include <memory>

#include <galenarock/error.h>
#include <galenarock/settings.h>

namespace Galenarock
{

/// The router daemon of an entry VM, with its proxy, control plane, peer transport and admin server.
///
/// Example:
///     Daemon daemon(settings);
///     BOOST_LEAF_CHECK(daemon.start());
///     waitForSignal();
///     return daemon.stop() ? 0 : 1;
class Daemon
{
public:
    explicit Daemon(Settings settings);
    ~Daemon();

    /// Opens the listeners and starts the threads. Fails if an address cannot be bound or the trace cannot be written.
    Result<void> start();
    /// Planned stop: keeps serving for the notice time that the load balancer needs, hands over its leadership leases
    /// and finishes the requests in flight. False if the stop deadline passed with requests still in flight.
    bool stop();

    /// Bound address as `ip:port`; call only after start().
    std::string callerAddress() const;
    std::string adminAddress() const;
    std::string peerAddress() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
