#include "core/payload.h"

#include <stdlib.h>

struct payload *
payload_new (struct buf *bytes, struct memory_account *account)
{
	struct payload *payload = xmalloc (sizeof (*payload));
	payload->refs = 1;
	payload->account = account;
	payload->bytes = *bytes;
	buf_init (bytes);
	return payload;
}

struct payload *
payload_ref (struct payload *payload)
{
	payload->refs++;
	return payload;
}

void
payload_unref (struct payload *payload)
{
	if (!payload || --payload->refs > 0)
		return;
	if (payload->account)
		memory_account_remove (payload->account, payload->bytes.cap);
	buf_finish (&payload->bytes);
	free (payload);
}
