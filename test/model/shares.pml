/*
 * Shares of a bound: what the nodes use of the capacity of one target never adds up to more than the
 * bound, while nodes join, leave, are partitioned with an old view and return.
 *
 * Leases, settled epochs and the release that is withheld after skipped epochs are those of
 * lease.pml. A node uses BOUND divided by the number of nodes that it counts: the members of its
 * view, and those that have left since, until that epoch has settled. Each NO_ macro removes one rule
 * and must make the model fail: NO_SETTLED that a new node waits, NO_COUNT that nodes that left are
 * still counted, NO_LEASE that a share ends with the lease, NO_HOLD that a node that skipped epochs
 * withholds its release.
 */
#define NODES 3
#define LEASE 1
#ifdef NO_HOLD
#define EPOCHS 3                /* skipping needs three; the complete model is checked with two */
#define TICKS 2
#else
#define EPOCHS 2
#define TICKS 3
#endif
#define BOUND 6                 /* a multiple of each possible count */

byte ticks = 0;
byte epoch = 0;                 /* newest committed epoch */
byte members = 3;               /* of that epoch; one bit per node */
byte released[NODES];           /* leader: newest epoch whose members the node reported to count */
byte reconciled[NODES];         /* leader: newest epoch that the node reported to follow */
byte lease[NODES];              /* ticks until the lease expires; 0: no lease */
byte applied[NODES];
byte settled[NODES];            /* node: newest settled epoch that it received */
byte since[NODES];              /* node: its share may be used once this epoch has settled */
bool mine[NODES];
byte counted[NODES];            /* node: members, and nodes that left and may not know it yet */
byte reported_epoch[NODES];     /* node: reported as released while the release is withheld */
byte until_epoch[NODES];        /* 0: none; with so few epochs a node skips epochs at most once */

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

#define SHARE(n) ((mine[n] && HAS_LEASE (n) && SETTLED (n)) -> BOUND / BITS (counted[n]) : 0)

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
		:: lease[i] > 0 && reconciled[i] < in_force -> in_force = reconciled[i]
		:: else
		fi;
		i++
	:: else -> break
	od
}

/* One poll, confirmed by a quorum: reports, and receives changes, a lease and the settled epoch. */
inline poll (n) {
	released[n] = (until_epoch[n] > 0 -> reported_epoch[n] : applied[n]);
	reconciled[n] = applied[n];
	summarise (new_settled, new_in_force);
	if
	:: lease[n] == 0 -> since[n] = epoch
	:: else
	fi;
	if
	:: new_settled > settled[n] -> settled[n] = new_settled
	:: else
	fi;
	if
	:: ((members >> n) & 1) && !mine[n] -> since[n] = epoch
	:: else
	fi;
#ifndef NO_HOLD
	if
	:: epoch > applied[n] + 1 && until_epoch[n] == 0 ->
		reported_epoch[n] = applied[n];
		until_epoch[n] = epoch
	:: else
	fi;
#endif
	if
	:: until_epoch[n] > 0 && new_in_force >= until_epoch[n] ->
		until_epoch[n] = 0;
		reported_epoch[n] = 0
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
	new_in_force = 0;
	new_settled = 0;
	i = 0
}

#define ASSERT_WITHIN_BOUND assert (SHARE (0) + SHARE (1) + SHARE (2) <= BOUND)

/* Each step is one poll of a node, one change of the members, or one tick. */
init {
	byte new_settled = 0;
	byte new_in_force = 0;
	byte i = 0;
	byte n = 0;
	do
	:: atomic { select (n : 0 .. NODES - 1); poll (n); n = 0; ASSERT_WITHIN_BOUND }
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
		ASSERT_WITHIN_BOUND
	   }
	od
}
