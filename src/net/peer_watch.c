#include "net/peer_watch.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

enum { PEER_WATCH_S = 1000 /* ms */ };

static bool peer_watch_set(int file, int level, int option, int value)
{
    return setsockopt(file, level, option, &value, sizeof(value)) == 0;
}

/* Setting the rest anew makes the kernel count it from when the peer was heard last: it is over already. */
void peer_watch_ask(int file)
{
    peer_watch_set(file, IPPROTO_TCP, TCP_KEEPIDLE, PEER_WATCH_QUIET_MS / PEER_WATCH_S);
}

/* A system that cannot tell keeps nothing back: it counts as sent. */
bool peer_watch_may_begin(int file)
{
    int unsent = 0;
    return ioctl(file, SIOCOUTQNSD, &unsent) != 0 || unsent == 0;
}

bool peer_watch_begin(int file)
{
    static const int quiet_s = PEER_WATCH_QUIET_MS / PEER_WATCH_S;
    bool watched = peer_watch_set(file, IPPROTO_TCP, TCP_USER_TIMEOUT, PEER_WATCH_SILENT_MS) &&
                   peer_watch_set(file, IPPROTO_TCP, TCP_KEEPINTVL, quiet_s) &&
                   peer_watch_set(file, SOL_SOCKET, SO_KEEPALIVE, 1);
    peer_watch_ask(file); /* the option alone counts the rest from now */
    return watched;
}

void peer_watch_end(int file)
{
    peer_watch_set(file, SOL_SOCKET, SO_KEEPALIVE, 0);
    peer_watch_set(file, IPPROTO_TCP, TCP_USER_TIMEOUT, 0);
}
