/**
 * @file front_dump.h
 * Writes the front's state of services and targets for dumps and metrics. Other threads request it
 * through the mailbox and block until the front's thread has written it to their buffer.
 */
#pragma once

#include "daemon/front.h"
#include "net/completion.h"

/** Format of a dump. */
enum front_dump_format {
	FRONT_DUMP_JSON,    /**< the whole state, as one JSON object */
	FRONT_DUMP_METRICS, /**< a summary by service, in the text exposition format */
};

/** A request for a dump, posted to the front's thread; the sender waits for its completion. */
struct front_dump {
	struct mail mail;
	enum front_dump_format format;
	struct buf *out;
	struct completion completion;
};

/** Appends the state of a running front; blocks. Any thread but the front's. */
void
front_export_state (struct front *front, enum front_dump_format format, struct buf *out);

/** Writes a requested dump and wakes the sender. Front thread only. */
void
front_write_dump (struct front *front, struct front_dump *dump);
