#include "core/packed.h"

#include "core/buf.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <zlib.h>

/* In front of the compressed bytes: the length of the plain ones, little endian. */
enum { LENGTH_SIZE = 4 };

static void
put_length (unsigned char *out, size_t len)
{
	for (int i = 0; i < LENGTH_SIZE; i++)
		out[i] = (unsigned char)(len >> (8 * i));
}

static size_t
get_length (const unsigned char *in)
{
	size_t len = 0;
	for (int i = 0; i < LENGTH_SIZE; i++)
		len |= (size_t)in[i] << (8 * i);
	return len;
}

void *
packed_make (const void *data, size_t len, size_t *packed_len)
{
	uLongf size = compressBound (len);
	unsigned char *packed = xmalloc (LENGTH_SIZE + size);
	put_length (packed, len);
	/* It cannot fail: the buffer is as large as the result can get. */
	if (compress2 (packed + LENGTH_SIZE, &size, data, len, Z_BEST_SPEED) != Z_OK)
		abort ();
	*packed_len = LENGTH_SIZE + size;
	return packed;
}

char *
packed_open (const void *packed, size_t packed_len, size_t *len)
{
	const unsigned char *bytes = packed;
	if (packed_len < LENGTH_SIZE || get_length (bytes) > PACKED_MAX_BYTES)
		return NULL;
	uLongf size = get_length (bytes);
	char *data = xmalloc (size + 1);
	if (uncompress ((Bytef *)data, &size, bytes + LENGTH_SIZE, packed_len - LENGTH_SIZE) !=
			Z_OK ||
		size != get_length (bytes)) {
		free (data);
		return NULL;
	}
	data[size] = '\0';
	*len = size;
	return data;
}
