/**
 * @file http_bytes.h
 * Bytes that the grammar of HTTP allows (RFC 9110, section 5).
 */
#ifndef BANKBANK_NET_HTTP_BYTES_H
#define BANKBANK_NET_HTTP_BYTES_H

#include <stdbool.h>
#include <stdint.h>
#include <string.h>

/** Whether a byte may stand in a field name. */
static inline bool http_is_token_byte(uint8_t byte)
{
    static const char others[] = "!#$%&'*+-.^_`|~";
    bool letter = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
    bool digit = byte >= '0' && byte <= '9';
    return letter || digit || (byte != '\0' && strchr(others, byte) != NULL);
}

/** Whether a byte may stand in a field value or a chunk extension. */
static inline bool http_is_text_byte(uint8_t byte)
{
    return (byte >= ' ' || byte == '\t') && byte != 0x7f;
}

#endif
