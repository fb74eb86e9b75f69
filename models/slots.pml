// seeds: NO_ROUND NO_CLOSURE NO_RESTART NO_WELCOME NO_ANCHOR EARLY_MINT ANSWER_ANEW NO_WORD
//
// Slots of one runner, shared by the entries of an availability zone: grants, recounts, joining and
// ends, over links that lose, delay and reorder. Entry 0 is the first; the others join with the list
// of one that has started. Two of them may lead a recount at any time, also at once. Sending again is
// a second send; the numbers that make a grant idempotent are left out, as each is sent once here.
//
// Invariant: entries that have not ended never hold more slots together than the runner has.

#define ENTRIES 3
#define SLOTS 1
#define LINK 2
#define LEADERS 2
#ifndef MAX_ROUND
#define MAX_ROUND 2
#endif

#define BIT(p) (1 << (p))
#define ALL(p, set) ((knows[p] & ~gone[p] & ~(set)) == 0)
#define ROUND(number, p) ((number) * ENTRIES + (p))

#ifdef NO_WELCOME
#define WELCOME_BY_ALL(p) true
#else
#define WELCOME_BY_ALL(p) ALL(p, acquainted[p])
#endif
#ifdef NO_ANCHOR
#define ANCHORED(p) true
#else
#define ANCHORED(p) anchored[p]
#endif
#ifdef EARLY_MINT
#define ANSWERED_BY_ALL(p) true
#else
#define ANSWERED_BY_ALL(p) ALL(p, answered[p])
#endif

mtype = { HELLO, WELCOME, GRANT, COUNT, HELD };

// Kind, sender, receiver, round or known entries; slots, ended entries or whether the sender takes part.
chan link = [LINK] of { mtype, byte, byte, byte, byte };

bool ended[ENTRIES];
bool started[ENTRIES];
bool anchored[ENTRIES];
bool joined[ENTRIES];
bool leads[ENTRIES];
byte knows[ENTRIES];
byte gone[ENTRIES];
byte acquainted[ENTRIES];
byte answered[ENTRIES];
byte round[ENTRIES];
byte held[ENTRIES];
byte counted[ENTRIES];
byte sum[ENTRIES];

inline check() {
    assert((ended[0] -> 0 : held[0]) + (ended[1] -> 0 : held[1]) + (ended[2] -> 0 : held[2]) <= SLOTS)
}

inline send(kind, to, x, y) {
    if
    :: nfull(link) -> link!!kind, p, to, x, y
    :: true // lost
    fi
}

inline abandon() {
    leads[p] = false;
    answered[p] = 0;
    sum[p] = 0
}

inline enter(later) {
    if
    :: later > round[p] -> round[p] = later; counted[p] = held[p]; abandon()
    :: else
    fi
}

inline meet() {
    if
    :: !joined[p] -> acquainted[p] = acquainted[p] | BIT(from)
    :: else
    fi
}

inline receive() {
    knows[p] = knows[p] | BIT(from);
    if
    :: gone[p] & BIT(from)
    :: else ->
        if
        :: kind == HELLO ->
            meet();
            send(WELCOME, from, (knows[p] & ~gone[p]), joined[p])
        :: kind == WELCOME ->
            meet();
            anchored[p] = !joined[p] && (anchored[p] || y);
#ifndef NO_CLOSURE
            knows[p] = knows[p] | (x & ~BIT(p))
#endif
        :: kind == GRANT ->
            enter(x);
            if
#ifdef NO_ROUND
            :: true -> held[p]++; check()
#else
            :: x == round[p] -> held[p]++; check()
            :: else
#endif
            fi
        :: kind == COUNT ->
#ifndef NO_WORD
            if
            :: y & ~gone[p] -> gone[p] = gone[p] | y; abandon()
            :: else
            fi;
#endif
            enter(x);
            if
#ifdef ANSWER_ANEW
            :: x == round[p] -> send(HELD, from, x, held[p])
#else
            :: x == round[p] -> send(HELD, from, x, counted[p])
#endif
            :: else
            fi
        :: kind == HELD ->
            if
            :: leads[p] && x == round[p] && !(answered[p] & BIT(from)) ->
                answered[p] = answered[p] | BIT(from);
                sum[p] = sum[p] + y
            :: else
            fi
        fi
    fi
}

proctype Entry(byte p) {
    mtype kind;
    byte from, x, y, q;
end:
    do
    :: atomic { ended[p] && link??[kind, from, eval(p), x, y] ->
        link??kind, from, eval(p), x, y;
        kind = 0; from = 0; x = 0; y = 0 }
    :: atomic { !ended[p] && link??[kind, from, eval(p), x, y] ->
        link??kind, from, eval(p), x, y;
        receive();
        kind = 0; from = 0; x = 0; y = 0 }
    :: atomic { !ended[p] && !started[p] ->
        select(q : 0 .. (ENTRIES - 1));
        if
        :: q != p && started[q] && !ended[q] ->
            knows[p] = knows[p] | ((knows[q] & ~gone[q]) | BIT(q)) & ~BIT(p);
            started[p] = true
        :: else
        fi;
        q = 0 }
    :: atomic { !ended[p] && started[p] && !joined[p] && nfull(link) ->
        select(q : 0 .. (ENTRIES - 1));
        if
        :: knows[p] & ~gone[p] & ~acquainted[p] & BIT(q) -> link!!HELLO, p, q, 0, 0
        :: else
        fi;
        q = 0 }
    :: atomic { !ended[p] && started[p] && !joined[p] && WELCOME_BY_ALL(p) && ANCHORED(p) ->
        joined[p] = true;
        acquainted[p] = 0;
        anchored[p] = false }
    :: atomic { !ended[p] && joined[p] && held[p] > 0 && nfull(link) ->
        select(q : 0 .. (ENTRIES - 1));
        if
        :: q != p && joined[q] && !(gone[p] & BIT(q)) ->
            held[p]--;
            send(GRANT, q, round[p], 1)
        :: else
        fi;
        q = 0 }
    :: atomic { !ended[p] && joined[p] && !leads[p] && p < LEADERS && round[p] / ENTRIES < MAX_ROUND ->
        enter(ROUND(round[p] / ENTRIES + 1, p));
        leads[p] = true;
        answered[p] = BIT(p);
        sum[p] = counted[p] }
    :: atomic { !ended[p] && leads[p] && nfull(link) ->
        select(q : 0 .. (ENTRIES - 1));
        if
        :: knows[p] & ~gone[p] & ~answered[p] & BIT(q) -> link!!COUNT, p, q, round[p], gone[p]
        :: else
        fi;
        q = 0 }
    :: atomic { !ended[p] && leads[p] && ANSWERED_BY_ALL(p) ->
        if
        :: sum[p] < SLOTS -> held[p] = held[p] + SLOTS - sum[p]
        :: else
        fi;
        abandon();
        check() }
    :: atomic { !ended[p] && started[p] ->
        ended[p] = true;
        joined[p] = false;
        acquainted[p] = 0;
        anchored[p] = false;
        knows[p] = 0;
        gone[p] = 0;
        round[p] = 0;
        held[p] = 0;
        counted[p] = 0;
        abandon() }
    :: atomic { !ended[p] ->
        select(q : 0 .. (ENTRIES - 1));
        if
        :: ended[q] && !(gone[p] & BIT(q)) ->
            gone[p] = gone[p] | BIT(q);
#ifndef NO_RESTART
            abandon()
#endif
        :: else
        fi;
        q = 0 }
    od
}

init {
    atomic {
        started[0] = true;
        anchored[0] = true;
        joined[0] = true;
        held[0] = SLOTS;
        run Entry(0);
        run Entry(1);
        run Entry(2)
    }
}
