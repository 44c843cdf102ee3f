/* The machine list and the servers of the site's stand-in, with the failures that the platform's pages name. */
#include "site_internal.h"

#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <netinet/in.h>
#include <linux/filter.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"
#include "site.h"

enum {
    SITE_EVENTS = 3,
    SITE_PADDING = 1024,
    SITE_FILLERS = 4,
    SITE_BACKLOG = 128,
    SITE_OPEN = 64, /* connections of a server that are known, at most */
    SITE_DARK_US = 10000,
    SITE_PAUSE_US = 2000000,
    SITE_PACE_US = 80000,
    SITE_UNREAD_US = 200000, /* time for which an answer that is not read is kept */
    SITE_COLD_MS = 3000,
    SITE_NUMBER = 24 /* most bytes of a number in a header */
};

/* One back end of the stand-in. */
struct site_server {
    int listener;
    int port;
    int listed_port;     /* its own, or its proxy's */
    struct proxy *proxy; /* or NULL */
    enum site_mode mode;
    bool draining;
    const char *zone; /* NULL: z1 */
    bool starting;    /* the list shows it as cold */
    int instance;     /* how often it was replaced */
    int runs;
    bool dark;                 /* takes no connection */
    int fillers[SITE_FILLERS]; /* connections that fill its backlog meanwhile */
    int open[SITE_OPEN];       /* connections that it serves, 0: none */
};

static pthread_mutex_t site_lock = PTHREAD_MUTEX_INITIALIZER;
static struct site_server site_servers[SITE_SERVERS];
static int site_list_listener;
static uint64_t site_born; /* start that all servers tell, 0: none */
static char *site_foreign; /* entries of another writer on the list, each with a comma before it */
static char *site_body;
static char *site_head;
static int site_cancellations;
static void (*site_on_run)(const site_run_t *run);

struct site_connection {
    int file;
    struct site_server *server;
};

/* Waits until the client closes or a second is over; true: it closed. */
static bool site_client_closes(int file, int wait_ms)
{
    struct timeval limit = {.tv_sec = wait_ms / 1000, .tv_usec = wait_ms % 1000 * 1000};
    char byte;
    setsockopt(file, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    return recv(file, &byte, 1, 0) == 0;
}

/* Ends an answer that is not read: the connection's end is a reset then. */
static void site_limit_unread(int file)
{
    struct timeval limit = {.tv_usec = SITE_UNREAD_US};
    struct linger at_once = {.l_onoff = 1, .l_linger = 0};
    setsockopt(file, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    setsockopt(file, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
}

/* The events after `last`; a stream that is cut ends with its second event, or inside it. */
static void site_write_events(int file, const char *id, enum site_mode mode, int last)
{
    struct buffer out = {0};
    buffer_printf(&out,
                  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                  "Bankbank-Request-Id: %s\r\nBankbank-Server-Signature: signed\r\n\r\n",
                  id);
    bool is_long = mode == SITE_LONG || mode == SITE_UNREAD;
    int events = is_long ? SITE_LONG_EVENTS : SITE_EVENTS;
    int padding = is_long ? SITE_PADDING : 0;
    for (int i = last + 1; i <= events; i++) {
        char event[SITE_PADDING + 64];
        const char *text = site_on_run == NULL ? "piece" : id;
        int length = mode == SITE_UNNUMBERED
                         ? snprintf(event, sizeof(event), "data: %s-%d\n\n", text, i)
                         : snprintf(event, sizeof(event), "id: %d\ndata: %s-%d%*s\n\n", i, text, i, padding, "");
        if (mode == SITE_TORN && i == 2 && last == 0) {
            event[--length] = '\0';
            event[--length] = '\0';
        }
        buffer_printf(&out, "%x\r\n%s\r\n", length, event);
        if (mode == SITE_STALL && i == 2) {
            site_send(file, buffer_text(&out), out.length);
            site_client_closes(file, SITE_LIMIT_MS);
            buffer_close(&out);
            return;
        }
        if (mode == SITE_PACED) {
            site_send(file, buffer_text(&out), out.length);
            buffer_clear(&out);
            clock_sleep_us(SITE_PACE_US);
        }
        if (mode == SITE_PAUSED && i == 2) {
            site_send(file, buffer_text(&out), out.length);
            buffer_clear(&out);
            clock_sleep_us(SITE_PAUSE_US);
        }
        if ((mode == SITE_CUT_MIDWAY || mode == SITE_UNNUMBERED || (mode == SITE_TORN && last == 0)) && i == 2) {
            site_send(file, buffer_text(&out), out.length);
            buffer_close(&out);
            return;
        }
    }
    buffer_append_text(&out, "0\r\n\r\n");
    if (mode == SITE_UNREAD && last == 0) {
        site_limit_unread(file);
    }
    site_send(file, buffer_text(&out), out.length);
    buffer_close(&out);
}

static void site_write_plain(int file, const char *id, enum site_mode mode)
{
    struct buffer out = {0};
    bool unframed = mode == SITE_UNFRAMED || mode == SITE_RESET;
    clock_sleep_us(mode == SITE_PACED ? SITE_PACE_US : 0);
    static char large[SITE_LARGE_BYTES + 1];
    memset(large, 'x', SITE_LARGE_BYTES);
    const char *text = mode == SITE_LARGE ? large : site_on_run == NULL ? "hello" : id;
    buffer_printf(&out, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nBankbank-Request-Id: %s\r\n",
                  mode == SITE_CROSSED ? "another" : id);
    if (!unframed) {
        buffer_printf(&out, "Content-Length: %zu\r\n", strlen(text));
    }
    buffer_append_text(&out, mode == SITE_UNSIGNED ? "" : "Bankbank-Server-Signature: signed\r\n");
    buffer_append_text(&out, mode == SITE_ENCODED ? "Content-Encoding: gzip\r\n" : "");
    buffer_append_text(&out, "\r\n");
    buffer_append(&out, text, mode == SITE_CUT_MIDWAY || mode == SITE_RESET ? 2 : strlen(text));
    buffer_append_text(&out, mode == SITE_EXTRA ? "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" : "");
    site_send(file, buffer_text(&out), out.length);
    buffer_close(&out);
}

/* The connection's end is a reset, not an orderly one. */
static void site_reset_at_close(int file)
{
    struct linger at_once = {.l_onoff = 1, .l_linger = 0};
    setsockopt(file, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
}

/* The time that a request's header leaves; -1: there is none. */
static int64_t site_left_ms(const struct http_reader *reader)
{
    struct view value = http_reader_header(reader, "Bankbank-Deadline-Ms");
    char text[SITE_NUMBER] = "";
    if (value.length == 0 || value.length >= sizeof(text)) {
        return -1;
    }
    memcpy(text, value.data, value.length);
    return strtoll(text, NULL, 10);
}

/* Serves one request; false: the connection ends. */
static bool site_serve(int file, struct site_server *server)
{
    struct http_reader reader;
    struct buffer body = {0};
    bool goes_on = false;
    if (!site_read(file, &reader, HTTP_REQUEST, &body)) {
        goto out;
    }
    site_note_lain(file);
    struct view id_view = http_reader_header(&reader, "Bankbank-Request-Id");
    char id[64];
    snprintf(id, sizeof(id), "%.*s", (int)id_view.length, (const char *)id_view.data);
    site_run_t run = {.id = id, .body = buffer_view(&body), .left_ms = site_left_ms(&reader)};
    run.at_ms = clock_monotonic_ms();
    run.server = (int)(server - site_servers);
    pthread_mutex_lock(&site_lock);
    run.instance = server->instance;
    enum site_mode mode = server->mode;
    bool runs = mode != SITE_REFUSE && mode != SITE_MISDIRECTED;
    server->runs += runs ? 1 : 0;
    if (runs) {
        free(site_body);
        site_body = memory_copy(body.data, body.length);
        free(site_head);
        site_head = memory_copy(reader.head.data, reader.head.length);
    }
    pthread_mutex_unlock(&site_lock);
    if (runs && site_on_run != NULL) {
        site_on_run(&run);
    }
    struct view last_view = http_reader_header(&reader, "Last-Event-Id");
    int last = last_view.length == 0 ? 0 : atoi((const char *)last_view.data);
    bool stream = memmem(reader.target.data, reader.target.length, "/chat/", 6) != NULL;
    goes_on = true;
    switch (mode) {
    case SITE_REFUSE: {
        static const char refused[] = "HTTP/1.1 503 No\r\nBankbank-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        site_send(file, refused, sizeof(refused) - 1);
        break;
    }
    case SITE_MISDIRECTED: {
        static const char other[] = "HTTP/1.1 421 No\r\nBankbank-Instance-Id: other\r\nContent-Length: 0\r\n\r\n";
        site_send(file, other, sizeof(other) - 1);
        break;
    }
    case SITE_CUT: goes_on = false; break;
    case SITE_SILENT:
    case SITE_SLOW:
        if (site_client_closes(file, mode == SITE_SLOW ? 1000 : SITE_LIMIT_MS)) {
            pthread_mutex_lock(&site_lock);
            site_cancellations++;
            pthread_mutex_unlock(&site_lock);
            goes_on = false;
            break;
        }
        /* fall through */
    default:
        if (stream) {
            site_write_events(file, id, mode, last);
        } else {
            site_write_plain(file, id, mode);
        }
        goes_on = mode != SITE_STALL && mode != SITE_CUT_MIDWAY && mode != SITE_UNNUMBERED && mode != SITE_TORN &&
                  mode != SITE_UNFRAMED && mode != SITE_RESET && mode != SITE_UNREAD;
        if (mode == SITE_RESET) {
            site_reset_at_close(file);
        }
        break;
    }
out:
    http_reader_close(&reader);
    buffer_close(&body);
    return goes_on;
}

/* Replaces a connection of a server that is known. */
static void site_note_open(struct site_server *server, int before, int now)
{
    pthread_mutex_lock(&site_lock);
    for (int i = 0; i < SITE_OPEN; i++) {
        if (server->open[i] == before) {
            server->open[i] = now;
            break;
        }
    }
    pthread_mutex_unlock(&site_lock);
}

static void *site_run_connection(void *argument)
{
    struct site_connection *connection = argument;
    site_note_open(connection->server, 0, connection->file);
    while (site_serve(connection->file, connection->server)) {
    }
    site_note_open(connection->server, connection->file, 0);
    close(connection->file);
    free(connection);
    return NULL;
}

static bool site_is_dark(struct site_server *server)
{
    pthread_mutex_lock(&site_lock);
    bool dark = server->dark;
    pthread_mutex_unlock(&site_lock);
    return dark;
}

static void *site_run_server(void *argument)
{
    struct site_server *server = argument;
    for (;;) {
        while (site_is_dark(server)) {
            clock_sleep_us(SITE_DARK_US);
        }
        int file = accept(server->listener, NULL, NULL);
        if (file < 0) {
            return NULL;
        }
        struct site_connection *connection = memory_new(sizeof(*connection));
        pthread_t thread;
        connection->file = file;
        connection->server = server;
        pthread_create(&thread, NULL, site_run_connection, connection);
        pthread_detach(thread);
    }
}

static void site_write_born(struct buffer *out)
{
    if (site_born != 0) {
        buffer_printf(out, "\"born\":%llu,", (unsigned long long)site_born);
    }
}

static void site_write_list(struct buffer *out)
{
    buffer_append_text(out, "{\"instances\":[");
    pthread_mutex_lock(&site_lock);
    for (int i = 0; i < SITE_SERVERS; i++) {
        char id[32];
        snprintf(id, sizeof(id), site_servers[i].instance == 0 ? "server-%d" : "server-%d-%d", i,
                 site_servers[i].instance);
        buffer_append_text(out, i == 0 ? "{" : ",{");
        site_write_born(out);
        buffer_printf(out,
                      "\"id\":\"%s\",\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\","
                      "\"version\":\"v1\",\"slots\":4,\"state\":\"%s\",\"cold-remaining-ms\":%d,\"unknown\":[1]}",
                      id, i < 2 ? "engine" : "plain", site_servers[i].listed_port,
                      site_servers[i].zone == NULL ? "z1" : site_servers[i].zone,
                      site_servers[i].draining ? "draining" : "ready", site_servers[i].starting ? SITE_COLD_MS : 0);
    }
    buffer_append_text(out, text_or_empty(site_foreign));
    pthread_mutex_unlock(&site_lock);
    buffer_append_text(out, "],\"next-token\":null}");
}

void site_set_born(uint64_t born)
{
    pthread_mutex_lock(&site_lock);
    site_born = born;
    pthread_mutex_unlock(&site_lock);
}

void site_list_also(const char *entries)
{
    pthread_mutex_lock(&site_lock);
    free(site_foreign);
    site_foreign = text_copy(entries);
    pthread_mutex_unlock(&site_lock);
}

static void *site_run_list(void *argument)
{
    (void)argument;
    for (;;) {
        int file = accept(site_list_listener, NULL, NULL);
        if (file < 0) {
            return NULL;
        }
        struct http_reader reader;
        struct buffer body = {0};
        struct buffer list = {0};
        struct buffer out = {0};
        if (site_read(file, &reader, HTTP_REQUEST, &body)) {
            site_write_list(&list);
            buffer_printf(&out, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\nConnection: close\r\n\r\n%s", list.length,
                          buffer_text(&list));
            site_send(file, buffer_text(&out), out.length);
        }
        close(file);
        http_reader_close(&reader);
        buffer_close(&body);
        buffer_close(&list);
        buffer_close(&out);
    }
}

void site_set_mode(int server, enum site_mode mode)
{
    pthread_mutex_lock(&site_lock);
    for (int i = 0; i < SITE_SERVERS; i++) {
        if (server < 0 || server == i) {
            site_servers[i].mode = mode;
            site_servers[i].runs = 0;
        }
    }
    site_cancellations = 0;
    pthread_mutex_unlock(&site_lock);
}

void site_echo(void (*run)(const site_run_t *run))
{
    site_on_run = run;
}

void site_use_proxies(void)
{
    pthread_mutex_lock(&site_lock);
    for (int i = 0; i < SITE_SERVERS; i++) {
        site_servers[i].proxy = proxy_start(site_servers[i].port, &site_servers[i].listed_port);
    }
    pthread_mutex_unlock(&site_lock);
}

void site_set_proxy(int server, enum proxy_mode mode)
{
    for (int i = 0; i < SITE_SERVERS; i++) {
        if (server < 0 || server == i) {
            proxy_set(site_servers[i].proxy, mode);
        }
    }
}

static int site_fill(const struct site_server *server)
{
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)server->port)};
    int file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(file, (struct sockaddr *)&address, sizeof(address)) != 0) {
        ck_assert_int_eq(errno, EINPROGRESS);
    }
    clock_sleep_us(SITE_DARK_US);
    return file;
}

/* With a full backlog the kernel drops what would open a connection, as a machine without power does. */
void site_set_dark(int server, bool dark)
{
    struct site_server *it = &site_servers[server];
    pthread_mutex_lock(&site_lock);
    it->dark = dark;
    pthread_mutex_unlock(&site_lock);
    if (dark) {
        it->fillers[0] = site_fill(it); /* ends the accept under way */
    }
    ck_assert_int_eq(listen(it->listener, dark ? 0 : SITE_BACKLOG), 0);
    for (int i = dark ? 1 : 0; i < SITE_FILLERS; i++) {
        if (dark) {
            it->fillers[i] = site_fill(it);
        } else {
            close(it->fillers[i]);
        }
    }
}

/* The kernel drops all that comes to a socket with such a filter before it answers. */
static void site_drop_all(int file, bool drops)
{
    struct sock_filter none = BPF_STMT(BPF_RET | BPF_K, 0);
    struct sock_fprog program = {.len = 1, .filter = &none};
    int result = drops ? setsockopt(file, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program))
                       : setsockopt(file, SOL_SOCKET, SO_DETACH_FILTER, &program, sizeof(program));
    ck_assert_int_eq(result, 0);
}

/* A machine without power refuses no connection. */
static int site_silence_closed_port(void)
{
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)site_closed_port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ck_assert_int_eq(bind(file, (struct sockaddr *)&address, sizeof(address)), 0);
    site_drop_all(file, true);
    ck_assert_int_eq(listen(file, 1), 0);
    return file;
}

void site_filter_closed_port(bool filtered)
{
    static int silenced;
    if (filtered) {
        silenced = site_silence_closed_port();
    } else {
        close(silenced);
    }
}

static void site_drop_open(const struct site_server *server, bool drops)
{
    for (int i = 0; i < SITE_OPEN; i++) {
        if (server->open[i] != 0) {
            site_drop_all(server->open[i], drops);
        }
    }
}

void site_set_dead(int server, bool dead)
{
    pthread_mutex_lock(&site_lock);
    site_filter_closed_port(dead);
    site_drop_all(site_servers[server].listener, dead);
    site_drop_open(&site_servers[server], dead);
    pthread_mutex_unlock(&site_lock);
}

void site_silence_connections(int server)
{
    pthread_mutex_lock(&site_lock);
    site_drop_open(&site_servers[server], true);
    pthread_mutex_unlock(&site_lock);
}

void site_set_starting(int server, bool starting)
{
    pthread_mutex_lock(&site_lock);
    site_servers[server].starting = starting;
    pthread_mutex_unlock(&site_lock);
}

void site_set_zone(int server, const char *zone)
{
    pthread_mutex_lock(&site_lock);
    site_servers[server].zone = zone;
    pthread_mutex_unlock(&site_lock);
    site_replace_server(server);
}

void site_set_draining(int server, bool draining)
{
    pthread_mutex_lock(&site_lock);
    site_servers[server].draining = draining;
    pthread_mutex_unlock(&site_lock);
}

void site_replace_server(int server)
{
    pthread_mutex_lock(&site_lock);
    site_servers[server].draining = false;
    site_servers[server].instance++;
    pthread_mutex_unlock(&site_lock);
}

int site_instance(int server)
{
    pthread_mutex_lock(&site_lock);
    int instance = site_servers[server].instance;
    pthread_mutex_unlock(&site_lock);
    return instance;
}

int site_runs(int server)
{
    int runs = 0;
    pthread_mutex_lock(&site_lock);
    for (int i = 0; i < SITE_SERVERS; i++) {
        runs += server < 0 || server == i ? site_servers[i].runs : 0;
    }
    pthread_mutex_unlock(&site_lock);
    return runs;
}

char *site_last_body(void)
{
    pthread_mutex_lock(&site_lock);
    char *copy = text_copy(site_body);
    pthread_mutex_unlock(&site_lock);
    return copy;
}

char *site_last_head(void)
{
    pthread_mutex_lock(&site_lock);
    char *copy = text_copy(site_head);
    pthread_mutex_unlock(&site_lock);
    return copy;
}

int site_cancelled(void)
{
    pthread_mutex_lock(&site_lock);
    int count = site_cancellations;
    pthread_mutex_unlock(&site_lock);
    return count;
}

void site_servers_start(int *list_port)
{
    pthread_t thread;
    site_list_listener = site_listen("127.0.0.1", list_port);
    pthread_create(&thread, NULL, site_run_list, NULL);
    for (int i = 0; i < SITE_SERVERS; i++) {
        site_servers[i].listener = site_listen("127.0.0.1", &site_servers[i].port);
        site_servers[i].listed_port = site_servers[i].port;
        pthread_create(&thread, NULL, site_run_server, &site_servers[i]);
    }
}
