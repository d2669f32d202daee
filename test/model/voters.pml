/*
 * Replacement of voters: at most one leader per term, and every later leader has all committed
 * entries, while a voter is lost for good, removed from the configuration and replaced by another.
 *
 * The log has a configuration as an entry that takes effect once it is appended. A leader that has
 * committed an entry of its own term adds or removes one voter at a time. Each NO_ macro removes one
 * rule and must make the model fail: NO_SINGLE that a change waits until the previous one is
 * committed, NO_UP_TO_DATE that a voter votes only for a candidate whose log is at least as new as
 * its own.
 */
#define NODES 4                 /* three initial voters and one that replaces a lost one */
#define TERMS 3
#define LENGTH 3
#define INITIAL_CONFIG 7        /* configuration of the initial voters; one bit per node */

byte term[NODES];
byte voted[NODES];              /* term in which it last voted */
byte size[NODES];
byte at_term[NODES * LENGTH];   /* term of each entry */
byte at_config[NODES * LENGTH]; /* configuration in each entry; 0: another entry */
byte leader_of[TERMS + 1];      /* 1 + the leader; 0: none yet */
byte committed[LENGTH];         /* term of the committed entry at each index; 0: none */
bool lost[NODES];
byte losses = 0;

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
	count = CONTAINS (members, c);
	v = 0;
	do
	:: v < NODES && v != c && CONTAINS (members, v) && !lost[v] && term[v] <= t && voted[v] < t &&
			UP_TO_DATE (c, v) ->
		if
		:: term[v] = t; voted[v] = t; count++
		:: skip
		fi;
		v++
	:: v < NODES && !(v != c && CONTAINS (members, v) && !lost[v] && term[v] <= t && voted[v] < t &&
			UP_TO_DATE (c, v)) -> v++
	:: v >= NODES -> break
	od;
	if
	:: CONTAINS (members, c) && 2 * count > BITS (members) ->
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

/* Copies the leader's complete log to any nodes; the members of its configuration count. */
inline replicate (c) {
	find_config (c);
	t = term[c];
	count = CONTAINS (members, c);
	v = 0;
	do
	:: v < NODES && v != c && !lost[v] && term[v] <= t ->
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
		   count = count + CONTAINS (members, v)
		:: skip
		fi;
		v++
	:: v < NODES && !(v != c && !lost[v] && term[v] <= t) -> v++
	:: v >= NODES -> break
	od;
	if
	:: 2 * count > BITS (members) && LAST (c) == t ->
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

#define IS_LEADER(c) (!lost[c] && term[c] > 0 && leader_of[term[c]] == (c) + 1)

#define HAS_COMMITTED_OWN_TERM(c) \
	(committed[0] == term[c] || committed[1] == term[c] || committed[2] == term[c])

#ifdef NO_SINGLE
#define MAY_CHANGE (true)
#else
#define MAY_CHANGE (config_committed)
#endif

init {
	byte members = 0;
	byte count = 0;
	byte t = 0;
	byte v = 0;
	byte i = 0;
	byte c = 0;
	bool config_committed = false;
	do
	:: atomic {
		select (c : 0 .. NODES - 1);
		if
		:: !lost[c] && term[c] < TERMS -> campaign (c)
		:: IS_LEADER (c) && size[c] < LENGTH -> append (c, 0)
		:: IS_LEADER (c) && size[c] < LENGTH && HAS_COMMITTED_OWN_TERM (c) ->
			find_config (c);
			if
			:: MAY_CHANGE && losses > 0 -> /* removes the lost voter, or adds the new one */
				v = 0;
				do
				:: v < NODES - 1 && !lost[v] -> v++
				:: else -> break
				od;
				if
				:: CONTAINS (members, v) -> append (c, (members ^ (1 << v)))
				:: !CONTAINS (members, 3) -> append (c, (members | 8))
				:: else
				fi
			:: else
			fi
		:: IS_LEADER (c) && size[c] > 0 -> replicate (c)
		:: c < NODES - 1 && losses == 0 ->
			losses++;
			lost[c] = true
		:: else
		fi;
		members = 0; count = 0; t = 0; v = 0; i = 0; c = 0; config_committed = false
	   }
	od
}
