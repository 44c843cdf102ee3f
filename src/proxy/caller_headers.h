/**
 * @file caller_headers.h
 * Selects the headers of a caller's request that are forwarded to a server: the
 * same for every attempt, apart from CALLER_HEADERS_RESUMED. Unknown headers are
 * forwarded, since servers may define any. These are dropped, in any letter case,
 * and repeated ones too:
 * - hop-by-hop headers (RFC 9110, 7.6.1), including those that Connection names,
 * - dialect.system_headers: the caller's credentials, which only the gateway
 *   checks; headers that only the gateway sends to a server; and headers with
 *   which a caller could reserve a server's memory, name another tenant, or choose
 *   the machine from which a server fetches memory.
 */
#ifndef BANKBANK_PROXY_CALLER_HEADERS_H
#define BANKBANK_PROXY_CALLER_HEADERS_H

#include "net/http_reader.h"
#include "proxy/dialect.h"

typedef enum caller_headers_use_t {
    CALLER_HEADERS_FROM_START,
    CALLER_HEADERS_RESUMED /**< An interrupted stream is resumed: also drops the caller's own, stale Last-Event-Id. */
} caller_headers_use_t;

/** Header with the id of the event after which a stream resumes. */
extern const char CALLER_HEADERS_LAST_EVENT[];

/** Appends the header lines of a caller's request that are forwarded. */
void caller_headers_write(const struct dialect *dialect, const struct http_reader *request, caller_headers_use_t use,
                          struct buffer *out);

#endif
