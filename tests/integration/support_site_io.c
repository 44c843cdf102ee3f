/* Sockets and messages of the site's stand-in. */
#include "site_internal.h"

#include <arpa/inet.h>
#include <check.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "site.h"

enum {
    SITE_HEAD = 1 << 14,
    SITE_LAIN_SECONDS = 4, /* for which lateness is remembered */
    SITE_MS_PER_S = 1000,
    SITE_STATUS_OFFSET = 9 /* of the digits in an answer's first line */
};

/* ---- Sockets ------------------------------------------------------------------------ */

static struct sockaddr_in site_address(const char *ip, int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
    inet_pton(AF_INET, ip, &address.sin_addr);
    return address;
}

int site_connect(const char *ip, int port)
{
    struct sockaddr_in address = site_address(ip, port);
    struct timeval limit = {.tv_sec = SITE_LIMIT_MS / 1000};
    int on = 1;
    int file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(file, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(file, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(file, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(file);
        return -1;
    }
    return file;
}

int site_listen(const char *ip, int *port)
{
    struct sockaddr_in address = site_address(ip, 0);
    socklen_t size = sizeof(address);
    int file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ck_assert_int_eq(bind(file, (struct sockaddr *)&address, sizeof(address)), 0);
    ck_assert_int_eq(listen(file, 128), 0);
    getsockname(file, (struct sockaddr *)&address, &size);
    *port = ntohs(address.sin_port);
    return file;
}

void site_send(int file, const char *text, size_t length)
{
    while (length > 0) {
        ssize_t sent = send(file, text, length, MSG_NOSIGNAL);
        if (sent <= 0) {
            return;
        }
        text += sent;
        length -= (size_t)sent;
    }
}

/* ---- Reading messages ------------------------------------------------------------------ */

static bool site_on_head(void *context, struct http_reader *reader)
{
    (void)context;
    (void)reader;
    return true;
}

static bool site_on_body(void *context, struct http_reader *reader, struct view part)
{
    (void)reader;
    buffer_append(context, part.data, part.length);
    return true;
}

/* The longest time that bytes lay unread, by second. */
static pthread_mutex_t lain_lock = PTHREAD_MUTEX_INITIALIZER;
static uint64_t lain_seconds[SITE_LAIN_SECONDS];
static uint64_t lain_most_ms[SITE_LAIN_SECONDS];

void site_note_lain(int file)
{
    struct tcp_info info = {0};
    socklen_t size = sizeof(info);
    if (getsockopt(file, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return;
    }
    uint64_t second = clock_monotonic_ms() / SITE_MS_PER_S;
    size_t place = second % SITE_LAIN_SECONDS;
    pthread_mutex_lock(&lain_lock);
    if (lain_seconds[place] != second) {
        lain_seconds[place] = second;
        lain_most_ms[place] = 0;
    }
    if (info.tcpi_last_data_recv > lain_most_ms[place]) {
        lain_most_ms[place] = info.tcpi_last_data_recv;
    }
    pthread_mutex_unlock(&lain_lock);
}

uint64_t site_late_ms(void)
{
    uint64_t second = clock_monotonic_ms() / SITE_MS_PER_S;
    uint64_t most_ms = 0;
    pthread_mutex_lock(&lain_lock);
    for (size_t i = 0; i < SITE_LAIN_SECONDS; i++) {
        bool recent = lain_seconds[i] + SITE_LAIN_SECONDS > second;
        most_ms = recent && lain_most_ms[i] > most_ms ? lain_most_ms[i] : most_ms;
    }
    pthread_mutex_unlock(&lain_lock);
    return most_ms;
}

bool site_read(int file, struct http_reader *reader, enum http_parser_type type, struct buffer *body)
{
    char part[4096];
    memset(reader, 0, sizeof(*reader));
    reader->type = type;
    reader->max_head_bytes = SITE_HEAD;
    reader->max_body_bytes = 1 << 24;
    reader->events = (struct http_reader_events){body, site_on_head, site_on_body, site_on_head};
    http_reader_reset(reader);
    while (!reader->complete && reader->fault == HTTP_FAULT_NONE) {
        ssize_t got = recv(file, part, sizeof(part), 0);
        if (got <= 0) {
            http_reader_end(reader);
            break;
        }
        http_reader_feed(reader, (const uint8_t *)part, (size_t)got);
    }
    return reader->complete;
}

int site_read_status(int file)
{
    char answer[512] = "";
    ssize_t got = recv(file, answer, sizeof(answer) - 1, 0);
    close(file);
    return got > SITE_STATUS_OFFSET ? atoi(answer + SITE_STATUS_OFFSET) : 0;
}
