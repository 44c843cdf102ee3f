#include "ports.h"

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>
#include <unistd.h>

#include <check.h>

enum {
    PORTS_PER_BLOCK = 50,
    PORTS_BLOCK_COUNT = PORTS_COUNT / PORTS_PER_BLOCK,
    PORTS_LOCK_ADDRESS = 0x7f0000fe /* 127.0.0.254, used only to lock blocks */
};

static int ports_current_block = -1; /* -1: none yet */
static int ports_blocks_tried;
static int ports_next_offset; /* in the current block */

/* Returns a socket bound to the port, or -1 if that failed. */
static int ports_bind(uint32_t ip, int port)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET, .sin_port = htons((uint16_t)port), .sin_addr.s_addr = htonl(ip)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ck_assert_int_ge(fd, 0);
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0) {
        return fd;
    }
    close(fd);
    return -1;
}

/* Binds the first port of the block on PORTS_LOCK_ADDRESS, until this process ends; false: another process has it. */
static bool ports_lock_block(int block)
{
    return ports_bind(PORTS_LOCK_ADDRESS, PORTS_FIRST + block * PORTS_PER_BLOCK) >= 0;
}

static void ports_lock_next_block(void)
{
    int start = (int)((long)getpid() % PORTS_BLOCK_COUNT);
    do {
        ck_assert_msg(ports_blocks_tried < PORTS_BLOCK_COUNT, "all port blocks are in use");
        ports_current_block = (start + ports_blocks_tried++) % PORTS_BLOCK_COUNT;
    } while (!ports_lock_block(ports_current_block));
    ports_next_offset = 1; /* the first port is used for the lock */
}

/* Checks all addresses, since daemons listen on several. */
static bool ports_is_free(int port)
{
    int fd = ports_bind(INADDR_ANY, port);
    if (fd < 0) {
        return false;
    }
    close(fd);
    return true;
}

int ports_allocate(void)
{
    for (;;) {
        if (ports_current_block < 0 || ports_next_offset == PORTS_PER_BLOCK) {
            ports_lock_next_block();
        }
        int port = PORTS_FIRST + ports_current_block * PORTS_PER_BLOCK + ports_next_offset++;
        if (ports_is_free(port)) {
            return port;
        }
    }
}
