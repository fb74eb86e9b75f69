/*
 * Drains and moves of one VM between two pools.
 *
 * `pool`, `target`, `drain` and `waiting` are the state after the last record, as every entry would
 * compute it. `log` keeps what entries read of it: log[0] is what the slowest live entry has read,
 * log[end] the newest; at most LAG records lie between them, for any number of records in all. An
 * entry reads late, may pause at any point, may die, and sends work to the VM as its own reading
 * allows. Its confirmation may be lost and sent again, and may arrive late. Operators and
 * controllers race: any of them drains, returns, declares or moves at any time.
 *
 * Invariant: work that a live entry holds on the VM is work of the pool that the VM belongs to.
 */
// seeds: NO_CONFIRM JUMP STALE_CONFIRM FIRST_CONFIRM EARLY_EMPTIED FALSE_GONE ROUTE_BEFORE_JOIN

#define LAG 3
/* Numbers of drains: one more than may be named in the log and in confirmations on their way. */
#define DRAINS 7
#define NONE 0

mtype = { declare, drain_vm, return_vm, emptied, moved, gone, join };

/* What an entry reads of the state after a record. */
typedef Snapshot {
	bit pool;
	byte drain;
	bit serves0;
	bit serves1;
}

Snapshot log[LAG + 1];
byte end = 0;
bit target;
bool waiting[2];
bool alive[2] = true;
/* Whether the entry holds work on the VM, and of which pool. */
bool holds[2];
bit work[2];
byte applied[2];
/* A confirmation on its way to the log, with the drain that it names. */
byte sent[2] = NONE;
byte fresh;

#define head log[end]
#define SERVES(index, who) ((who == 0 && log[index].serves0) || (who == 1 && log[index].serves1))

inline copy(from, to) {
	log[to].pool = log[from].pool;
	log[to].drain = log[from].drain;
	log[to].serves0 = log[from].serves0;
	log[to].serves1 = log[from].serves1
}

inline clear(index) {
	log[index].pool = 0;
	log[index].drain = NONE;
	log[index].serves0 = 0;
	log[index].serves1 = 0
}

/* Forgets records that every live entry has read. */
inline shift() {
	do
	:: end > 0 && (applied[0] > 0 || !alive[0]) && (applied[1] > 0 || !alive[1]) ->
		copy(1, 0);
		if :: end >= 2 -> copy(2, 1) :: else fi;
		if :: end >= 3 -> copy(3, 2) :: else fi;
		clear(end);
		end--;
		if :: applied[0] > 0 -> applied[0]-- :: else fi;
		if :: applied[1] > 0 -> applied[1]-- :: else fi
	:: else -> break
	od
}

#define NAMED(n) (sent[0] == n || sent[1] == n || log[0].drain == n || log[1].drain == n || log[2].drain == n || log[3].drain == n)

/* Takes the lowest number of a drain that nothing names. */
inline number(n) {
	n = 1;
	do
	:: NAMED(n) -> n++
	:: else -> break
	od;
	assert(n < DRAINS)
}

/* Whether a confirmation of drain `what` counts. */
#ifdef STALE_CONFIRM
#define CONFIRMS(what) (head.drain != NONE)
#else
#define CONFIRMS(what) (head.drain == what)
#endif

/* Whether nobody may hold work on the VM any more. */
#ifdef NO_CONFIRM
#define EMPTY true
#else
#define EMPTY (!waiting[0] && !waiting[1])
#endif

/* Pool of the VM when a declaration asks for another. */
#ifdef JUMP
#define JUMPS (end < LAG)
#else
#define JUMPS false
#endif

/* Whether one confirmation stands for those of the others. */
#ifdef FIRST_CONFIRM
#define OTHERS_WAIT(who) false
#else
#define OTHERS_WAIT(who) waiting[1 - who]
#endif

/* Whether an entry may route by its reading, and confirm. */
#ifdef ROUTE_BEFORE_JOIN
#define MAY_ROUTE(me) true
#else
#define MAY_ROUTE(me) SERVES(applied[me], me)
#endif
#ifdef EARLY_EMPTIED
#define MAY_CONFIRM(me) true
#else
#define MAY_CONFIRM(me) (!holds[me])
#endif

/* Whether the platform may say that an entry is dead. */
#ifdef FALSE_GONE
#define SAID_DEAD(who) true
#else
#define SAID_DEAD(who) (!alive[who])
#endif

/* The state machine: a record that is rejected is not kept, since it changes nothing. */
inline append(kind, who, what) {
	d_step {
		if
		:: kind == declare && what != target ->
			target = what;
			if
			:: JUMPS -> copy(end, end + 1); end++; head.pool = what
			:: else
			fi
		:: kind == drain_vm && head.drain == NONE && end < LAG ->
			number(fresh);
			copy(end, end + 1);
			end++;
			head.drain = fresh;
			fresh = 0;
			waiting[0] = head.serves0;
			waiting[1] = head.serves1
		:: kind == return_vm && head.drain != NONE && end < LAG ->
			copy(end, end + 1);
			end++;
			head.drain = NONE;
			waiting[0] = false;
			waiting[1] = false
		:: kind == emptied && CONFIRMS(what) && waiting[who] ->
			waiting[who] = false;
			waiting[1 - who] = OTHERS_WAIT(who)
		:: kind == moved && head.drain != NONE && target != head.pool && EMPTY && end < LAG ->
			copy(end, end + 1);
			end++;
			head.pool = target;
			head.drain = NONE;
			waiting[0] = false;
			waiting[1] = false
		:: kind == gone && SERVES(end, who) && end < LAG ->
			copy(end, end + 1);
			end++;
			if :: who == 0 -> head.serves0 = 0 :: else -> head.serves1 = 0 fi;
			waiting[who] = false
		:: kind == join && !SERVES(end, who) && end < LAG ->
			copy(end, end + 1);
			end++;
			if :: who == 0 -> head.serves0 = 1 :: else -> head.serves1 = 1 fi
		:: else
		fi;
		shift();
		skip
	}
}

proctype Entry(bit me) {
end_entry:
	do
	/* Reads the next record. */
	:: atomic { alive[me] && applied[me] < end -> applied[me]++; shift() }
	/* Sends work where its reading allows. */
	:: atomic {
		alive[me] && !holds[me] && log[applied[me]].drain == NONE && MAY_ROUTE(me) ->
		holds[me] = true;
		work[me] = log[applied[me]].pool
	   }
	:: atomic { holds[me] -> holds[me] = false; work[me] = 0 }
	/* Sends its confirmation, perhaps again since the answer was lost. */
	:: atomic {
		alive[me] && sent[me] == NONE && log[applied[me]].drain != NONE && MAY_CONFIRM(me) ->
		sent[me] = log[applied[me]].drain
	   }
	/* Dies with its work; the platform says so, and somebody records it. */
	:: atomic {
		alive[me] -> alive[me] = false; holds[me] = false; work[me] = 0; applied[me] = 0; shift()
	   }
	/* A new process starts once the end of the old one is recorded, reads, and joins. */
	:: atomic { !alive[me] && !SERVES(end, me) -> alive[me] = true; applied[me] = end }
	:: atomic { alive[me] && !SERVES(end, me) && end < LAG -> append(join, me, 0) }
	od
}

/* The log takes a confirmation late, loses it, or takes it while the answer is lost. */
proctype Network(bit who) {
end_network:
	do
	:: atomic { sent[who] != NONE -> append(emptied, who, sent[who]) }
	:: atomic { sent[who] != NONE -> sent[who] = NONE }
	od
}

/* Operators, the controllers and the platform's word that an entry is dead. */
proctype Operator() {
end_operator:
	do
	:: atomic { target == 1 -> append(declare, 0, 0) }
	:: atomic { target == 0 -> append(declare, 0, 1) }
	:: atomic { head.drain == NONE && end < LAG -> append(drain_vm, 0, 0) }
	:: atomic { head.drain != NONE && end < LAG -> append(return_vm, 0, 0) }
	:: atomic { head.drain != NONE && target != head.pool && EMPTY -> append(moved, 0, 0) }
	:: atomic { SAID_DEAD(0) && head.serves0 && end < LAG -> append(gone, 0, 0) }
	:: atomic { SAID_DEAD(1) && head.serves1 && end < LAG -> append(gone, 1, 0) }
	od
}

init {
	atomic {
		log[0].serves0 = 1;
		log[0].serves1 = 1;
		run Entry(0);
		run Entry(1);
		run Network(0);
		run Network(1);
		run Operator()
	}
}

active proctype Monitor() {
end_watch:
	atomic {
		(holds[0] && work[0] != head.pool) || (holds[1] && work[1] != head.pool) -> assert(false)
	}
}
