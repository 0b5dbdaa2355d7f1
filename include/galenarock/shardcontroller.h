#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <galenarock/control.h>
#include <galenarock/document.h>
#include <galenarock/placement.h>

namespace Galenarock
{

/// The right to coordinate one control shard, as stored in the platform object `mandate/<shard>`.
///
/// JSON shape: `{"epoch":3,"coordinator":"vm-1#77","deputy":"vm-2#78","former":["vm-3#79"]}`; `deputy` is empty text
/// when there is none.
struct Mandate
{
    std::uint32_t epoch = 0;
    Identity coordinator;
    std::optional<Identity> deputy;
    /// Members of earlier pairs that may still renew some server, because not every server was fenced since.
    std::vector<Identity> former;

    friend bool operator==(const Mandate &a, const Mandate &b)
    {
        return a.epoch == b.epoch && a.coordinator == b.coordinator && a.deputy == b.deputy && a.former == b.former;
    }
};

nlohmann::json toJson(const Mandate &mandate);
Result<Mandate> mandateFromJson(const nlohmann::json &json);

enum class ShardRole : std::uint8_t
{
    None,
    Deputy,
    Coordinator,
};

struct ShardSettings
{
    Identity self;
    std::string failureDomain;
    /// Name of the mandate and assignment objects; the service's name unless a service has several shards.
    std::string shard;
    ServiceDocument document;
    /// Source of write and contact nonces and of jitter; random in the daemon, fixed in tests.
    std::uint64_t seed = 1;
    /// Empty means evenPlacement().
    PlacementPolicy policy;
    /// True when no command of this daemon waits in an outgoing ring (R9). Empty means always true.
    std::function<bool()> outgoingEmpty;
    /// Pools that do not check grants: whether a request of the range that this daemon sent to the server may still
    /// run. A request whose connection broke counts until the server is gone. Empty means never.
    std::function<bool(const Identity &server, const SliceRange &range)> mayRun;
};

/// What this daemon knows about one backend server of the shard.
struct ServerStatus
{
    Identity identity;
    std::string failureDomain;
    bool listed = true;
    bool leaving = false;
    bool responsive = false;
    /// This daemon sends no renewals.
    bool stopped = false;
    ServerState state = ServerState::Cold;
    std::uint32_t epoch = 0;
    std::vector<GrantedSlice> held;
};

struct ShardStatus
{
    ShardRole role = ShardRole::None;
    std::optional<Mandate> mandate;
    /// Coordinator: the assignment carries the mandate's epoch, so the old pair can no longer write.
    bool stamped = false;
    /// Renewals have ended because of the hold cap (R6).
    bool holdCapReached = false;
    bool platformDown = false;
    std::vector<ServerStatus> servers;
    /// Slices whose owner is known to hold them no longer and that wait for a new one.
    std::vector<SliceRange> unowned;
    /// One line for each thing that the coordinator waits for.
    std::vector<std::string> waitingFor;
};

/// Default policy: equal numbers of slices for each server, two successors by rendezvous hash.
std::vector<SliceTarget> evenPlacement(const PlacementInput &input);

class Shard;

/// Control core of one shard on one daemon; rules R2 to R10 of docs/design.md. A daemon has one for each service with
/// keyed distribution; for a balanced service it does nothing.
///
/// With a single daemon there is no deputy: when that daemon is lost, all terms end and no slice is served until a
/// daemon has started and has taken the mandate.
///
/// Example:
///     ShardController controller({self, "rioja", "vitrina", document, randomNonce()});
///     for (const auto &action : controller.step(MonotonicClock::now(), TickEvent())) { carryOut(action); }
class ShardController
{
public:
    explicit ShardController(ShardSettings settings);
    ShardController(ShardController &&) noexcept;
    ShardController &operator=(ShardController &&) noexcept;
    ~ShardController();

    /// Never throws for malformed objects or messages; they are reported as decisions and ignored.
    ControlActions step(Instant now, const ControlEvent &event);

    /// A new version of the service's document is in effect.
    void setDocument(const ServiceDocument &document);

    /// Load by slice of assignment() and the hottest keys, for the next placement round.
    void setLoads(std::vector<SliceLoad> loads, std::vector<HotKey> hotKeys);

    ShardRole role() const;
    std::uint32_t epoch() const;
    /// The newest assignment known to this daemon; null while none is known.
    const Assignment *assignment() const;
    /// After StopEvent: true when this daemon holds no part of the mandate any more.
    bool isHandedOver() const;
    /// Pools that do not check grants: end of this daemon's permit to route. Empty for pools that check.
    /// The control thread copies it to the routing threads after each step.
    std::optional<Instant> routePermitEnd() const;
    ShardStatus status(Instant now) const;
    /// Why the slice of `hash` has its owner or has none, one line each.
    std::vector<std::string> explain(Instant now, KeyHash hash) const;

private:
    std::unique_ptr<Shard> m_shard;
};

}
