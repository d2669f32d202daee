/*
 * Log replication: at most one leader per term, and every later leader has the committed entries,
 * also when a voter loses its disk and returns.
 *
 * One slot of the log is enough: a voter has either nothing or the entry of some term. The
 * configuration has three voters; a node that lost its disk returns under a new identity, which has
 * no vote. NO_IDENTITY lets it vote under its old identity, NO_CURRENT lets a candidate without the
 * entry win, and NO_ONE_VOTE lets a voter vote twice in a term; each must make the model fail.
 */
#define VOTERS 3
#define TERMS 3
#define LOSSES 1

byte term[VOTERS];              /* newest term that a voter has seen */
byte voted[VOTERS];             /* term in which it last voted */
byte entry_term[VOTERS];        /* term of its entry; 0: none */
bool may_vote[VOTERS];          /* false: its disk was emptied, so its new identity has no vote */
byte leader_of[TERMS + 1];      /* 1 + the leader; 0: none yet */
byte committed = 0;             /* term of the committed entry; 0: none */
byte losses = 0;

#ifdef NO_CURRENT
#define CURRENT(c, v) (true)
#else
#define CURRENT(c, v) (entry_term[c] >= entry_term[v])
#endif

#ifdef NO_ONE_VOTE
#define CAN_VOTE(v, t) (term[v] <= t)
#else
#define CAN_VOTE(v, t) (term[v] <= t && voted[v] < t)
#endif

/* A candidate requests all votes in one step; each request may be lost. */
inline campaign (c) {
	t = term[c] + 1;
	term[c] = t;
	voted[c] = t;
	count = 1;
	v = 0;
	do
	:: v < VOTERS && v != c && may_vote[v] && CAN_VOTE (v, t) && CURRENT (c, v) ->
		if
		:: term[v] = t; voted[v] = t; count++
		:: skip
		fi;
		v++
	:: v < VOTERS -> v++
	:: v >= VOTERS -> break
	od;
	if
	:: count >= 2 ->
		assert (leader_of[t] == 0);
		assert (committed == 0 || entry_term[c] >= committed);
		leader_of[t] = c + 1
	:: else
	fi;
	v = 0;
	count = 0;
	t = 0
}

/* A leader replicates its entry to any voters without a newer term; a majority commits it. */
inline replicate (c) {
	t = term[c];
	entry_term[c] = t;
	count = 1;
	v = 0;
	do
	:: v < VOTERS && v != c && term[v] <= t ->
		if
		:: term[v] = t; entry_term[v] = t;
		   if
		   :: may_vote[v] -> count++
		   :: else
		   fi
		:: skip
		fi;
		v++
	:: v < VOTERS -> v++
	:: v >= VOTERS -> break
	od;
	if
	:: count >= 2 && t > committed -> committed = t
	:: else
	fi;
	v = 0;
	count = 0;
	t = 0
}

/* Any one disk may be lost; the log has to survive that. */
inline lose (c) {
	losses++;
	term[c] = 0;
	voted[c] = 0;
	entry_term[c] = 0;
#ifndef NO_IDENTITY
	may_vote[c] = false
#endif
}

proctype voter (byte c) {
	byte t = 0;
	byte v = 0;
	byte count = 0;
	do
	:: atomic { may_vote[c] && term[c] < TERMS -> campaign (c) }
	:: atomic { may_vote[c] && term[c] > 0 && leader_of[term[c]] == c + 1 -> replicate (c) }
	:: atomic { losses < LOSSES -> lose (c) }
	:: break
	od
}

init {
	atomic {
		may_vote[0] = true;
		may_vote[1] = true;
		may_vote[2] = true;
		run voter (0);
		run voter (1);
		run voter (2)
	}
}
