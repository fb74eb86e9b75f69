/*
 * Limit of an organisation across a takeover, as src/job/cell/account.rs and src/job/cell/restore.rs
 * keep it.
 *
 * Two owners claim the cell in turn. An organisation may run one task at once and has two, each on a
 * runner of its own. An owner charges a task from its placement, which the ledger stores before the
 * start is sent, until a report shows that the run has ended or its lease has certainly expired. A new
 * owner charges what the ledger has placed. A start is on its way for any time and may be lost; a stop
 * lets a run go on for any time. An owner may be paused between any two steps.
 *
 * Time advances by ticks, as in takeover.pml.
 *
 * Invariant: the two tasks never run at the same time.
 */
// seeds: FORGET_PLACED RELEASE_AT_STOP
// pan: -m400000 -w26

#define LEASE 1
#define WINDOW 1
#define EXPIRY (WINDOW + LEASE + 1)
#define MAX_RUNS 2
#define MAX_CLAIMS 2

/* The log of claims, and the ledger with the placement of each task. */
byte claims;
byte ledger_epoch;
bool ledger_placed[2];
byte ledger_run[2];

/* Runners: runner `t` is for task `t`. */
byte fence[2];
byte running[2];
byte lease[2];
byte last_run[2];

/* A start on its way to each runner. */
byte start_run[2];
byte start_fence[2];
byte start_valid[2];

/* Owners. */
byte epoch[2];
bool serving[2];
/* Ticks for which the owner may still grant leases. */
byte confirmed[2];

typedef Task {
	/* Whether the task is charged, and the run for which it is. */
	bool charged;
	byte number;
	bool sent;
	/* Whether a report without the run shows that it has ended. */
	bool settled;
	/* Whether the runner has accepted the owner's fence. */
	bool fenced;
	/* Ticks until every lease that the owner knows of has expired. */
	byte expiry
}

typedef Tasks { Task for_task[2] }
Tasks task[2];

#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define OWNS(o) (serving[o] && epoch[o] == ledger_epoch)
#define T(o, t) task[o].for_task[t]

/* Ends the charge of a task; the ledger stores that it is not placed. */
inline release(o, t) {
	if
	:: OWNS(o) -> T(o, t).charged = false; ledger_placed[t] = false
	:: else -> serving[o] = false
	fi;
	T(o, t).sent = false;
	T(o, t).settled = false
}

inline read_placement(o, t) {
#ifdef FORGET_PLACED
	T(o, t).charged = false;
#else
	T(o, t).charged = ledger_placed[t];
#endif
	T(o, t).number = ledger_run[t];
	T(o, t).sent = T(o, t).charged;
	/* A start of a former owner can't begin once the runner has accepted the fence. */
	T(o, t).settled = T(o, t).charged;
	T(o, t).fenced = false;
	T(o, t).expiry = EXPIRY
}

/* Runner `t` receives a poll of owner `o`, and the answer arrives. */
inline poll(o, t) {
	if
	:: fence[t] > epoch[o] -> serving[o] = false
	:: else ->
		fence[t] = epoch[o];
		T(o, t).fenced = true;
		if
		:: running[t] > 0 ->
			if
			:: T(o, t).charged && running[t] == T(o, t).number -> T(o, t).settled = true
			:: else
			fi;
			if
			:: confirmed[o] > 0 ->
				lease[t] = MAX(lease[t], LEASE + 1);
				T(o, t).expiry = MAX(T(o, t).expiry, LEASE + 1)
			:: else
			fi
		:: running[t] == 0 && T(o, t).charged && T(o, t).sent && T(o, t).settled -> release(o, t)
		:: else
		fi
	fi
}

proctype owner(bit o) {
	byte t;
end:
	do
	:: atomic {
		claims < MAX_CLAIMS && !serving[o] ->
		claims++;
		epoch[o] = claims;
		confirmed[o] = WINDOW
	}
	:: atomic {
		!serving[o] && epoch[o] > ledger_epoch ->
		ledger_epoch = epoch[o];
		serving[o] = true;
		read_placement(o, 0);
		read_placement(o, 1)
	}
	/* Heartbeat: the log accepts it only from the newest claimant. */
	:: atomic { serving[o] && epoch[o] == claims && confirmed[o] < WINDOW -> confirmed[o] = WINDOW }
	:: atomic { serving[o] && epoch[o] != claims && confirmed[o] == 0 -> serving[o] = false }
	:: atomic { serving[o] -> if :: t = 0 :: t = 1 fi; poll(o, t); t = 0 }
	/* Places a task if the other one is not charged. */
	:: atomic {
		serving[o] && !T(o, 0).charged && !T(o, 1).charged ->
		if :: t = 0 :: t = 1 fi;
		if
		:: !OWNS(o) -> serving[o] = false
		:: OWNS(o) && ledger_run[t] < MAX_RUNS && T(o, t).fenced ->
			ledger_run[t]++;
			ledger_placed[t] = true;
			T(o, t).charged = true;
			T(o, t).number = ledger_run[t];
			T(o, t).sent = false;
			T(o, t).settled = false
		:: else
		fi;
		t = 0
	}
	/* Sends the start, with a lease from now on. */
	:: atomic {
		serving[o] && confirmed[o] > 0 ->
		if :: t = 0 :: t = 1 fi;
		if
		:: T(o, t).charged && !T(o, t).sent && start_run[t] == 0 ->
			start_run[t] = T(o, t).number;
			start_fence[t] = epoch[o];
			start_valid[t] = LEASE + 1;
			T(o, t).expiry = MAX(T(o, t).expiry, LEASE + 1);
			T(o, t).sent = true
		:: else
		fi;
		t = 0
	}
	/* Gives up a placement whose start was never sent. */
	:: atomic { serving[o] && T(o, 0).charged && !T(o, 0).sent && confirmed[o] == 0 -> release(o, 0) }
	:: atomic { serving[o] && T(o, 1).charged && !T(o, 1).sent && confirmed[o] == 0 -> release(o, 1) }
	/* Stops a run: it can't start any more, and may go on for a while. */
	:: atomic {
		serving[o] ->
		if :: t = 0 :: t = 1 fi;
		if
		:: T(o, t).charged && T(o, t).sent && fence[t] <= epoch[o] ->
			fence[t] = epoch[o];
			last_run[t] = MAX(last_run[t], T(o, t).number);
			T(o, t).settled = true;
#ifdef RELEASE_AT_STOP
			release(o, t)
#endif
		:: else
		fi;
		t = 0
	}
	/* Counts a run as ended whose leases have expired. */
	:: atomic { serving[o] && T(o, 0).charged && T(o, 0).sent && T(o, 0).expiry == 0 -> release(o, 0) }
	:: atomic { serving[o] && T(o, 1).charged && T(o, 1).sent && T(o, 1).expiry == 0 -> release(o, 1) }
	od
}

proctype runner(bit t) {
end:
	do
	/* A start arrives, or is lost. */
	:: atomic {
		start_run[t] > 0 ->
		if
		:: start_fence[t] >= fence[t] && start_valid[t] > 0 && start_run[t] > last_run[t] && running[t] == 0 ->
			fence[t] = start_fence[t];
			running[t] = start_run[t];
			last_run[t] = start_run[t];
			lease[t] = MAX(lease[t], start_valid[t]);
			assert(running[0] == 0 || running[1] == 0)
		:: else
		:: true
		fi;
		start_run[t] = 0;
		start_fence[t] = 0;
		start_valid[t] = 0
	}
	/* The run ends. */
	:: atomic { running[t] > 0 -> running[t] = 0 }
	od
}

#define AGE(timer) if :: timer > 0 -> timer-- :: else fi

/* Time: a lease that expires ends what runs under it. */
proctype clock() {
end:
	do
	:: atomic {
		AGE(lease[0]); AGE(lease[1]);
		AGE(start_valid[0]); AGE(start_valid[1]);
		AGE(confirmed[0]); AGE(confirmed[1]);
		AGE(T(0, 0).expiry); AGE(T(0, 1).expiry);
		AGE(T(1, 0).expiry); AGE(T(1, 1).expiry);
		if :: lease[0] == 0 -> running[0] = 0 :: else fi;
		if :: lease[1] == 0 -> running[1] = 0 :: else fi
	}
	od
}

init {
	atomic { run owner(0); run owner(1); run runner(0); run runner(1); run clock() }
}
