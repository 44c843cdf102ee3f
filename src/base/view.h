/**
 * @file view.h
 * A read-only slice of memory owned by someone else, and its binding to
 * nanopb: `bytes` fields decode to views into the decoded buffer, so that
 * large payloads are neither copied nor bound to nanopb's 16-bit lengths.
 */
#ifndef BANKBANK_BASE_VIEW_H
#define BANKBANK_BASE_VIEW_H

#include <stddef.h>
#include <stdint.h>
#include <stdbool.h>

#include <pb.h>

/** A slice of bytes; valid only as long as the buffer it points into. */
struct view {
    const uint8_t *data; /**< First byte; may be NULL when length is 0. */
    size_t length;       /**< Number of bytes. */
};

/** Returns a view of a NUL-terminated string (NULL gives an empty view). */
struct view view_of_string(const char *text);

/** Returns a view of `length` bytes at `data`. */
struct view view_of(const void *data, size_t length);

/** nanopb callback of messages whose `bytes` fields are views. */
bool view_field(pb_istream_t *istream, pb_ostream_t *ostream, const pb_field_t *field);

#endif
