#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>

#include "httpserver_p.h"
#include "objectstore_p.h"

namespace Galenarock::Standin
{

/// How an outage shows to clients.
enum class PlatformOutage : std::uint8_t
{
    None,
    /// Status 503.
    Unavailable,
    /// The connection is closed without a response.
    Closes,
    /// No response until the outage ends, then 503.
    Hangs,
};

/// Faults and limits of the platform stand-in; body of `POST /control/faults`, where absent fields keep their value.
struct PlatformFaults
{
    PlatformOutage outage = PlatformOutage::None;
    /// Delay of each response; the effect is immediate.
    std::int64_t latencyMs = 0;
    /// Number of next writes whose response is lost after the write took effect.
    std::uint64_t loseAnswers = 0;
    /// Delay before a write is checked and takes effect; its response follows the effect.
    std::int64_t delayEffectMs = 0;
    std::int64_t staleReadMs = 0;
    std::int64_t watchLagMs = 0;
    std::int64_t vmListLagMs = 0;
    double readsPerSecond = 2'000;
    double writesPerSecond = 400;
};

nlohmann::json toJson(const PlatformFaults &faults);
/// Applies the fields of `json` to `faults`; returns all that is wrong, and changes nothing then.
Findings applyFaults(const nlohmann::json &json, PlatformFaults &faults);

/// Token bucket that holds a quarter of a second of the rate. Has no clock.
class CallCeiling
{
public:
    /// `occupied` calls a second are in use by waiting watches.
    bool take(Instant now, double perSecond, double occupied);

private:
    double m_tokens = 0;
    Instant m_filledAt;
    bool m_isFilled = false;
};

/// Answers the platform's object API (design page, section 6.1) and the stand-in's control calls.
class PlatformServer : public HttpHandler
{
public:
    PlatformServer(EventLoop &loop, const PlatformFaults &faults);
    ~PlatformServer() override;
    PlatformServer(const PlatformServer &) = delete;
    PlatformServer &operator=(const PlatformServer &) = delete;

    Result<void> open(const ListenAddress &address)
    {
        return m_server.open(address);
    }
    std::string address() const
    {
        return m_server.address();
    }
    void complete(const HttpExchangePtr &exchange) override;
    void ended(const HttpExchangePtr &exchange, bool sent) override;

private:
    struct Watch
    {
        HttpExchangePtr exchange;
        std::string kind;
        std::uint64_t since = 0;
        TimerId timeout = 0;
    };
    struct CallCount
    {
        std::uint64_t accepted = 0;
        std::uint64_t rateLimited = 0;
    };
    struct VmListVersion
    {
        Instant changedAt;
        std::uint64_t revision = 0;
        nlohmann::json vms;
    };

    void objectCall(const HttpExchangePtr &exchange);
    bool isAdmitted(const HttpExchangePtr &exchange, const char *call, const std::string &kind, bool isWrite);
    void readObject(const HttpExchangePtr &exchange, const ObjectKey &key);
    void listObjects(const HttpExchangePtr &exchange, const std::string &kind);
    void writeObject(const HttpExchangePtr &exchange, const ObjectKey &key);
    void applyWrite(const HttpExchangePtr &exchange, const ObjectWrite &write);
    void startWatch(const HttpExchangePtr &exchange);
    bool answerWatch(const Watch &watch, bool isFinal);
    void answerWatches();
    void endWatches();
    void listVms(const HttpExchangePtr &exchange);

    void controlCall(const HttpExchangePtr &exchange);
    void setFaults(const HttpExchangePtr &exchange);
    void reportCalls(const HttpExchangePtr &exchange);
    void putVms(const HttpExchangePtr &exchange);
    void changeVm(const HttpExchangePtr &exchange, const std::string &name);
    void storeVms(nlohmann::json vms);

    /// Sends a response of the object API after the configured latency.
    void reply(const HttpExchangePtr &exchange, HttpResponse response);
    bool isOut(const HttpExchangePtr &exchange);
    Instant before(std::int64_t ms) const;

    EventLoop &m_loop;
    HttpServer m_server;
    PlatformFaults m_faults;
    ObjectStore m_store;
    std::list<Watch> m_watches;
    std::vector<HttpExchangePtr> m_hanging;
    std::map<std::pair<std::string, std::string>, CallCount> m_calls;
    std::deque<VmListVersion> m_vmLists;
    CallCeiling m_readCeiling;
    CallCeiling m_writeCeiling;
};

}
