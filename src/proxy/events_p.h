#pragma once

#include <galenarock/eventlog.h>

/// Log events 2xx: proxy and requests. Documented in docs/events.md.
namespace Galenarock::Events
{

inline constexpr EventType ListenerStarted{200, Severity::Info, "listener-started"};
inline constexpr EventType MalformedHttp{201, Severity::Debug, "malformed-http"};
inline constexpr EventType RequestRefused{202, Severity::Info, "request-refused"};
inline constexpr EventType ResendStopped{203, Severity::Warning, "resend-stopped"};
inline constexpr EventType ResponseCut{204, Severity::Warning, "response-cut"};
inline constexpr EventType RequestRetried{206, Severity::Info, "request-retried"};
inline constexpr EventType RequestLeft{207, Severity::Info, "request-left"};
inline constexpr EventType WorkerLagged{208, Severity::Warning, "worker-lagged"};
inline constexpr EventType RequestSentLate{209, Severity::Info, "request-sent-late"};
inline constexpr EventType ServerRateChanged{210, Severity::Info, "server-rate-changed"};
inline constexpr EventType ServerRateSummary{211, Severity::Info, "server-rate-summary"};
inline constexpr EventType ServersLost{212, Severity::Warning, "servers-lost"};
inline constexpr EventType ServersReached{213, Severity::Info, "servers-reached"};
inline constexpr EventType RequestRelayed{214, Severity::Info, "request-relayed"};
inline constexpr EventType ConnectionUnclean{219, Severity::Warning, "connection-unclean"};
inline constexpr EventType AttemptRefused{220, Severity::Info, "attempt-refused"};
inline constexpr EventType AnswerMismatched{221, Severity::Warning, "answer-mismatched"};
inline constexpr EventType ServerPaused{222, Severity::Info, "server-paused"};
inline constexpr EventType PauseMalformed{223, Severity::Warning, "server-pause-malformed"};
inline constexpr EventType SilenceShown{350, Severity::Warning, "servers-go-silent"};
inline constexpr EventType AttemptSilent{351, Severity::Info, "attempt-silent"};
inline constexpr EventType CallerGaveWay{230, Severity::Info, "caller-gave-way"};
inline constexpr EventType ServerPace{360, Severity::Info, "server-pace"};
inline constexpr EventType ListenerQuiesced{205, Severity::Info, "listener-quiesced"};

}
