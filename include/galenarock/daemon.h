#pragma once

#include <memory>

#include <galenarock/error.h>
#include <galenarock/settings.h>

namespace Galenarock
{

/// The whole daemon of one entry VM.
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

    /// Opens the listeners and starts the threads; fails when an address cannot be bound.
    Result<void> start();
    /// Planned stop: serves through the balancer's notice time, hands mandates over, finishes every request in flight.
    /// False when the stop deadline cut something off.
    bool stop();

    /// `ip:port` actually bound.
    std::string callerAddress() const;
    std::string adminAddress() const;
    std::string peerAddress() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
