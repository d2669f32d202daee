/**
 * @file options.h
 * The daemon's settings, read from an INI file that one declarative table describes.
 *
 * Wrong settings are refused with an error that names the field and the remedy.
 */
#pragma once

#include "core/buf.h"
#include "core/error.h"

#include <stdint.h>

enum { OPTION_TEXT_SIZE = 256 };

/** The values of all settings, named section_setting. Durations are in the unit of the suffix. */
struct options {
	char node_name[OPTION_TEXT_SIZE];
	char node_data_center[OPTION_TEXT_SIZE];
	char node_caller_address[OPTION_TEXT_SIZE];
	char node_operator_address[OPTION_TEXT_SIZE];
	char node_peer_address[OPTION_TEXT_SIZE];
	char node_metrics_address[OPTION_TEXT_SIZE];
	int64_t node_workers;
	int64_t node_http_threads;
	int64_t node_stop_wait_ms;
	char control_peers[4 * OPTION_TEXT_SIZE];
	char control_key[OPTION_TEXT_SIZE];
	int64_t control_peer_port;
	int64_t control_bootstrap;
	int64_t control_exclusive_names;
	char control_orders_address[OPTION_TEXT_SIZE];
	int64_t control_replace_ms;
	char control_data_dir[OPTION_TEXT_SIZE];
	int64_t control_voters;
	int64_t control_losses;
	int64_t control_lease_ms;
	int64_t control_poll_ms;
	int64_t control_rollback_ms;
	int64_t control_compact_entries;
	int64_t query_max_body;
	int64_t query_max_in_flight;
	int64_t query_hedge_percent;
	int64_t query_hedge_quantile;
	int64_t query_hedge;
	int64_t query_silence_ms;
	int64_t query_baseline;
	int64_t target_queue;
	int64_t target_cold_limit;
	int64_t target_probe_ms;
	char front_address[OPTION_TEXT_SIZE];
	char front_ready_address[OPTION_TEXT_SIZE];
	int64_t front_margin_ms;
	int64_t front_stop_ms;
	int64_t front_drain_ms;
	double front_extra_ratio;
	double front_extra_slack;
	double front_extra_window_s;
	double front_quota_window_s;
	double front_quota_excess;
	double front_quota_slack;
	double front_cold_factor;
	double front_cold_slack;
	double front_exposure_share;
	double front_exposure_slack;
	int64_t front_group_nodes;
	int64_t front_batch_port_step;
	int64_t front_connections;
	char front_list_address[OPTION_TEXT_SIZE];
	double front_list_rate;
	int64_t front_list_lag_ms;
	char front_placement[OPTION_TEXT_SIZE];
	char log_level[OPTION_TEXT_SIZE];
	char platform_list[OPTION_TEXT_SIZE];
	/** Declared numbers that were replaced, as read, separated by commas; see options_load. */
	char replaced[4 * OPTION_TEXT_SIZE];
};

/** Sets every field to its default. */
void
options_init (struct options *options);

/**
 * Sets the defaults, then reads an INI file over them and checks every field. Fields that a
 * deployment declares accept any number or boolean: one that cannot be used is replaced by the
 * nearest number, or by the default, and listed in options.replaced.
 * @return false with ERROR_CONFIG naming file, line, field and remedy.
 */
bool
options_load (struct options *options, const char *path, struct error *error);

/** Like options_load, but reads @p text; messages use @p name as the name of the file. */
bool
options_parse (struct options *options, const char *text, const char *name, struct error *error);

/** Prints all settings as a Markdown table, for docs/settings.md. */
void
options_print_manual (void);
