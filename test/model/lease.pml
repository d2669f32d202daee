/*
 * Leases and settled epochs: a target never has two owners, also when a node still follows an old
 * epoch, because that node may act as the owner only while its lease lasts.
 *
 * Time is a counter of ticks. The leader commits epochs (each moves the target to another node),
 * grants leases and reports which epoch has settled. Nodes may be partitioned for any time: they do
 * not poll then, so a node may skip epochs in which another node owned the target. Each NO_ macro
 * removes one rule and must make the model fail: NO_SETTLED and NO_LEASE a condition for acting as
 * the owner, NO_LAPSE that ownership restarts after a lapsed lease, NO_HOLD that a node that skipped
 * epochs withholds its release until no node follows a skipped epoch.
 */
#define NODES 2
#define LEASE 2
#define EPOCHS 3
#define TICKS 5

byte now = 0;
byte epoch = 0;                 /* newest committed epoch */
byte owner[EPOCHS + 1];         /* of the target at each epoch */
byte granted[NODES];            /* leader: the node may have a lease up to and including this tick */
byte released[NODES];           /* leader: newest epoch that the node reported as released */
byte reconciled[NODES];         /* leader: newest epoch that the node reported to follow */
byte lease[NODES];              /* node: may work up to and including this tick */
byte applied[NODES];
byte settled[NODES];            /* node: newest settled epoch that it received */
byte since[NODES];              /* node: its ownership may be used once this epoch has settled */
bool mine[NODES];
/* Node: up to two withheld releases. Until until_epoch is in force, the node reports reported_epoch
 * as released; the second one includes all later skips. */
byte reported_epoch[NODES];
byte until_epoch[NODES];        /* 0: none */
byte reported_epoch2[NODES];
byte until_epoch2[NODES];

#ifdef NO_LEASE
#define HAS_LEASE(n) (true)
#else
#define HAS_LEASE(n) (now <= lease[n])
#endif

#ifdef NO_SETTLED
#define SETTLED(n) (true)
#else
#define SETTLED(n) (settled[n] >= since[n])
#endif

#define ACTS_AS_OWNER(n) (mine[n] && HAS_LEASE (n) && SETTLED (n))

/* The newest epochs that all nodes with a lease have released, and that they all follow. */
inline summarise (settled_now, in_force) {
	settled_now = epoch;
	in_force = epoch;
	i = 0;
	do
	:: i < NODES ->
		if
		:: now <= granted[i] && released[i] < settled_now -> settled_now = released[i]
		:: else
		fi;
		if
		:: now <= granted[i] && reconciled[i] < in_force -> in_force = reconciled[i]
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
	granted[n] = now + LEASE;
#ifndef NO_LAPSE
	if
	:: now > lease[n] -> since[n] = epoch
	:: else
	fi;
#endif
	if
	:: new_settled > settled[n] -> settled[n] = new_settled
	:: else
	fi;
	if
	:: owner[epoch] == n && !mine[n] -> since[n] = epoch
	:: else
	fi;
#ifndef NO_HOLD
	if
	:: epoch > applied[n] + 1 && until_epoch[n] == 0 ->
		reported_epoch[n] = applied[n];
		until_epoch[n] = epoch
	:: epoch > applied[n] + 1 && until_epoch[n] > 0 && until_epoch2[n] == 0 ->
		reported_epoch2[n] = applied[n];
		until_epoch2[n] = epoch
	:: epoch > applied[n] + 1 && until_epoch2[n] > 0 -> until_epoch2[n] = epoch
	:: else
	fi;
#endif
	if
	:: until_epoch[n] > 0 && new_in_force >= until_epoch[n] ->
		until_epoch[n] = until_epoch2[n];
		reported_epoch[n] = reported_epoch2[n];
		until_epoch2[n] = 0;
		reported_epoch2[n] = 0
	:: else
	fi;
	mine[n] = (owner[epoch] == n);
	applied[n] = epoch;
	lease[n] = now + LEASE;
	new_in_force = 0;
	new_settled = 0;
	i = 0
}

proctype node (byte n) {
	byte new_settled = 0;
	byte new_in_force = 0;
	byte i = 0;
	do
	:: atomic { now < TICKS -> poll (n) }
	:: now >= TICKS -> break
	od
}

proctype leader () {
	byte next;
	do
	:: atomic {
		epoch < EPOCHS ->
		next = 0;
		do
		:: next < NODES - 1 -> next++
		:: break
		od;
		owner[epoch + 1] = next;
		epoch++;
		next = 0
	   }
	:: atomic { now < TICKS -> now++ }
	:: now >= TICKS -> break
	od
}

active proctype monitor () {
	do
	:: atomic { ACTS_AS_OWNER (0) && ACTS_AS_OWNER (1) -> assert (false) }
	:: now >= TICKS -> break
	od
}

init {
	atomic {
		run leader ();
		run node (0);
		run node (1)
	}
}
