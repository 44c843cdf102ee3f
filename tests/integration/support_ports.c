#include "ports.h"

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>
#include <unistd.h>

#include <check.h>

enum {
    PORTS_BLOCK = 50,                         /* ports that one process holds together */
    PORTS_BLOCKS = PORTS_COUNT / PORTS_BLOCK, /* blocks in the range */
    PORTS_HOLDER = 0x7f0000fe                 /* 127.0.0.254, where only blocks are held */
};

static int ports_block = -1;  /* block that is handed out now, -1: none yet */
static int ports_blocks_seen; /* blocks looked at */
static int ports_next;        /* next place in it */

/* A socket that has a port at an address, or -1 where another one has it. */
static int ports_bind(uint32_t ip, int port)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET, .sin_port = htons((uint16_t)port), .sin_addr.s_addr = htonl(ip)};
    int file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ck_assert_int_ge(file, 0);
    if (bind(file, (struct sockaddr *)&address, sizeof(address)) == 0) {
        return file;
    }
    close(file);
    return -1;
}

/* The block's first port, at an address of its own, is held until this process ends. */
static bool ports_hold_block(int block)
{
    return ports_bind(PORTS_HOLDER, PORTS_FIRST + block * PORTS_BLOCK) >= 0;
}

static void ports_next_block(void)
{
    int start = (int)((long)getpid() % PORTS_BLOCKS);
    do {
        ck_assert_msg(ports_blocks_seen < PORTS_BLOCKS, "no free port is left");
        ports_block = (start + ports_blocks_seen++) % PORTS_BLOCKS;
    } while (!ports_hold_block(ports_block));
    ports_next = 1; /* the first one is held */
}

/* At no address of this machine: daemons listen at several. */
static bool ports_is_free(int port)
{
    int file = ports_bind(INADDR_ANY, port);
    if (file < 0) {
        return false;
    }
    close(file);
    return true;
}

int ports_take(void)
{
    for (;;) {
        if (ports_block < 0 || ports_next == PORTS_BLOCK) {
            ports_next_block();
        }
        int port = PORTS_FIRST + ports_block * PORTS_BLOCK + ports_next++;
        if (ports_is_free(port)) {
            return port;
        }
    }
}
