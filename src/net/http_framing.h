/**
 * @file http_framing.h
 * Strict message framing (RFC 9112, sections 3.2, 5.1, 5.2 and 6.3) for the
 * servers built on CivetWeb, which itself is lenient. A request that two
 * parsers could read in two ways is refused and its connection closed, so that
 * nothing can be smuggled behind it.
 */
#ifndef BANKBANK_NET_HTTP_FRAMING_H
#define BANKBANK_NET_HTTP_FRAMING_H

#include <civetweb.h>

/** What is wrong with a request's framing, for people; NULL: nothing. */
const char *http_framing_fault(const struct mg_request_info *request);

/** CivetWeb's hook before a request is handled: answers a fault with 400 and closes. */
int http_framing_begin(struct mg_connection *connection);

#endif
