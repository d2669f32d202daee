/*
 * The log: at most one leader a term, and what was committed is in the log of every later
 * leader, also when a voter loses its disk and comes back.
 *
 * One slot of the log is enough: a voter holds either nothing or the entry of some term. The
 * configuration is three voters; a lost disk comes back under a new identity, which has no vote.
 * NO_IDENTITY lets it vote as before, NO_CURRENT lets a candidate without the entry win, and
 * NO_ONE_VOTE lets a voter vote twice in a term; each must make the model fail.
 */
#define VOTERS 3
#define TERMS 3
#define LOSSES 1

byte term[VOTERS];              /* newest term that a voter has seen */
byte voted[VOTERS];             /* term in which it last voted */
byte held[VOTERS];              /* term of the entry it holds; 0: none */
bool votes[VOTERS];             /* false: its disk was emptied, so its identity has no vote */
byte leader_of[TERMS + 1];      /* 1 + the leader; 0: none yet */
byte committed = 0;             /* term of the committed entry; 0: none */
byte losses = 0;

#ifdef NO_CURRENT
#define CURRENT(c, v) (true)
#else
#define CURRENT(c, v) (held[c] >= held[v])
#endif

#ifdef NO_ONE_VOTE
#define FREE(v, t) (term[v] <= t)
#else
#define FREE(v, t) (term[v] <= t && voted[v] < t)
#endif

/* A candidate asks all voters in one step; any of them may not hear it. */
inline stand (c) {
	t = term[c] + 1;
	term[c] = t;
	voted[c] = t;
	count = 1;
	v = 0;
	do
	:: v < VOTERS && v != c && votes[v] && FREE (v, t) && CURRENT (c, v) ->
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
		assert (committed == 0 || held[c] >= committed);
		leader_of[t] = c + 1
	:: else
	fi;
	v = 0;
	count = 0;
	t = 0
}

/* A leader puts its entry on any voters that follow its term; a majority commits it. */
inline replicate (c) {
	t = term[c];
	held[c] = t;
	count = 1;
	v = 0;
	do
	:: v < VOTERS && v != c && term[v] <= t ->
		if
		:: term[v] = t; held[v] = t;
		   if
		   :: votes[v] -> count++
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

/* Only a disk whose loss leaves the entry on both others may go: one loss is survived. */
inline lose (c) {
	losses++;
	term[c] = 0;
	voted[c] = 0;
	held[c] = 0;
#ifndef NO_IDENTITY
	votes[c] = false
#endif
}

proctype voter (byte c) {
	byte t = 0;
	byte v = 0;
	byte count = 0;
	do
	:: atomic { votes[c] && term[c] < TERMS -> stand (c) }
	:: atomic { votes[c] && term[c] > 0 && leader_of[term[c]] == c + 1 -> replicate (c) }
	:: atomic { losses < LOSSES -> lose (c) }
	:: break
	od
}

init {
	atomic {
		votes[0] = true;
		votes[1] = true;
		votes[2] = true;
		run voter (0);
		run voter (1);
		run voter (2)
	}
}
