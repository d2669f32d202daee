#include "query/restart.h"

static bool
is_usual_close (int64_t idle_us, int64_t idle_close_us)
{
	return idle_close_us > 0 &&
	       idle_us >= idle_close_us - idle_close_us / RESTART_IDLE_TOLERANCE;
}

bool
restart_note_sign (struct restart_watch *watch, enum restart_sign sign, int64_t idle_us,
	int64_t idle_close_us, int64_t now_us)
{
	if (sign == RESTART_IDLE_CLOSED && is_usual_close (idle_us, idle_close_us))
		return false;
	if (!watch->suspected) {
		watch->checks = 0;
		watch->check_us = now_us;
	}
	/* A connection that ended says nothing new about a target that accepts none. */
	watch->unreachable = sign == RESTART_REFUSED || (watch->suspected && watch->unreachable);
	watch->suspected = true;
	watch->sign = sign;
	watch->sign_us = now_us;
	watch->idle_us = sign == RESTART_IDLE_CLOSED ? idle_us : 0;
	watch->answered_us = 0;
	return true;
}

static void
end_suspicion (struct restart_watch *watch)
{
	watch->suspected = false;
	watch->unreachable = false;
}

bool
restart_note_answer (
	struct restart_watch *watch, int64_t connected_us, int64_t written_us, int64_t now_us)
{
	if (!watch->suspected || written_us < watch->sign_us)
		return false;
	watch->unreachable = false;
	if (connected_us < watch->sign_us) {
		end_suspicion (watch);
		return true;
	}
	if (watch->answered_us == 0)
		watch->answered_us = now_us;
	return false;
}

/* The first repeat comes soon, since a target that crashed may be back at once. */
static int64_t
check_delay_us (const struct restart_watch *watch)
{
	int64_t us = RESTART_CHECK_MIN_US;
	for (int i = 1; i < watch->checks && us < RESTART_CHECK_MAX_US; i++)
		us *= 2;
	return us < RESTART_CHECK_MAX_US ? us : RESTART_CHECK_MAX_US;
}

bool
restart_note_health (struct restart_watch *watch, enum restart_health health, int64_t now_us)
{
	if (!watch->suspected)
		return false;
	switch (health) {
	case RESTART_HEALTH_WARM:
	case RESTART_HEALTH_COLD:
		watch->health_us = now_us;
		end_suspicion (watch);
		return true;
	case RESTART_HEALTH_NONE:
	case RESTART_HEALTH_UNKNOWN:
		watch->checks++;
		watch->check_us = now_us + check_delay_us (watch);
		return false;
	}
	return false;
}

/* The latest time as of which the list is certainly true. */
static int64_t
list_as_of_us (int64_t read_us, int64_t lag_us)
{
	return read_us - lag_us - RESTART_LIST_MARGIN_US;
}

bool
restart_is_list_outdated (const struct restart_watch *watch, int64_t read_us, int64_t lag_us)
{
	int64_t as_of_us = list_as_of_us (read_us, lag_us);
	return watch->health_us > as_of_us || (watch->suspected && watch->sign_us > as_of_us);
}

bool
restart_note_listed (struct restart_watch *watch, int64_t read_us, int64_t lag_us)
{
	/* A target that ended a connection starts again later, before its first answer. */
	int64_t since_us = watch->sign == RESTART_UNWATCHED ? watch->sign_us : watch->answered_us;
	if (!watch->suspected || since_us == 0 || list_as_of_us (read_us, lag_us) < since_us)
		return false;
	end_suspicion (watch);
	return true;
}

int64_t
restart_idle_close_us (const struct restart_watch *watch, int64_t idle_close_us)
{
	if (watch->sign != RESTART_IDLE_CLOSED)
		return idle_close_us;
	return idle_close_us == 0 || watch->idle_us < idle_close_us ? watch->idle_us
								    : idle_close_us;
}

const char *
restart_sign_name (enum restart_sign sign)
{
	static const char *const names[RESTART_SIGN_COUNT] = {
		[RESTART_REFUSED] = "no connection",
		[RESTART_LOST] = "connection lost",
		[RESTART_SILENT] = "silent",
		[RESTART_IDLE_CLOSED] = "idle connection closed",
		[RESTART_IDLE_RESET] = "idle connection reset",
		[RESTART_UNWATCHED] = "not watched",
	};
	return names[sign];
}
