/* Claims of one idempotency key, kept in one log stream.
 *
 * Each instance serves ATTEMPTS requests that carry the key, one after the
 * other; a pause is a process that is not scheduled. An append is answered,
 * refused for certain, lost before or after it took effect, or lands late. The
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
#define CLOCK 2
#endif
#define SKEW 1
#define NONCES (INSTANCES * ATTEMPTS + 1)

mtype = { Claim, Outcome, Lost, Release };             /* records */
mtype = { Free, Held, Ran, Unknown, Released };        /* states of the key */

mtype kind[LOG];
byte nonce[LOG];
byte time[LOG];
byte next = 0;      /* offset of the next append */
byte oldest = 0;    /* first offset still kept */
byte clock = 0;     /* the log's time */
byte keyTime;       /* the time inside the key; it need not be true */

byte sent = 0;                 /* requests that the endpoint read */
bool notRun[NONCES];           /* attempts that were answered NotRun */
bool gaveUp[NONCES];           /* releases in the log */
bool late[NONCES];             /* claims whose append is still on its way */

/* Appends a record; a full log is one that takes nothing any more. */
inline append(k, n) {
	d_step {
		if
		:: next < LOG ->
			kind[next] = k;
			nonce[next] = n;
			time[next] = clock;
			next++;
			if
			:: k == Release -> gaveUp[n] = true
			:: else
			fi
		:: else
		fi
	}
}

/* Forgets everything and starts at the oldest record: tlclaim.NewTable, Table.Restart. */
inline restart() {
	d_step {
		pos = oldest;
		state = Free;
		holder = 0;
		given = 0;
		place = 0;
		since = 0;
		complete = (oldest == 0);
		known = false;
		folded = false
	}
}

/* Folds one record: tlclaim.Table.Apply, with the rules of tlclaim/rule.go. */
inline apply() {
	if
	:: !complete && !known -> known = true; since = time[pos]
	:: else
	fi;
	if
#ifdef MUTANT_KEY_AHEAD
	:: kind[pos] == Claim ->
#else
	:: kind[pos] == Claim && keyTime <= time[pos] + SKEW ->
#endif
		if
		:: (state == Free || state == Released) && !(given & (1 << nonce[pos])) ->
			state = Held; holder = nonce[pos]; place = pos
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
			state = Released; holder = nonce[pos]; place = pos
		:: else
		fi;
#ifndef MUTANT_FORGETS_RELEASES
		given = given | (1 << nonce[pos])
#endif
	:: else
	fi;
	pos++
}

/* Forgets what the log no longer keeps: tlclaim.Table.Drop. */
inline drop() {
	if
	:: state != Free && place < oldest ->
		state = Free;
		complete = false;
		known = true;
		since = time[place];
		holder = 0;
		given = 0;
		place = 0
	:: else
	fi
}

/* Reads all records, or notices that retention passed: tlledger.Reader. */
inline read() {
	d_step {
		if
		:: pos < oldest ->
			pos = oldest;
			state = Free;
			holder = 0;
			given = 0;
			place = 0;
			since = 0;
			complete = false;
			known = false
		:: else
		fi;
		do
		:: pos < next -> apply()
		:: else -> break
		od;
		drop();
		assert(!(complete && state == Held && gaveUp[holder]))
	}
}

/* tlclaim.Coverage.Covers */
#ifdef MUTANT_NO_COVERAGE
#define covered true
#else
#define covered (complete || (known && keyTime > since + SKEW))
#endif

#define given_up (given & (1 << n))
#define open(s) ((s == Free || s == Released) && !given_up)

proctype Instance(byte id) {
	byte pos, holder, place, since, given;
	byte n = 0;
	byte a = 0;
	mtype state;
	bool complete, known, folded;
	restart();

again:	/* a request comes: tlledger.Ledger.Claim */
	if
	:: a < ATTEMPTS -> d_step { a++; n = id * ATTEMPTS + a; folded = false }
	:: else -> goto end
	fi;

look:	/* tlledger.Stream.look and tlclaim.Entry.Decide */
	if
	:: pos < next -> read(); goto look
	:: atomic { restart(); goto again }                           /* crash */
	:: atomic { !covered -> goto again }               /* KeyTooOld, MayHaveRun */
	:: atomic { covered && state == Ran -> assert(sent == 1); goto again }   /* replay */
	:: covered && state == Unknown -> goto again       /* MayHaveRun */
#ifdef MUTANT_TAKE_OVER
	:: covered && state == Held && holder != n -> goto send
#else
	:: covered && state == Held && holder != n -> goto again   /* waited, MayHaveRun */
#endif
	:: covered && state == Held && holder == n && folded -> goto send
	:: covered && given_up && state != Ran && state != Unknown && !(state == Held && holder != n) -> atomic { notRun[n] = true; goto again }
	:: covered && open(state) && !late[n] -> goto claim
	:: covered && open(state) -> atomic { notRun[n] = true; goto again }  /* log unavailable */
	fi;

claim:	/* tlledger.Stream.try */
	if
	:: append(Claim, n)                  /* answered, or the answer is lost */
#ifdef MUTANT_ASSUMES
		; if
		:: skip
		:: goto send                               /* takes a lost answer for a success */
		fi
#endif
	:: late[n] = true                                  /* unanswered, lands late */
	:: skip                                            /* unanswered, never lands */
	:: atomic { notRun[n] = true; goto again }                    /* certainly refused */
	:: restart(); goto again
	fi;

resolve:
	if
	:: pos < next && !folded -> read(); goto resolve
	:: folded -> goto look
	:: !folded -> atomic { notRun[n] = true; goto release }       /* gives up */
	:: restart(); goto again
	fi;

release:	/* tlledger.Ledger.Release */
	if
	:: append(Release, n)
#ifdef MUTANT_SENDS_AFTER_GIVING_UP
		; do
		:: pos < next -> read()
		:: state == Held && holder == n -> goto send
		:: goto again
		od
#endif
	:: skip                                            /* the note is lost with its instance */
	fi;
#ifdef MUTANT_SENDS_AFTER_GIVING_UP
	do
	:: pos < next -> read()
	:: state == Held && holder == n -> goto send
	:: break
	od;
#endif
	goto again;

send:	/* tlplain.Caller.sendOnce */
	if
	:: atomic { notRun[n] = true; goto release }                  /* nothing was written */
	:: restart(); goto again
#ifdef MUTANT_OUTCOME_FIRST
	:: append(Outcome, n); goto deliver
#else
	:: goto deliver
#endif
	fi;

deliver:
	atomic {
		assert(!notRun[n]);
		sent++;
		assert(sent <= 1)
	};

keep:	/* tlplain.Caller.finish and tlledger.Ledger.Outcome */
	if
	:: append(Outcome, n)
#ifdef MUTANT_RELEASES_LOST_ANSWER
	:: append(Release, n)
#else
	:: append(Lost, n)
#endif
	:: restart()
	fi;
	goto again;

end:	skip;
	d_step {
		pos = 0; state = Free; holder = 0; place = 0; since = 0; given = 0;
		complete = false; known = false; folded = false; n = 0
	}
}

#define lands(i) late[i] && next < LOG -> late[i] = false; append(Claim, i)

proctype Environment() {
end:	do
	:: clock < CLOCK -> clock++
	:: oldest < next -> oldest++
	:: atomic { lands(1) }
#if NONCES > 2
	:: atomic { lands(2) }
#endif
#if NONCES > 3
	:: atomic { lands(3) }
#endif
#if NONCES > 4
	:: atomic { lands(4) }
#endif
	od
}

init {
	byte i;
	atomic {
		select(i : 0 .. (CLOCK + SKEW + 1));
		keyTime = i;
		run Environment();
		for (i : 0 .. (INSTANCES - 1)) {
			run Instance(i)
		}
	}
}
