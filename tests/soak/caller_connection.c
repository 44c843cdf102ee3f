#include "caller_connection.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../integration/site_internal.h"
#include "base/clock.h"

bool caller_connection_is_idle(const caller_connection_t *connection)
{
    char byte;
    bool silent = recv(connection->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0;
    return silent && (errno == EAGAIN || errno == EWOULDBLOCK); /* another error: it has been reset */
}

void caller_connection_close(caller_connection_t *connection)
{
    if (connection->open) {
        close(connection->fd);
    }
    connection->open = false;
}

bool caller_connection_open(caller_connection_t *connection, int gateway)
{
    if (connection->open && !caller_connection_is_idle(connection)) {
        caller_connection_close(connection);
    }
    if (!connection->open) {
        connection->fd = site_connect(site_caller_ip(gateway), site_caller_port);
        connection->open = connection->fd >= 0;
        connection->answered_ms = 0;
    }
    return connection->open;
}

void caller_connection_send(caller_connection_t *connection, struct view part)
{
    site_send(connection->fd, (const char *)part.data, part.length);
}

void caller_connection_exchange(caller_connection_t *connection, struct view request, bool keep_alive,
                                struct site_response *response)
{
    struct http_reader reader;
    memset(response, 0, sizeof(*response));
    site_send(connection->fd, (const char *)request.data, request.length);
    response->complete = site_read(connection->fd, &reader, HTTP_RESPONSE, &response->body);
    response->status = reader.status;
    buffer_append(&response->head, reader.head.data, reader.head.length);
    connection->answered_ms = clock_monotonic_ms();
    if (!keep_alive || !response->complete || !reader.keep_alive) {
        caller_connection_close(connection);
    }
    http_reader_close(&reader);
}
