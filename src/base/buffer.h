/**
 * @file buffer.h
 * A growable byte buffer. Allocation failure aborts the process: the daemon
 * cannot uphold its guarantees without memory, and a restart recovers from disk.
 */
#ifndef BANKBANK_BASE_BUFFER_H
#define BANKBANK_BASE_BUFFER_H

#include <stddef.h>
#include <stdint.h>

#include "base/view.h"

/** All zero is a valid empty buffer. */
struct buffer {
    uint8_t *data; /**< Owned; NULL if nothing is allocated. */
    size_t length;
    size_t capacity;
};

/** Frees the storage; the buffer is empty and can be used again. */
void buffer_close(struct buffer *buffer);

/** Sets the length to zero and keeps the storage. */
void buffer_clear(struct buffer *buffer);

/** Like buffer_clear(), but frees the storage if its capacity exceeds `max_capacity` bytes, as after a burst. */
void buffer_clear_and_trim(struct buffer *buffer, size_t max_capacity);

/** Ensures capacity for `extra` more bytes and returns a pointer to the first of them. */
uint8_t *buffer_reserve(struct buffer *buffer, size_t extra);

/** Grows the capacity to exactly `capacity` bytes, unless it is larger already. */
void buffer_set_capacity(struct buffer *buffer, size_t capacity);

void buffer_append(struct buffer *buffer, const void *data, size_t length);

/** Like buffer_append(), but grows to a capacity of at most `max_capacity` bytes, or of what is needed. */
void buffer_append_within(struct buffer *buffer, const void *data, size_t length, size_t max_capacity);

/** Appends a NUL-terminated string without its NUL; NULL appends nothing. */
void buffer_append_text(struct buffer *buffer, const char *text);

/** Appends formatted text. */
void buffer_printf(struct buffer *buffer, const char *format, ...) __attribute__((format(printf, 2, 3)));

/** Removes `length` bytes from the front. */
void buffer_consume(struct buffer *buffer, size_t length);

/** Returns the content as a NUL-terminated string owned by the buffer. */
char *buffer_text(struct buffer *buffer);

struct view buffer_view(const struct buffer *buffer);

/** Allocates zeroed memory; aborts the process on failure. */
void *memory_new(size_t size);

/** Like realloc(); aborts the process on failure. */
void *memory_resize(void *data, size_t size);

/** Copies `length` bytes and appends a NUL; the caller frees the result. */
char *memory_copy(const void *data, size_t length);

/** Copies a string; NULL gives an empty string. The caller frees the result. */
char *text_copy(const char *text);

const char *text_or_empty(const char *text);

/** NULL equals "". */
bool text_equal(const char *a, const char *b);

#endif
