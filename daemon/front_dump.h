/**
 * @file front_dump.h
 * What a front knows of services and targets, for dumps and metrics.
 */
#pragma once

#include "daemon/front.h"
#include "net/completion.h"

/** What is asked of the front's thread. */
enum front_question {
	FRONT_AS_JSON,    /**< the whole state, as one JSON object */
	FRONT_AS_METRICS, /**< a summary by service, in the text exposition format */
};

/** A question to the front's thread; the asker waits for the completion. */
struct front_dump {
	struct mail mail;
	enum front_question question;
	struct buf *out;
	struct completion completion;
};

/** Asks a running front and appends its answer. Any thread but the front's. */
void
front_ask (struct front *front, enum front_question question, struct buf *out);

/** Answers a question; front thread only. */
void
front_answer (struct front *front, struct front_dump *dump);
