#include "disk_watch.h"

#include <check.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <unistd.h>

#include "base/clock.h"

enum { PATH_BYTES = 256 };

typedef struct stall_t {
    uint64_t from_ms;
    uint64_t to_ms;
} stall_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static stall_t stalls[DISK_WATCH_MAX_STALLS];
static int stall_count;
static uint64_t sync_began_ms; /* of the sync in progress; 0: none */
static atomic_bool stopping;
static pthread_t thread;
static int file;

static void set_sync_began(uint64_t began_ms)
{
    pthread_mutex_lock(&lock);
    sync_began_ms = began_ms;
    pthread_mutex_unlock(&lock);
}

static void record_sync(uint64_t began_ms, uint64_t ended_ms)
{
    pthread_mutex_lock(&lock);
    sync_began_ms = 0;
    if (ended_ms - began_ms > DISK_WATCH_STALL_MS) {
        stalls[stall_count++ % DISK_WATCH_MAX_STALLS] = (stall_t){began_ms, ended_ms};
    }
    pthread_mutex_unlock(&lock);
}

static void *watch(void *unused)
{
    (void)unused;
    while (!atomic_load(&stopping)) {
        uint64_t began_ms = clock_monotonic_ms();
        set_sync_began(began_ms);
        bool written = pwrite(file, &began_ms, sizeof(began_ms), 0) == sizeof(began_ms) && fdatasync(file) == 0;
        record_sync(began_ms, clock_monotonic_ms());
        ck_assert(written);
        clock_sleep_us(DISK_WATCH_PERIOD_MS * 1000);
    }
    return NULL;
}

void disk_watch_start(const char *directory)
{
    char path[PATH_BYTES];
    snprintf(path, sizeof(path), "%s/disk-watch", directory);
    file = open(path, O_CREAT | O_RDWR | O_CLOEXEC, 0600);
    ck_assert_int_ge(file, 0);
    pthread_create(&thread, NULL, watch, NULL);
}

void disk_watch_stop(void)
{
    atomic_store(&stopping, true);
    pthread_join(thread, NULL);
    close(file);
}

bool disk_watch_has_stalled(uint64_t from_ms, uint64_t to_ms)
{
    pthread_mutex_lock(&lock);
    bool stalled = sync_began_ms != 0 && sync_began_ms + DISK_WATCH_STALL_MS < to_ms;
    for (int i = 0; i < DISK_WATCH_MAX_STALLS && !stalled; i++) {
        stalled = stalls[i].to_ms != 0 && stalls[i].from_ms <= to_ms && stalls[i].to_ms >= from_ms;
    }
    pthread_mutex_unlock(&lock);
    return stalled;
}

int disk_watch_stalls(void)
{
    pthread_mutex_lock(&lock);
    int count = stall_count;
    pthread_mutex_unlock(&lock);
    return count;
}
