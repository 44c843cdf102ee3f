/**
 * @file site.h
 * Starts a small site for a case of the review: the project's own program as separate processes, with the command and
 * the settings of the deploy file, and stand-ins for the platform's list of servers, servers, clients and the operator,
 * as threads of this process. All addresses are loopback addresses.
 */
#ifndef REVIEW_SITE_H
#define REVIEW_SITE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

enum {
    SITE_MAX_SERVERS = 16,
    SITE_MAX_DAEMONS = 16,
    SITE_ID_BYTES = 48,
    SITE_HEAD_BYTES = 16384,
    EXIT_BROKEN = 1,
    EXIT_HELD = 0,
    EXIT_NOT_RUN = 2
};

/** A message of HTTP/1.1 that was read. */
struct message {
    char head[SITE_HEAD_BYTES]; /**< With the empty line at its end; NUL-terminated. */
    size_t head_length;
    char *body; /**< Without chunks; malloc()ed. */
    size_t body_length;
    int status;    /**< Of an answer. */
    bool complete; /**< Read whole, by its framing. */
};

/** Bytes that were read from a connection and belong to the next message. */
struct stream {
    int fd;
    char *data;
    size_t length;
};

struct server {
    int number;
    char id[SITE_ID_BYTES];
    char ip[32];
    int port;
    const char *service;
    const char *zone;
    int slots;
    int listener;
};

struct site {
    int replicas;
    int gateways;
    const char *directory;
    int caller_port;
    int ready_port;
    int control_port;
    int peer_port;
    int metrics_port;
    int list_port;
    struct server servers[SITE_MAX_SERVERS];
    int server_count;
    pid_t processes[SITE_MAX_DAEMONS];
};

extern struct site site;

/** Called for each connection to a server, in a thread of its own, which closes it. */
typedef void (*server_handler)(struct server *server, int fd);

/** Adds a server; call it before site_start(). */
struct server *site_add_server(const char *service, const char *zone, int slots, server_handler handler);

/** Starts replicas (daemons 0 to replicas - 1) and gateways (the following ones), sends the configuration, and waits
 * until all gateways are ready. False: it didn't come up. */
bool site_start(int replicas, int gateways, const char *configuration);

/** Ends all daemons. */
void site_stop(void);

void site_start_daemon(int daemon);
void site_kill_daemon(int daemon, int signal_number);
const char *site_ip(int daemon);

int site_connect(const char *ip, int port);
bool site_send(int fd, const char *data, size_t length);

/** Reads one message; false: the connection ended before it was complete. Call message_close() in any case. */
bool message_read(struct stream *stream, struct message *message, bool is_answer);
void message_close(struct message *message);

/** Copies a header's value; false: there is none. */
bool message_header(const struct message *message, const char *name, char *value, size_t size);

/** Sends a call on a new connection; returns the status, 0: no answer. `body` may be NULL; `answer` may be NULL, else
 * malloc()ed. */
int site_call(const char *ip, int port, const char *method, const char *path, const char *body, char **answer);

uint64_t now_ms(void);
void sleep_ms(int ms);

/** Writes a line to record.txt and flushes it. */
void record_open(const char *path);
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/** Whether the environment asks for the run without the disruption. */
bool trouble(void);

/** Ends the daemons and the process. */
void finish(int code) __attribute__((noreturn));

#endif
