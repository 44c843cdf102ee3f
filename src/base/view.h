/**
 * @file view.h
 * A read-only slice of memory owned elsewhere, and its binding to nanopb:
 * `bytes` fields decode to views into the encoded buffer, so that large
 * payloads are neither copied nor limited by nanopb's 16-bit lengths.
 */
#ifndef BANKBANK_BASE_VIEW_H
#define BANKBANK_BASE_VIEW_H

#include <stddef.h>
#include <stdint.h>
#include <stdbool.h>

#include <pb.h>

/** A slice of bytes; valid as long as the buffer it points into. */
struct view {
    const uint8_t *data; /**< May be NULL if the length is 0. */
    size_t length;
};

/** NULL gives an empty view. */
struct view view_of_string(const char *text);

struct view view_of(const void *data, size_t length);

/** nanopb callback for messages whose `bytes` fields are views. */
bool view_field(pb_istream_t *istream, pb_ostream_t *ostream, const pb_field_t *field);

#endif
