#pragma once

#include <galenarock/eventlog.h>

/// Log events of the membership module (4xx).
namespace Galenarock::Events
{
inline constexpr EventType MemberJoined{401, Severity::Info, "member-joined"};
inline constexpr EventType MemberSuspected{402, Severity::Warning, "member-suspected"};
inline constexpr EventType MemberDead{403, Severity::Warning, "member-dead"};
inline constexpr EventType MemberAlive{404, Severity::Info, "member-alive"};
inline constexpr EventType MemberLeaving{405, Severity::Info, "member-leaving"};
inline constexpr EventType MemberForgotten{406, Severity::Info, "member-forgotten"};
inline constexpr EventType OwnPause{407, Severity::Warning, "own-pause"};
inline constexpr EventType OwnSuspicionRefuted{408, Severity::Warning, "own-suspicion-refuted"};
inline constexpr EventType PeerBuildSeen{409, Severity::Info, "peer-build-seen"};
inline constexpr EventType PeerBuildMalformed{410, Severity::Warning, "peer-build-malformed"};
}
