/**
 * @file site_internal.h
 * What the parts of the site's stand-in share: sockets, messages, and the start
 * of its servers.
 */
#ifndef BANKBANK_TESTS_SITE_INTERNAL_H
#define BANKBANK_TESTS_SITE_INTERNAL_H

#include <stdbool.h>
#include <stddef.h>

#include "base/buffer.h"
#include "net/http_reader.h"

/** Listens on a free port of an address; returns the socket. */
int site_listen(const char *ip, int *port);

/** Sends all of it, unless the connection ends. */
void site_send(int file, const char *text, size_t length);

/** Reads one message; false: the connection ended first. */
bool site_read(int file, struct http_reader *reader, enum http_parser_type type, struct buffer *body);

/** After a read from a connection: notes how long the newest bytes had lain there, which is this process's lateness. */
void site_note_lain(int file);

/** Starts the machine list and the servers, each in threads of their own; tells the list's port. */
void site_servers_start(int *list_port);

#endif
