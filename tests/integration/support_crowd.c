/* Clients that do not keep to the limits, on nonblocking sockets of one thread. */
#include "crowd.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"

enum {
    CROWD_ROUND_US = 20000,
    CROWD_IDLE_ROUNDS = 75, /* after which clients that are not done are taken to be held up */
    CROWD_SENDS_PER_ROUND = 8,
    CROWD_READ_BYTES = 1 << 16,
    CROWD_PATH_BYTES = 64,
    CROWD_LINE_BYTES = 256
};

static int crowd_connect(const crowd_t *crowd)
{
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)crowd->port)};
    inet_pton(AF_INET, crowd->ip, &address.sin_addr);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd >= 0) {
        connect(fd, (struct sockaddr *)&address, sizeof(address));
    }
    return fd;
}

static void crowd_mark_done(crowd_t *crowd, crowd_client_t *client)
{
    if (!client->done) {
        client->done = true;
        __atomic_add_fetch(&crowd->done, 1, __ATOMIC_RELAXED);
    }
}

static void crowd_disconnect(crowd_t *crowd, crowd_client_t *client)
{
    close(client->fd);
    client->fd = -1;
    client->sent = 0;
    crowd_mark_done(crowd, client);
}

/* The next bytes to send; empty: all are sent. */
static struct view crowd_next(const crowd_script_t *script, size_t sent)
{
    if (sent < script->first.length) {
        return view_of(script->first.data + sent, script->first.length - sent);
    }
    size_t filled = sent - script->first.length;
    if (script->filler.length == 0 || filled >= script->max_bytes) {
        return view_of(NULL, 0);
    }
    size_t at = filled % script->filler.length;
    return view_of(script->filler.data + at, script->filler.length - at);
}

/* False: the connection has ended. */
static bool crowd_read(const crowd_t *crowd, const crowd_client_t *client)
{
    static char ignored[CROWD_READ_BYTES];
    ssize_t got = 1;
    while (!crowd->script->unread && got > 0) {
        got = recv(client->fd, ignored, sizeof(ignored), MSG_DONTWAIT);
    }
    return got != 0;
}

static void crowd_drive(crowd_t *crowd, crowd_client_t *client)
{
    if (client->fd < 0) {
        client->fd = crowd_connect(crowd);
        return;
    }
    for (int i = 0; i < CROWD_SENDS_PER_ROUND; i++) {
        struct view next = crowd_next(crowd->script, client->sent);
        if (next.length == 0) {
            crowd_mark_done(crowd, client);
            break;
        }
        ssize_t sent = send(client->fd, next.data, next.length, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent < 0 && errno != EAGAIN) {
            crowd_disconnect(crowd, client);
            return;
        }
        if (sent < 0) {
            break;
        }
        client->sent += (size_t)sent;
    }
    if (!crowd_read(crowd, client)) {
        crowd_disconnect(crowd, client);
    }
}

static void *crowd_run(void *context)
{
    crowd_t *crowd = context;
    while (!__atomic_load_n(&crowd->stopping, __ATOMIC_ACQUIRE)) {
        for (int i = 0; i < crowd->count; i++) {
            crowd_drive(crowd, &crowd->clients[i]);
        }
        __atomic_add_fetch(&crowd->rounds, 1, __ATOMIC_RELAXED);
        clock_sleep_us(CROWD_ROUND_US);
    }
    return NULL;
}

void crowd_start(crowd_t *crowd, const char *ip, int port, const crowd_script_t *script, int count)
{
    memset(crowd, 0, sizeof(*crowd));
    crowd->ip = ip;
    crowd->port = port;
    crowd->script = script;
    crowd->count = count;
    for (int i = 0; i < count; i++) {
        crowd->clients[i].fd = -1;
    }
    pthread_create(&crowd->thread, NULL, crowd_run, crowd);
}

void crowd_wait(const crowd_t *crowd)
{
    while (__atomic_load_n(&crowd->done, __ATOMIC_RELAXED) < crowd->count &&
           __atomic_load_n(&crowd->rounds, __ATOMIC_RELAXED) < CROWD_IDLE_ROUNDS) {
        clock_sleep_us(CROWD_ROUND_US);
    }
}

void crowd_stop(crowd_t *crowd)
{
    __atomic_store_n(&crowd->stopping, true, __ATOMIC_RELEASE);
    pthread_join(crowd->thread, NULL);
    for (int i = 0; i < crowd->count; i++) {
        if (crowd->clients[i].fd >= 0) {
            close(crowd->clients[i].fd);
        }
    }
}

void crowd_raise_descriptor_limit(void)
{
    struct rlimit limit;
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

long crowd_peak_kb(pid_t process)
{
    char path[CROWD_PATH_BYTES];
    char line[CROWD_LINE_BYTES];
    long peak = -1;
    snprintf(path, sizeof(path), "/proc/%d/status", (int)process);
    FILE *file = fopen(path, "r");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        if (sscanf(line, "VmHWM: %ld kB", &peak) == 1) {
            break;
        }
    }
    if (file != NULL) {
        fclose(file);
    }
    return peak;
}

void crowd_reset_peak(pid_t process)
{
    char path[CROWD_PATH_BYTES];
    snprintf(path, sizeof(path), "/proc/%d/clear_refs", (int)process);
    int fd = open(path, O_WRONLY | O_CLOEXEC);
    if (fd >= 0) {
        ssize_t ignored = write(fd, "5", 1); /* proc(5): resets the peak */
        (void)ignored;
        close(fd);
    }
}

int crowd_descriptors(pid_t process)
{
    char path[CROWD_PATH_BYTES];
    int count = 0;
    snprintf(path, sizeof(path), "/proc/%d/fd", (int)process);
    DIR *directory = opendir(path);
    const struct dirent *entry = NULL;
    while (directory != NULL && (entry = readdir(directory)) != NULL) {
        count += entry->d_name[0] == '.' ? 0 : 1;
    }
    if (directory != NULL) {
        closedir(directory);
    }
    return count;
}
