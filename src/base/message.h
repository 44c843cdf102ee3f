/**
 * @file message.h
 * Encoding and decoding of protocol messages into growable buffers.
 */
#ifndef BANKBANK_BASE_MESSAGE_H
#define BANKBANK_BASE_MESSAGE_H

#include <pb.h>

#include "base/buffer.h"

/** Appends the encoded message; returns false if it cannot be encoded. */
bool message_encode(struct buffer *out, const pb_msgdesc_t *fields, const void *message);

/**
 * Decodes `data` into `message`, which must be zeroed by its init value.
 * Views in the result point into `data`. On failure nothing is left to free.
 */
bool message_decode(struct view data, const pb_msgdesc_t *fields, void *message);

/** Frees what decoding allocated and makes pointers NULL. */
void message_free(const pb_msgdesc_t *fields, void *message);

#endif
