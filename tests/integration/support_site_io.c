/* Sockets and HTTP messages of the simulated platform. */
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
    SITE_MAX_HEAD_BYTES = 1 << 14,
    SITE_READ_DELAY_WINDOW_S = 4, /* for which site_read_delay_ms() reports delays */
    SITE_MS_PER_S = 1000
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
    struct timeval limit = {.tv_sec = SITE_TIMEOUT_MS / 1000};
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

int site_listen_at(const char *ip, int port)
{
    struct sockaddr_in address = site_address(ip, port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int reuse = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
    ck_assert_int_eq(bind(fd, (struct sockaddr *)&address, sizeof(address)), 0);
    ck_assert_int_eq(listen(fd, 128), 0);
    return fd;
}

int site_listen(const char *ip, int *port)
{
    struct sockaddr_in address;
    socklen_t size = sizeof(address);
    int fd = site_listen_at(ip, 0);
    getsockname(fd, (struct sockaddr *)&address, &size);
    *port = ntohs(address.sin_port);
    return fd;
}

void site_send(int fd, const char *text, size_t length)
{
    while (length > 0) {
        ssize_t sent = send(fd, text, length, MSG_NOSIGNAL);
        if (sent <= 0) {
            return;
        }
        text += sent;
        length -= (size_t)sent;
    }
}

/* ---- Reading messages ------------------------------------------------------------------ */

static bool site_ignore_event(void *context, struct http_reader *reader)
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

/* The longest read delay of each second, in a ring; protected by delay_lock. */
static pthread_mutex_t delay_lock = PTHREAD_MUTEX_INITIALIZER;
static uint64_t delay_seconds[SITE_READ_DELAY_WINDOW_S];
static uint64_t max_delay_ms[SITE_READ_DELAY_WINDOW_S];

void site_record_read_delay(int fd)
{
    struct tcp_info info = {0};
    socklen_t size = sizeof(info);
    if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return;
    }
    uint64_t second = clock_monotonic_ms() / SITE_MS_PER_S;
    size_t slot = second % SITE_READ_DELAY_WINDOW_S;
    pthread_mutex_lock(&delay_lock);
    if (delay_seconds[slot] != second) {
        delay_seconds[slot] = second;
        max_delay_ms[slot] = 0;
    }
    if (info.tcpi_last_data_recv > max_delay_ms[slot]) {
        max_delay_ms[slot] = info.tcpi_last_data_recv;
    }
    pthread_mutex_unlock(&delay_lock);
}

uint64_t site_read_delay_ms(void)
{
    uint64_t second = clock_monotonic_ms() / SITE_MS_PER_S;
    uint64_t longest_ms = 0;
    pthread_mutex_lock(&delay_lock);
    for (size_t i = 0; i < SITE_READ_DELAY_WINDOW_S; i++) {
        bool recent = delay_seconds[i] + SITE_READ_DELAY_WINDOW_S > second;
        longest_ms = recent && max_delay_ms[i] > longest_ms ? max_delay_ms[i] : longest_ms;
    }
    pthread_mutex_unlock(&delay_lock);
    return longest_ms;
}

bool site_read(int fd, struct http_reader *reader, enum http_parser_type type, struct buffer *body)
{
    char part[4096];
    memset(reader, 0, sizeof(*reader));
    reader->type = type;
    reader->max_head_bytes = SITE_MAX_HEAD_BYTES;
    reader->max_body_bytes = 1 << 24;
    reader->events = (struct http_reader_events){body, site_ignore_event, site_on_body, site_ignore_event};
    http_reader_reset(reader);
    while (!reader->complete && reader->error == HTTP_PARSE_ERROR_NONE) {
        ssize_t got = recv(fd, part, sizeof(part), 0);
        if (got < 0) {
            break; /* a reset or a timeout: no end of a message */
        }
        if (got == 0) {
            http_reader_end(reader);
            break;
        }
        http_reader_feed(reader, (const uint8_t *)part, (size_t)got);
    }
    return reader->complete;
}

int site_read_status(int fd)
{
    struct http_reader reader;
    struct buffer body = {0};
    bool complete = site_read(fd, &reader, HTTP_RESPONSE, &body);
    int status = complete ? reader.status : 0;
    http_reader_close(&reader);
    buffer_close(&body);
    close(fd);
    return status;
}
