#include "ownership/objectwriter_p.h"

#include "ownership/random_p.h"

namespace Galenarock
{

namespace
{
constexpr Duration firstBackoff = milliseconds(200);
constexpr Duration longestBackoff = seconds(2);
/// An attempt without any result for this long counts as one whose response was lost.
constexpr Duration resultTimeout = seconds(2);
}

ObjectWriter::ObjectWriter(ObjectKey key, CallPriority priority, std::uint64_t seed)
    : m_priority(priority)
    , m_random(seed)
{
    m_object.key = std::move(key);
}

void ObjectWriter::start(Instant now, nlohmann::json value, ControlActions &actions)
{
    Pending pending;
    pending.expectedVersion = m_object.version;
    pending.writer = nextNonce(m_random);
    pending.value = std::move(value);
    pending.firstSentAt = now;
    pending.backoff = firstBackoff;
    m_pending = std::move(pending);
    send(now, actions);
}

void ObjectWriter::send(Instant now, ControlActions &actions)
{
    m_pending->lastSentAt = now;
    m_pending->nextReadAt = now + resultTimeout;
    actions.push_back(
        WriteObjectAction{m_object.key, m_pending->expectedVersion, m_pending->writer, m_pending->value, m_priority});
}

WriteOutcome ObjectWriter::onResult(Instant now, const WriteResultEvent &event, ControlActions &actions)
{
    if (!m_pending || event.writer != m_pending->writer) {
        return WriteOutcome::None;
    }
    switch (event.status) {
    case WriteStatus::Applied:
        m_object.version = m_pending->expectedVersion + 1;
        return applied();
    case WriteStatus::Conflict:
        return onObject(now, event.current, true, actions);
    case WriteStatus::NotSent:
        if (m_pending->possible) {
            scheduleRead(now);
            return WriteOutcome::None;
        }
        m_pending.reset();
        return WriteOutcome::Abandoned;
    case WriteStatus::Unknown:
        m_pending->possible = true;
        read(actions);
        scheduleRead(now);
        return WriteOutcome::None;
    }
    return WriteOutcome::None;
}

WriteOutcome ObjectWriter::onObject(Instant now, const StoredObject &object, bool fromPlatform, ControlActions &actions)
{
    m_known = m_known || fromPlatform;
    const bool isStill = m_pending && m_pending->possible && object.version == m_pending->expectedVersion;
    if (isStill && fromPlatform && now - m_pending->lastSentAt >= firstBackoff) {
        send(now, actions);
        return WriteOutcome::None;
    }
    return observe(object);
}

WriteOutcome ObjectWriter::observe(const StoredObject &object)
{
    if (object.version <= m_object.version) {
        return WriteOutcome::None;
    }
    m_object = object;
    if (!m_pending || object.version <= m_pending->expectedVersion) {
        return WriteOutcome::None;
    }
    if (object.version == m_pending->expectedVersion + 1 && object.writer == m_pending->writer) {
        return applied();
    }
    m_pending.reset();
    return WriteOutcome::Lost;
}

WriteOutcome ObjectWriter::applied()
{
    m_object.writer = m_pending->writer;
    m_object.value = std::move(m_pending->value);
    m_appliedSentAt = m_pending->firstSentAt;
    m_known = true;
    m_pending.reset();
    return WriteOutcome::Applied;
}

void ObjectWriter::onMissing(Instant now, ControlActions &actions)
{
    m_known = true;
    if (m_pending && m_pending->possible && m_pending->expectedVersion == 0
        && now - m_pending->lastSentAt >= firstBackoff) {
        send(now, actions);
    }
}

void ObjectWriter::tick(Instant now, ControlActions &actions)
{
    if (!m_pending || now < m_pending->nextReadAt) {
        return;
    }
    m_pending->possible = true;
    read(actions);
    scheduleRead(now);
}

void ObjectWriter::read(ControlActions &actions) const
{
    actions.push_back(ReadObjectAction{m_object.key, m_priority});
}

void ObjectWriter::scheduleRead(Instant now)
{
    const auto jitter = Duration(nextRandom(m_random) % static_cast<std::uint64_t>(m_pending->backoff.count()));
    m_pending->nextReadAt = now + m_pending->backoff / 2 + jitter;
    m_pending->backoff = std::min(m_pending->backoff * 2, longestBackoff);
}

Duration ObjectWriter::unansweredFor(Instant now) const
{
    return m_pending ? now - m_pending->firstSentAt : Duration::zero();
}

}
