/**
 * @file number.h
 * Conversion of numbers that other programs sent.
 */
#pragma once

#include <stdint.h>

/**
 * Converts a number to an integer, rounded towards zero and limited to @p min and @p max, whose
 * magnitudes must be below 2^53. A number that is not comparable (NaN) becomes @p min.
 */
static inline int64_t
number_to_int (double number, int64_t min, int64_t max)
{
	if (!(number > (double)min))
		return min;
	return number < (double)max ? (int64_t)number : max;
}
