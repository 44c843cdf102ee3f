/**
 * @file buffer.h
 * A growable byte buffer. Allocation failure ends the process: the daemon
 * cannot keep its promises without memory, and a restart recovers from disk.
 */
#ifndef BANKBANK_BASE_BUFFER_H
#define BANKBANK_BASE_BUFFER_H

#include <stddef.h>
#include <stdint.h>

#include "base/view.h"

/** A growable byte buffer; all zero is a valid empty buffer. */
struct buffer {
    uint8_t *data;   /**< Owned storage, NULL while empty. */
    size_t length;   /**< Bytes in use. */
    size_t capacity; /**< Bytes allocated. */
};

/** Frees the storage and makes the buffer empty again. */
void buffer_close(struct buffer *buffer);

/** Forgets the content but keeps the storage. */
void buffer_clear(struct buffer *buffer);

/** Forgets the content, and frees the storage where it is larger than `most`: after a burst. */
void buffer_reuse(struct buffer *buffer, size_t most);

/** Makes room for `extra` more bytes and returns the place of the first. */
uint8_t *buffer_reserve(struct buffer *buffer, size_t extra);

/** Appends `length` bytes. */
void buffer_append(struct buffer *buffer, const void *data, size_t length);

/** Appends a NUL-terminated string without its NUL; NULL appends nothing. */
void buffer_append_text(struct buffer *buffer, const char *text);

/** Appends formatted text. */
void buffer_printf(struct buffer *buffer, const char *format, ...) __attribute__((format(printf, 2, 3)));

/** Removes `length` bytes from the front. */
void buffer_consume(struct buffer *buffer, size_t length);

/** Returns the content as a NUL-terminated string owned by the buffer. */
char *buffer_text(struct buffer *buffer);

/** Returns a view of the content. */
struct view buffer_view(const struct buffer *buffer);

/** calloc that ends the process on failure. */
void *memory_new(size_t size);

/** realloc that ends the process on failure. */
void *memory_resize(void *data, size_t size);

/** Copies `length` bytes and adds a NUL; the caller frees the result. */
char *memory_copy(const void *data, size_t length);

/** Copies a string; NULL gives an empty string. The caller frees the result. */
char *text_copy(const char *text);

/** Returns `text`, or "" for NULL. */
const char *text_or_empty(const char *text);

/** Returns whether two strings are equal; NULL equals "". */
bool text_equal(const char *a, const char *b);

#endif
