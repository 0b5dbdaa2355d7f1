/* Ownership of one slice by servers that check grants: rules R1 to R8 of docs/design.md.
 *
 * Servers: A owns the slice, B is its successor, Y is outside the succession.
 * Daemons: the old pair C (coordinator) and D (deputy) of epoch 0; the new pair N and E of epoch 1.
 * Time is counted in ticks; a term is T ticks, the hold cap H ticks. A daemon that takes no step is paused or lost, a
 * message that is not delivered is lost or late, a platform that is not called is down. A message carries the
 * remaining life of its nonce, because a term is counted from the issue of the nonce.
 *
 * Each macro NO_... removes one guard; spin must then find two owners.
 */
#define T 2
#define H 1
#define A 0
#define B 1
#define Y 2
#define NONE 3

/* Token of the slice under each owner of the old pair; FRESH is a token of the new pair. */
#define FRESH 3

byte term[3], tok[3], released[3];
bool holds[3], fenced[3];
bool restarted;

/* Messages under way: remaining life of the nonce, 0 for none. Renewals of the old pair to A and its grants may be
 * late; the other calls take one step, which leaves the cases that the guards are about. */
byte renewC, renewD, grantC[3];
bool queuedD[3];

/* Old pair. */
byte cOwner = A, cStop = NONE, dStop = NONE, cWait, cPending = NONE;
bool cFree, cDeposed, dDeposed, cMoved;
byte cap = H;

/* Platform. */
byte storedOwner = A;
bool stamped, taken;

/* New pair. */
byte nOwner = NONE, nWaitOld, nCap, nTarget = NONE, nPairWait[3];
bool nRead, nSeen[3], nFree, nPairStop[3], nOldStopped, nGiven;

#define OWNER(i) (holds[i] && term[i] > 0)
#ifdef NO_HOLD_CAP
#define ENTITLED true
#else
#define ENTITLED (cap > 0)
#endif

#ifdef NO_NONCE
#define LIFE(n) T
#else
#define LIFE(n) n
#endif
#ifdef NO_IDENTITY
#define SAME_PROCESS(i) true
#else
#define SAME_PROCESS(i) (i != A || !restarted)
#endif
#ifdef NO_STAMP
#define STAMP false
#else
#define STAMP true
#endif
#ifdef NO_TOKEN
#define ANY_TOKEN true
#else
#define ANY_TOKEN false
#endif
#define EXTEND(i, n) if :: LIFE(n) > term[i] -> term[i] = LIFE(n) :: else fi

/* Whether the new pair may act on a slice whose succession contains server i. */
#ifdef NO_OWN_STOP
#define LAPSED(i) true
#else
#define LAPSED(i) (nPairStop[i] && nPairWait[i] == 0)
#endif
#define CLEARED(i) (nSeen[i] || (((nOldStopped && nWaitOld == 0) || nCap == 0) && LAPSED(i)))
#ifdef NO_SUCCESSION_FENCE
#define CLEAR (CLEARED(nOwner))
#else
#define CLEAR (CLEARED(nOwner) && (nOwner != A || CLEARED(B)))
#endif

inline decrement(counter) { if :: counter > 0 -> counter-- :: else fi }
#ifdef NO_NONCE
inline age(left) { skip }
#else
inline age(left) { decrement(left) }
#endif

inline tickServer(s) {
    decrement(term[s]);
    if :: term[s] == 0 -> holds[s] = false; tok[s] = 0 :: else fi;
    age(grantC[s]);
    decrement(nPairWait[s])
}

inline tick() {
    tickServer(A); tickServer(B); tickServer(Y);
    age(renewC); age(renewD);
    decrement(cWait); decrement(cap); decrement(nWaitOld);
    if :: taken -> decrement(nCap) :: else fi
}

/* A grant extends the term like a renewal. */
inline accept(s, given, fresh) {
    if
    :: given > 0 && (fresh >= released[s] || ANY_TOKEN) -> holds[s] = true; tok[s] = fresh; EXTEND(s, given)
    :: else
    fi
}

inline see(s) {
    nSeen[s] = true;
    if :: holds[s] && s == B && nOwner == A && !nFree && !nGiven -> nOwner = B :: else fi
}

init {
    byte i;
    d_step {
        holds[A] = true; term[A] = T;
        nCap = H + T;
    }
    do
    :: atomic { tick() }
    :: atomic {
        select (i : 0 .. 2);
        if
        /* R1 to R3: renewals; the nonce was issued just now. */
        :: i == A && renewC == 0 && ENTITLED && !cDeposed && cStop != A && !fenced[A] && holds[A] -> renewC = T
        :: i == A && renewD == 0 && ENTITLED && !dDeposed && dStop != A && !fenced[A] && holds[A] -> renewD = T
        :: i != A && (!cDeposed || !dDeposed) && ENTITLED && !fenced[i] && holds[i] -> EXTEND(i, T)
        :: ((nRead && nSeen[i]) || taken) && fenced[i] && !nPairStop[i] && holds[i] -> EXTEND(i, T)
        :: i == A && renewC > 0 -> if :: holds[A] && !fenced[A] -> EXTEND(A, renewC) :: else fi; renewC = 0
        :: i == A && renewD > 0 -> if :: holds[A] && !fenced[A] -> EXTEND(A, renewD) :: else fi; renewD = 0
        :: grantC[i] > 0 -> if :: !fenced[i] -> accept(i, grantC[i], i) :: else fi; grantC[i] = 0
        /* Fence by the new coordinator, whose reply says what the server holds, or by its deputy. */
        :: nRead && !nSeen[i] -> fenced[i] = true; see(i)
        :: taken && !fenced[i] -> fenced[i] = true
        /* The new pair stops renewing a server that it does not reach; both members have then sent their last. */
        :: nRead && !nSeen[i] && !nPairStop[i] -> nPairStop[i] = true; nPairWait[i] = T
        :: else
        fi;
        i = 0
       }

    /* Old coordinator: grants again what its assignment says. */
    :: atomic { ENTITLED && !cDeposed && !cFree && cStop == NONE && cPending == NONE && grantC[cOwner] == 0 && SAME_PROCESS(cOwner) && !fenced[cOwner] -> grantC[cOwner] = T }
    /* R4: release by a revoke. */
    :: atomic { ENTITLED && !cDeposed && !cMoved && cStop == NONE && !cFree && !fenced[A] && (holds[A] || !restarted) ->
            holds[A] = false; tok[A] = 0; released[A] = 1; cFree = true }
    /* R4: both members stop, then the last possible term passes. */
    :: atomic { ENTITLED && !cDeposed && !cMoved && cStop == NONE && !cFree -> cStop = A }
    :: atomic { cStop == A && dStop == NONE && !dDeposed -> dStop = A; cWait = T }
#ifdef NO_DEPUTY_STOP
    :: atomic { cStop == A && dStop == NONE && !cFree && !cMoved -> cWait = T; cFree = true }
#endif
    :: atomic { cStop == A && dStop == A && cWait == 0 && !cFree && !cMoved -> cFree = true }
    /* R7: a conditional update, in effect now or late, acknowledged when it is in effect. */
    :: atomic { ENTITLED && !cDeposed && cFree && cPending == NONE -> if :: cPending = B :: cPending = Y fi }
    :: atomic { cPending != NONE && !stamped && storedOwner != cPending -> storedOwner = cPending }
    :: atomic { ENTITLED && !cDeposed && cFree && cPending != NONE && storedOwner == cPending && !fenced[cPending] ->
            cOwner = cPending; cPending = NONE; cFree = false; cMoved = true; cStop = NONE; dStop = NONE;
            grantC[cOwner] = T }
    /* R4: along the succession while the platform is down, if a pending write names the successor as well. */
    :: atomic { ENTITLED && !cDeposed && cFree && (cPending == NONE || cPending == B) && !fenced[B] ->
            cOwner = B; cFree = false; cMoved = true; grantC[B] = T; cStop = NONE; dStop = NONE }
    /* R6: a mandate write of the old coordinator. */
    :: atomic { !taken && !cDeposed && cap < H && cap > 0 -> cap = H }

    /* R5: takeover, stamp and stop of the old pair. */
    :: atomic { !taken -> taken = true }
    :: atomic { taken && !nRead -> nRead = true; nOwner = storedOwner; stamped = STAMP }
    :: atomic { taken && !cDeposed -> cDeposed = true }
    :: atomic { taken && !dDeposed -> dDeposed = true }
    :: atomic { cDeposed && dDeposed && !nOldStopped -> nOldStopped = true; nWaitOld = T }
    /* New coordinator: grants again what its assignment says. */
    :: atomic { nRead && !nFree && !nGiven && CLEAR && fenced[nOwner] && !nPairStop[nOwner] && SAME_PROCESS(nOwner) -> accept(nOwner, T, nOwner) }
    /* New coordinator: the owner is lost; the slice is free once the pair has stopped and the term has passed. */
    :: atomic { nRead && !nFree && !nGiven && !nPairStop[nOwner] -> nPairStop[nOwner] = true; nPairWait[nOwner] = T }
    :: atomic { nRead && !nFree && !nGiven && CLEAR && nPairStop[nOwner] && nPairWait[nOwner] == 0 -> nFree = true }
    :: atomic { nRead && !nFree && !nGiven && CLEAR && nOwner == A && restarted -> nFree = true }
    /* The write of the new coordinator, then its grant under a fresh token. */
    :: atomic { nFree && !nGiven ->
            if :: nTarget = A :: nTarget = B :: nTarget = Y fi;
            if
            :: nSeen[nTarget] && !nPairStop[nTarget] ->
                nGiven = true; nFree = false; nOwner = nTarget; accept(nTarget, T, FRESH)
            :: else
            fi;
            nTarget = NONE }

    /* R8: server A restarts and forgets its epoch, its slices and what it released. */
    :: atomic { !restarted ->
            restarted = true; holds[A] = false; tok[A] = 0; term[A] = 0; released[A] = 0; fenced[A] = false;
            renewC = 0; renewD = 0; grantC[A] = 0 }

    :: atomic { OWNER(A) + OWNER(B) + OWNER(Y) > 1 -> assert(false) }
    od
}
