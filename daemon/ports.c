#include "daemon/ports.h"

#include "daemon/batch_send.h"

static bool
bind_port (struct ports *ports, enum port port, const char *setting, const char *address,
	struct error *error)
{
	return !address[0] || listener_bind (&ports->listeners[port], setting, address, error);
}

static bool
bind_front (struct ports *ports, const struct options *options, struct error *error)
{
	char batches[LISTENER_ADDRESS_SIZE] = "";
	if (options->front_batch_port_step > 0)
		batch_address (options->node_peer_address, options->front_batch_port_step, batches,
			sizeof (batches));
	return bind_port (ports, PORT_BATCHES, "node.peer_address plus front.batch_port_step",
		       batches, error) &&
	       listener_bind (&ports->listeners[PORT_READINESS], "front.ready_address",
		       options->front_ready_address, error) &&
	       listener_bind (&ports->listeners[PORT_CALLERS], "front.address",
		       options->front_address, error);
}

static bool
check_port (const char *setting, const char *address, struct error *error)
{
	return !address[0] || listener_check (setting, address, error);
}

bool
ports_bind (struct ports *ports, const struct options *options, struct error *error)
{
	for (int i = 0; i < PORT_COUNT; i++)
		ports->listeners[i].fd = -1;
	return check_port ("node.peer_address", options->node_peer_address, error) &&
	       check_port ("node.operator_address", options->node_operator_address, error) &&
	       check_port ("node.metrics_address", options->node_metrics_address, error) &&
	       check_port ("node.caller_address", options->node_caller_address, error) &&
	       bind_port (ports, PORT_ORDERS, "control.orders_address",
		       options->control_orders_address, error) &&
	       (!options->front_address[0] || bind_front (ports, options, error));
}

bool
ports_open (const struct ports *ports, struct error *error)
{
	for (int i = 0; i < PORT_COUNT; i++) {
		if (ports->listeners[i].fd >= 0 && !listener_open (&ports->listeners[i], error))
			return false;
	}
	return true;
}
