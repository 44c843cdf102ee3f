#include "net/http_client_pool.h"

#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"
#include "base/clock.h"

/* Oldest first; guarded by pool_lock. */
static pthread_mutex_t pool_lock = PTHREAD_MUTEX_INITIALIZER;
static http_client_connection_t pool[HTTP_CLIENT_POOL_MAX];
static size_t pool_count;

bool http_client_connect(http_client_connection_t *connection, const char *origin, uint32_t connect_timeout_ms,
                         uint32_t timeout_ms)
{
    curl_socket_t fd = CURL_SOCKET_BAD;
    CURL *handle = curl_easy_init();
    if (handle == NULL) {
        return false;
    }
    curl_easy_setopt(handle, CURLOPT_URL, origin);
    curl_easy_setopt(handle, CURLOPT_CONNECT_ONLY, 1L);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, ""); /* ignores proxy settings in the environment */
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, (long)connect_timeout_ms);
    bool open = curl_easy_perform(handle) == CURLE_OK &&
                curl_easy_getinfo(handle, CURLINFO_ACTIVESOCKET, &fd) == CURLE_OK && fd != CURL_SOCKET_BAD;
    if (!open) {
        curl_easy_cleanup(handle);
        return false;
    }
    *connection = (http_client_connection_t){.handle = handle, .fd = fd, .origin = text_copy(origin)};
    return true;
}

void http_client_disconnect(http_client_connection_t *connection)
{
    curl_easy_cleanup(connection->handle);
    free(connection->origin);
    memset(connection, 0, sizeof(*connection));
}

/* Call with the lock held. */
static http_client_connection_t pool_remove(size_t position)
{
    http_client_connection_t connection = pool[position];
    pool_count--;
    memmove(&pool[position], &pool[position + 1], (pool_count - position) * sizeof(connection));
    return connection;
}

/* Closes connections that have been idle for too long, that the server has closed, or on which it has sent bytes that
 * no request asked for. Call with the lock held. */
static void pool_prune(void)
{
    static struct pollfd polled[HTTP_CLIENT_POOL_MAX]; /* guarded by the lock */
    uint64_t now_ms = clock_monotonic_ms();
    for (size_t i = 0; i < pool_count; i++) {
        polled[i] = (struct pollfd){.fd = pool[i].fd, .events = POLLIN};
    }
    poll(polled, pool_count, 0);
    for (size_t i = pool_count; i > 0; i--) {
        bool expired = now_ms >= pool[i - 1].idle_since_ms + HTTP_CLIENT_POOL_MS;
        if (expired || polled[i - 1].revents != 0) {
            http_client_connection_t removed = pool_remove(i - 1);
            http_client_disconnect(&removed);
        }
    }
}

http_client_connection_t http_client_pool_take(const char *origin)
{
    http_client_connection_t found = {0};
    pthread_mutex_lock(&pool_lock);
    pool_prune();
    for (size_t i = pool_count; i > 0 && found.handle == NULL; i--) {
        if (strcmp(pool[i - 1].origin, origin) == 0) {
            found = pool_remove(i - 1);
        }
    }
    pthread_mutex_unlock(&pool_lock);
    return found;
}

void http_client_pool_add(http_client_connection_t *connection)
{
    connection->idle_since_ms = clock_monotonic_ms();
    pthread_mutex_lock(&pool_lock);
    pool_prune();
    if (pool_count == HTTP_CLIENT_POOL_MAX) {
        http_client_connection_t oldest = pool_remove(0);
        http_client_disconnect(&oldest);
    }
    pool[pool_count++] = *connection;
    pthread_mutex_unlock(&pool_lock);
}

void http_client_pool_close(void)
{
    pthread_mutex_lock(&pool_lock);
    while (pool_count > 0) {
        http_client_connection_t connection = pool_remove(pool_count - 1);
        http_client_disconnect(&connection);
    }
    pthread_mutex_unlock(&pool_lock);
}
