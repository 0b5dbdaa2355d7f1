#pragma once

#include <galenarock/eventlog.h>

/// Log events of the gateway, numbers 120 to 139. Documented in docs/events.md.
namespace Galenarock::Events
{

inline constexpr EventType ConfigurationAdopted{120, Severity::Info, "configuration-adopted"};
inline constexpr EventType ConfigurationRefused{121, Severity::Error, "configuration-refused"};
inline constexpr EventType ServerSeen{122, Severity::Info, "server-seen"};
inline constexpr EventType ServerGone{123, Severity::Info, "server-gone"};
inline constexpr EventType ServerRefused{124, Severity::Warning, "server-entry-refused"};
inline constexpr EventType PeersOpened{125, Severity::Info, "peers-opened"};
inline constexpr EventType ReadinessChanged{126, Severity::Info, "readiness-changed"};
inline constexpr EventType DaemonEntryRefused{127, Severity::Warning, "daemon-entry-refused"};
inline constexpr EventType FeatureUseChanged{130, Severity::Info, "feature-use-changed"};
inline constexpr EventType PeerKeyReplaced{129, Severity::Warning, "peer-key-replaced"};
inline constexpr EventType WatcherChanged{131, Severity::Info, "watcher-changed"};
inline constexpr EventType VerifierChanged{139, Severity::Info, "verifier-changed"};
inline constexpr EventType WatchFeedMalformed{132, Severity::Warning, "watch-feed-malformed"};
inline constexpr EventType ServerLeaving{133, Severity::Info, "server-leaving"};
inline constexpr EventType PeerKeyChanged{134, Severity::Warning, "peer-key-changed"};
inline constexpr EventType UnknownValues{135, Severity::Warning, "configuration-unknown-values"};
inline constexpr EventType ServerCold{138, Severity::Info, "server-cold"};
inline constexpr EventType EvacuationStarted{136, Severity::Warning, "evacuation-started"};
inline constexpr EventType EvacuationEnded{137, Severity::Info, "evacuation-ended"};
inline constexpr EventType ReloadIgnored{128, Severity::Info, "reload-ignored"};

}
