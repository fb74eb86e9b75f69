// seeds: SEED_NO_CLAIM SEED_RETRY_AFTER_SEND SEED_STEAL SEED_NO_FENCE SEED_RUN_RELEASED
/*
 * At-most-once execution of orders, as src/request/order implements it: one key, one stream of the
 * log, and two entries, of which the first may end at any moment and restart.
 *
 * An entry claims the key by a line in the stream, reads the stream back in offset order, and runs
 * the order only if its own claim is the first. After a run that certainly did not happen, it runs
 * the next request that waits on it, or releases the claim. Answers to appends may be lost. An
 * unanswered append is resent under the same id. One copy of an append may be stored late, when the
 * platform has forgotten the id and therefore does not deduplicate it. A restarted entry has lost
 * its memory and reads the stream from the beginning. During an outage, an entry refuses the
 * requests that wait for their claim.
 *
 * Properties: the order runs at most once; "not run", if answered after a claim that had won, is
 * true; a refused request does not run.
 *
 * Seeded faults, each of which must be found:
 *   NO_CLAIM          runs when the append is answered, without reading the claim back
 *   RETRY_AFTER_SEND  releases the claim although the order may have run
 *   STEAL             a later claim takes over an open one, as if its owner were gone
 *   NO_FENCE          a late copy of a line that later ones have superseded takes effect
 *   RUN_RELEASED      runs a new request under a claim whose release is in flight
 */

#define LOG 5        /* maximum number of lines in the stream */
#define NOBODY 255
#define ARRIVALS 2   /* requests with the key at the first entry; the second entry gets one */

mtype = { none, claim, release, done, unknown };        /* kinds of lines */
mtype = { idle, claiming, running, releasing, ending, remote }; /* phases of the key on an entry */
mtype = { free, open, closed, uncertain };              /* state of the key in the stream */

typedef Line {
	mtype kind;
	byte writer;
	byte sequence
}

Line stream[LOG];
byte length;

/* The copy of an append that is stored late. */
mtype late_kind = none;
byte late_writer, late_sequence;

byte runs;             /* how often the order has run */

/* Stores a line unless the stream holds one with its id, which is the writer and the sequence. */
inline store_line(line_kind, line_writer, line_sequence) {
	is_stored = false;
	index = 0;
	do
	:: index < length ->
		if
		:: stream[index].writer == line_writer && stream[index].sequence == line_sequence ->
			is_stored = true
		:: else -> skip
		fi;
		index++
	:: else -> break
	od;
	if
	:: !is_stored && length < LOG ->
		stream[length].kind = line_kind;
		stream[length].writer = line_writer;
		stream[length].sequence = line_sequence;
		length++
	:: else -> skip
	fi;
	is_stored = false;
	index = 0
}

/* Applies the next line of the stream to the entry's copy of the key's state. */
inline apply() {
	kind = stream[next_line].kind;
	writer = stream[next_line].writer;
	sequence = stream[next_line].sequence;
	next_line++;
	if
#ifndef SEED_NO_FENCE
	:: sequence <= last_applied[writer] -> kind = none
#endif
	:: else -> last_applied[writer] = (sequence > last_applied[writer] -> sequence : last_applied[writer])
	fi;
	if
	:: kind == claim && key_state == free -> key_state = open; owner = writer
#ifdef SEED_STEAL
	:: kind == claim && key_state == open -> owner = writer
#endif
	:: kind == release && key_state == open && owner == writer -> key_state = free; owner = NOBODY
	:: kind == done && owner == writer -> key_state = closed
	:: kind == unknown && owner == writer -> key_state = uncertain
	:: else -> skip
	fi
}

/* Sends a waiting request to the endpoint, which runs the order or refuses it. */
inline run_next() {
	assert(waiting > 0);
	waiting--;
	phase = running;
	if
	:: runs++; has_run = true
	:: has_run = false
	fi;
	assert(runs <= 1)
}

/* Queues a line for the next append. */
inline enqueue(line_kind) {
	queued = line_kind
}

/* Continues after the entry's claim was read back. */
inline decide_own_claim() {
	if
	:: key_state == open && owner == me ->
		if
		:: waiting > 0 -> run_next()
		:: else -> enqueue(release); phase = releasing
		fi
	:: else -> phase = remote
	fi
}

/* Continues by the state of a key that the entry doesn't own. */
inline decide_remote_key() {
	if
	:: key_state == free && waiting > 0 -> enqueue(claim); phase = claiming
	:: key_state == free && waiting == 0 -> phase = idle
	:: key_state == closed || key_state == uncertain -> waiting = 0; phase = idle
	:: else -> skip
	fi
}

proctype Entry(byte initial_id) {
	byte me = initial_id;         /* incarnation; that of a restarted entry 0 is 2 */
	byte arrivals_left = (initial_id == 0 -> ARRIVALS : 1);
	byte next_line;               /* index of the next line to apply */
	mtype key_state = free;
	byte owner = NOBODY;
	byte last_applied[3];         /* last applied append of each incarnation */
	mtype phase = idle;
	byte waiting;                 /* requests that wait */
	bool has_run;
	mtype queued = none;          /* line of the next append */
	mtype in_flight = none;       /* line of the append that is not known to be stored */
	byte append_count;            /* appends of this incarnation */
	mtype kind;
	byte writer, sequence, index;
	bool is_stored;

end:
	do
	/* A request arrives. */
	:: atomic { arrivals_left > 0 && waiting == 0 ->
		arrivals_left--;
		if
		:: phase == idle && key_state == free -> waiting++; enqueue(claim); phase = claiming
		:: phase == idle && key_state == open -> waiting++; phase = remote
		:: phase == idle && (key_state == closed || key_state == uncertain) -> skip
		:: phase == releasing ->
			waiting++;
#ifdef SEED_RUN_RELEASED
			run_next()
#endif
		:: phase == ending -> skip
		:: phase == claiming || phase == running || phase == remote -> waiting++
		fi }

	/* The claim was not read back in time: the request is refused as not run. */
	:: atomic { waiting > 0 && (phase == claiming || phase == releasing) ->
		waiting = 0;
		if
		:: phase == claiming && queued == claim -> queued = none; phase = idle
		:: else -> skip
		fi }

	/* The queued line is appended; at most one append is in flight. */
	:: atomic { in_flight == none && queued != none ->
		append_count++;
		in_flight = queued;
		queued = none }

	/* The append is sent or resent; it or its answer may be lost, or a copy may be late. */
	:: atomic { in_flight != none ->
		if
		:: late_kind == none -> late_kind = in_flight; late_writer = me; late_sequence = append_count
		:: skip
		fi;
		if
		:: store_line(in_flight, me, append_count);
			if
			:: skip
			:: length < LOG ->
#ifdef SEED_NO_CLAIM
				if
				:: in_flight == claim && phase == claiming && waiting > 0 -> run_next()
				:: else -> skip
				fi;
#endif
				in_flight = none
			fi
		:: skip
		fi }

	/* The next line is read and applied. */
	:: atomic { next_line < length ->
		apply();
		if
		:: writer == me && append_count == sequence -> in_flight = none
		:: else -> skip
		fi;
		if
		:: writer == me && kind == claim && phase == claiming ->
			decide_own_claim();
			if
			:: phase == remote -> decide_remote_key()
			:: else -> skip
			fi
		:: writer == me && kind == release && phase == releasing -> phase = remote; decide_remote_key()
		:: writer == me && (kind == done || kind == unknown) && phase == ending -> phase = idle
		:: else ->
			if
			:: phase == remote -> decide_remote_key()
			:: else -> skip
			fi
		fi;
		/* Reset, so that temporary values don't multiply the states. */
		kind = none; writer = 0; sequence = 0 }

	/* The run ends: with an answer, as certainly not run, or with an unknown outcome. */
	:: atomic { phase == running && has_run -> enqueue(done); waiting = 0; has_run = false; phase = ending }
	:: atomic { phase == running && !has_run ->
		assert(runs == 0); /* "not run" is answered */
		if
		:: waiting > 0 -> run_next()
		:: else -> enqueue(release); phase = releasing
		fi }
	:: atomic { phase == running ->
#ifdef SEED_RETRY_AFTER_SEND
		enqueue(release); phase = releasing;
#else
		enqueue(unknown); waiting = 0; phase = ending;
#endif
		has_run = false }

	/* The first entry may end at any time; it restarts as a new incarnation without memory. */
	:: atomic { me == 0 ->
		me = 2;
		next_line = 0; key_state = free; owner = NOBODY;
		last_applied[0] = 0; last_applied[1] = 0; last_applied[2] = 0;
		phase = idle; waiting = 0; has_run = false;
		queued = none; in_flight = none; append_count = 0 }
	od
}

/* The late copy is stored, even if the stream already holds a line with its id. */
active proctype Network() {
end:
	do
	:: atomic { late_kind != none && length < LOG ->
		stream[length].kind = late_kind;
		stream[length].writer = late_writer;
		stream[length].sequence = late_sequence;
		length++;
		late_kind = none; late_writer = 0; late_sequence = 0 }
	od
}

init {
	atomic {
		run Entry(0);
		run Entry(1)
	}
}
