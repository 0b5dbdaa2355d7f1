/* One slice of a pool that does not check grants (rule R10): it moves from server A to server B.
 *
 * K is the coordinator, X another daemon. X may be paused at any step, its messages may be late, and the VM list may
 * show it gone while it still runs. A permit lasts P ticks; a request of X runs for at most R ticks, which is less
 * than the wait after the VM list shows X gone. A server runs whatever it receives.
 */
#define P 2
#define R 2
#define WAIT 3
#define NOBODY 0
#define A 1
#define B 2

byte permit = P, answer, goneWait = WAIT, xLife;
byte xRoute = A, xQueued, xRuns, kRuns, owner = A;
bool stopping, stopUnderWay, xStopped, ackUnderWay, acked, gone;

#ifdef NO_PERMIT
#define MAY_SEND true
#else
#define MAY_SEND (permit > 0)
#endif
#ifdef NO_EMPTY_RING
#define RING_EMPTY true
#else
#define RING_EMPTY (xQueued == NOBODY)
#endif
#ifdef NO_IN_FLIGHT
#define IDLE true
#else
#define IDLE (xRuns == NOBODY)
#endif

inline decrement(counter) { if :: counter > 0 -> counter-- :: else fi }

inline tick() {
    decrement(permit); decrement(answer); decrement(xLife);
    if :: xLife == 0 -> xRuns = NOBODY :: else fi;
    if :: gone -> decrement(goneWait) :: else fi
}

init {
    do
    :: atomic { tick() }
    /* A permit is counted from its query; K issues none to a daemon that the VM list shows gone. */
    :: atomic { answer == 0 && !gone -> answer = P }
    :: atomic { answer > 0 -> permit = (answer > permit -> answer : permit); answer = 0;
            if :: owner == B -> xRoute = B; xStopped = false :: stopping && owner == A -> xStopped = true :: else fi }
    /* X admits a request to its outgoing ring, and sends it. */
    :: atomic { xQueued == NOBODY && !xStopped && MAY_SEND -> xQueued = xRoute }
    :: atomic { xQueued != NOBODY && xRuns == NOBODY && MAY_SEND -> xRuns = xQueued; xQueued = NOBODY; xLife = R }
    :: atomic { xRuns != NOBODY -> xRuns = NOBODY; xLife = 0 }
    /* K stops the slice; X acknowledges when nothing of it is queued or runs. */
    :: atomic { !stopping -> stopping = true }
    :: atomic { stopping && !stopUnderWay && !acked && owner == A -> stopUnderWay = true }
    :: atomic { stopUnderWay -> stopUnderWay = false; if :: owner == A -> xStopped = true :: else fi }
    :: atomic { xStopped && RING_EMPTY && IDLE && !ackUnderWay && !acked -> ackUnderWay = true }
    :: atomic { ackUnderWay -> ackUnderWay = false; acked = true }
    :: atomic { !gone -> gone = true }
    /* The move, and a request of K. */
    :: atomic { owner == A && stopping && kRuns == NOBODY && (acked || (gone && goneWait == 0)) -> owner = B }
    :: atomic { kRuns == NOBODY && (owner == B || !stopping) -> kRuns = owner }
    :: atomic { kRuns != NOBODY -> kRuns = NOBODY }
    :: atomic { (kRuns == A && xRuns == B) || (kRuns == B && xRuns == A) -> assert(false) }
    od
}
