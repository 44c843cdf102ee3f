/**
 * @file http_chunks.h
 * Strict check of a chunked body (RFC 9112, section 7.1): http-parser, as
 * packaged, accepts a line ending or a trailer that is none, so that a body of other
 * bytes could pass for the server's. It decodes; this only looks on.
 */
#ifndef BANKBANK_NET_HTTP_CHUNKS_H
#define BANKBANK_NET_HTTP_CHUNKS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum http_chunks_state_t {
    HTTP_CHUNKS_SIZE,
    HTTP_CHUNKS_SIZE_BLANKS, /**< Blanks after the size, before its extension or end. */
    HTTP_CHUNKS_EXTENSION,
    HTTP_CHUNKS_SIZE_END, /**< The line feed. */
    HTTP_CHUNKS_DATA,
    HTTP_CHUNKS_DATA_RETURN, /**< The carriage return after the data. */
    HTTP_CHUNKS_DATA_END,
    HTTP_CHUNKS_TRAILER_START,
    HTTP_CHUNKS_TRAILER_NAME,
    HTTP_CHUNKS_TRAILER_VALUE,
    HTTP_CHUNKS_TRAILER_END,
    HTTP_CHUNKS_LAST_END, /**< The line feed that ends the body. */
    HTTP_CHUNKS_DONE,
    HTTP_CHUNKS_MALFORMED
} http_chunks_state_t;

/** All zero: at the start of a body. */
typedef struct http_chunks_t {
    http_chunks_state_t state;
    uint64_t size; /**< Of the chunk; in HTTP_CHUNKS_DATA: bytes that are left. */
    uint32_t digits;
} http_chunks_t;

/** Checks the next bytes; those after the end of the body are ignored. Returns false if the body is malformed. */
bool http_chunks_check(http_chunks_t *chunks, const uint8_t *data, size_t length);

#endif
