// seeds: NO_ROUND NO_CLOSURE NO_RESTART NO_WELCOME NO_ANCHOR EARLY_MINT ANSWER_ANEW NO_WORD
//
// Slots of one endpoint, shared by the entries of an availability zone, as src/request/slot
// implements it: grants, recounts, joins and ends of entries, over links that lose, delay and
// reorder messages. Entry 0 is the first; each other entry joins with the list of members of one
// that has started. Two entries may lead a recount at any time, also concurrently. A resend is
// modelled as a second send. The serials that make grants idempotent are left out, as each grant is
// sent only once here.
//
// Invariant: the entries that have not ended never hold more slots in total than the endpoint has.

// Bounds: entries, slots of the endpoint, messages in flight, entries that may lead a recount (the
// first ones), and the highest round number.
#define ENTRIES 3
#define SLOTS 1
#define LINK 2
#define LEADERS 2
#ifndef MAX_ROUND
#define MAX_ROUND 2
#endif

// Sets of entries are bit masks.
#define BIT(me) (1 << (me))
// Whether `set` includes every known entry that may still run.
#define ALL_IN(me, set) ((known[me] & ~gone[me] & ~(set)) == 0)
// Rounds are ordered by number, then by leader.
#define ROUND(number, me) ((number) * ENTRIES + (me))

#ifdef NO_WELCOME
#define WELCOMED_BY_ALL(me) true
#else
#define WELCOMED_BY_ALL(me) ALL_IN(me, welcomed_by[me])
#endif
#ifdef NO_ANCHOR
#define MEMBERS_CONFIRMED(me) true
#else
#define MEMBERS_CONFIRMED(me) members_confirmed[me]
#endif
#ifdef EARLY_MINT
#define ANSWERED_BY_ALL(me) true
#else
#define ANSWERED_BY_ALL(me) ALL_IN(me, answered[me])
#endif

mtype = { HELLO, WELCOME, GRANT, COUNT, HELD };

// Kind, sender, receiver; WELCOME: known entries and whether the sender has joined; GRANT: round
// and slots; COUNT: round and ended entries; HELD: round and slots.
chan link = [LINK] of { mtype, byte, byte, byte, byte };

// Whether the entry has ended, has got a list of members, knows that the list includes the joined
// ones, has joined, and leads a recount.
bool ended[ENTRIES];
bool started[ENTRIES];
bool members_confirmed[ENTRIES];
bool joined[ENTRIES];
bool recounting[ENTRIES];
// Entries that the entry knows, that it knows to have ended, that have welcomed it, and that have
// answered its recount.
byte known[ENTRIES];
byte gone[ENTRIES];
byte welcomed_by[ENTRIES];
byte answered[ENTRIES];
// Latest round that the entry has joined, slots that it holds, slots that it held when it joined
// the round, and the sum of the answers to its recount.
byte round[ENTRIES];
byte held[ENTRIES];
byte held_at_join[ENTRIES];
byte total[ENTRIES];

// Checks the invariant.
inline check_total() {
    assert((ended[0] -> 0 : held[0]) + (ended[1] -> 0 : held[1]) + (ended[2] -> 0 : held[2]) <= SLOTS)
}

// Sends a message, or loses it.
inline send(kind, to, arg1, arg2) {
    if
    :: nfull(link) -> link!!kind, me, to, arg1, arg2
    :: true // lost
    fi
}

inline abandon_recount() {
    recounting[me] = false;
    answered[me] = 0;
    total[me] = 0
}

// Joins a round if it is later than the current one.
inline join_round(new_round) {
    if
    :: new_round > round[me] -> round[me] = new_round; held_at_join[me] = held[me]; abandon_recount()
    :: else
    fi
}

// Records that the sender knows this entry.
inline add_welcome() {
    if
    :: !joined[me] -> welcomed_by[me] = welcomed_by[me] | BIT(from)
    :: else
    fi
}

// Handles a message; those of entries that have ended are ignored.
inline receive() {
    known[me] = known[me] | BIT(from);
    if
    :: gone[me] & BIT(from)
    :: else ->
        if
        :: kind == HELLO ->
            add_welcome();
            send(WELCOME, from, (known[me] & ~gone[me]), joined[me])
        :: kind == WELCOME ->
            add_welcome();
            members_confirmed[me] = !joined[me] && (members_confirmed[me] || arg2);
#ifndef NO_CLOSURE
            known[me] = known[me] | (arg1 & ~BIT(me))
#endif
        :: kind == GRANT ->
            join_round(arg1);
            if
#ifdef NO_ROUND
            :: true -> held[me]++; check_total()
#else
            :: arg1 == round[me] -> held[me]++; check_total()
            :: else
#endif
            fi
        :: kind == COUNT ->
#ifndef NO_WORD
            if
            :: arg2 & ~gone[me] -> gone[me] = gone[me] | arg2; abandon_recount()
            :: else
            fi;
#endif
            join_round(arg1);
            if
#ifdef ANSWER_ANEW
            :: arg1 == round[me] -> send(HELD, from, arg1, held[me])
#else
            :: arg1 == round[me] -> send(HELD, from, arg1, held_at_join[me])
#endif
            :: else
            fi
        :: kind == HELD ->
            if
            :: recounting[me] && arg1 == round[me] && !(answered[me] & BIT(from)) ->
                answered[me] = answered[me] | BIT(from);
                total[me] = total[me] + arg2
            :: else
            fi
        fi
    fi
}

proctype Entry(byte me) {
    mtype kind;
    byte from, arg1, arg2, other;
end:
    do
    // An ended entry drops its messages.
    :: atomic { ended[me] && link??[kind, from, eval(me), arg1, arg2] ->
        link??kind, from, eval(me), arg1, arg2;
        kind = 0; from = 0; arg1 = 0; arg2 = 0 }
    :: atomic { !ended[me] && link??[kind, from, eval(me), arg1, arg2] ->
        link??kind, from, eval(me), arg1, arg2;
        receive();
        kind = 0; from = 0; arg1 = 0; arg2 = 0 }
    // Starts with the list of members of an entry that has started.
    :: atomic { !ended[me] && !started[me] ->
        select(other : 0 .. (ENTRIES - 1));
        if
        :: other != me && started[other] && !ended[other] ->
            known[me] = known[me] | ((known[other] & ~gone[other]) | BIT(other)) & ~BIT(me);
            started[me] = true
        :: else
        fi;
        other = 0 }
    // Asks an entry that has not welcomed it.
    :: atomic { !ended[me] && started[me] && !joined[me] && nfull(link) ->
        select(other : 0 .. (ENTRIES - 1));
        if
        :: known[me] & ~gone[me] & ~welcomed_by[me] & BIT(other) -> link!!HELLO, me, other, 0, 0
        :: else
        fi;
        other = 0 }
    // Joins.
    :: atomic { !ended[me] && started[me] && !joined[me] && WELCOMED_BY_ALL(me) && MEMBERS_CONFIRMED(me) ->
        joined[me] = true;
        welcomed_by[me] = 0;
        members_confirmed[me] = false }
    // Grants a slot.
    :: atomic { !ended[me] && joined[me] && held[me] > 0 && nfull(link) ->
        select(other : 0 .. (ENTRIES - 1));
        if
        :: other != me && joined[other] && !(gone[me] & BIT(other)) ->
            held[me]--;
            send(GRANT, other, round[me], 1)
        :: else
        fi;
        other = 0 }
    // Starts a recount.
    :: atomic { !ended[me] && joined[me] && !recounting[me] && me < LEADERS && round[me] / ENTRIES < MAX_ROUND ->
        join_round(ROUND(round[me] / ENTRIES + 1, me));
        recounting[me] = true;
        answered[me] = BIT(me);
        total[me] = held_at_join[me] }
    // Sends the count to an entry that has not answered it.
    :: atomic { !ended[me] && recounting[me] && nfull(link) ->
        select(other : 0 .. (ENTRIES - 1));
        if
        :: known[me] & ~gone[me] & ~answered[me] & BIT(other) -> link!!COUNT, me, other, round[me], gone[me]
        :: else
        fi;
        other = 0 }
    // Creates the missing slots once all have answered.
    :: atomic { !ended[me] && recounting[me] && ANSWERED_BY_ALL(me) ->
        if
        :: total[me] < SLOTS -> held[me] = held[me] + SLOTS - total[me]
        :: else
        fi;
        abandon_recount();
        check_total() }
    // Ends.
    :: atomic { !ended[me] && started[me] ->
        ended[me] = true;
        joined[me] = false;
        welcomed_by[me] = 0;
        members_confirmed[me] = false;
        known[me] = 0;
        gone[me] = 0;
        round[me] = 0;
        held[me] = 0;
        held_at_join[me] = 0;
        abandon_recount() }
    // Learns that an entry has ended, and abandons its recount, as the ended entry may have joined
    // the round and granted slots that were not counted.
    :: atomic { !ended[me] ->
        select(other : 0 .. (ENTRIES - 1));
        if
        :: ended[other] && !(gone[me] & BIT(other)) ->
            gone[me] = gone[me] | BIT(other);
#ifndef NO_RESTART
            abandon_recount()
#endif
        :: else
        fi;
        other = 0 }
    od
}

init {
    atomic {
        started[0] = true;
        members_confirmed[0] = true;
        joined[0] = true;
        held[0] = SLOTS;
        run Entry(0);
        run Entry(1);
        run Entry(2)
    }
}
