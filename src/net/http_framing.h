/**
 * @file http_framing.h
 * Strict message framing (RFC 9112, sections 3.2, 5.1, 5.2 and 6.3) for
 * CivetWeb, which is lenient. Ambiguous requests are rejected and their
 * connections closed, to prevent request smuggling.
 */
#ifndef BANKBANK_NET_HTTP_FRAMING_H
#define BANKBANK_NET_HTTP_FRAMING_H

#include <civetweb.h>

/** Returns a description of a request's framing error, or NULL if there is none. */
const char *http_framing_error(const struct mg_request_info *request);

/** CivetWeb begin_request callback: answers a framing error with 400 and closes the connection. */
int http_framing_check_request(struct mg_connection *connection);

#endif
