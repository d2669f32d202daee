#include "query/section.h"

void
section_init (struct section *section, int64_t objective_us, int64_t now_us)
{
	section->held = true;
	section->has_result = false;
	section->result_until_us = now_us + objective_us * SECTION_FIRST_RESULT_PERCENT / 100;
	section->rest_until_us = INT64_MAX;
}

void
section_hold (struct section *section, int64_t now_us)
{
	section->held = true;
	section->result_until_us = now_us + SECTION_REST_HOLD_US;
}

void
section_returned (struct section *section, int64_t now_us)
{
	section->held = false;
	section->has_result = true;
	section->rest_until_us = now_us + SECTION_REST_WAIT_US;
}

bool
section_result_is_due (
	const struct section *section, bool has_new_part, bool wants_attempt, int64_t now_us)
{
	if (!section->held)
		return false;
	if (section->result_until_us <= now_us)
		return true;
	return section->has_result ? has_new_part : wants_attempt;
}

bool
section_is_abandoned (const struct section *section, int64_t now_us)
{
	return !section->held && section->rest_until_us <= now_us;
}

int64_t
section_wake_us (const struct section *section)
{
	return section->held ? section->result_until_us : section->rest_until_us;
}
