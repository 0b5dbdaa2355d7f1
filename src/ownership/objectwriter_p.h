#pragma once

#include <galenarock/control.h>

namespace Galenarock
{

enum class WriteOutcome : std::uint8_t
{
    /// Nothing was decided.
    None,
    /// The pending value is stored.
    Applied,
    /// Another value is stored; a late effect of the pending write is ruled out.
    Lost,
    /// No attempt can take effect any more; the value was dropped.
    Abandoned,
};

/// Conditional updates of one platform object (rule R7).
///
/// A write stays pending until a higher version is seen. After a lost response the object is read, and while the old
/// version is still shown, the same value is sent again under the same writer nonce: whichever attempt takes effect,
/// the version and the nonce say that it was this one.
class ObjectWriter
{
public:
    ObjectWriter(ObjectKey key, CallPriority priority, std::uint64_t seed);

    /// Starts a conditional update of the version seen last. Requires !isPending().
    void start(Instant now, nlohmann::json value, ControlActions &actions);
    WriteOutcome onResult(Instant now, const WriteResultEvent &event, ControlActions &actions);
    WriteOutcome onObject(Instant now, const StoredObject &object, bool fromPlatform, ControlActions &actions);
    /// The platform answered that the object does not exist.
    void onMissing(Instant now, ControlActions &actions);
    void tick(Instant now, ControlActions &actions);
    void read(ControlActions &actions) const;

    const ObjectKey &key() const
    {
        return m_object.key;
    }
    /// Newest version seen; version 0 while none was seen.
    const StoredObject &object() const
    {
        return m_object;
    }
    /// True once the platform has answered a read: an object, or that there is none.
    bool isKnown() const
    {
        return m_known;
    }
    bool isPending() const
    {
        return m_pending.has_value();
    }
    const nlohmann::json *pendingValue() const
    {
        return m_pending ? &m_pending->value : nullptr;
    }
    /// Sending time of the applied write, of its first attempt; contact with the platform counts from here (R6).
    Instant appliedSentAt() const
    {
        return m_appliedSentAt;
    }
    /// Time since which the platform has not answered the pending write.
    Duration unansweredFor(Instant now) const;

private:
    struct Pending
    {
        std::uint64_t expectedVersion = 0;
        std::uint64_t writer = 0;
        nlohmann::json value;
        Instant firstSentAt;
        Instant lastSentAt;
        Instant nextReadAt;
        Duration backoff;
        /// An attempt may have taken effect, or may still do so.
        bool possible = false;
    };

    void send(Instant now, ControlActions &actions);
    void scheduleRead(Instant now);
    WriteOutcome applied();
    WriteOutcome observe(const StoredObject &object);

    StoredObject m_object;
    CallPriority m_priority;
    std::uint64_t m_random;
    bool m_known = false;
    Instant m_appliedSentAt;
    std::optional<Pending> m_pending;
};

}
