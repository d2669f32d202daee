/**
 * @file freeze.c
 * Runs a command and stops single threads of it, as a slow disk or a busy processor would.
 *
 * freeze COMMAND ARGUMENT...: each line of standard input names a thread, which is stopped until
 * the process ends. SIGTERM, SIGHUP and SIGUSR1 are passed on; the exit status is that of the
 * command.
 */
#include <dirent.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/ptrace.h>
#include <sys/signalfd.h>
#include <sys/wait.h>
#include <unistd.h>

enum { TEXT_SIZE = 512, KILLED = 128 };

static bool
has_name (pid_t process, pid_t thread, const char *name)
{
	char path[TEXT_SIZE];
	char line[TEXT_SIZE] = "";
	snprintf (path, sizeof (path), "/proc/%d/task/%d/comm", process, thread);
	FILE *file = fopen (path, "r");
	if (!file)
		return false;
	bool found = fgets (line, sizeof (line), file) != NULL;
	fclose (file);
	line[strcspn (line, "\n")] = '\0';
	return found && strcmp (line, name) == 0;
}

/* Returns how many threads were stopped. */
static int
freeze_threads (pid_t process, const char *name)
{
	char path[TEXT_SIZE];
	int count = 0;
	snprintf (path, sizeof (path), "/proc/%d/task", process);
	DIR *folder = opendir (path);
	const struct dirent *entry;
	while (folder && (entry = readdir (folder))) {
		pid_t thread = (pid_t)strtol (entry->d_name, NULL, 10);
		if (thread <= 0 || !has_name (process, thread, name))
			continue;
		if (ptrace (PTRACE_SEIZE, thread, NULL, NULL) == 0 &&
			ptrace (PTRACE_INTERRUPT, thread, NULL, NULL) == 0 &&
			waitpid (thread, NULL, __WALL) == thread)
			count++;
		else
			perror (name);
	}
	if (folder)
		closedir (folder);
	return count;
}

static void
freeze_named (pid_t process)
{
	char line[TEXT_SIZE];
	if (!fgets (line, sizeof (line), stdin))
		return;
	line[strcspn (line, "\n")] = '\0';
	fprintf (stderr, "froze %d threads %s\n", freeze_threads (process, line), line);
}

static void
pass_signal (int signal_fd, pid_t process)
{
	struct signalfd_siginfo info;
	if (read (signal_fd, &info, sizeof (info)) == (ssize_t)sizeof (info) &&
		info.ssi_signo != SIGCHLD)
		kill (process, (int)info.ssi_signo);
}

/* Also reaps stopped threads, which the process has to wait for at its end. */
static bool
has_ended (pid_t process, int *status)
{
	pid_t pid = 0;
	while ((pid = waitpid (-1, status, WNOHANG | __WALL)) > 0) {
		if (pid == process && (WIFEXITED (*status) || WIFSIGNALED (*status)))
			return true;
	}
	return false;
}

int
main (int argc, char **argv)
{
	enum { CHECK_MS = 10 };
	int status = 0;
	sigset_t signals;
	if (argc < 2)
		return EXIT_FAILURE;
	pid_t process = fork ();
	if (process == 0) {
		prctl (PR_SET_PDEATHSIG, SIGKILL);
		execv (argv[1], argv + 1);
		_exit (EXIT_FAILURE);
	}
	fprintf (stderr, "runs process %d\n", process);
	sigemptyset (&signals);
	sigaddset (&signals, SIGTERM);
	sigaddset (&signals, SIGHUP);
	sigaddset (&signals, SIGUSR1);
	sigaddset (&signals, SIGCHLD);
	sigprocmask (SIG_BLOCK, &signals, NULL);
	setvbuf (stdin, NULL, _IONBF, 0);
	struct pollfd fds[2] = {{.fd = signalfd (-1, &signals, SFD_CLOEXEC), .events = POLLIN},
		{.fd = STDIN_FILENO, .events = POLLIN}};
	while (!has_ended (process, &status)) {
		if (poll (fds, 2, CHECK_MS) <= 0)
			continue;
		if (fds[0].revents)
			pass_signal (fds[0].fd, process);
		if (fds[1].revents & POLLIN)
			freeze_named (process);
		else if (fds[1].revents)
			fds[1].fd = -1;
	}
	return WIFEXITED (status) ? WEXITSTATUS (status) : KILLED + WTERMSIG (status);
}
