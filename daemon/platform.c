#include "daemon/platform.h"

#include <jansson.h>
#include <string.h>

enum { POLL_INTERVAL_US = 1000000 };

/* The list lags, so a VM that it shows as live or omits keeps its declared state. */
static void
apply_vm (struct control *control, const json_t *item)
{
	const char *name = json_string_value (json_object_get (item, "name"));
	const char *state = json_string_value (json_object_get (item, "state"));
	if (!name || !state || strcmp (state, "leaving") != 0 || !resource_name_valid (name))
		return;
	const struct resource *vm =
		resources_find (&control->voter.state.resources, RESOURCE_VM, name);
	if (!vm || strstr (vm->spec, "\"leaving\":true"))
		return;
	log_event (&control->log, EVENT_PLATFORM_LEAVING, "%s", name);
	voter_propose_vm_leaving (&control->voter, name, clock_now_us (&control->node->clock));
}

void
platform_poll_vms (struct control *control)
{
	const char *path = control->node->options.platform_list;
	int64_t now_us = clock_now_us (&control->node->clock);
	if (path[0] == '\0' || control->voter.raft.role != RAFT_LEADER ||
		control->next_vm_poll_us > now_us)
		return;
	control->next_vm_poll_us = now_us + POLL_INTERVAL_US;
	json_error_t error;
	json_t *list = json_load_file (path, 0, &error);
	if (!json_is_array (list))
		log_event (&control->log, EVENT_PLATFORM_LIST_FAILED, "%s: %s", path, error.text);
	for (size_t i = 0; i < json_array_size (list); i++)
		apply_vm (control, json_array_get (list, i));
	json_decref (list);
}
