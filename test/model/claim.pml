/*
 * Claims: an at-most-once request runs at most once, and "not run" is never reported of a request
 * that ran.
 *
 * Three entry nodes receive the same request with the same key. The log is modelled as a single
 * committed record. Proposals may be lost, delayed or duplicated: once sent, a proposal may be
 * applied at any later step, any number of times. Nodes may crash at any step. Each dispatch reaches
 * the target at most once; its reply may be lost. NO_CLAIM dispatches without waiting for the claim,
 * NO_HOLDER accepts the outcome of any node, and NO_CERTAIN reports "not run" when the reply was
 * lost; each must make the model fail. That an outcome is not lost when it is applied before its
 * claim concerns progress only; test/control.c tests it.
 */
#define NODES 3

mtype = { none, pending, done, not_run, unknown };

mtype status = none;
byte holder = 9;                /* node with the current claim */
bool claim_sent[NODES];
bool outcome_sent[NODES];
mtype outcome[NODES];
bool granted[NODES];            /* the node may dispatch the request */
byte runs = 0;
bool ran[NODES];
bool reported_not_run[NODES];
bool tombstone[NODES];          /* the outcome "not run" was applied before the claim */

inline apply_claim (n) {
	if
	:: tombstone[n] -> skip
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
	:: holder != n && outcome[n] == not_run -> tombstone[n] = true
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
		/* No reply to the claim in time: nothing was dispatched. */
		atomic { outcome[n] = not_run; outcome_sent[n] = true; reported_not_run[n] = true };
		goto finished
	:: true -> goto finished /* crash */
	fi;
	if
	:: atomic { runs++; ran[n] = true };
		if
		:: atomic { outcome[n] = done; outcome_sent[n] = true }
#ifdef NO_CERTAIN
		:: atomic { outcome[n] = not_run; outcome_sent[n] = true; reported_not_run[n] = true }
#else
		:: atomic { outcome[n] = unknown; outcome_sent[n] = true }
#endif
		:: skip /* crash after the dispatch */
		fi
	:: /* the target refused, so nothing ran */
		atomic { outcome[n] = not_run; outcome_sent[n] = true; reported_not_run[n] = true }
	:: skip /* crash before the dispatch */
	fi;
finished:
	skip
}

active proctype monitor () {
	do
	:: atomic {
		runs > 1 || (reported_not_run[0] && ran[0]) || (reported_not_run[1] && ran[1]) ||
			(reported_not_run[2] && ran[2]) -> assert (false)
	   }
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
