/* Configuration: a log of proposals and snapshots, applied by INSTANCES readers.
 *
 * Two operators propose concurrently. Each may repeat its call, under the same
 * nonce, at any instance, as long as it was not told the result. An append is
 * answered, or its answer is lost before or after it took effect, or it takes
 * effect late. The environment lets instances read, take over a peer's state,
 * append snapshots (also of a state that is no longer in force), be replaced by
 * new ones, and lets retention drop any prefix of the log.
 *
 * A mutant, chosen by -DMUTANT_..., must violate an assertion.
 */
#ifndef INSTANCES
#define INSTANCES 2
#endif
#ifndef TRIES
#define TRIES 2
#endif
#ifndef LOG
#define LOG 5
#endif
#ifndef REPLACED
#define REPLACED 2
#endif
#define OPERATORS 2

mtype = { Proposal, Snapshot };

mtype kind[LOG];
byte base[LOG];       /* the proposal's base, or the snapshot's generation */
byte nonce[LOG];      /* the proposal, or the content of the snapshot */
byte reach[LOG];      /* the snapshot's next offset */
byte history[LOG];    /* the nonces that the snapshot remembers as applied */
byte next = 0;
byte oldest = 0;

/* The result of applying the whole log: the reference for every assertion. */
byte truth = 0;                     /* the generation in force */
byte winner[OPERATORS * TRIES + 1]; /* the proposal that made a generation */
byte won = 0;                       /* nonces that won */
byte lost = 0;                      /* nonces whose operator was told of a conflict */

/* tlconfig.StateMachine of each instance */
bool known[INSTANCES];
byte gen[INSTANCES];
byte content[INSTANCES];
byte applied[INSTANCES];
byte pos[INSTANCES];
byte first[INSTANCES];

byte lateNonce = 0;   /* a proposal whose append is still in flight */
byte lateBase = 0;

#define bit(n) (1 << (n))

/* Evaluates a proposal at its offset in the log, as every reader has to. */
inline judge(b, n) {
	if
	:: b == truth ->
		assert(!(won & bit(n)));     /* a proposal wins once */
		assert(!(lost & bit(n)));    /* and not after its operator was told of a conflict */
		truth++;
		winner[truth] = n;
		won = won | bit(n)
	:: else
	fi
}

inline propose(b, n) {
	d_step {
		if
		:: next < LOG ->
			kind[next] = Proposal; base[next] = b; nonce[next] = n;
			next++;
#ifdef MUTANT_NO_BASE
			judge(truth, n)
#else
			judge(b, n)
#endif
		:: else
		fi
	}
}

/* tlconfig.StateMachine.StartAt: reading continues at the oldest record. */
inline begin(i) {
	known[i] = (oldest == 0);
	first[i] = (known[i] -> 0 : oldest);
	pos[i] = oldest
}

/* tlconfig.StateMachine.proposal and tlconfig.StateMachine.snapshot */
inline take(i) {
	if
#ifdef MUTANT_NO_BASE
	:: kind[pos[i]] == Proposal && known[i] ->
#else
	:: kind[pos[i]] == Proposal && known[i] && base[pos[i]] == gen[i] ->
#endif
		gen[i]++;
		content[i] = nonce[pos[i]];
		applied[i] = applied[i] | bit(nonce[pos[i]])
#ifdef MUTANT_BLIND_SNAPSHOT
	:: kind[pos[i]] == Snapshot && !known[i] && base[pos[i]] >= gen[i] ->
#else
	:: kind[pos[i]] == Snapshot && !known[i] && base[pos[i]] >= gen[i] && reach[pos[i]] >= first[i] ->
#endif
		known[i] = true;
		first[i] = 0;
		gen[i] = base[pos[i]];
		content[i] = nonce[pos[i]];
		applied[i] = history[pos[i]];
#ifndef MUTANT_BLIND_SNAPSHOT
		pos[i] = reach[pos[i]] - 1      /* the records since are read again */
#endif
	:: else
	fi;
	pos[i] = pos[i] + 1
}

/* tlconfigure.Configurer.readToEnd */
inline read(i) {
	d_step {
		do
		:: pos[i] < oldest -> begin(i)
		:: pos[i] >= oldest && pos[i] < next -> take(i)
		:: else -> break
		od;
		check(i)
	}
}

/* What an instance serves is what the log gives at its position. */
inline check(i) {
	assert(gen[i] <= truth);
	assert(gen[i] == 0 || content[i] == winner[gen[i]]);
	assert(!known[i] || pos[i] < next || gen[i] == truth)
}

/* tlconfig.StateMachine.Adopt */
inline adopt(i, j) {
	d_step {
		if
#ifdef MUTANT_ADOPTS_OLDER
		:: known[j] ->
#else
		:: known[j] && gen[j] >= gen[i] && (!known[i] || pos[j] > pos[i]) ->
#endif
			assert(gen[j] >= gen[i]);    /* generations never decrease */
			known[i] = true;
			first[i] = 0;
			gen[i] = gen[j];
			content[i] = content[j];
			applied[i] = applied[j];
			pos[i] = pos[j];
			check(i)
		:: else
		fi
	}
}

/* A new instance replaces an old one. */
inline replace(i) {
	d_step {
		gen[i] = 0;
		content[i] = 0;
		applied[i] = 0;
		begin(i)
	}
}

/* tlconfigure.Configurer.appendSnapshotIfDue */
inline snapshot(g, c, r, h) {
	d_step {
		if
		:: next < LOG ->
			kind[next] = Snapshot;
			base[next] = g;
			nonce[next] = c;
			reach[next] = r;
			history[next] = h;
			next++
		:: else
		fi
	}
}

/* tlconfigure.Configurer.Apply */
proctype Operator(byte n) {
	byte i = 0, at, b;
	byte tries = 0;

again:
	if
	:: tries == TRIES -> goto end                      /* it is never told */
	:: tries < TRIES -> tries++
	fi;
	if
	:: i = 0
	:: i = 1
	fi;
	atomic {
		read(i);
		if
		:: !known[i] -> goto again                     /* LogBehind */
#ifndef MUTANT_FORGETS_NONCES
		:: known[i] && (applied[i] & bit(n)) -> assert(won & bit(n)); goto end
		:: known[i] && !(applied[i] & bit(n)) -> b = gen[i]
#else
		:: known[i] -> b = gen[i]
#endif
		fi
	};

	/* tlconfigure.Configurer.propose and tlconfigure.Configurer.appendWithRetry */
	if
	:: atomic { next < LOG -> at = next; propose(b, n) }   /* answered */
	:: propose(b, n); goto unanswered
	:: atomic { lateNonce == 0 -> lateNonce = n; lateBase = b; goto unanswered }
	:: goto unanswered
	fi;
	atomic {
		read(i);
		if
		:: known[i] && pos[i] > at && (applied[i] & bit(n)) -> assert(won & bit(n))
		:: known[i] && pos[i] > at && !(applied[i] & bit(n)) ->
			assert(!(won & bit(n)));
			lost = lost | bit(n)
		:: !known[i] || pos[i] <= at -> goto again         /* ConfigUnknown */
		fi
	};
	goto end;

unanswered:
#ifdef MUTANT_TAKES_SILENCE_FOR_CONFLICT
	atomic { lost = lost | bit(n); assert(!(won & bit(n))) };
	goto end;
#endif
	goto again;

end:	skip;
	d_step { i = 0; at = 0; b = 0; tries = 0 }
}

proctype Environment() {
	byte i, g, c, r, h;
	byte replaced = 0;
end:	do
	:: d_step { i = 0; g = 0; c = 0; r = 0; h = 0 };
		if
		:: skip
		:: i = 1
		fi;
		if
		:: read(i)
		:: adopt(i, 1 - i)
		:: d_step { replaced < REPLACED -> replaced++; replace(i) }
		/* the state may be out of force by the time that its snapshot is appended */
		:: d_step { known[i] && gen[i] > 0 && next < LOG -> g = gen[i]; c = content[i]; r = pos[i]; h = applied[i] };
			snapshot(g, c, r, h)
		:: d_step { oldest < next ->
			kind[oldest] = 0; base[oldest] = 0; nonce[oldest] = 0; reach[oldest] = 0; history[oldest] = 0;
			oldest++ }
		:: atomic { lateNonce != 0 -> propose(lateBase, lateNonce); lateNonce = 0; lateBase = 0 }
		fi
	od
}

init {
	atomic {
		known[0] = true;
		known[1] = true;
		run Environment();
		run Operator(1);
		run Operator(2)
	}
}
