#include "control/rollout.h"

#include "core/buf.h"

#include <stdlib.h>
#include <string.h>

enum {
	FIRST_TIME_US = 1000,
	SLOWER_AT_ONCE = 2,      /* classes of times, that is, twice as slow in the same time */
	SLOWER_THAN_BEFORE = 4,  /* four times as slow as the old version was before */
	PRIOR_ANSWERS = 10,      /* weight of all answers so far against those of a slot */
	SHIFT_PART = 10,         /* the last tenth of the duration is for shifting */
	ROUTE_SHARE = 8,         /* percent of the requests that the new version gets at most */
	OBSERVED_PERCENT = 80,   /* of the time for shifting; the rest is for all nodes to follow */
	SHARE_CALM_PERCENT = 20, /* share of excess from which on more answers are awaited */
	SLOT_EXCESS_CALM = 3,    /* excess in a slot that may be chance */
	LEVELS = ROLLOUT_TIMES   /* a level below each class of times but the first, and bad */
};

void
rollouts_init (struct rollouts *rollouts)
{
	memset (rollouts, 0, sizeof (*rollouts));
}

void
rollouts_finish (struct rollouts *rollouts)
{
	free (rollouts->items);
	rollouts_init (rollouts);
}

bool
rollout_is_active (const struct rollout *rollout)
{
	return rollout->phase == ROLLOUT_CANARY || rollout->phase == ROLLOUT_SHIFTING;
}

bool
rollouts_any_active (const struct rollouts *rollouts)
{
	for (int i = 0; i < rollouts->count; i++) {
		if (rollout_is_active (&rollouts->items[i]))
			return true;
	}
	return false;
}

const struct rollout *
rollouts_newest (const struct rollouts *rollouts, const char *service)
{
	for (int i = rollouts->count - 1; i >= 0; i--) {
		if (strcmp (rollouts->items[i].service, service) == 0)
			return &rollouts->items[i];
	}
	return NULL;
}

const struct rollout *
rollouts_find (const struct rollouts *rollouts, uint64_t started)
{
	for (int i = 0; i < rollouts->count; i++) {
		if (rollouts->items[i].started == started)
			return &rollouts->items[i];
	}
	return NULL;
}

static bool
is_known (const struct rollouts *rollouts, const struct rollout_order *order)
{
	for (int i = 0; i < rollouts->count; i++) {
		const struct rollout *rollout = &rollouts->items[i];
		if (strcmp (rollout->service, order->service) == 0 &&
			strcmp (rollout->version, order->version) == 0)
			return true;
	}
	return false;
}

/* Makes room for one more roll-out of a service, all of whose others have ended. */
static void
drop_oldest (struct rollouts *rollouts, const char *service)
{
	int known = 0;
	int oldest = -1;
	for (int i = rollouts->count - 1; i >= 0; i--) {
		if (strcmp (rollouts->items[i].service, service) != 0)
			continue;
		known++;
		oldest = i;
	}
	if (known < ROLLOUT_ENDED_MAX)
		return;
	rollouts->count--;
	memmove (&rollouts->items[oldest], &rollouts->items[oldest + 1],
		(size_t)(rollouts->count - oldest) * sizeof (*rollouts->items));
}

static struct rollout *
add (struct rollouts *rollouts)
{
	if (!rollouts->items || rollouts->count == rollouts->cap) {
		rollouts->cap = rollouts->cap ? rollouts->cap * 2 : 4;
		rollouts->items = xrealloc (
			rollouts->items, (size_t)rollouts->cap * sizeof (*rollouts->items));
	}
	struct rollout *rollout = &rollouts->items[rollouts->count++];
	memset (rollout, 0, sizeof (*rollout));
	return rollout;
}

enum rollout_verdict
rollouts_start (struct rollouts *rollouts, const struct rollout_order *order, uint64_t index,
	int64_t log_time_ms)
{
	const struct rollout *newest = rollouts_newest (rollouts, order->service);
	if (is_known (rollouts, order))
		return ROLLOUT_REPEATED;
	if (newest && rollout_is_active (newest))
		return ROLLOUT_CONFLICT;
	if (newest && order->revision != 0 && newest->started > order->revision)
		return ROLLOUT_SUPERSEDED;
	drop_oldest (rollouts, order->service);
	struct rollout *rollout = add (rollouts);
	str_copy (rollout->service, sizeof (rollout->service), order->service);
	str_copy (rollout->version, sizeof (rollout->version), order->version);
	rollout->started = rollout->changed = index;
	rollout->started_ms = rollout->changed_ms = log_time_ms;
	rollout->duration_ms = order->duration_ms;
	return ROLLOUT_STARTED;
}

bool
rollouts_set_phase (struct rollouts *rollouts, uint64_t started, enum rollout_phase phase,
	uint64_t index, int64_t log_time_ms)
{
	struct rollout *rollout = NULL;
	for (int i = 0; i < rollouts->count; i++) {
		if (rollouts->items[i].started == started)
			rollout = &rollouts->items[i];
	}
	if (!rollout || !rollout_is_active (rollout))
		return false;
	bool follows = phase == ROLLOUT_ROLLED_BACK ||
		       (rollout->phase == ROLLOUT_CANARY && phase == ROLLOUT_SHIFTING) ||
		       (rollout->phase == ROLLOUT_SHIFTING && phase == ROLLOUT_COMPLETED);
	if (!follows)
		return false;
	rollout->phase = phase;
	rollout->changed = index;
	rollout->changed_ms = log_time_ms;
	return true;
}

void
rollouts_copy (struct rollouts *to, const struct rollouts *from)
{
	rollouts_init (to);
	for (int i = 0; i < from->count; i++)
		*add (to) = from->items[i];
}

void
rollouts_write (const struct rollouts *rollouts, struct pack_writer *writer)
{
	pack_array (writer, (size_t)rollouts->count);
	for (int i = 0; i < rollouts->count; i++) {
		const struct rollout *rollout = &rollouts->items[i];
		pack_array (writer, 8);
		pack_str (writer, rollout->service);
		pack_str (writer, rollout->version);
		pack_u64 (writer, rollout->phase);
		pack_u64 (writer, rollout->started);
		pack_u64 (writer, rollout->changed);
		pack_i64 (writer, rollout->started_ms);
		pack_i64 (writer, rollout->duration_ms);
		pack_i64 (writer, rollout->changed_ms);
	}
}

void
rollouts_read (struct rollouts *rollouts, struct pack_node node)
{
	size_t count = pack_length (node);
	rollouts->count = 0;
	for (size_t i = 0; i < count && pack_ok (node); i++) {
		struct pack_node item = pack_at (node, i);
		struct rollout *rollout = add (rollouts);
		pack_copy_str (pack_at (item, 0), rollout->service, sizeof (rollout->service));
		pack_copy_str (pack_at (item, 1), rollout->version, sizeof (rollout->version));
		rollout->phase = (enum rollout_phase)pack_get_below (
			pack_at (item, 2), ROLLOUT_ROLLED_BACK + 1);
		rollout->started = pack_get_u64 (pack_at (item, 3));
		rollout->changed = pack_get_u64 (pack_at (item, 4));
		rollout->started_ms = pack_get_i64 (pack_at (item, 5));
		rollout->duration_ms = pack_get_i64 (pack_at (item, 6));
		rollout->changed_ms = pack_get_i64 (pack_at (item, 7));
	}
}

const char *
rollout_phase_name (enum rollout_phase phase)
{
	static const char *const names[] = {"canary", "shifting", "completed", "rolled back"};
	return names[phase];
}

void
rollout_count (struct rollout_counts *counts, bool bad, int64_t took_us)
{
	int at = 0;
	counts->answers++;
	if (bad) {
		counts->bad++;
		return;
	}
	/* Two classes to each doubling; 99 / 70 is close to the square root of 2. */
	for (int64_t limit_us = FIRST_TIME_US; at < ROLLOUT_TIMES - 1; limit_us *= 2) {
		if (took_us <= limit_us)
			break;
		at++;
		if (at == ROLLOUT_TIMES - 1 || took_us <= limit_us * 99 / 70)
			break;
		at++;
	}
	counts->times[at]++;
}

static void
write_counts (struct pack_writer *writer, const struct rollout_counts *counts)
{
	pack_array (writer, ROLLOUT_TIMES + 2);
	pack_u64 (writer, counts->answers);
	pack_u64 (writer, counts->bad);
	for (int i = 0; i < ROLLOUT_TIMES; i++)
		pack_u64 (writer, counts->times[i]);
}

static void
read_counts (struct pack_node node, struct rollout_counts *counts)
{
	counts->answers = (uint32_t)pack_get_u64 (pack_at (node, 0));
	counts->bad = (uint32_t)pack_get_u64 (pack_at (node, 1));
	for (int i = 0; i < ROLLOUT_TIMES; i++)
		counts->times[i] = (uint32_t)pack_get_u64 (pack_at (node, (size_t)i + 2));
}

void
rollout_reports_write (const struct rollout_reports *reports, struct pack_writer *writer)
{
	pack_array (writer, (size_t)reports->count);
	for (int i = 0; i < reports->count; i++) {
		const struct rollout_report *report = &reports->items[i];
		pack_array (writer, 3 + ROLLOUT_SIDES);
		pack_u64 (writer, report->rollout);
		pack_u64 (writer, report->route);
		pack_u64 (writer, report->seen);
		for (int side = 0; side < ROLLOUT_SIDES; side++)
			write_counts (writer, &report->sides[side]);
	}
}

void
rollout_reports_read (struct rollout_reports *reports, struct pack_node node)
{
	size_t count = pack_length (node);
	reports->count = 0;
	if (count > ROLLOUT_REPORTS_MAX)
		pack_fail (node);
	for (size_t i = 0; i < count && pack_ok (node); i++) {
		struct pack_node item = pack_at (node, i);
		struct rollout_report *report = &reports->items[reports->count++];
		report->rollout = pack_get_u64 (pack_at (item, 0));
		report->route = pack_get_u64 (pack_at (item, 1));
		report->seen = (uint32_t)pack_get_u64 (pack_at (item, 2));
		for (int side = 0; side < ROLLOUT_SIDES; side++)
			read_counts (pack_at (item, (size_t)side + 3), &report->sides[side]);
	}
}

/* The newest report of a process. */
struct rollout_source {
	uint64_t incarnation;
	uint32_t seen;
	struct rollout_counts sides[ROLLOUT_SIDES];
};

struct rollout_track {
	uint64_t rollout;
	uint64_t route;
	struct rollout_source *sources; /* owned */
	int source_count;
	int source_cap;
	uint32_t seen; /* answers of both versions on the route */
	struct rollout_counts totals[ROLLOUT_SIDES];
	struct rollout_counts slot_start[ROLLOUT_SIDES]; /* totals when the slot began */
	int64_t slot_began_us;
	double excess[LEVELS];  /* in the slots that have ended */
	int64_t last_excess_us; /* end of the last slot with an excess; 0: none */
};

void
rollout_judge_init (struct rollout_judge *judge)
{
	memset (judge, 0, sizeof (*judge));
}

void
rollout_judge_clear (struct rollout_judge *judge)
{
	for (int i = 0; i < judge->count; i++)
		free (judge->tracks[i].sources);
	judge->count = 0;
}

void
rollout_judge_finish (struct rollout_judge *judge)
{
	rollout_judge_clear (judge);
	free (judge->tracks);
	rollout_judge_init (judge);
}

void
rollout_judge_expire (struct rollout_judge *judge, const struct rollouts *rollouts)
{
	int kept = 0;
	for (int i = 0; i < judge->count; i++) {
		const struct rollout *rollout = rollouts_find (rollouts, judge->tracks[i].rollout);
		if (rollout && rollout_is_active (rollout))
			judge->tracks[kept++] = judge->tracks[i];
		else
			free (judge->tracks[i].sources);
	}
	judge->count = kept;
}

static struct rollout_track *
get_track (struct rollout_judge *judge, const struct rollout_report *report, int64_t now_us)
{
	for (int i = 0; i < judge->count; i++) {
		if (judge->tracks[i].rollout == report->rollout &&
			judge->tracks[i].route == report->route)
			return &judge->tracks[i];
	}
	if (!judge->tracks || judge->count == judge->cap) {
		judge->cap = judge->cap ? judge->cap * 2 : 8;
		judge->tracks =
			xrealloc (judge->tracks, (size_t)judge->cap * sizeof (*judge->tracks));
	}
	struct rollout_track *track = &judge->tracks[judge->count++];
	memset (track, 0, sizeof (*track));
	track->rollout = report->rollout;
	track->route = report->route;
	track->slot_began_us = now_us;
	return track;
}

static struct rollout_source *
get_source (struct rollout_track *track, uint64_t incarnation)
{
	for (int i = 0; i < track->source_count; i++) {
		if (track->sources[i].incarnation == incarnation)
			return &track->sources[i];
	}
	if (!track->sources || track->source_count == track->source_cap) {
		track->source_cap = track->source_cap ? track->source_cap * 2 : 8;
		track->sources = xrealloc (
			track->sources, (size_t)track->source_cap * sizeof (*track->sources));
	}
	struct rollout_source *source = &track->sources[track->source_count++];
	memset (source, 0, sizeof (*source));
	source->incarnation = incarnation;
	return source;
}

/* Polls may arrive out of order, so a smaller count than the known one is an older one. */
static void
raise_count (uint32_t *known, uint32_t *total, uint32_t reported)
{
	if (reported <= *known)
		return;
	*total += reported - *known;
	*known = reported;
}

static void
raise_counts (struct rollout_counts *known, struct rollout_counts *total,
	const struct rollout_counts *reported)
{
	raise_count (&known->answers, &total->answers, reported->answers);
	raise_count (&known->bad, &total->bad, reported->bad);
	for (int i = 0; i < ROLLOUT_TIMES; i++)
		raise_count (&known->times[i], &total->times[i], reported->times[i]);
}

void
rollout_judge_record (struct rollout_judge *judge, const struct rollouts *rollouts,
	uint64_t incarnation, const struct rollout_reports *reports, int64_t now_us)
{
	for (int i = 0; i < reports->count; i++) {
		const struct rollout_report *report = &reports->items[i];
		const struct rollout *rollout = rollouts_find (rollouts, report->rollout);
		if (!rollout || !rollout_is_active (rollout))
			continue;
		struct rollout_track *track = get_track (judge, report, now_us);
		struct rollout_source *source = get_source (track, incarnation);
		raise_count (&source->seen, &track->seen, report->seen);
		for (int side = 0; side < ROLLOUT_SIDES; side++)
			raise_counts (
				&source->sides[side], &track->totals[side], &report->sides[side]);
	}
}

/* Answers above a level: bad, or in a class of times above it. The last level is bad alone. */
static double
above (const struct rollout_counts *counts, const struct rollout_counts *start, int level)
{
	double sum = (double)counts->bad - (start ? start->bad : 0);
	for (int i = level + 1; i < ROLLOUT_TIMES; i++)
		sum += (double)counts->times[i] - (start ? start->times[i] : 0);
	return sum;
}

/*
 * Answers of the new version above a level in the present slot, less as many as the old version
 * would have had. Of the times, the new version may take some classes more: a smaller difference
 * may come from the machines. On a loaded machine, with one class more and with times of the old
 * version from another time, a version equal to the old one was rolled back (test/rollouts.sh).
 */
static double
slot_excess (const struct rollout_track *track, int level)
{
	const struct rollout_counts *old = &track->totals[ROLLOUT_OLD];
	const struct rollout_counts *old_start = &track->slot_start[ROLLOUT_OLD];
	const struct rollout_counts *new = &track->totals[ROLLOUT_NEW];
	const struct rollout_counts *new_start = &track->slot_start[ROLLOUT_NEW];
	bool is_bad = level == LEVELS - 1;
	if (!is_bad && old->answers < ROLLOUT_SLOT_ANSWERS)
		return 0;
	double prior = old->answers ? above (old, NULL, level) / old->answers : 0;
	double old_answers = (double)old->answers - old_start->answers;
	double share = (above (old, old_start, level) + prior * PRIOR_ANSWERS) /
		       (old_answers + PRIOR_ANSWERS);
	double answers = (double)new->answers - new_start->answers;
	int slack = old_answers < PRIOR_ANSWERS ? SLOWER_THAN_BEFORE : SLOWER_AT_ONCE;
	return above (new, new_start, is_bad ? level : level + slack) - answers * share;
}

static double
track_excess (const struct rollout_track *track)
{
	double worst = 0;
	for (int level = 0; level < LEVELS; level++) {
		double excess = track->excess[level] + slot_excess (track, level);
		worst = excess > worst ? excess : worst;
	}
	return worst;
}

static void
end_slot (struct rollout_track *track, int64_t now_us)
{
	uint32_t old_answers =
		track->totals[ROLLOUT_OLD].answers - track->slot_start[ROLLOUT_OLD].answers;
	int64_t age_us = now_us - track->slot_began_us;
	if (age_us < ROLLOUT_SLOT_US ||
		(age_us < ROLLOUT_SLOT_MAX_US && old_answers < ROLLOUT_SLOT_ANSWERS))
		return;
	for (int level = 0; level < LEVELS; level++) {
		double excess = slot_excess (track, level);
		if (excess > SLOT_EXCESS_CALM)
			track->last_excess_us = now_us;
		/* Answers better than the old version's do not make up for later bad ones. */
		track->excess[level] += excess;
		if (track->excess[level] < 0)
			track->excess[level] = 0;
	}
	memcpy (track->slot_start, track->totals, sizeof (track->totals));
	track->slot_began_us = now_us;
}

static bool
is_calm (const struct rollout_track *track, int64_t now_us)
{
	if (track->last_excess_us != 0 && track->last_excess_us + ROLLOUT_CALM_US > now_us)
		return false;
	for (int level = 0; level < LEVELS; level++) {
		if (slot_excess (track, level) > SLOT_EXCESS_CALM)
			return false;
	}
	return true;
}

/* A route with so many answers should have some of the new version. */
static bool
has_enough (const struct rollout_track *track)
{
	return track->totals[ROLLOUT_NEW].answers >= ROLLOUT_MIN_ROUTE_ANSWERS ||
	       track->seen < ROLLOUT_MIN_ROUTE_ANSWERS * 100 / ROUTE_SHARE;
}

/* The time for shifting, at the end of the duration. */
static int64_t
shift_ms (const struct rollout *rollout)
{
	int64_t left_ms = rollout->duration_ms / SHIFT_PART;
	if (left_ms < ROLLOUT_SHIFT_MIN_MS)
		left_ms = ROLLOUT_SHIFT_MIN_MS;
	if (left_ms > rollout->duration_ms / 2)
		left_ms = rollout->duration_ms / 2;
	return left_ms;
}

bool
rollout_may_complete (const struct rollout *rollout, int64_t wall_ms)
{
	return rollout->phase == ROLLOUT_SHIFTING &&
	       wall_ms >= rollout->changed_ms + shift_ms (rollout) * OBSERVED_PERCENT / 100;
}

enum rollout_judgement
rollout_judge (struct rollout_judge *judge, const struct rollout *rollout, int64_t wall_ms,
	int64_t now_us, struct rollout_evidence *evidence)
{
	bool most_are_bad = false;
	bool enough = true;
	bool calm = true;
	double sum = 0;
	memset (evidence, 0, sizeof (*evidence));
	for (int i = 0; i < judge->count; i++) {
		struct rollout_track *track = &judge->tracks[i];
		if (track->rollout != rollout->started)
			continue;
		end_slot (track, now_us);
		double excess = track_excess (track);
		sum += excess;
		most_are_bad =
			most_are_bad || (excess >= ROLLOUT_BAD_MOST_MAX &&
						excess * 2 >= track->totals[ROLLOUT_NEW].answers);
		enough = enough && has_enough (track);
		calm = calm && is_calm (track, now_us) &&
		       (excess <= SLOT_EXCESS_CALM ||
			       excess * 100 < SHARE_CALM_PERCENT *
						      (double)track->totals[ROLLOUT_NEW].answers);
		evidence->answers += track->totals[ROLLOUT_NEW].answers;
		evidence->bad += track->totals[ROLLOUT_NEW].bad;
		evidence->old_answers += track->totals[ROLLOUT_OLD].answers;
		evidence->old_bad += track->totals[ROLLOUT_OLD].bad;
	}
	evidence->excess = (int)sum;
	if (sum >= ROLLOUT_BAD_MAX || most_are_bad)
		return ROLLOUT_ROLL_BACK;
	if (rollout->phase != ROLLOUT_CANARY ||
		wall_ms < rollout->started_ms + rollout->duration_ms - shift_ms (rollout))
		return ROLLOUT_WAIT;
	if (!enough || evidence->answers < ROLLOUT_MIN_ANSWERS)
		return ROLLOUT_TOO_LITTLE;
	return calm ? ROLLOUT_SHIFT : ROLLOUT_UNSETTLED;
}
