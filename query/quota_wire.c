#include "query/quota_wire.h"

#include "core/clock.h"
#include "core/pack.h"

#include <string.h>

enum { QUESTION_FIELDS = 8, ANSWER_FIELDS = 4, KEY_SIZE = 256 };

static unsigned
at_most (int64_t value, unsigned max)
{
	if (value < 0)
		return 0;
	return value < max ? (unsigned)value : max;
}

/* Rounded up, so that a time is never understated. */
static int64_t
to_ms (int64_t us)
{
	return (us + US_PER_MS - 1) / US_PER_MS;
}

void *
quota_encode_question (const struct quota_question *question, const char *key, size_t *len)
{
	struct pack_writer writer;
	pack_start (&writer);
	pack_array (&writer, QUESTION_FIELDS);
	pack_u64 (&writer, QUOTA_VERSION);
	pack_str (&writer, key);
	pack_str (&writer, question->account);
	pack_bool (&writer, question->wants_token);
	pack_u64 (&writer, at_most (question->refused, QUOTA_REPORT_MAX));
	pack_u64 (&writer, at_most (question->returned, QUOTA_RETURNS_MAX));
	pack_u64 (&writer, at_most (to_ms (question->return_age_us), QUOTA_AGE_MAX_MS));
	pack_u64 (&writer, question->epoch);
	return pack_end (&writer, len);
}

static void
read_question (struct quota_question *question, const char *key, struct pack_node root)
{
	char given[KEY_SIZE] = {0};
	pack_copy_str (pack_at (root, 1), given, sizeof (given));
	if (!secret_equal (given, key, strlen (key)))
		pack_fail (root);
	pack_copy_str (pack_at (root, 2), question->account, sizeof (question->account));
	question->wants_token = pack_get_bool (pack_at (root, 3));
	question->refused = pack_get_below (pack_at (root, 4), QUOTA_REPORT_MAX + 1);
	question->returned = pack_get_below (pack_at (root, 5), QUOTA_RETURNS_MAX + 1);
	question->return_age_us =
		(int64_t)pack_get_below (pack_at (root, 6), QUOTA_AGE_MAX_MS + 1) * US_PER_MS;
	question->epoch = pack_get_u64 (pack_at (root, 7));
	if (question->epoch == QUOTA_OWN_CALLER)
		pack_fail (root);
}

bool
quota_decode_question (
	struct quota_question *question, const char *key, const void *data, size_t len)
{
	struct pack_tree tree;
	memset (question, 0, sizeof (*question));
	struct pack_node root = pack_parse (&tree, data, len);
	if (pack_length (root) != QUESTION_FIELDS ||
		pack_get_u64 (pack_at (root, 0)) != QUOTA_VERSION)
		pack_fail (root);
	else
		read_question (question, key, root);
	return pack_free (&tree);
}

void *
quota_encode_answer (const struct quota_answer *answer, size_t *len)
{
	struct pack_writer writer;
	pack_start (&writer);
	pack_array (&writer, ANSWER_FIELDS);
	pack_u64 (&writer, QUOTA_VERSION);
	pack_u64 (&writer, answer->verdict);
	pack_u64 (&writer, at_most (to_ms (answer->retry_us), QUOTA_WAIT_MAX_MS));
	pack_u64 (&writer, answer->epoch);
	return pack_end (&writer, len);
}

bool
quota_decode_answer (struct quota_answer *answer, const void *data, size_t len)
{
	struct pack_tree tree;
	memset (answer, 0, sizeof (*answer));
	struct pack_node root = pack_parse (&tree, data, len);
	if (pack_length (root) != ANSWER_FIELDS ||
		pack_get_u64 (pack_at (root, 0)) != QUOTA_VERSION) {
		pack_fail (root);
		return pack_free (&tree);
	}
	answer->verdict =
		(enum quota_verdict)pack_get_below (pack_at (root, 1), QUOTA_VERDICT_COUNT);
	answer->retry_us =
		(int64_t)pack_get_below (pack_at (root, 2), QUOTA_WAIT_MAX_MS + 1) * US_PER_MS;
	answer->epoch = pack_get_u64 (pack_at (root, 3));
	return pack_free (&tree);
}
