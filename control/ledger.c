#include "control/ledger.h"

#include "core/buf.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

void
ledger_init (struct ledger *ledger)
{
	ledger->buckets = xcalloc (LEDGER_BUCKETS, sizeof (*ledger->buckets));
	for (int i = 0; i < LEDGER_BUCKETS; i++)
		CDS_INIT_LIST_HEAD (&ledger->buckets[i]);
	CDS_INIT_LIST_HEAD (&ledger->order);
	ledger->count = 0;
}

static void
remove_claim (struct ledger *ledger, struct claim *claim)
{
	cds_list_del (&claim->bucket);
	cds_list_del (&claim->order);
	free (claim->body);
	free (claim);
	ledger->count--;
}

static void
remove_all (struct ledger *ledger)
{
	struct claim *claim;
	struct claim *next;
	cds_list_for_each_entry_safe (claim, next, &ledger->order, order)
		remove_claim (ledger, claim);
}

void
ledger_finish (struct ledger *ledger)
{
	remove_all (ledger);
	free (ledger->buckets);
}

static struct cds_list_head *
bucket_of (const struct ledger *ledger, const char *key)
{
	return &ledger->buckets[XXH64 (key, strlen (key), 0) % LEDGER_BUCKETS];
}

struct claim *
ledger_find (const struct ledger *ledger, const char *key)
{
	struct claim *claim;
	cds_list_for_each_entry (claim, bucket_of (ledger, key), bucket) {
		if (strcmp (claim->key, key) == 0)
			return claim;
	}
	return NULL;
}

static struct claim *
add_claim (struct ledger *ledger, const char *key)
{
	struct claim *claim = xcalloc (1, sizeof (*claim));
	str_copy (claim->key, sizeof (claim->key), key);
	cds_list_add (&claim->bucket, bucket_of (ledger, key));
	cds_list_add_tail (&claim->order, &ledger->order);
	ledger->count++;
	return claim;
}

enum claim_verdict
ledger_claim (struct ledger *ledger, const char *key, uint64_t digest, uint64_t nonce,
	int64_t expires_ms, const struct claim **out)
{
	struct claim *claim = ledger_find (ledger, key);
	*out = claim;
	if (claim && claim->digest != digest && claim->digest != 0)
		return VERDICT_REUSED;
	if (claim && claim->status == CLAIM_PENDING)
		return claim->nonce == nonce ? VERDICT_RUN : VERDICT_PENDING;
	if (claim && (claim->status != CLAIM_NOT_RUN || claim->nonce == nonce))
		return VERDICT_STORED;
	if (!claim)
		claim = add_claim (ledger, key);
	claim->digest = digest;
	claim->nonce = nonce;
	claim->expires_ms = expires_ms;
	claim->status = CLAIM_PENDING;
	*out = claim;
	return VERDICT_RUN;
}

bool
ledger_outcome (struct ledger *ledger, const char *key, uint64_t nonce, enum claim_status status,
	int http_status, const char *body, int64_t now_ms)
{
	struct claim *claim = ledger_find (ledger, key);
	if (!claim && status == CLAIM_NOT_RUN) {
		/* The claim may arrive later and must then find that its attempt has ended. */
		claim = add_claim (ledger, key);
		claim->nonce = nonce;
		claim->expires_ms = now_ms + LEDGER_EARLY_OUTCOME_MS;
	}
	if (!claim || claim->nonce != nonce || claim->status != CLAIM_PENDING)
		return false;
	claim->status = status;
	claim->http_status = http_status;
	free (claim->body);
	claim->body = xstrdup (body);
	return true;
}

void
ledger_expire (struct ledger *ledger, int64_t now_ms)
{
	struct claim *claim;
	struct claim *next;
	cds_list_for_each_entry_safe (claim, next, &ledger->order, order) {
		if (claim->expires_ms > now_ms)
			return;
		remove_claim (ledger, claim);
	}
}

void
ledger_write (const struct ledger *ledger, struct pack_writer *writer)
{
	const struct claim *claim;
	pack_array (writer, (size_t)ledger->count);
	cds_list_for_each_entry (claim, &ledger->order, order) {
		pack_array (writer, 7);
		pack_str (writer, claim->key);
		pack_u64 (writer, claim->digest);
		pack_u64 (writer, claim->nonce);
		pack_i64 (writer, claim->expires_ms);
		pack_u64 (writer, claim->status);
		pack_i64 (writer, claim->http_status);
		pack_str (writer, claim->body ? claim->body : "");
	}
}

bool
ledger_read (struct ledger *ledger, struct pack_node node)
{
	remove_all (ledger);
	for (size_t i = 0; i < pack_length (node); i++) {
		struct pack_node item = pack_at (node, i);
		char key[LEDGER_KEY_MAX + 1];
		pack_copy_str (pack_at (item, 0), key, sizeof (key));
		if (!pack_ok (node))
			return false;
		struct claim *claim = add_claim (ledger, key);
		claim->digest = pack_get_u64 (pack_at (item, 1));
		claim->nonce = pack_get_u64 (pack_at (item, 2));
		claim->expires_ms = pack_get_i64 (pack_at (item, 3));
		claim->status =
			(enum claim_status)pack_get_below (pack_at (item, 4), CLAIM_UNKNOWN + 1);
		claim->http_status = pack_get_i64 (pack_at (item, 5));
		claim->body = pack_dup_str (pack_at (item, 6));
	}
	return pack_ok (node);
}
