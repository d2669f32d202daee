/*
 * Parts of a bound: what the nodes use of what one target bears never adds up to more, while
 * nodes come, go, are cut off with an old view and come back.
 *
 * Leases, settled epochs and the release that is held back after a jump are those of lease.pml.
 * A node uses BOUND divided by the nodes it counts: the members of its view, and those that have
 * left since until that has settled. Each NO_ switch takes one rule out and must make the model
 * fail: NO_SETTLED that a newcomer waits, NO_COUNT that those that left are still counted, NO_LEASE
 * that a part ends with the lease, NO_HOLD that a node which jumped reports its release later.
 */
#define NODES 3
#define LEASE 1
#ifdef NO_HOLD
#define EPOCHS 3                /* a jump takes three; the whole model is checked with two */
#define TICKS 2
#else
#define EPOCHS 2
#define TICKS 3
#endif
#define BOUND 6                 /* a multiple of each possible count */

byte ticks = 0;
byte epoch = 0;                 /* newest committed epoch */
byte members = 3;               /* of that epoch; a bit for each node */
byte released[NODES];           /* the leader: newest epoch that the node reported to count by */
byte acting[NODES];
byte lease[NODES];              /* ticks for which the lease still holds; 0: none */
byte applied[NODES];
byte settled[NODES];            /* the node: newest it heard */
byte since[NODES];              /* the node: its part counts once this is settled */
bool mine[NODES];
byte counted[NODES];            /* the node: members, and those that left and may not know it */
byte held[NODES];
byte hold[NODES];               /* 0: none; with so few epochs a node jumps once at most */

#define BITS(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1))

#ifdef NO_LEASE
#define HAS_LEASE(n) (true)
#else
#define HAS_LEASE(n) (lease[n] > 0)
#endif

#ifdef NO_SETTLED
#define SETTLED(n) (true)
#else
#define SETTLED(n) (settled[n] >= since[n])
#endif

#define PART(n) ((mine[n] && HAS_LEASE (n) && SETTLED (n)) -> BOUND / BITS (counted[n]) : 0)

inline summarise (settled_now, in_force) {
	settled_now = epoch;
	in_force = epoch;
	i = 0;
	do
	:: i < NODES ->
		if
		:: lease[i] > 0 && released[i] < settled_now -> settled_now = released[i]
		:: else
		fi;
		if
		:: lease[i] > 0 && acting[i] < in_force -> in_force = acting[i]
		:: else
		fi;
		i++
	:: else -> break
	od
}

/* One poll: report, receive the changes, a lease and the settled epoch, all under a quorum. */
inline poll (n) {
	released[n] = (hold[n] > 0 -> held[n] : applied[n]);
	acting[n] = applied[n];
	summarise (sum, all);
	if
	:: lease[n] == 0 -> since[n] = epoch
	:: else
	fi;
	if
	:: sum > settled[n] -> settled[n] = sum
	:: else
	fi;
	if
	:: ((members >> n) & 1) && !mine[n] -> since[n] = epoch
	:: else
	fi;
#ifndef NO_HOLD
	if
	:: epoch > applied[n] + 1 && hold[n] == 0 -> held[n] = applied[n]; hold[n] = epoch
	:: else
	fi;
#endif
	if
	:: hold[n] > 0 && all >= hold[n] ->
		hold[n] = 0;
		held[n] = 0
	:: else
	fi;
	mine[n] = (members >> n) & 1;
#ifdef NO_COUNT
	counted[n] = members;
#else
	if
	:: epoch > applied[n] -> counted[n] = counted[n] | members
	:: settled[n] >= epoch -> counted[n] = members
	:: else
	fi;
#endif
	applied[n] = epoch;
	lease[n] = LEASE;
	all = 0;
	sum = 0;
	i = 0
}

#define ADDS_UP assert (PART (0) + PART (1) + PART (2) <= BOUND)

/* Each step is one poll of a node, one change of the members, or one tick. */
init {
	byte sum = 0;
	byte all = 0;
	byte i = 0;
	byte n = 0;
	do
	:: atomic { select (n : 0 .. NODES - 1); poll (n); n = 0; ADDS_UP }
	:: atomic {
		epoch < EPOCHS ->
		select (n : 0 .. NODES - 1);
		members = members ^ (1 << n);
		epoch++;
		n = 0
	   }
	:: atomic {
		ticks < TICKS ->
		ticks++;
		do
		:: n < NODES && lease[n] > 0 -> lease[n]--; n++
		:: n < NODES && lease[n] == 0 -> n++
		:: n >= NODES -> break
		od;
		n = 0;
		ADDS_UP
	   }
	od
}
