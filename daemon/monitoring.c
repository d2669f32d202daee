#include "daemon/monitoring.h"

#include "core/histogram.h"
#include "core/metrics.h"
#include "daemon/front_dump.h"
#include "daemon/http.h"

#include <sys/resource.h>

enum { COLLECTOR_THREADS = 2 }; /* one collector, and a second one at the same time */

static void
write_gauge (struct buf *out, const char *name, const char *help, double value)
{
	buf_addf (out, "# HELP oleanderstile_%s %s\n# TYPE oleanderstile_%s gauge\n", name, help,
		name);
	buf_addf (out, "oleanderstile_%s %.10g\n", name, value);
}

static double
age_s (int64_t now_us, int64_t since_us)
{
	return since_us ? (double)(now_us - since_us) / US_PER_S : -1;
}

static void
export_front (struct front *front, int64_t now_us, struct buf *out)
{
	write_gauge (out, "view_age_seconds",
		"Time since control confirmed the declared state; -1: never",
		age_s (now_us, atomic_load (&front->view_confirmed_us)));
	write_gauge (out, "target_list_age_seconds",
		"Time since the target list in use was read; -1: no list",
		age_s (now_us, atomic_load (&front->list_read_us)));
	write_gauge (out, "bound_sharers", "Entry nodes that share the capacity of targets",
		atomic_load (&front->sharing_nodes));
	write_gauge (out, "route_requests_in_flight", "Requests on declared routes in flight",
		atomic_load (&front->in_flight));
	write_gauge (out, "caller_connections", "Connections from callers",
		atomic_load (&front->connections));
	front_export_state (front, FRONT_DUMP_METRICS, out);
	route_table_export (&front->routes, out);
}

void
monitoring_export (struct node *node, struct buf *out)
{
	struct rusage usage = {0};
	int64_t now_us = clock_now_us (&node->clock);
	int64_t lease_us = atomic_load (&node->lease_until_us) - now_us;
	metrics_export (out);
	latencies_export (out);
	write_gauge (out, "lease_left_seconds", "Time until the lease ends; 0: no lease",
		lease_us > 0 ? (double)lease_us / US_PER_S : 0);
	if (getrusage (RUSAGE_SELF, &usage) == 0) {
		write_gauge (out, "memory_peak_bytes", "Peak resident memory",
			(double)usage.ru_maxrss * 1024);
		write_gauge (out, "processor_seconds", "Processor time used",
			(double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
				(double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6);
	}
	if (node->front && node->options.front_address[0])
		export_front (node->front, now_us, out);
}

int
monitoring_handle (struct mg_connection *connection, void *node)
{
	struct buf out;
	buf_init (&out);
	monitoring_export (node, &out);
	mg_printf (connection,
		"HTTP/1.1 200 OK\r\nContent-Type: text/plain; version=0.0.4\r\nContent-Length: "
		"%zu\r\n\r\n",
		out.len);
	mg_write (connection, out.data, out.len);
	buf_finish (&out);
	return 1;
}

struct mg_context *
monitoring_start (struct node *node, struct error *error)
{
	struct mg_context *context = http_start (
		node, node->options.node_metrics_address, COLLECTOR_THREADS, false, error);
	if (context)
		mg_set_request_handler (context, "/metrics", monitoring_handle, node);
	return context;
}
