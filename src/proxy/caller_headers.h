/**
 * @file caller_headers.h
 * Which headers of a caller's request reach a server. Every way to a server
 * (first try, another try, second server, a stream that goes on, a call of a
 * tool) writes its head here, so that no way can differ.
 *
 * Headers pass unless they are named: a server's own contract with its callers
 * is not known here, and a list of what passes would break each header that it
 * adds. Not passed are
 * - what concerns one connection only (RFC 9110, 7.6.1), also what the
 *   request's Connection header names,
 * - what only the system may say to a server (dialect.system_headers): a
 *   caller that could set these would pin or reserve a server's memory, name
 *   another tenant, or pick the machine that a server fetches memory from,
 * - the caller's credentials, which are the system's to check.
 *
 * Names are compared without regard to case, and each line by itself, so that
 * a header sent twice is dropped twice. What the system says is written after
 * the caller's lines.
 */
#ifndef BANKBANK_PROXY_CALLER_HEADERS_H
#define BANKBANK_PROXY_CALLER_HEADERS_H

#include "net/http_reader.h"
#include "proxy/dialect.h"

/** How the request is sent. */
typedef enum caller_headers_use_t {
    CALLER_HEADERS_WHOLE,  /**< From its begin. */
    CALLER_HEADERS_RESUMED /**< Where an answer under way broke off: the caller's own place to go on from is old. */
} caller_headers_use_t;

/** Header that names the event after which a stream goes on. */
extern const char CALLER_HEADERS_LAST_EVENT[];

/** Appends the header lines of a caller's request that a server gets. */
void caller_headers_write(const struct dialect *dialect, const struct http_reader *request, caller_headers_use_t use,
                          struct buffer *out);

#endif
