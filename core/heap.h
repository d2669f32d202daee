/**
 * @file heap.h
 * Settings of the C library's allocator.
 */
#pragma once

/**
 * Keeps large buffers apart from the heap, so that their memory returns to the system when they are
 * freed. Called before other threads start.
 */
void
heap_init (void);
