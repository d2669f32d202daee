#include "core/packed.h"

#include "core/buf.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <zlib.h>

/* Size of the prefix that holds the uncompressed length, little endian. */
enum { LENGTH_PREFIX_BYTES = 4 };

static void
put_length (unsigned char *out, size_t len)
{
	for (int i = 0; i < LENGTH_PREFIX_BYTES; i++)
		out[i] = (unsigned char)(len >> (8 * i));
}

static size_t
get_length (const unsigned char *in)
{
	size_t len = 0;
	for (int i = 0; i < LENGTH_PREFIX_BYTES; i++)
		len |= (size_t)in[i] << (8 * i);
	return len;
}

void *
packed_make (const void *data, size_t len, size_t *packed_len)
{
	uLongf size = compressBound (len);
	unsigned char *packed = xmalloc (LENGTH_PREFIX_BYTES + size);
	put_length (packed, len);
	/* Cannot fail, since compressBound() bounds the size of the result. */
	if (compress2 (packed + LENGTH_PREFIX_BYTES, &size, data, len, Z_BEST_SPEED) != Z_OK)
		abort ();
	*packed_len = LENGTH_PREFIX_BYTES + size;
	return packed;
}

char *
packed_open (const void *packed, size_t packed_len, size_t *len)
{
	const unsigned char *bytes = packed;
	if (packed_len < LENGTH_PREFIX_BYTES || get_length (bytes) > PACKED_MAX_BYTES)
		return NULL;
	uLongf size = get_length (bytes);
	char *data = xmalloc (size + 1);
	if (uncompress ((Bytef *)data, &size, bytes + LENGTH_PREFIX_BYTES,
		    packed_len - LENGTH_PREFIX_BYTES) != Z_OK ||
		size != get_length (bytes)) {
		free (data);
		return NULL;
	}
	data[size] = '\0';
	*len = size;
	return data;
}
