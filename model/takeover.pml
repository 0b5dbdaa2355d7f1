/* Evidence of the lead (LeadProof) in a takeover by the record: rule L10 of docs/platform.md.
 *
 * Daemons: F leads under token 1. N is cut from F at any time and takes the lead by the record under token 2. G follows F
 * throughout and never hears N. One server, which forgets its tokens when it restarts; no process of it may accept token
 * 1 after an earlier one has had token 2.
 *
 * Time is counted in ticks. Calls to the store and reports may be late; a report that is late by more than D is lost. F
 * never learns that N has taken the lead.
 *
 * Each macro NO_... removes one guard; spin must then find the lower token. BEFORE is the rule before L10.
 */
#define L 2 /* validity of a response of the store, from the sending of the call */
#define R 3 /* validity of a report, from its arrival */
#define D 1 /* longest delay of a report */

#ifdef BEFORE
#define NO_WAIT
#define NO_ALL
#endif

/* F: validity of its evidence; a read of the record under way (0 none, 1 sent, 2 answered for F), with what is left of
 * the validity of its response. */
byte fStore, fReportN, fReportG, read, readLeft;
/* F: process of the server to which its call goes, and the one that has accepted its token; 0 for none, else 1 more. */
byte call, accepted;

/* N: 0 follows F, 1 has sent its write, 2 leads. */
byte nState;
byte nWait, nPromise;
/* Report of N under way: ticks left until it is lost, counted from one. */
byte report;

bool isReplaced;

/* Server: number of the running process, its token, and the highest token of any process. */
byte process, tok, highest;

#ifdef NO_ALL
#define REPORTED (fReportN > 0 || fReportG > 0)
#else
#define REPORTED (fReportN > 0 && fReportG > 0)
#endif
#define PROVEN (fStore > 0 || REPORTED)

#ifdef NO_WAIT
#define STORE_EVIDENCE_ENDED true
#define REPORTS_ENDED true
#else
#define STORE_EVIDENCE_ENDED (nWait == 0)
#ifdef NO_PROMISE
#define REPORTS_ENDED true
#else
#define REPORTS_ENDED (nPromise == 0)
#endif
#endif

inline decrement(counter) { if :: counter > 0 -> counter-- :: else fi }

inline tick() {
    decrement(fStore); decrement(fReportN); decrement(fReportG); decrement(readLeft);
    decrement(nWait); decrement(nPromise); decrement(report)
}

/* A server accepts a token that is not below the one of its process. */
inline acceptFormer() {
    if
    :: tok <= 1 -> assert(highest <= 1); tok = 1; highest = 1; accepted = process + 1
    :: else
    fi
}

init {
    do
    :: atomic { tick() }

    /* F reads the record; the store answers from what it has then. */
    :: atomic { read == 0 -> read = 1; readLeft = L }
    :: atomic { read == 1 -> if :: isReplaced -> read = 0 :: else -> read = 2 fi }
    :: atomic { read == 2 -> if :: readLeft > fStore -> fStore = readLeft :: else fi; read = 0 }

    /* Reports. */
    :: atomic { fReportG < R -> fReportG = R }
    :: atomic { nState == 0 && report == 0 -> report = D + 1; nPromise = R + D }
    :: atomic { report > 0 -> report = 0; fReportN = R }

    /* F grants to a process that has not accepted its token, then renews over the same connection. */
    :: atomic { call == 0 && PROVEN -> call = process + 1 }
    :: atomic { call != 0 -> if :: call == process + 1 -> acceptFormer() :: else fi; call = 0 }
    :: atomic { accepted == process + 1 -> acceptFormer() }

    /* N takes the lead by the record, then grants. */
    :: atomic { nState == 0 -> nState = 1 }
    :: atomic { nState == 1 && !isReplaced -> isReplaced = true }
    :: atomic { nState == 1 && isReplaced -> nState = 2; nWait = L }
    :: atomic { nState == 2 && STORE_EVIDENCE_ENDED && REPORTS_ENDED -> tok = 2; highest = 2 }

    /* The server restarts and forgets its tokens. */
    :: atomic { process < 2 -> process++; tok = 0 }
    od
}
