/**
 * @file settings.c
 * Parses arbitrary text as a settings file. The parser must accept it or refuse it with a message,
 * and must not crash.
 */
#include "options/options.h"

#include <stdlib.h>
#include <string.h>

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
	struct options options;
	struct error error = {0};
	char *text = malloc (size + 1);
	memcpy (text, data, size);
	text[size] = '\0';
	bool ok = options_parse (&options, text, "fuzz", &error);
	if (!ok && (error.kind != ERROR_CONFIG || error.message[0] == '\0'))
		abort ();
	if (ok && options.control_poll_ms * 3 > options.control_lease_ms)
		abort ();
	free (text);
	return 0;
}
