/**
 * @file platform.h
 * The platform's list of VMs: it may start a leaving, never end one.
 */
#pragma once

#include "daemon/control.h"

/** Reads the list now and then, on the leader only. */
void
platform_poll_vms (struct control *control);
