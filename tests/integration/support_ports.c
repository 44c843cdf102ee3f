#include "ports.h"

#include <netinet/in.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>

#include <check.h>

enum { PORTS_STRIDE = 97 }; /* between the first ports of two processes with neighbouring ids */

static int ports_taken;

static bool ports_is_free(int port)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET, .sin_port = htons((uint16_t)port), .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_ge(fd, 0);
    bool is_free = bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
    close(fd);
    return is_free;
}

int ports_take(void)
{
    int start = (int)((long)getpid() * PORTS_STRIDE % PORTS_COUNT);
    while (ports_taken < PORTS_COUNT) {
        int port = PORTS_FIRST + (start + ports_taken) % PORTS_COUNT;
        ports_taken++;
        if (ports_is_free(port)) {
            return port;
        }
    }
    ck_abort_msg("no free port is left");
    return 0;
}
