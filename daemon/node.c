#include "daemon/node.h"

#include "daemon/worker.h"

#include <string.h>
#include <urcu.h>
#include <xxhash.h>

enum { REQUEST_ID_WORKER_SHIFT = 56 };

struct view *
node_view_get (struct node *node)
{
	rcu_read_lock ();
	struct view *view = rcu_dereference (node->view);
	if (view)
		view_ref (view);
	rcu_read_unlock ();
	return view;
}

void
node_view_publish (struct node *node, struct view *view)
{
	struct view *previous = node->view;
	rcu_assign_pointer (node->view, view);
	/* Once this returns, each reader that loaded the previous view has taken its reference. */
	synchronize_rcu ();
	view_unref (previous);
}

bool
node_has_lease (struct node *node)
{
	return clock_now_us (&node->clock) < atomic_load (&node->lease_until_us);
}

struct worker *
node_worker_for_target (struct node *node, const char *target)
{
	return &node->workers[XXH64 (target, strlen (target), 0) % (uint64_t)node->worker_count];
}

uint64_t
node_new_request_id (struct node *node, int worker)
{
	uint64_t number = atomic_fetch_add (&node->request_counter, 1) + 1;
	return (uint64_t)worker << REQUEST_ID_WORKER_SHIFT | number;
}

struct worker *
node_worker_for_request (struct node *node, uint64_t request)
{
	uint64_t worker = request >> REQUEST_ID_WORKER_SHIFT;
	return worker < (uint64_t)node->worker_count ? &node->workers[worker] : NULL;
}

bool
node_is_leaving (struct node *node)
{
	if (atomic_load (&node->stopping))
		return true;
	struct view *view = node_view_get (node);
	if (!view)
		return false;
	int member = view_find_member (view, node->options.node_name);
	bool leaving = member >= 0 && view->members[member].leaving;
	view_unref (view);
	return leaving;
}
