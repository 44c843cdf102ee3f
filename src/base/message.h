/**
 * @file message.h
 * Encodes and decodes protobuf messages with nanopb.
 */
#ifndef BANKBANK_BASE_MESSAGE_H
#define BANKBANK_BASE_MESSAGE_H

#include <pb.h>

#include "base/buffer.h"

/** Appends the encoded message to `out`; returns false on failure. */
bool message_encode(struct buffer *out, const pb_msgdesc_t *fields, const void *message);

/**
 * Decodes `data` into `message`, which must be zero-initialized.
 * Views in the result point into `data`. Returns false on failure, with nothing left to free.
 */
bool message_decode(struct view data, const pb_msgdesc_t *fields, void *message);

/** Frees the memory allocated by decoding and sets the pointers to NULL. */
void message_free(const pb_msgdesc_t *fields, void *message);

#endif
