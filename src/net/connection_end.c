#include "net/connection_end.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <linux/sockios.h>

enum { CONNECTION_END_FIRST_REFUSAL = 300 /* lower statuses say that the request was carried out */ };

static bool connection_is_acknowledged(int fd)
{
    int bytes = 0;
    return ioctl(fd, SIOCOUTQ, &bytes) == 0 && bytes == 0;
}

/* After the peer's close, only a reset closes the socket on this side. */
static bool connection_was_reset(int fd)
{
    struct tcp_info info = {0};
    socklen_t size = sizeof(info);
    return getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || info.tcpi_state == TCP_CLOSE;
}

connection_end_t connection_end_judge(const connection_end_state_t *state)
{
    if (state->write_error != 0 && state->write_error != EPIPE) {
        return CONNECTION_END_BROKEN;
    }
    if (state->status >= CONNECTION_END_FIRST_REFUSAL) {
        return CONNECTION_END_COMPLETE;
    }
    if (state->write_error != 0) {
        return CONNECTION_END_BROKEN;
    }
    if (state->request_written && connection_is_acknowledged(state->fd)) {
        return CONNECTION_END_COMPLETE;
    }
    return connection_was_reset(state->fd) ? CONNECTION_END_BROKEN : CONNECTION_END_PENDING;
}
