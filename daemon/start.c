/**
 * @file start.c
 * The program oleanderstiled-start: blocks the signals that oleanderstiled handles and then runs it
 * in the same process, so that a signal which comes while the dynamic loader prepares the daemon
 * stays pending. The daemon needs 5 to 10 ms until it runs its own code, and this program, which is
 * linked statically, about 1 ms.
 */
#include "daemon/signals.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum { EXIT_NOT_FOUND = 127, PATH_SIZE = 4096 };

int
main (int argc, char **argv) // NOLINT(misc-unused-parameters)
{
	static const char suffix[] = "-start";
	char path[PATH_SIZE];
	sigset_t signals = handled_signals ();
	sigprocmask (SIG_BLOCK, &signals, NULL);
	ssize_t len = readlink ("/proc/self/exe", path, sizeof (path) - 1);
	size_t suffix_len = strlen (suffix);
	path[len < 0 ? 0 : len] = '\0';
	if (len > (ssize_t)suffix_len && strcmp (path + len - suffix_len, suffix) == 0) {
		/* The daemon is beside this program. */
		path[(size_t)len - suffix_len] = '\0';
		argv[0] = path;
		execv (path, argv);
	}
	fprintf (stderr,
		"oleanderstiled-start: %s cannot be run; install oleanderstiled beside it\n", path);
	return EXIT_NOT_FOUND;
}
