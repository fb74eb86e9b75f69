/*
 * Drains and moves of one VM between two pools, as src/fleet/moves.rs implements them.
 *
 * `head`, `target` and `waiting` are the state after the last record, which every entry derives
 * identically from the log. `log` keeps the states that entries may still be in: log[0] is that of
 * the slowest live entry, log[end] the latest. At most LAG records lie between them, but the total
 * number of records is unbounded. An entry applies records late, may pause at any point, may end,
 * and sends work to the VM as the state that it has applied allows. Its confirmation may be lost
 * and resent, and may arrive late. Operators and controllers act concurrently: any of them drains,
 * returns, declares or moves the VM at any time.
 *
 * Invariant: the work that a live entry holds on the VM belongs to the VM's current pool.
 */
// seeds: NO_CONFIRM JUMP STALE_CONFIRM FIRST_CONFIRM EARLY_EMPTIED FALSE_GONE ROUTE_BEFORE_JOIN

#define LAG 3
/* Drain numbers: one more than the log and the confirmations in flight can refer to at once. */
#define DRAINS 7
#define NONE 0

mtype = { declare, drain_vm, return_vm, emptied, moved, gone, join };

/* State after a record: the VM's pool, its drain, and which entries are members. */
typedef FleetState {
	bit pool;
	byte drain;
	bit member0;
	bit member1;
}

FleetState log[LAG + 1];
byte end = 0;
bit target;
bool waiting[2];
bool alive[2] = true;
/* Whether the entry holds work on the VM, and the pool of that work. */
bool holds[2];
bit work_pool[2];
/* Index in `log` of the state that the entry has applied. */
byte applied[2];
/* Drain that the entry's confirmation in flight names. */
byte confirmation[2] = NONE;
byte new_drain;

#define head log[end]
#define IS_MEMBER(index, who) ((who == 0 && log[index].member0) || (who == 1 && log[index].member1))

inline copy_state(from, to) {
	log[to].pool = log[from].pool;
	log[to].drain = log[from].drain;
	log[to].member0 = log[from].member0;
	log[to].member1 = log[from].member1
}

inline clear_state(index) {
	log[index].pool = 0;
	log[index].drain = NONE;
	log[index].member0 = 0;
	log[index].member1 = 0
}

/* Drops the records that every live entry has applied, which keeps the state space finite. */
inline trim_log() {
	do
	:: end > 0 && (applied[0] > 0 || !alive[0]) && (applied[1] > 0 || !alive[1]) ->
		copy_state(1, 0);
		if :: end >= 2 -> copy_state(2, 1) :: else fi;
		if :: end >= 3 -> copy_state(3, 2) :: else fi;
		clear_state(end);
		end--;
		if :: applied[0] > 0 -> applied[0]-- :: else fi;
		if :: applied[1] > 0 -> applied[1]-- :: else fi
	:: else -> break
	od
}

#define REFERENCED(n) (confirmation[0] == n || confirmation[1] == n || log[0].drain == n || log[1].drain == n || log[2].drain == n || log[3].drain == n)

/* Takes the lowest drain number that nothing refers to. */
inline allocate_drain(n) {
	n = 1;
	do
	:: REFERENCED(n) -> n++
	:: else -> break
	od;
	assert(n < DRAINS)
}

/* Whether a confirmation that names the drain `value` is accepted. */
#ifdef STALE_CONFIRM
#define CONFIRMS(value) (head.drain != NONE)
#else
#define CONFIRMS(value) (head.drain == value)
#endif

/* Whether no entry may hold work on the VM any more. */
#ifdef NO_CONFIRM
#define ALL_CONFIRMED true
#else
#define ALL_CONFIRMED (!waiting[0] && !waiting[1])
#endif

/* Whether a declaration of another pool takes effect at once, without a drain. */
#ifdef JUMP
#define MOVES_AT_ONCE (end < LAG)
#else
#define MOVES_AT_ONCE false
#endif

/* Whether the other entry must still confirm after one has. */
#ifdef FIRST_CONFIRM
#define OTHER_WAITS(who) false
#else
#define OTHER_WAITS(who) waiting[1 - who]
#endif

/* Whether an entry may route by the state that it has applied, and whether it may confirm. */
#ifdef ROUTE_BEFORE_JOIN
#define MAY_ROUTE(me) true
#else
#define MAY_ROUTE(me) IS_MEMBER(applied[me], me)
#endif
#ifdef EARLY_EMPTIED
#define MAY_CONFIRM(me) true
#else
#define MAY_CONFIRM(me) (!holds[me])
#endif

/* Whether the platform may report that an entry is dead. */
#ifdef FALSE_GONE
#define REPORTED_DEAD(who) true
#else
#define REPORTED_DEAD(who) (!alive[who])
#endif

/* The state machine; a rejected record is not kept in `log`, since it changes nothing. */
inline append(kind, who, value) {
	d_step {
		if
		:: kind == declare && value != target ->
			target = value;
			if
			:: MOVES_AT_ONCE -> copy_state(end, end + 1); end++; head.pool = value
			:: else
			fi
		:: kind == drain_vm && head.drain == NONE && end < LAG ->
			allocate_drain(new_drain);
			copy_state(end, end + 1);
			end++;
			head.drain = new_drain;
			new_drain = 0;
			waiting[0] = head.member0;
			waiting[1] = head.member1
		:: kind == return_vm && head.drain != NONE && end < LAG ->
			copy_state(end, end + 1);
			end++;
			head.drain = NONE;
			waiting[0] = false;
			waiting[1] = false
		:: kind == emptied && CONFIRMS(value) && waiting[who] ->
			waiting[who] = false;
			waiting[1 - who] = OTHER_WAITS(who)
		:: kind == moved && head.drain != NONE && target != head.pool && ALL_CONFIRMED && end < LAG ->
			copy_state(end, end + 1);
			end++;
			head.pool = target;
			head.drain = NONE;
			waiting[0] = false;
			waiting[1] = false
		:: kind == gone && IS_MEMBER(end, who) && end < LAG ->
			copy_state(end, end + 1);
			end++;
			if :: who == 0 -> head.member0 = 0 :: else -> head.member1 = 0 fi;
			waiting[who] = false
		:: kind == join && !IS_MEMBER(end, who) && end < LAG ->
			copy_state(end, end + 1);
			end++;
			if :: who == 0 -> head.member0 = 1 :: else -> head.member1 = 1 fi
		:: else
		fi;
		trim_log();
		skip
	}
}

proctype Entry(bit me) {
end_entry:
	do
	/* Applies the next record. */
	:: atomic { alive[me] && applied[me] < end -> applied[me]++; trim_log() }
	/* Sends work to the VM if the applied state allows it. */
	:: atomic {
		alive[me] && !holds[me] && log[applied[me]].drain == NONE && MAY_ROUTE(me) ->
		holds[me] = true;
		work_pool[me] = log[applied[me]].pool
	   }
	/* Its work on the VM ends. */
	:: atomic { holds[me] -> holds[me] = false; work_pool[me] = 0 }
	/* Sends its confirmation, or resends it, as the answer may have been lost. */
	:: atomic {
		alive[me] && confirmation[me] == NONE && log[applied[me]].drain != NONE && MAY_CONFIRM(me) ->
		confirmation[me] = log[applied[me]].drain
	   }
	/* Ends, and its work with it; the platform reports this, and an entry records it as gone. */
	:: atomic {
		alive[me] -> alive[me] = false; holds[me] = false; work_pool[me] = 0; applied[me] = 0; trim_log()
	   }
	/* Restarts once the end of the old incarnation is recorded, applies the log, and joins. */
	:: atomic { !alive[me] && !IS_MEMBER(end, me) -> alive[me] = true; applied[me] = end }
	:: atomic { alive[me] && !IS_MEMBER(end, me) && end < LAG -> append(join, me, 0) }
	od
}

/* A confirmation is appended late, is lost, or is appended although its answer is lost. */
proctype Network(bit who) {
end_network:
	do
	:: atomic { confirmation[who] != NONE -> append(emptied, who, confirmation[who]) }
	:: atomic { confirmation[who] != NONE -> confirmation[who] = NONE }
	od
}

/* Operators, controllers, and records of the platform's reports that an entry is dead. */
proctype Operator() {
end_operator:
	do
	:: atomic { target == 1 -> append(declare, 0, 0) }
	:: atomic { target == 0 -> append(declare, 0, 1) }
	:: atomic { head.drain == NONE && end < LAG -> append(drain_vm, 0, 0) }
	:: atomic { head.drain != NONE && end < LAG -> append(return_vm, 0, 0) }
	:: atomic { head.drain != NONE && target != head.pool && ALL_CONFIRMED -> append(moved, 0, 0) }
	:: atomic { REPORTED_DEAD(0) && head.member0 && end < LAG -> append(gone, 0, 0) }
	:: atomic { REPORTED_DEAD(1) && head.member1 && end < LAG -> append(gone, 1, 0) }
	od
}

init {
	atomic {
		log[0].member0 = 1;
		log[0].member1 = 1;
		run Entry(0);
		run Entry(1);
		run Network(0);
		run Network(1);
		run Operator()
	}
}

/* Checks the invariant. */
active proctype Monitor() {
end_watch:
	atomic {
		(holds[0] && work_pool[0] != head.pool) || (holds[1] && work_pool[1] != head.pool) -> assert(false)
	}
}
