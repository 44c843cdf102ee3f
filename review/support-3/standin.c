/*
 * Stand-ins of a small deployment, for the scripts of review cases:
 *
 *   standin platform IP:PORT BODY   answers GET /instances with BODY
 *   standin server IP:PORT ID       runs each request at once and answers 200 with its id, a signature and a body
 *   standin stream IP:PORT ID       answers with a stream of events; one that is resumed goes on after Last-Event-Id
 *   standin spoil IP:PORT ID        the same, but one answer in SPOILED_OF has a wrong byte: the id of an event
 *
 * One thread for each connection; it serves requests with a Content-Length or without a body, one after the other.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    HEAD_BYTES = 1 << 16,
    ANSWER_BYTES = 1 << 12,
    BACKLOG = 64,
    EVENTS = 8,
    EVENT_PAUSE_US = 5000,
    SPOILED_OF = 50, /* fault x = 0.02 */
    SPOILED_EVENT = 6,
    SPOILED_ID = 2
};

static const char *mode;
static const char *text;
static int answers; /* begun from the first event; one client asks at a time */

/* Copies the value of a header of the head; empty if it is absent. */
static void header_value(const char *head, const char *name, char *out, size_t size)
{
    size_t length = strlen(name);
    out[0] = '\0';
    for (const char *line = strstr(head, "\r\n"); line != NULL; line = strstr(line + 2, "\r\n")) {
        const char *at = line + 2;
        if (strncasecmp(at, name, length) == 0 && at[length] == ':') {
            at += length + 1;
            at += strspn(at, " ");
            size_t used = strcspn(at, "\r\n");
            snprintf(out, size, "%.*s", (int)used, at);
            return;
        }
    }
}

static int write_all(int fd, const char *data, size_t length)
{
    while (length > 0) {
        ssize_t written = send(fd, data, length, MSG_NOSIGNAL);
        if (written <= 0) {
            return -1;
        }
        data += written;
        length -= (size_t)written;
    }
    return 0;
}

static int write_chunk(int fd, const char *data)
{
    char out[ANSWER_BYTES];
    int length = snprintf(out, sizeof(out), "%zx\r\n%s\r\n", strlen(data), data);
    return write_all(fd, out, (size_t)length);
}

/* Events 1 to EVENTS; a resumed run goes on after `last`. */
static int answer_stream(int fd, const char *id, int last)
{
    char out[ANSWER_BYTES];
    answers += last == 0 ? 1 : 0;
    int spoiled = strcmp(mode, "spoil") == 0 && last == 0 && answers % SPOILED_OF == 0;
    printf("ran %s after event %d%s\n", id, last, spoiled ? ", one byte wrong" : "");
    fflush(stdout);
    snprintf(out, sizeof(out), "HTTP/1.1 200 OK\r\nBankbank-Request-Id: %s\r\nBankbank-Server-Signature: %s.1\r\n"
                               "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, text);
    if (write_all(fd, out, strlen(out)) != 0) {
        return -1;
    }
    for (int i = last + 1; i <= EVENTS; i++) {
        snprintf(out, sizeof(out), "id: %d\ndata: piece-%d\n\n", spoiled && i == SPOILED_EVENT ? SPOILED_ID : i, i);
        if (write_chunk(fd, out) != 0) {
            return -1;
        }
        usleep(EVENT_PAUSE_US);
    }
    return write_all(fd, "0\r\n\r\n", 5);
}

/* A server does not run a request that is meant for another instance. */
static int answer(int fd, const char *head)
{
    char id[256];
    char expected[256];
    char out[ANSWER_BYTES];
    header_value(head, "Bankbank-Request-Id", id, sizeof(id));
    header_value(head, "Bankbank-Expect-Instance", expected, sizeof(expected));
    if (strcmp(mode, "platform") == 0) {
        snprintf(out, sizeof(out), "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
                 strlen(text), text);
    } else if (expected[0] != '\0' && strcmp(expected, text) != 0) {
        snprintf(out, sizeof(out), "HTTP/1.1 421 Misdirected Request\r\nBankbank-Request-Id: %s\r\n"
                                   "Bankbank-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id);
    } else if (strcmp(mode, "server") != 0) {
        char last[32];
        header_value(head, "Last-Event-Id", last, sizeof(last));
        return answer_stream(fd, id, atoi(last));
    } else {
        snprintf(out, sizeof(out), "HTTP/1.1 200 OK\r\nBankbank-Request-Id: %s\r\n"
                                   "Bankbank-Server-Signature: %s.1\r\nContent-Length: 3\r\n\r\nran", id, text);
        printf("ran %s\n", id);
        fflush(stdout);
    }
    return write_all(fd, out, strlen(out));
}

static void *serve(void *context)
{
    int fd = (int)(long)context;
    char *head = calloc(1, HEAD_BYTES + 1);
    size_t used = 0;
    for (;;) {
        char *end = strstr(head, "\r\n\r\n");
        char length[32] = "";
        size_t whole = 0;
        if (end != NULL) {
            char saved = end[2];
            end[2] = '\0';
            header_value(head, "Content-Length", length, sizeof(length));
            end[2] = saved;
            whole = (size_t)(end - head) + 4 + strtoul(length, NULL, 10);
        }
        if (end != NULL && used >= whole) {
            end[2] = '\0';
            if (answer(fd, head) != 0) {
                break;
            }
            memmove(head, head + whole, used - whole);
            used -= whole;
            head[used] = '\0';
            continue;
        }
        ssize_t received = used < HEAD_BYTES ? recv(fd, head + used, HEAD_BYTES - used, 0) : 0;
        if (received <= 0) {
            break;
        }
        used += (size_t)received;
        head[used] = '\0';
    }
    close(fd);
    free(head);
    return NULL;
}

int main(int argc, char **argv)
{
    char ip[64];
    unsigned port = 0;
    int on = 1;
    if (argc != 4 || sscanf(argv[2], "%63[0-9.]:%u", ip, &port) != 2) {
        fprintf(stderr, "usage: standin platform|server|stream|spoil IP:PORT BODY|ID\n");
        return 2;
    }
    mode = argv[1];
    text = argv[3];
    signal(SIGPIPE, SIG_IGN);
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((unsigned short)port)};
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (inet_pton(AF_INET, ip, &address.sin_addr) != 1 ||
        bind(listener, (struct sockaddr *)&address, sizeof(address)) != 0 || listen(listener, BACKLOG) != 0) {
        perror("standin: cannot listen");
        return 2;
    }
    for (;;) {
        pthread_t thread;
        int fd = accept(listener, NULL, NULL);
        if (fd >= 0 && pthread_create(&thread, NULL, serve, (void *)(long)fd) == 0) {
            pthread_detach(thread);
        }
    }
}
