/* Moves of a range and takeovers in their midst: rules L2 to L4 and L9 of docs/platform.md.
 *
 * Servers: 0 holds the range, 1 is the next holder. Leaders: F under token 1, its successor S under token 2. F moves the
 * range from 0 to 1; S takes the lead at any time, grants the range to the server that the record names and may move it.
 *
 * There is no time and no end of a grant: a grant may take effect at any later time, at the process for which it was
 * sent, and F goes on renewing for ever. So what holds here needs no wait. A message that is not delivered is lost. A
 * restarted server forgets its tokens. The evidence of F (rule L10, takeover.pml) ends before the first grant of S.
 *
 * Each macro removes one guard; spin must then find two holders. COMPLETE and REVERT are what a successor could do at
 * once with a record that names both servers before the release.
 */
#if defined(COMPLETE) || defined(REVERT)
#define NAMED_BEFORE
#endif
#define NOBODY 2

/* Servers: whether each holds the range, the highest token that its process has seen, and the number of the process. */
bool holds[2];
byte tok[2], process[2];

/* Grants under way, by leader and server: 0 for none, else the process for which the grant was sent, 1 more. */
byte lateF[2], lateS[2];
/* Whether a grant had no answer yet, and the process that has accepted the leader's token, 1 more. */
bool unansweredF[2], unansweredS[2];
byte acceptedF[2], acceptedS[2];

/* Record: the server that it names. */
byte record = 0;
bool namesBoth, isTaken;

/* F: its holder, NOBODY between the release and the answer to the write; the write: 0 none, 1 under way, 2 in effect. */
byte holderF = 0, write;
bool evidence = true;

/* S: its holder, and whether it may make grants and has released the range. */
byte holderS = NOBODY;
bool leadsS, hasReleasedS;

#ifdef NO_UNANSWERED
#define CLEAN_F true
#else
#define CLEAN_F (!unansweredF[0])
#endif
#ifdef NO_TOKEN
#define CLEAN_S true
#else
#define CLEAN_S (!unansweredS[holderS] && acceptedS[holderS] == process[holderS] + 1)
#endif
#ifdef NO_RECORD
#define RECORDED true
#else
#define RECORDED (write == 2)
#endif
#ifdef NO_RESOLVED
#define RETURN write = 1
#else
#define RETURN write = 0
#endif

inline accept(i, token) {
    if
    :: token >= tok[i] -> tok[i] = token; holds[i] = true; assert(!(holds[0] && holds[1]))
    :: else
    fi
}

/* The end of a grant under way, with or without an answer. */
inline deliverF(i) {
    if
    :: lateF[i] == process[i] + 1 && 1 >= tok[i] ->
        accept(i, 1);
        if
        :: unansweredF[i] = false; acceptedF[i] = process[i] + 1
        :: skip
        fi
    :: else
    fi;
    lateF[i] = 0
}

inline deliverS(i) {
    if
    :: lateS[i] == process[i] + 1 && 2 >= tok[i] ->
        accept(i, 2);
        if
        :: unansweredS[i] = false; acceptedS[i] = process[i] + 1
        :: skip
        fi
    :: else
    fi;
    lateS[i] = 0
}

init {

    atomic { holds[0] = true; tok[0] = 1; acceptedF[0] = 1 }
    do
    :: atomic { lateF[0] != 0 -> deliverF(0) }
    :: atomic { lateF[1] != 0 -> deliverF(1) }
    :: atomic { lateS[0] != 0 -> deliverS(0) }
    :: atomic { lateS[1] != 0 -> deliverS(1) }

    /* F grants, or renews what the process has accepted. */
    :: atomic { holderF != NOBODY && lateF[holderF] == 0 && (evidence || acceptedF[holderF] == process[holderF] + 1) ->
            lateF[holderF] = process[holderF] + 1; unansweredF[holderF] = true }
#ifdef NAMED_BEFORE
    :: atomic { holderF == 0 && write == 0 -> write = 1 }
    :: atomic { write == 1 && !isTaken && !namesBoth -> namesBoth = true }
    :: atomic { write == 1 && namesBoth && evidence -> write = 2 }
    :: atomic { holderF == 0 && write == 2 && CLEAN_F -> holds[0] = false; holderF = 1 }
#else
    /* F releases the range, answered or not, then records the next holder. */
    :: atomic { holderF == 0 && evidence && CLEAN_F -> holds[0] = false; if :: holderF = NOBODY :: skip fi }
    :: atomic { holderF == NOBODY && write == 0 -> write = 1 }
    :: atomic { write == 1 && !isTaken -> record = 1; if :: write = 2 :: write = 3 fi }
    :: atomic { holderF == NOBODY && RECORDED -> holderF = 1 }
    /* The write was not sent, so the range goes back. */
    :: atomic { holderF == NOBODY && write == 1 && record == 0 -> RETURN; holderF = 0 }
#endif

    /* S takes the lead, then waits for the end of the evidence. */
    :: atomic { !isTaken -> isTaken = true }
    :: atomic { isTaken && !leadsS ->
            leadsS = true;
#ifndef NO_WAIT
            evidence = false;
#endif
            holderS = record;
#ifdef COMPLETE
            if :: namesBoth -> holds[0] = false; holderS = 1 :: else fi
#endif
       }
    :: atomic { leadsS && holderS != NOBODY && lateS[holderS] == 0 ->
            lateS[holderS] = process[holderS] + 1; unansweredS[holderS] = true }
    /* S moves the range once. */
    :: atomic { leadsS && !hasReleasedS && holderS != NOBODY && CLEAN_S ->
            hasReleasedS = true; holds[holderS] = false; record = 1 - holderS; holderS = record }

    /* A server restarts and forgets its tokens. */
    :: atomic { process[0] == 0 -> process[0] = 1; holds[0] = false; tok[0] = 0 }
    :: atomic { process[1] == 0 -> process[1] = 1; holds[1] = false; tok[1] = 0 }
    od
}
