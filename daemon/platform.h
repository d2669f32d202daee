/**
 * @file platform.h
 * Polls a file with the platform's list of VMs. The list can set a VM to leaving, but never reverse
 * that.
 */
#pragma once

#include "daemon/control.h"

/** Reads the list if a poll is due. Does nothing unless this node is the leader. */
void
platform_poll_vms (struct control *control);
