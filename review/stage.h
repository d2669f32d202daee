/**
 * @file stage.h
 * What the cases of the review share: nodes as separate processes, stand-ins for the platform's
 * list of targets and for targets, callers and an operator, all on loopback addresses.
 *
 * Each stand-in has an address of its own in 127.0.0.0/8, so that the ports of the deploy file's
 * templates can be used as they are.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

enum {
	STAGE_TARGETS_MAX = 32,
	STAGE_NODES_MAX = 16,
	STAGE_TEXT_SIZE = 512,
	STAGE_CONTROL_NODES = 3,
	STAGE_CONTROL_PORT = 8224,
	STAGE_ENTRY_PORT = 8226,
	STAGE_READINESS_PORT = 8227,
	STAGE_TARGET_PORT = 8080,
	STAGE_LIST_PORT = 8229,
	STAGE_PEER_PORT = 7740,
};

/** Exit statuses of a case. */
enum { CASE_HELD = 0, CASE_BROKEN = 1, CASE_NOT_RUN = 2 };

struct stage_target;

/** A request as a target received it. */
struct stage_request {
	int fd;
	char method[16];
	char path[STAGE_TEXT_SIZE];
	char attempt_id[64];
	long deadline_ms;
	size_t body_len;
	int64_t arrived_ms;
};

/** A stand-in of a target. */
struct stage_target {
	char id[32];
	char service[96];
	char address[64];
	char zone[16];
	int slots;
	/** Answers a request; returns false to close the connection. */
	bool (*handle) (struct stage_target *target, struct stage_request *request);
};

/** A node of the system. */
struct stage_node {
	char name[16];
	char address[32];
	char settings[STAGE_TEXT_SIZE];
	pid_t pid; /**< 0: does not run */
};

/** What a caller or operator got. */
struct stage_answer {
	int status; /**< 0: no answer in time; -1: the connection ended without a complete answer */
	char body[16384];
	size_t body_len;
	bool has_stamp;
	bool close;
};

/** Milliseconds since the case began. */
int64_t
stage_now_ms (void);
void
stage_sleep_ms (int64_t ms);
void
stage_sleep_until (int64_t at_ms);

/** Writes a line to record.txt. */
void
stage_record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

/** False when the environment has TROUBLE=0. */
bool
stage_has_trouble (void);

/** Prepares the folders; arguments are those of the case: its folder and a temporary one. */
void
stage_begin (int argc, char **argv);

/** Ends all processes that the case started and the case itself. */
_Noreturn void
stage_end (int status, const char *format, ...) __attribute__ ((format (printf, 2, 3)));

/** Address in the loopback network of this run. */
void
stage_address (int host, char out[32]);

/** Starts the control nodes and @p entry_nodes entry nodes. */
void
stage_start_nodes (int entry_nodes);
struct stage_node *
stage_control_node (int index);
struct stage_node *
stage_entry_node (int index);
void
stage_start_node (struct stage_node *node);
void
stage_signal (struct stage_node *node, int signal, const char *name);

/** Adds a target to the list and starts to serve it. */
struct stage_target *
stage_add_target (const char *id, const char *service, const char *zone,
	bool (*handle) (struct stage_target *, struct stage_request *));

/** Starts the platform's list of targets. */
void
stage_start_list (void);

/** Sends a complete reply with the headers of the users' protocol. */
bool
stage_reply (const struct stage_target *target, const struct stage_request *request, int status,
	const char *body, size_t body_len);

/** Sends all bytes; false if the peer has closed. */
bool
stage_send (int fd, const void *data, size_t len);

/** Connects within a second; returns -1 on failure. */
int
stage_connect (const char *address, int port);

/** Sends one request on an open connection and waits for its answer. */
void
stage_call (int fd, const char *method, const char *host, const char *path, const char *id,
	int deadline_ms, const char *body, int wait_ms, struct stage_answer *answer);

/** A request of a caller on a new connection, to an entry node. */
void
stage_request (const struct stage_node *node, const char *method, const char *path, const char *id,
	int deadline_ms, const char *body, int wait_ms, struct stage_answer *answer);

/**
 * An order of the operator. It starts with the control node @p first and goes on to the others
 * after a failure or a second without an answer.
 * @return the last status
 */
int
stage_order (int first, const char *method, const char *path, const char *body);

/** Sends the first manifest until it is accepted, and waits until the entry nodes are ready. */
void
stage_begin_service (const char *manifest, int entry_nodes);

/** Runs a function in a thread of its own. */
void
stage_thread (void *(*run) (void *), void *user);
