/* Claims of one idempotency key, kept in one log stream.
 *
 * Each instance serves ATTEMPTS requests that carry the key, one after the
 * other; a pause is a process that is not scheduled. An append is answered,
 * refused for certain, lost before or after it took effect, or takes effect late. The
 * environment lets time pass and retention drop any prefix of the log. A crash
 * is possible between any two steps and loses everything but the log.
 *
 * A mutant, chosen by -DMUTANT_..., must violate an assertion.
 */
#ifndef INSTANCES
#define INSTANCES 2
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#ifndef LOG
#define LOG 5
#endif
#ifndef CLOCK
#define CLOCK 1
#endif
#define NONCES (INSTANCES * ATTEMPTS + 1)

mtype = { Claim, Outcome, Lost, Release };             /* records */
mtype = { Free, Held, Ran, Unknown, Released };        /* states of the key */

mtype kind[LOG];
byte nonce[LOG];
byte time[LOG];
byte next = 0;      /* offset of the next append */
byte oldest = 0;    /* first offset still retained */
byte clock = 0;     /* the log's time */
byte keyTime;       /* the time inside the key, less KeySkew; it need not be true */

byte sent = 0;      /* requests that the endpoint read */
byte gaveUp = 0;    /* nonces whose release is in the log */
bool late[NONCES];  /* claims whose append is still in flight */

/* Appends a record; a full log accepts no further record. */
inline append(k, n) {
	d_step {
		if
		:: next < LOG ->
			kind[next] = k;
			nonce[next] = n;
			time[next] = clock;
			next++;
			if
			:: k == Release -> gaveUp = gaveUp | (1 << n)
			:: else
			fi
		:: else
		fi
	}
}

/* Discards the whole state and starts at an offset: tlclaim.NewTable, Table.Restart. */
inline restart(at) {
	pos = at;
	state = Free;
	holder = 0;
	place = 0;
	placed = 0;
	given = 0;
	since = 0;
	complete = (at == 0);
	known = false
}

/* Applies one record: tlclaim.Table.Apply, with the rules of tlclaim/rule.go. */
inline apply() {
	if
	:: !complete && !known -> known = true; since = time[pos]
	:: else
	fi;
	if
#ifdef MUTANT_KEY_AHEAD
	:: kind[pos] == Claim ->
#else
	:: kind[pos] == Claim && keyTime <= time[pos] ->
#endif
		if
		:: (state == Free || state == Released) && !(given & (1 << nonce[pos])) ->
			state = Held; holder = nonce[pos]; place = pos; placed = time[pos]
		:: else
		fi;
		if
		:: nonce[pos] == n -> folded = true
		:: else
		fi
	:: kind[pos] == Outcome && (state == Held || state == Unknown) && holder == nonce[pos] -> state = Ran
	:: kind[pos] == Lost && state == Held && holder == nonce[pos] -> state = Unknown
	:: kind[pos] == Release ->
		if
		:: state == Free || (state == Held && holder == nonce[pos]) ->
			state = Released; holder = nonce[pos]; place = pos; placed = time[pos]
		:: else
		fi;
#ifndef MUTANT_FORGETS_RELEASES
		given = given | (1 << nonce[pos])
#endif
	:: else
	fi;
	pos++
}

/* Discards what the log no longer retains: tlclaim.Table.Drop. */
inline drop() {
	if
	:: state != Free && place < oldest ->
		complete = false;
		known = true;
		since = placed;
		state = Free;
		holder = 0;
		given = 0;
		place = 0;
		placed = 0
	:: else
	fi
}

/* Reads the log to its end, or detects that retention passed its position: tlledger.Reader. */
inline read() {
	d_step {
		if
		:: pos < oldest -> restart(oldest)
		:: else
		fi;
		do
		:: pos < next -> apply()
		:: else -> break
		od;
		drop();
		assert(!(complete && state == Held && (gaveUp & (1 << holder))))
	}
}

/* tlclaim.Coverage.Covers */
#ifdef MUTANT_NO_COVERAGE
#define covered true
#else
#define covered (complete || (known && keyTime > since))
#endif
#define given_up (given & (1 << n))

proctype Instance(byte id) {
	byte pos, holder, place, placed, since, given;
	byte n = 0;
	byte a = 0;
	mtype state;
	bool complete, known, folded, told;
	d_step { restart(oldest) }

again:	/* a request arrives: tlledger.Ledger.Claim */
	if
	:: a < ATTEMPTS -> d_step { a++; n = id * ATTEMPTS + a; folded = false; told = false }
	:: a == ATTEMPTS -> goto end
	:: d_step { a < ATTEMPTS -> restart(oldest); folded = false; told = false }   /* crash */
		goto again
	fi;

look:	/* tlledger.Stream.claim and tlclaim.Table.Decide */
	atomic {
		read();
		if
		:: !covered -> goto again                          /* KeyTooOld, MayHaveRun */
		:: covered && given_up -> goto again               /* AlreadyReleased, NotRun */
		:: covered && !given_up && state == Ran -> assert(sent == 1); goto again
		:: covered && !given_up && state == Unknown -> goto again
#ifdef MUTANT_TAKE_OVER
		:: covered && !given_up && state == Held && holder != n -> goto send
#else
		:: covered && !given_up && state == Held && holder != n -> goto again
#endif
		:: covered && !given_up && state == Held && holder == n -> goto send
		:: covered && !given_up && (state == Free || state == Released) ->
			if
			:: late[n] || folded -> goto again
			:: else
			fi
		fi
	};

	/* tlledger.Stream.appendClaim; the branches are the possible results of an append */
	if
	:: append(Claim, n)                                /* answered, or the answer is lost */
#ifdef MUTANT_ASSUMES
	:: append(Claim, n); goto send                     /* treats it as a success */
#endif
	:: late[n] = true                                  /* unanswered, takes effect late */
	:: told = true; goto again                         /* refused for certain, or never takes effect */
	fi;

	/* waits to read its own claim, or gives up */
	atomic {
		if
		:: read(); if
			:: folded -> goto look
			:: else -> told = true
			fi
		:: told = true
		:: goto crash
		fi
	};

release:	/* tlledger.Ledger.Release */
	if
	:: append(Release, n)
	:: skip                                            /* lost with its instance */
	fi;
#ifdef MUTANT_SENDS_AFTER_GIVING_UP
	read();
	if
	:: state == Held && holder == n -> goto send
	:: else
	fi;
#endif
	goto again;

send:	/* tlplain.Caller.sendClaimed */
	if
	:: told = true; goto release                       /* nothing was written */
	:: goto crash
#ifdef MUTANT_OUTCOME_FIRST
	:: append(Outcome, n)
#else
	:: skip
#endif
	fi;
	atomic {
		assert(!told);
		sent++;
		assert(sent <= 1)
	};

	/* tlplain.Caller.recordOutcome and tlledger.Ledger.RecordOutcome */
	if
	:: append(Outcome, n)
#ifdef MUTANT_RELEASES_LOST_ANSWER
	:: append(Release, n)
#else
	:: append(Lost, n)
#endif
	:: goto crash
	fi;
	goto again;

crash:
	atomic { restart(oldest); folded = false; told = false };
	goto again;

end:	skip;
	d_step { restart(0); folded = false; told = false; n = 0; complete = false }
}

#define lands(i) atomic { late[i] && next < LOG -> late[i] = false; append(Claim, i) }

proctype Environment() {
end:	do
	:: clock < CLOCK -> clock++
	:: d_step { oldest < next -> kind[oldest] = 0; nonce[oldest] = 0; time[oldest] = 0; oldest++ }
	:: lands(1)
#if NONCES > 2
	:: lands(2)
#endif
#if NONCES > 3
	:: lands(3)
#endif
#if NONCES > 4
	:: lands(4)
#endif
	od
}

init {
	byte i;
	atomic {
		select(i : 0 .. CLOCK);
		keyTime = i;
		run Environment();
		for (i : 0 .. (INSTANCES - 1)) {
			run Instance(i)
		}
	}
}
