// seeds: SEED_NO_CLAIM SEED_RETRY_AFTER_SEND SEED_STEAL SEED_NO_FENCE SEED_RUN_RELEASED
/*
 * Orders run at most once: one key, one stream of the log, and two entries, of which the first may
 * end at any moment and come back.
 *
 * An entry claims the key by a line in the stream, reads the stream back in offset order, and runs
 * the order only if its own claim was the first. After a run that certainly did not happen it
 * passes the order to the next request that waits here, or releases the claim. Answers to appends
 * are lost; an unanswered append is repeated under its name; one copy of an append may land late,
 * when the platform has forgotten its name. The next incarnation of an entry remembers nothing and
 * reads the stream from the beginning. During an outage an entry refuses the requests that wait for
 * their claim. src/order holds the same decisions.
 *
 * Checked: the order runs at most once; "not run", said after a claim that had won, is true; a
 * request that was refused does not run.
 *
 * Seeded faults, each of which must be found:
 *   NO_CLAIM          runs when the append is answered, without reading the claim back
 *   RETRY_AFTER_SEND  releases the claim although the order may have run
 *   STEAL             a later claim takes an open one over, as if its owner were gone
 *   NO_FENCE          a late copy of an overtaken line takes effect
 *   RUN_RELEASED      runs a new request by a claim whose release is on its way
 */

#define LOG 5        /* lines that the stream takes */
#define NOBODY 255
#define ARRIVALS 2   /* requests of the key at the first entry; the second gets one */

mtype = { none, claim, release, done, unknown };        /* lines */
mtype = { idle, claiming, running, releasing, ending, foreign }; /* phases of the key at an entry */
mtype = { free, open, closed, doubtful };               /* what the stream says of the key */

typedef Line {
	mtype kind;
	byte writer;
	byte sequence
}

Line stream[LOG];
byte length;

/* The late copy of an append. */
mtype late = none;
byte late_writer, late_sequence;

byte runs;

/* Stores a line, unless the platform holds one of its name. */
inline store(line_kind, line_writer, line_sequence) {
	found = false;
	place = 0;
	do
	:: place < length ->
		if
		:: stream[place].writer == line_writer && stream[place].sequence == line_sequence ->
			found = true
		:: else -> skip
		fi;
		place++
	:: else -> break
	od;
	if
	:: !found && length < LOG ->
		stream[length].kind = line_kind;
		stream[length].writer = line_writer;
		stream[length].sequence = line_sequence;
		length++
	:: else -> skip
	fi;
	found = false;
	place = 0
}

/* Applies the next line of the stream to what this entry knows. */
inline apply() {
	kind = stream[next].kind;
	writer = stream[next].writer;
	sequence = stream[next].sequence;
	next++;
	if
#ifndef SEED_NO_FENCE
	:: sequence <= heard[writer] -> kind = none
#endif
	:: else -> heard[writer] = (sequence > heard[writer] -> sequence : heard[writer])
	fi;
	if
	:: kind == claim && key == free -> key = open; owner = writer
#ifdef SEED_STEAL
	:: kind == claim && key == open -> owner = writer
#endif
	:: kind == release && key == open && owner == writer -> key = free; owner = NOBODY
	:: kind == done && owner == writer -> key = closed
	:: kind == unknown && owner == writer -> key = doubtful
	:: else -> skip
	fi
}

/* Runs the order for a request that waits; the endpoint takes it or refuses it. */
inline dispatch() {
	assert(waiting > 0);
	waiting--;
	phase = running;
	if
	:: runs++; ran = true
	:: ran = false
	fi;
	assert(runs <= 1)
}

/* Writes a line in the next append. */
inline write(line_kind) {
	queued = line_kind
}

/* Decides after the claim was read back. */
inline claimed() {
	if
	:: key == open && owner == me ->
		if
		:: waiting > 0 -> dispatch()
		:: else -> write(release); phase = releasing
		fi
	:: else -> phase = foreign
	fi
}

/* Decides on what the stream says of a key that this entry doesn't hold. */
inline follow() {
	if
	:: key == free && waiting > 0 -> write(claim); phase = claiming
	:: key == free && waiting == 0 -> phase = idle
	:: key == closed || key == doubtful -> waiting = 0; phase = idle
	:: else -> skip
	fi
}

proctype Entry(byte number) {
	byte me = number;          /* the second incarnation of entry 0 is numbered 2 */
	byte arrivals = (number == 0 -> ARRIVALS : 1);
	byte next;                 /* next line of the stream to apply */
	mtype key = free;
	byte owner = NOBODY;
	byte heard[3];             /* last append of each incarnation */
	mtype phase = idle;
	byte waiting;
	bool ran;
	mtype queued = none;       /* line of the next append */
	mtype flight = none;       /* line of the append that is not known to be in the log */
	byte written;              /* appends so far */
	mtype kind;
	byte writer, sequence, place;
	bool found;

end:
	do
	/* A request arrives. */
	:: atomic { arrivals > 0 && waiting == 0 ->
		arrivals--;
		if
		:: phase == idle && key == free -> waiting++; write(claim); phase = claiming
		:: phase == idle && key == open -> waiting++; phase = foreign
		:: phase == idle && (key == closed || key == doubtful) -> skip
		:: phase == releasing ->
			waiting++;
#ifdef SEED_RUN_RELEASED
			dispatch()
#endif
		:: phase == ending -> skip
		:: phase == claiming || phase == running || phase == foreign -> waiting++
		fi }

	/* The claim was not confirmed in time: the request is refused as not run. */
	:: atomic { waiting > 0 && (phase == claiming || phase == releasing) ->
		waiting = 0;
		if
		:: phase == claiming && queued == claim -> queued = none; phase = idle
		:: else -> skip
		fi }

	/* One append at a time. */
	:: atomic { flight == none && queued != none ->
		written++;
		flight = queued;
		queued = none }

	/* It is sent, or sent again; it may be lost, or its answer may, or a copy may be late. */
	:: atomic { flight != none ->
		if
		:: late == none -> late = flight; late_writer = me; late_sequence = written
		:: skip
		fi;
		if
		:: store(flight, me, written);
			if
			:: skip
			:: length < LOG ->
#ifdef SEED_NO_CLAIM
				if
				:: flight == claim && phase == claiming && waiting > 0 -> dispatch()
				:: else -> skip
				fi;
#endif
				flight = none
			fi
		:: skip
		fi }

	/* The next line is read. */
	:: atomic { next < length ->
		apply();
		if
		:: writer == me && written == sequence -> flight = none
		:: else -> skip
		fi;
		if
		:: writer == me && kind == claim && phase == claiming ->
			claimed();
			if
			:: phase == foreign -> follow()
			:: else -> skip
			fi
		:: writer == me && kind == release && phase == releasing -> phase = foreign; follow()
		:: writer == me && (kind == done || kind == unknown) && phase == ending -> phase = idle
		:: else ->
			if
			:: phase == foreign -> follow()
			:: else -> skip
			fi
		fi;
		/* Scratch variables don't tell states apart. */
		kind = none; writer = 0; sequence = 0 }

	/* The run ends. */
	:: atomic { phase == running && ran -> write(done); waiting = 0; ran = false; phase = ending }
	:: atomic { phase == running && !ran ->
		assert(runs == 0); /* the request is told "not run" */
		if
		:: waiting > 0 -> dispatch()
		:: else -> write(release); phase = releasing
		fi }
	:: atomic { phase == running ->
#ifdef SEED_RETRY_AFTER_SEND
		write(release); phase = releasing;
#else
		write(unknown); waiting = 0; phase = ending;
#endif
		ran = false }

	/* The first entry may end; its next incarnation remembers nothing. */
	:: atomic { me == 0 ->
		me = 2;
		next = 0; key = free; owner = NOBODY;
		heard[0] = 0; heard[1] = 0; heard[2] = 0;
		phase = idle; waiting = 0; ran = false;
		queued = none; flight = none; written = 0 }
	od
}

/* The late copy lands, though the stream may hold a line of its name already. */
active proctype Network() {
end:
	do
	:: atomic { late != none && length < LOG ->
		stream[length].kind = late;
		stream[length].writer = late_writer;
		stream[length].sequence = late_sequence;
		length++;
		late = none; late_writer = 0; late_sequence = 0 }
	od
}

init {
	atomic {
		run Entry(0);
		run Entry(1)
	}
}
