#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <galenarock/control.h>
#include <galenarock/storeclient.h>
#include <galenarock/watchfeed.h>

/// A few daemons, the verifiers, prove to the others that their long watches are still alive.
///
/// A watch that the store has lost looks like one without changes until its wait ends. The watches of a verifier wait
/// only briefly, so it soon notices a lost one, and it states to the other daemons the revision of each kind's last
/// change. A daemon whose watch has not reported that change sends its watch again. A daemon that hears no verifier
/// waits only briefly itself, so the bound holds for each daemon alone.
namespace Galenarock
{

namespace WatchMessage
{
/// To those who watch: the WatchStatus of a verifier. Not in use by any earlier build, each of which ignores it.
inline constexpr std::uint16_t Verified = PeerMessageRange::Ownership + 26;
static_assert(Verified < PeerMessageRange::Requests);
}

struct WatchVerificationSettings
{
    /// With two the others keep their long watches when one of them is lost.
    std::size_t verifiers = 2;
    Duration statementInterval = milliseconds(200);
    /// A daemon that hears no verifier for this time waits briefly itself. Three statements are lost then.
    Duration silence = milliseconds(600);
    /// A new verifier addresses all daemons for this time. While a fleet starts, those that will not watch for long
    /// still do.
    Duration startTime = seconds(7);
};

/// Decides who verifies, what a verifier states, and what its statements mean for this daemon's watches. Pure core.
class WatchVerification
{
public:
    WatchVerification(Identity self, WatchVerificationSettings settings);

    /// `members` are the live daemons that take part and `watchers` those of them that keep watches of their own
    /// (WatchFeed::watchers()), the verifiers first. Both include this daemon where it belongs.
    void setMembers(Instant now, const std::vector<Member> &members, const std::vector<std::string> &watchers);
    bool isVerifier() const
    {
        return m_isVerifier;
    }

    /// This daemon's own view of the store: its era, and the last change of a kind that it watches.
    void setEra(std::uint64_t era);
    void changed(const std::string &kind, std::uint64_t revision);
    /// Statements that are due; none unless this daemon is a verifier.
    ControlActions tick(Instant now, bool isStoreReachable);
    void receive(Instant now, const WatchStatus &statement);

    /// What the store client has to know, by kind.
    const std::map<std::string, VerifiedKind> &kinds() const
    {
        return m_kinds;
    }

private:
    const Identity m_self;
    const WatchVerificationSettings m_settings;
    bool m_isVerifier = false;
    Instant m_verifierSince{};
    std::vector<std::string> m_members;
    std::vector<std::string> m_watchers;
    std::uint64_t m_era = 0;
    /// Kinds that this daemon watches, and has read in this era.
    std::set<std::string> m_ownKinds;
    std::map<std::string, VerifiedKind> m_kinds;
    Instant m_nextStatementAt{};
};

}
