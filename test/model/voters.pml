/*
 * Replacement of voters: at most one leader per term, every later leader has all committed entries,
 * and without the disk of any one node a majority can come back, while a voter is replaced by another
 * node. A lost node takes no further part, so that what holds without losses holds with them.
 *
 * The log has a configuration as an entry that takes effect once it is appended. A leader that has
 * committed an entry of its own term replaces a voter, which may be lost or only silent: it appends
 * a joint configuration, in which the old voters and the new ones each have to agree, and once that
 * is committed the new voters alone. Each NO_ macro removes one rule and must make the model fail:
 * NO_SINGLE that a change waits until the previous one is committed, NO_JOINT the joint
 * configuration, NO_SUCCESSOR that a voter is only removed together with the vote of its successor,
 * NO_UP_TO_DATE that a voter votes only for a candidate whose log is at least as new as its own.
 */
#define NODES 4                 /* three initial voters and one that replaces a lost one */
#define SPARE 3
#define TERMS 3
#define LENGTH 3
#define INITIAL_CONFIG 7        /* configuration of the initial voters; one bit per node */

byte term[NODES];
byte voted[NODES];              /* term in which it last voted */
byte size[NODES];
byte at_term[NODES * LENGTH];   /* term of each entry */
byte at_config[NODES * LENGTH]; /* configuration in each entry; 0: another entry. The old voters
				   of a joint one are in the upper four bits */
byte leader_of[TERMS + 1];      /* 1 + the leader; 0: none yet */
byte committed[LENGTH];         /* term of the committed entry at each index; 0: none */

#define JOINT(old, new) (((old) << 4) | (new))
#define NEW(m) ((m) & 15)
#define OLD(m) ((m) >> 4)
#define VOTES(m, n) ((((m) | ((m) >> 4)) >> (n)) & 1)
#define MAJORITY(set, m) (2 * BITS ((set) & (m)) > BITS (m))
#define QUORUM(set, m) (MAJORITY (set, NEW (m)) && (OLD (m) == 0 || MAJORITY (set, OLD (m))))
#define BITS(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) + (((m) >> 3) & 1))
#define CONTAINS(m, n) (((m) >> (n)) & 1)
#define LAST(n) (size[n] > 0 -> at_term[(n) * LENGTH + size[n] - 1] : 0)

#ifdef NO_UP_TO_DATE
#define UP_TO_DATE(c, v) (true)
#else
#define UP_TO_DATE(c, v) (LAST (c) > LAST (v) || (LAST (c) == LAST (v) && size[c] >= size[v]))
#endif

/* The newest configuration in a node's log, and whether it is committed. */
inline find_config (n) {
	members = INITIAL_CONFIG;
	config_committed = true;
	i = 0;
	do
	:: i < size[n] && at_config[n * LENGTH + i] != 0 ->
		members = at_config[n * LENGTH + i];
		config_committed = (committed[i] == at_term[n * LENGTH + i]);
		i++
	:: i < size[n] && at_config[n * LENGTH + i] == 0 -> i++
	:: else -> break
	od;
	i = 0
}

inline campaign (c) {
	find_config (c);
	t = term[c] + 1;
	term[c] = t;
	voted[c] = t;
	agreed = (1 << c);
	v = 0;
	do
	:: v < NODES && v != c && VOTES (members, v) && term[v] <= t && voted[v] < t &&
			UP_TO_DATE (c, v) ->
		if
		:: term[v] = t; voted[v] = t; agreed = agreed | (1 << v)
		:: skip
		fi;
		v++
	:: v < NODES && !(v != c && VOTES (members, v) && term[v] <= t && voted[v] < t &&
			UP_TO_DATE (c, v)) -> v++
	:: v >= NODES -> break
	od;
	if
	:: VOTES (members, c) && QUORUM (agreed, members) ->
		assert (leader_of[t] == 0);
		i = 0;
		do
		:: i < LENGTH && committed[i] != 0 ->
			assert (i < size[c] && at_term[c * LENGTH + i] == committed[i]);
			i++
		:: else -> break
		od;
		i = 0;
		leader_of[t] = c + 1
	:: else
	fi
}

inline append (c, config) {
	at_term[c * LENGTH + size[c]] = term[c];
	at_config[c * LENGTH + size[c]] = config;
	size[c]++
}

/* Copies the leader's complete log to any nodes; the voters of its configuration count. */
inline replicate (c) {
	find_config (c);
	t = term[c];
	agreed = (1 << c);
	v = 0;
	do
	:: v < NODES && v != c && term[v] <= t ->
		if
		:: term[v] = t;
		   size[v] = size[c];
		   i = 0;
		   do
		   :: i < LENGTH ->
			at_term[v * LENGTH + i] = at_term[c * LENGTH + i];
			at_config[v * LENGTH + i] = at_config[c * LENGTH + i];
			i++
		   :: else -> break
		   od;
		   i = 0;
		   agreed = agreed | (1 << v)
		:: skip
		fi;
		v++
	:: v < NODES && !(v != c && term[v] <= t) -> v++
	:: v >= NODES -> break
	od;
	if
	:: QUORUM (agreed, members) && LAST (c) == t ->
		i = 0;
		do
		:: i < size[c] ->
			assert (committed[i] == 0 || committed[i] == at_term[c * LENGTH + i]);
			committed[i] = at_term[c * LENGTH + i];
			i++
		:: else -> break
		od;
		i = 0
	:: else
	fi
}

/* Without any one node, one with the newest log of the others can get a majority. */
inline check_recovery () {
	t = 0;
	do
	:: t < NODES ->
		c = (t == 0 -> 1 : 0);
		v = 0;
		do
		:: v < NODES && v != t && !UP_TO_DATE (c, v) -> c = v; v++
		:: v < NODES && !(v != t && !UP_TO_DATE (c, v)) -> v++
		:: v >= NODES -> break
		od;
		find_config (c);
		assert (QUORUM (15 ^ (1 << t), members));
		t++
	:: else -> break
	od
}

#define SUCCESSION(m, from, to) (((m) ^ (1 << (from))) | (1 << (to)))
#ifdef NO_JOINT
#define REPLACE(m, from, to) SUCCESSION (m, from, to)
#else
#ifdef NO_SUCCESSOR
#define REPLACE(m, from, to) ((m) ^ (1 << (from)))
#else
#define REPLACE(m, from, to) JOINT (m, SUCCESSION (m, from, to))
#endif
#endif

#define IS_LEADER(c) (term[c] > 0 && leader_of[term[c]] == (c) + 1)

#define HAS_COMMITTED_OWN_TERM(c) \
	(committed[0] == term[c] || committed[1] == term[c] || committed[2] == term[c])

#ifdef NO_SINGLE
#define MAY_CHANGE (true)
#else
#define MAY_CHANGE (config_committed)
#endif

init {
	byte members = 0;
	byte agreed = 0;
	byte t = 0;
	byte v = 0;
	byte i = 0;
	byte c = 0;
	bool config_committed = false;
	do
	:: atomic {
		select (c : 0 .. NODES - 1);
		if
		:: term[c] < TERMS -> campaign (c)
		:: IS_LEADER (c) && size[c] < LENGTH -> append (c, 0)
		:: IS_LEADER (c) && size[c] < LENGTH && HAS_COMMITTED_OWN_TERM (c) ->
			find_config (c);
			if
			:: MAY_CHANGE && OLD (members) != 0 -> append (c, NEW (members))
			:: MAY_CHANGE && OLD (members) == 0 && !CONTAINS (members, SPARE) ->
				select (v : 0 .. SPARE - 1);
				if
				:: v != c -> append (c, REPLACE (members, v, SPARE))
				:: else
				fi
			:: else
			fi
		:: IS_LEADER (c) && size[c] > 0 -> replicate (c)
		:: else
		fi;
		check_recovery ();
		members = 0; agreed = 0; t = 0; v = 0; i = 0; c = 0; config_committed = false
	   }
	od
}
