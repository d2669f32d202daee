/**
 * @file input.h
 * Draws small numbers from a fuzzer's input bytes; reads zeros past the end.
 */
#pragma once

#include <stddef.h>
#include <stdint.h>

struct input {
	const uint8_t *data;
	size_t left;
};

static inline uint8_t
input_byte (struct input *input)
{
	if (input->left == 0)
		return 0;
	input->left--;
	return *input->data++;
}

/** A number below @p bound, which is at most 65536. */
static inline unsigned
input_below (struct input *input, unsigned bound)
{
	unsigned value = input_byte (input);
	if (bound > 256)
		value = value << 8 | input_byte (input);
	return bound ? value % bound : 0;
}
