#include "net/http_chunks.h"

#include "net/http_bytes.h"

enum { HTTP_CHUNKS_MAX_DIGITS = 16 /* so that a size fits into 64 bits */ };

/* -1: none. */
static int http_hex_digit(uint8_t byte)
{
    if (byte >= '0' && byte <= '9') {
        return byte - '0';
    }
    uint8_t lower = byte | 0x20;
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

/* After the digits of a size and blanks behind them. */
static http_chunks_state_t http_chunks_after_size(uint8_t byte)
{
    switch (byte) {
    case ' ':
    case '\t': return HTTP_CHUNKS_SIZE_BLANKS;
    case ';': return HTTP_CHUNKS_EXTENSION;
    case '\r': return HTTP_CHUNKS_SIZE_END;
    default: return HTTP_CHUNKS_MALFORMED;
    }
}

static http_chunks_state_t http_chunks_in_size(http_chunks_t *chunks, uint8_t byte)
{
    int digit = http_hex_digit(byte);
    if (digit < 0) {
        return chunks->digits == 0 ? HTTP_CHUNKS_MALFORMED : http_chunks_after_size(byte);
    }
    chunks->size = chunks->size * 16 + (uint64_t)digit;
    return ++chunks->digits > HTTP_CHUNKS_MAX_DIGITS ? HTTP_CHUNKS_MALFORMED : HTTP_CHUNKS_SIZE;
}

static http_chunks_state_t http_chunks_in_text(http_chunks_state_t state, http_chunks_state_t end, uint8_t byte)
{
    if (byte == '\r') {
        return end;
    }
    return http_is_text_byte(byte) ? state : HTTP_CHUNKS_MALFORMED;
}

static http_chunks_state_t http_chunks_in_name(http_chunks_state_t state, uint8_t byte)
{
    if (byte == ':' && state == HTTP_CHUNKS_TRAILER_NAME) {
        return HTTP_CHUNKS_TRAILER_VALUE;
    }
    if (byte == '\r' && state == HTTP_CHUNKS_TRAILER_START) {
        return HTTP_CHUNKS_LAST_END;
    }
    return http_is_token_byte(byte) ? HTTP_CHUNKS_TRAILER_NAME : HTTP_CHUNKS_MALFORMED;
}

static http_chunks_state_t http_chunks_begin_next(http_chunks_t *chunks)
{
    chunks->size = 0;
    chunks->digits = 0;
    return HTTP_CHUNKS_SIZE;
}

static http_chunks_state_t http_chunks_step(http_chunks_t *chunks, uint8_t byte)
{
    switch (chunks->state) {
    case HTTP_CHUNKS_SIZE: return http_chunks_in_size(chunks, byte);
    case HTTP_CHUNKS_SIZE_BLANKS: return http_chunks_after_size(byte);
    case HTTP_CHUNKS_EXTENSION: return http_chunks_in_text(chunks->state, HTTP_CHUNKS_SIZE_END, byte);
    case HTTP_CHUNKS_SIZE_END:
        if (byte != '\n') {
            return HTTP_CHUNKS_MALFORMED;
        }
        return chunks->size == 0 ? HTTP_CHUNKS_TRAILER_START : HTTP_CHUNKS_DATA;
    case HTTP_CHUNKS_DATA: return --chunks->size == 0 ? HTTP_CHUNKS_DATA_RETURN : HTTP_CHUNKS_DATA;
    case HTTP_CHUNKS_DATA_RETURN: return byte == '\r' ? HTTP_CHUNKS_DATA_END : HTTP_CHUNKS_MALFORMED;
    case HTTP_CHUNKS_DATA_END: return byte == '\n' ? http_chunks_begin_next(chunks) : HTTP_CHUNKS_MALFORMED;
    case HTTP_CHUNKS_TRAILER_START:
    case HTTP_CHUNKS_TRAILER_NAME: return http_chunks_in_name(chunks->state, byte);
    case HTTP_CHUNKS_TRAILER_VALUE: return http_chunks_in_text(chunks->state, HTTP_CHUNKS_TRAILER_END, byte);
    case HTTP_CHUNKS_TRAILER_END: return byte == '\n' ? HTTP_CHUNKS_TRAILER_START : HTTP_CHUNKS_MALFORMED;
    case HTTP_CHUNKS_LAST_END: return byte == '\n' ? HTTP_CHUNKS_DONE : HTTP_CHUNKS_MALFORMED;
    case HTTP_CHUNKS_DONE:
    case HTTP_CHUNKS_MALFORMED: return chunks->state;
    }
    return HTTP_CHUNKS_MALFORMED;
}

bool http_chunks_check(http_chunks_t *chunks, const uint8_t *data, size_t length)
{
    size_t at = 0;
    while (at < length && chunks->state != HTTP_CHUNKS_DONE && chunks->state != HTTP_CHUNKS_MALFORMED) {
        if (chunks->state == HTTP_CHUNKS_DATA && chunks->size > 1) {
            uint64_t step = chunks->size - 1 < length - at ? chunks->size - 1 : length - at;
            chunks->size -= step;
            at += step;
        } else {
            chunks->state = http_chunks_step(chunks, data[at++]);
        }
    }
    return chunks->state != HTTP_CHUNKS_MALFORMED;
}
