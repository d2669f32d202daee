/*
 * Claims: a once-only request runs at most once, and "not run" is never said of what ran.
 *
 * Three entry nodes get the same request with the same key. The log is a single committed record.
 * Proposals may be lost, late or doubled: a proposal that a node sent may be applied at any later
 * step, any number of times. Nodes may crash at any step. The target is reached at most once by
 * each dispatch; its reply may be lost. NO_CLAIM dispatches without waiting for the claim,
 * NO_HOLDER lets anybody's outcome count, NO_CERTAIN says "not run" of a lost reply; each must
 * make the model fail. That an outcome which overtakes its claim is not lost concerns progress
 * alone; test/control.c shows it.
 */
#define NODES 3

mtype = { none, pending, done, not_run, unknown };

mtype status = none;
byte holder = 9;                /* node whose claim stands */
bool claim_sent[NODES];
bool outcome_sent[NODES];
mtype outcome[NODES];
bool granted[NODES];            /* the node was told to run */
byte runs = 0;
bool ran[NODES];
bool said_not_run[NODES];
bool tomb[NODES];               /* "not run" of a node came before its claim */

inline apply_claim (n) {
	if
	:: tomb[n] -> skip
	:: else ->
		if
		:: status == none || (status == not_run && holder != n) ->
			status = pending;
			holder = n;
			granted[n] = true
		:: status == pending && holder == n -> granted[n] = true
		:: else
		fi
	fi
}

inline apply_outcome (n) {
	if
#ifdef NO_HOLDER
	:: status == pending -> status = outcome[n]
#else
	:: status == pending && holder == n -> status = outcome[n]
#endif
	:: holder != n && outcome[n] == not_run -> tomb[n] = true
	:: else
	fi
}

proctype log () {
	do
	:: atomic { claim_sent[0] -> apply_claim (0) }
	:: atomic { claim_sent[1] -> apply_claim (1) }
	:: atomic { claim_sent[2] -> apply_claim (2) }
	:: atomic { outcome_sent[0] -> apply_outcome (0) }
	:: atomic { outcome_sent[1] -> apply_outcome (1) }
	:: atomic { outcome_sent[2] -> apply_outcome (2) }
	:: timeout -> break
	od
}

proctype entry (byte n) {
	claim_sent[n] = true;
#ifdef NO_CLAIM
	granted[n] = true;
#endif
	if
	:: granted[n] -> skip
	:: true ->
		/* The claim got no answer in time: nothing was dispatched. */
		atomic { outcome[n] = not_run; outcome_sent[n] = true; said_not_run[n] = true };
		goto over
	:: true -> goto over /* crash */
	fi;
	if
	:: atomic { runs++; ran[n] = true };
		if
		:: atomic { outcome[n] = done; outcome_sent[n] = true }
#ifdef NO_CERTAIN
		:: atomic { outcome[n] = not_run; outcome_sent[n] = true; said_not_run[n] = true }
#else
		:: atomic { outcome[n] = unknown; outcome_sent[n] = true }
#endif
		:: skip /* crash after the dispatch */
		fi
	:: /* the target refused: certain that nothing ran */
		atomic { outcome[n] = not_run; outcome_sent[n] = true; said_not_run[n] = true }
	:: skip /* crash before the dispatch */
	fi;
over:
	skip
}

active proctype watch () {
	do
	:: atomic { runs > 1 || (said_not_run[0] && ran[0]) || (said_not_run[1] && ran[1]) || (said_not_run[2] && ran[2]) -> assert (false) }
	:: timeout -> break
	od
}

init {
	atomic {
		run log ();
		run entry (0);
		run entry (1);
		run entry (2)
	}
}
