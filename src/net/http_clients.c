#include "net/http_clients.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <linux/sockios.h>
#include <linux/tcp.h>

#include "base/buffer.h"
#include "base/clock.h"
#include "base/log.h"

enum {
    HTTP_CLIENTS_MAX_CANDIDATES = 4096,
    HTTP_CLIENTS_UNREAD_BACKOFF = 3, /* probes of a closed window: 0.2, 0.4 and 0.8 s have passed */
    HTTP_CLIENTS_LOG_INTERVAL_MS = 1000
};

static const char HTTP_CLIENTS_TIMEOUT_RESPONSE[] =
    "HTTP/1.1 408 Request Timeout\r\nX-Run-State: not-run\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/* ---- Clients ------------------------------------------------------------------------------------- */

void http_clients_init(http_clients_t *clients, uint32_t threads, uint16_t port)
{
    memset(clients, 0, sizeof(*clients));
    pthread_mutex_init(&clients->lock, NULL);
    clients->threads = threads;
    clients->port = port;
}

void http_clients_close(http_clients_t *clients)
{
    pthread_mutex_destroy(&clients->lock);
}

http_client_t *http_clients_add(http_clients_t *clients)
{
    http_client_t *client = memory_new(sizeof(*client));
    client->clients = clients;
    pthread_mutex_lock(&clients->lock);
    client->next = clients->first;
    if (client->next != NULL) {
        client->next->previous = client;
    }
    clients->first = client;
    __atomic_add_fetch(&clients->count, 1, __ATOMIC_RELAXED);
    pthread_mutex_unlock(&clients->lock);
    return client;
}

void http_clients_remove(http_client_t *client)
{
    http_clients_t *clients = client->clients;
    pthread_mutex_lock(&clients->lock);
    if (client->previous != NULL) {
        client->previous->next = client->next;
    } else {
        clients->first = client->next;
    }
    if (client->next != NULL) {
        client->next->previous = client->previous;
    }
    __atomic_sub_fetch(&clients->count, 1, __ATOMIC_RELAXED);
    pthread_mutex_unlock(&clients->lock);
    free(client);
}

void http_client_begin(http_client_t *client, const struct mg_request_info *info)
{
    struct in_addr ip = {0};
    inet_pton(AF_INET, info->remote_addr, &ip);
    pthread_mutex_lock(&client->clients->lock);
    client->ip = ip.s_addr;
    client->port = (uint16_t)info->remote_port;
    client->in_handler = true;
    client->body_since_ms = 0;
    pthread_mutex_unlock(&client->clients->lock);
}

void http_client_end(http_client_t *client)
{
    pthread_mutex_lock(&client->clients->lock);
    client->in_handler = false;
    pthread_mutex_unlock(&client->clients->lock);
}

void http_client_begin_body(http_client_t *client)
{
    if (client == NULL) {
        return;
    }
    pthread_mutex_lock(&client->clients->lock);
    client->body_since_ms = clock_monotonic_ms();
    client->given_up = false;
    pthread_mutex_unlock(&client->clients->lock);
}

bool http_client_end_body(http_client_t *client)
{
    if (client == NULL) {
        return false;
    }
    pthread_mutex_lock(&client->clients->lock);
    bool given_up = client->given_up;
    client->body_since_ms = 0;
    pthread_mutex_unlock(&client->clients->lock);
    return given_up;
}

bool http_clients_are_busy(const http_clients_t *clients)
{
    return __atomic_load_n(&clients->count, __ATOMIC_RELAXED) >= clients->threads;
}

/* ---- Sockets ------------------------------------------------------------------------------------- */

typedef enum http_wait_t {
    HTTP_WAIT_NONE, /* the client is not waited for */
    HTTP_WAIT_HEAD,
    HTTP_WAIT_BODY,
    HTTP_WAIT_READER
} http_wait_t;

/* A connection that waits for its client. */
typedef struct http_candidate_t {
    int fd; /* the thread of the connection may close it at any time */
    http_wait_t wait;
    http_client_t *client; /* of the request under way, or NULL */
    bool answered;         /* a response was sent on it before */
    uint32_t silent_ms;
} http_candidate_t;

/* The request under way on the connection from this peer, or NULL; call with the lock held. */
static http_client_t *http_clients_find(const http_clients_t *clients, const struct sockaddr_in *peer)
{
    http_client_t *client = clients->first;
    while (client != NULL &&
           !(client->in_handler && client->port == ntohs(peer->sin_port) && client->ip == peer->sin_addr.s_addr)) {
        client = client->next;
    }
    return client;
}

static bool http_is_connection_of(int fd, uint16_t port, struct sockaddr_in *peer)
{
    struct sockaddr_in own = {0};
    socklen_t own_size = sizeof(own);
    socklen_t peer_size = sizeof(*peer);
    return getsockname(fd, (struct sockaddr *)&own, &own_size) == 0 && own.sin_family == AF_INET &&
           ntohs(own.sin_port) == port && getpeername(fd, (struct sockaddr *)peer, &peer_size) == 0;
}

/* Requests before this one on the connection count in its favour. */
static bool http_body_is_slow(const http_client_t *client, const struct tcp_info *info)
{
    uint64_t elapsed_ms = clock_monotonic_ms() - client->body_since_ms;
    return elapsed_ms >= HTTP_CLIENTS_SILENT_MS &&
           info->tcpi_bytes_received < elapsed_ms * HTTP_CLIENTS_BODY_BYTES_PER_MS;
}

static http_wait_t http_wait_of(const http_client_t *client, const struct tcp_info *info, int unread, int unsent)
{
    bool silent = unread == 0 && info->tcpi_last_data_recv >= HTTP_CLIENTS_SILENT_MS;
    if (unsent > 0) {
        return info->tcpi_backoff >= HTTP_CLIENTS_UNREAD_BACKOFF ? HTTP_WAIT_READER : HTTP_WAIT_NONE;
    }
    if (client == NULL) {
        return silent ? HTTP_WAIT_HEAD : HTTP_WAIT_NONE;
    }
    bool waits = client->body_since_ms != 0 && (silent || http_body_is_slow(client, info));
    return waits ? HTTP_WAIT_BODY : HTTP_WAIT_NONE;
}

/* Fills `candidate` if the socket is a connection of the server that waits for its client. */
static bool http_clients_examine(const http_clients_t *clients, int fd, http_candidate_t *candidate)
{
    struct sockaddr_in peer = {0};
    struct tcp_info info = {0};
    socklen_t size = sizeof(info);
    int unread = 0;
    int unsent = 0;
    bool known = http_is_connection_of(fd, clients->port, &peer) &&
                 getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 && ioctl(fd, FIONREAD, &unread) == 0 &&
                 ioctl(fd, SIOCOUTQ, &unsent) == 0;
    candidate->fd = fd;
    candidate->client = known ? http_clients_find(clients, &peer) : NULL;
    candidate->wait = known ? http_wait_of(candidate->client, &info, unread, unsent) : HTTP_WAIT_NONE;
    candidate->answered = info.tcpi_bytes_acked > 1; /* the SYN counts as one */
    candidate->silent_ms = info.tcpi_last_data_recv;
    return candidate->wait != HTTP_WAIT_NONE;
}

static size_t http_clients_collect(const http_clients_t *clients, http_candidate_t *candidates)
{
    size_t count = 0;
    DIR *directory = opendir("/proc/self/fd");
    const struct dirent *entry = NULL;
    while (directory != NULL && count < HTTP_CLIENTS_MAX_CANDIDATES && (entry = readdir(directory)) != NULL) {
        int fd = (int)strtol(entry->d_name, NULL, 10);
        bool valid = entry->d_name[0] != '.' && fd != dirfd(directory);
        if (valid && http_clients_examine(clients, fd, &candidates[count])) {
            count++;
        }
    }
    if (directory != NULL) {
        closedir(directory);
    }
    return count;
}

static int http_compare_silence(const void *a, const void *b)
{
    const http_candidate_t *left = a;
    const http_candidate_t *right = b;
    return (left->silent_ms < right->silent_ms) - (left->silent_ms > right->silent_ms);
}

/* The thread of the connection notices the end, and closes it. */
static void http_candidate_end(const http_candidate_t *candidate)
{
    switch (candidate->wait) {
    case HTTP_WAIT_HEAD:
        if (!candidate->answered) {
            send(candidate->fd, HTTP_CLIENTS_TIMEOUT_RESPONSE, sizeof(HTTP_CLIENTS_TIMEOUT_RESPONSE) - 1,
                 MSG_DONTWAIT | MSG_NOSIGNAL);
        }
        shutdown(candidate->fd, SHUT_RDWR);
        break;
    case HTTP_WAIT_BODY:
        candidate->client->given_up = true;
        shutdown(candidate->fd, SHUT_RD);
        break;
    case HTTP_WAIT_READER: shutdown(candidate->fd, SHUT_RDWR); break;
    case HTTP_WAIT_NONE: break;
    }
}

/* A duplicate of the descriptor stays that of its connection, which is examined again: another connection may have got
 * the descriptor meanwhile. */
static void http_clients_end(http_clients_t *clients, int fd)
{
    http_candidate_t candidate;
    int own_fd = fcntl(fd, F_DUPFD_CLOEXEC, 0);
    if (own_fd < 0) {
        return;
    }
    if (http_clients_examine(clients, own_fd, &candidate)) {
        http_candidate_end(&candidate);
        __atomic_add_fetch(&clients->displaced, 1, __ATOMIC_RELAXED);
    }
    close(own_fd);
}

static void http_clients_log(http_clients_t *clients)
{
    uint64_t now_ms = clock_monotonic_ms();
    if (clients->logged_ms == 0 || now_ms >= clients->logged_ms + HTTP_CLIENTS_LOG_INTERVAL_MS) {
        clients->logged_ms = now_ms;
        log_warn("http", "all %u threads of port %u are taken: %llu silent connections closed so far", clients->threads,
                 clients->port, (unsigned long long)__atomic_load_n(&clients->displaced, __ATOMIC_RELAXED));
    }
}

void http_clients_relieve(http_clients_t *clients)
{
    if (!http_clients_are_busy(clients)) {
        return;
    }
    http_candidate_t *candidates = memory_new(HTTP_CLIENTS_MAX_CANDIDATES * sizeof(*candidates));
    pthread_mutex_lock(&clients->lock); /* no request begins meanwhile */
    size_t count = http_clients_collect(clients, candidates);
    qsort(candidates, count, sizeof(*candidates), http_compare_silence);
    for (size_t i = 0; i < count && i < 2 * (size_t)clients->threads; i++) { /* some wait for a thread */
        http_clients_end(clients, candidates[i].fd);
    }
    pthread_mutex_unlock(&clients->lock);
    free(candidates);
    if (count > 0) {
        http_clients_log(clients);
    }
}
