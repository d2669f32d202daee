/**
 * @file signals.h
 * The signals that the daemon handles. Its main thread waits for them; they are blocked in all
 * threads from the start of the process on.
 */
#pragma once

#include <signal.h>

static inline sigset_t
handled_signals (void)
{
	sigset_t signals;
	sigemptyset (&signals);
	sigaddset (&signals, SIGTERM);
	sigaddset (&signals, SIGINT);
	sigaddset (&signals, SIGUSR1);
	sigaddset (&signals, SIGHUP);
	return signals;
}
