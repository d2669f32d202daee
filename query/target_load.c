#include "query/target_load.h"

/* A value that returns to the usual one in equal steps. */
static int
faded (int value, int usual, int64_t age_us)
{
	if (age_us <= 0)
		return value;
	if (age_us >= TARGET_PACE_DECAY_US)
		return usual;
	return usual +
	       (int)((value - usual) * (TARGET_PACE_DECAY_US - age_us) / TARGET_PACE_DECAY_US);
}

static int
bounded (int64_t value, int min, int max)
{
	if (value < min)
		return min;
	return value > max ? max : (int)value;
}

static int
reported_pace (const struct target_load *load, int64_t now_us)
{
	return faded (load->pace, COST_PACE_USUAL, now_us - load->paced_us);
}

/* Reported paces fluctuate, so that a single good one does not bring all work back. */
static void
update_pace (struct target_load *load, int reported, int64_t at_us)
{
	int pace = bounded (reported, COST_PACE_MIN, COST_PACE_MAX);
	int known = load->pace > 0 ? reported_pace (load, at_us) : pace;
	load->pace = pace >= known ? pace : pace + (known - pace) / 4;
	load->paced_us = at_us;
}

bool
target_load_report (struct target_load *load, const struct load_report *report,
	int64_t mean_work_us, int64_t at_us)
{
	if (load->reported_us > 0 && at_us <= load->reported_us)
		return false;
	if (report->pace > 0)
		update_pace (load, report->pace, at_us);
	if (report->slots > 0 && report->slots <= TARGET_SLOTS_MAX)
		load->slots = report->slots;
	int pace = load->pace > 0 ? load->pace : COST_PACE_USUAL;
	/* Running requests are half done on average. */
	int64_t work_us = (report->running + 2 * (int64_t)report->waiting) * mean_work_us / 2 *
			  pace / COST_PACE_USUAL;
	load->work_us = work_us < TARGET_WORK_MAX_US ? work_us : TARGET_WORK_MAX_US;
	load->usual_us = load->reported_us > 0
				 ? load->usual_us + (load->work_us - load->usual_us) / 8
				 : load->work_us;
	load->report = *report;
	load->reported_us = at_us;
	return true;
}

void
target_load_measure (
	struct target_load *load, int64_t work_us, int64_t usual_work_us, int64_t now_us)
{
	int bias = TARGET_BIAS_USUAL;
	if (load->bias > 0)
		bias = faded (load->bias, TARGET_BIAS_USUAL, now_us - load->measured_us);
	/* Equal steps up and down follow the median, which single pauses do not move. */
	bias = work_us > usual_work_us ? bias * 5 / 4 : bias * 4 / 5;
	load->bias = bounded (bias, TARGET_BIAS_MIN, TARGET_BIAS_MAX);
	load->measured_us = now_us;
}

void
target_load_limit (struct target_load *load, int64_t work_us)
{
	if (load->usual_us > work_us)
		load->usual_us = work_us > 0 ? work_us : 0;
}

int
target_load_pace (const struct target_load *load, int64_t now_us)
{
	if (load->pace == 0)
		return 0;
	int pace = reported_pace (load, now_us);
	if (load->bias == 0)
		return pace;
	int bias = faded (load->bias, TARGET_BIAS_USUAL, now_us - load->measured_us);
	if (bias >= TARGET_BIAS_LOW && bias <= TARGET_BIAS_HIGH)
		return pace;
	return bounded ((int64_t)pace * bias / TARGET_BIAS_USUAL, COST_PACE_MIN, COST_PACE_MAX);
}

int64_t
target_load_work_us (const struct target_load *load, int slots, int64_t now_us)
{
	int64_t age_us = now_us - load->reported_us;
	if (load->reported_us == 0 || age_us >= TARGET_USUAL_DECAY_US)
		return 0;
	if (age_us < 0)
		age_us = 0;
	int64_t left_us = load->work_us - age_us * slots;
	int64_t usual_us =
		load->usual_us * (TARGET_USUAL_DECAY_US - age_us) / TARGET_USUAL_DECAY_US;
	/* New work arrives while the reported work is done. */
	if (usual_us > load->work_us)
		usual_us =
			load->work_us + (usual_us - load->work_us) * age_us / TARGET_USUAL_DECAY_US;
	return left_us > usual_us ? left_us : usual_us;
}
