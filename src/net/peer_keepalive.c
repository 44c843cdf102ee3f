#include "net/peer_keepalive.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

enum { PEER_KEEPALIVE_MS_PER_S = 1000 };

static bool peer_keepalive_set_option(int fd, int level, int option, int value)
{
    return setsockopt(fd, level, option, &value, sizeof(value)) == 0;
}

/* Setting TCP_KEEPIDLE makes the kernel count the idle time from the last packet received. If that time has already
 * passed, the kernel sends a probe at once. */
void peer_keepalive_probe(int fd)
{
    peer_keepalive_set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, PEER_KEEPALIVE_IDLE_MS / PEER_KEEPALIVE_MS_PER_S);
}

/* If the kernel does not support SIOCOUTQNSD, all bytes count as sent. */
bool peer_keepalive_can_start(int fd)
{
    int unsent = 0;
    return ioctl(fd, SIOCOUTQNSD, &unsent) != 0 || unsent == 0;
}

bool peer_keepalive_start(int fd)
{
    static const int interval_s = PEER_KEEPALIVE_IDLE_MS / PEER_KEEPALIVE_MS_PER_S;
    bool started = peer_keepalive_set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, PEER_KEEPALIVE_TIMEOUT_MS) &&
                   peer_keepalive_set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, interval_s) &&
                   peer_keepalive_set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    peer_keepalive_probe(fd); /* SO_KEEPALIVE alone counts the idle time from now */
    return started;
}

void peer_keepalive_stop(int fd)
{
    peer_keepalive_set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 0);
    peer_keepalive_set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, 0);
}
