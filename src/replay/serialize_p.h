#pragma once

#include <set>
#include <string>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <galenarock/jsontext.h>
#include <galenarock/replay.h>

/// cereal encoding of the trace records. A change of the encoding needs a new traceFormatVersion.
namespace Galenarock
{

template<class Archive> void save(Archive &archive, const Instant &it)
{
    archive(static_cast<std::int64_t>(it.time_since_epoch().count()));
}

template<class Archive> void load(Archive &archive, Instant &it)
{
    std::int64_t n = 0;
    archive(n);
    it = Instant(Duration(n));
}

template<class Archive> void serialize(Archive &archive, Identity &it)
{
    archive(it.name, it.boot);
}

template<class Archive> void serialize(Archive &archive, Token &it)
{
    archive(it.epoch, it.sequence);
}

template<class Archive> void serialize(Archive &archive, SliceRange &it)
{
    archive(it.first, it.last);
}

template<class Archive> void serialize(Archive &archive, SliceAssignment &it)
{
    archive(it.range, it.owner, it.sequence, it.successors);
}

template<class Archive> void serialize(Archive &archive, Assignment &it)
{
    archive(it.service, it.epoch, it.nextSequence, it.servers, it.slices);
}

template<class Archive> void serialize(Archive &archive, ObjectKey &it)
{
    archive(it.kind, it.name);
}

template<class Archive> void save(Archive &archive, const StoredObject &it)
{
    archive(it.key, it.version, it.writer, jsonText(it.value));
}

template<class Archive> void load(Archive &archive, StoredObject &it)
{
    std::string text;
    archive(it.key, it.version, it.writer, text);
    it.value = nlohmann::json::parse(text, nullptr, false);
}

template<class Archive> void serialize(Archive &archive, VmEntry &it)
{
    archive(it.name, it.role, it.service, it.failureDomain, it.address, it.peerAddress, it.state);
}

template<class Archive> void serialize(Archive &archive, VmList &it)
{
    archive(it.revision, it.vms);
}

template<class Archive> void serialize(Archive &archive, GrantedSlice &it)
{
    archive(it.range, it.sequence);
}

template<class Archive> void serialize(Archive &archive, GrantRequest &it)
{
    archive(it.service, it.sender, it.boot, it.epoch, it.nonce, it.termMs, it.action, it.slices);
}

template<class Archive> void serialize(Archive &archive, GrantReply &it)
{
    archive(it.boot, it.epoch, it.nonce, it.accepted, it.reason, it.state, it.inFlight, it.held);
}

template<class Archive> void serialize(Archive &archive, Member &it)
{
    archive(it.identity, it.failureDomain, it.address, it.peerAddress, it.status, it.listed);
}

template<class Archive> void serialize(Archive &, TickEvent &)
{
}

template<class Archive> void serialize(Archive &archive, VmListEvent &it)
{
    archive(it.list);
}

template<class Archive> void serialize(Archive &archive, ObjectEvent &it)
{
    archive(it.object, it.fromPlatform);
}

template<class Archive> void serialize(Archive &archive, ObjectMissingEvent &it)
{
    archive(it.key);
}

template<class Archive> void serialize(Archive &archive, WriteResultEvent &it)
{
    archive(it.key, it.writer, it.sentAt, it.status, it.current);
}

template<class Archive> void serialize(Archive &archive, GrantReplyEvent &it)
{
    archive(it.server, it.request, it.sentAt, it.reply);
}

template<class Archive> void serialize(Archive &archive, PeerEvent &it)
{
    archive(it.sender, it.type, it.payload);
}

template<class Archive> void serialize(Archive &archive, MembersEvent &it)
{
    archive(it.members);
}

template<class Archive> void serialize(Archive &, StopEvent &)
{
}

template<class Archive> void serialize(Archive &archive, KindSyncedEvent &it)
{
    archive(it.kind, it.revision);
}

template<class Archive> void serialize(Archive &archive, StoreEraEvent &it)
{
    archive(it.era);
}

template<class Archive> void serialize(Archive &archive, ServerLeavingEvent &it)
{
    archive(it.server);
}

template<class Archive> void save(Archive &archive, const LeaseReplyEvent &it)
{
    const auto &call = it.call;
    archive(call.service, call.server, call.address, call.command, call.range, call.fencingToken,
            call.grantDuration.count(), call.releaseProof, call.callNumber, call.sendBefore, it.sentAt, it.status,
            it.releaseProof);
}

template<class Archive> void load(Archive &archive, LeaseReplyEvent &it)
{
    Duration::rep durationCount = 0;
    auto &call = it.call;
    archive(call.service, call.server, call.address, call.command, call.range, call.fencingToken, durationCount,
            call.releaseProof, call.callNumber, call.sendBefore, it.sentAt, it.status, it.releaseProof);
    call.grantDuration = Duration(durationCount);
}

template<class Archive> void serialize(Archive &archive, ReadObjectAction &it)
{
    archive(it.key, it.priority);
}

template<class Archive> void save(Archive &archive, const WriteObjectAction &it)
{
    archive(it.key, it.expectedVersion, it.writer, jsonText(it.value), it.priority);
}

template<class Archive> void load(Archive &archive, WriteObjectAction &it)
{
    std::string text;
    archive(it.key, it.expectedVersion, it.writer, text, it.priority);
    it.value = nlohmann::json::parse(text, nullptr, false);
}

template<class Archive> void serialize(Archive &archive, CallServerAction &it)
{
    archive(it.server, it.address, it.request);
}

template<class Archive> void serialize(Archive &archive, SendPeerAction &it)
{
    archive(it.vm, it.type, it.payload);
}

template<class Archive> void serialize(Archive &archive, PublishAssignmentAction &it)
{
    archive(it.assignment);
}

template<class Archive> void serialize(Archive &archive, PublishMembersAction &it)
{
    archive(it.members);
}

/// Event names are string views of constants. Names read from a file are stored until the process ends, so that the
/// views stay valid.
inline std::string_view internedName(const std::string &name)
{
    static std::mutex mutex;
    static std::set<std::string> names;
    const std::lock_guard lock(mutex);
    return *names.insert(name).first;
}

template<class Archive> void save(Archive &archive, const DecisionAction &it)
{
    archive(it.event.number, it.event.severity, std::string(it.event.name), it.service, it.range, it.text);
}

template<class Archive> void load(Archive &archive, DecisionAction &it)
{
    std::string name;
    archive(it.event.number, it.event.severity, name, it.service, it.range, it.text);
    it.event.name = internedName(name);
}

template<class Archive> void serialize(Archive &archive, TraceHeader &it)
{
    archive(it.seed, it.daemon, it.startedAt, it.startedWallMs);
}

template<class Archive> void serialize(Archive &archive, EventRecord &it)
{
    archive(it.at, it.event);
}

template<class Archive> void serialize(Archive &archive, ActionRecord &it)
{
    archive(it.at, it.core, it.action);
}

template<class Archive> void serialize(Archive &archive, AcceptedRecord &it)
{
    archive(it.at, it.number, it.requestId, it.service, it.key, it.isRepeatable);
}

template<class Archive> void serialize(Archive &archive, OutcomeRecord &it)
{
    archive(it.at, it.number, it.token, it.server, it.outcome, it.reason);
}

template<class Archive> void serialize(Archive &archive, JournalRecord &it)
{
    archive(it.server, it.service, it.requestId, it.key, it.token, it.startedAt, it.endedAt);
}

template<class Archive> void serialize(Archive &archive, HoldRecord &it)
{
    archive(it.server, it.service, it.range, it.token, it.from, it.until);
}

template<class Archive> void serialize(Archive &archive, ConfigurationRecord &it)
{
    archive(it.at, it.service, it.version);
}

template<class Archive> void serialize(Archive &archive, LeavingRecord &it)
{
    archive(it.at, it.server);
}

template<class Archive> void serialize(Archive &archive, TraceEnd &it)
{
    archive(it.records);
}

std::string encodeRecord(const TraceRecord &record);
std::string encodeAction(const ControlAction &action);

}
