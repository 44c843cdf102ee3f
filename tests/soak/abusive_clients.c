#include "abusive_clients.h"

#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#include "../integration/crowd.h"
#include "../integration/site.h"
#include "base/clock.h"
#include "daemons.h"
#include "random.h"

enum {
    CLIENTS = 64,
    FILLER_BYTES = 1 << 19, /* of each client */
    LINE_BYTES = 4096,
    PLAY_MS = 700,
    MAX_PAUSE_MS = 2500,
    STEP_MS = 20,
    PROBE_ONE_IN = 2 /* crowds that meet the listeners for readiness and metrics, on average */
};

#define HEAD(line) line "Host: app.example\r\nBankbank-Request-Id: abusive\r\n"
#define TEXT(text)                                                                                                     \
    {                                                                                                                  \
        (const uint8_t *)(text), sizeof(text) - 1                                                                      \
    }
#define LETTERS                                                                                                        \
    {                                                                                                                  \
        letters, sizeof(letters)                                                                                       \
    }

static uint8_t letters[LINE_BYTES];

static const crowd_script_t scripts[] = {
    {"announced over the limit", TEXT(HEAD("POST /abusive/x HTTP/1.1\r\n") "Content-Length: 1073741824\r\n\r\n"),
     LETTERS, FILLER_BYTES, false},
    {"head without end", TEXT(HEAD("POST /abusive/x HTTP/1.1\r\n") "X-Line: "), LETTERS, FILLER_BYTES, false},
    {"half a body", TEXT(HEAD("POST /abusive/x HTTP/1.1\r\n") "Content-Length: 4096\r\n\r\n"), LETTERS, LINE_BYTES / 2,
     false},
    {"in series, unread", TEXT(HEAD("GET /metrics HTTP/1.1\r\n") "\r\n"),
     TEXT(HEAD("GET /metrics HTTP/1.1\r\n") "\r\n"), FILLER_BYTES, true},
    {"malformed", TEXT("BAD\r\n\r\n"), LETTERS, FILLER_BYTES, true},
    {"silent", TEXT(""), TEXT(""), 0, false},
};

enum { SCRIPTS = sizeof(scripts) / sizeof(*scripts) };

static pthread_t thread;
static atomic_bool stopping;
static atomic_int played;
static uint64_t random_state;

static void abusive_clients_wait(uint64_t wait_ms)
{
    uint64_t end_ms = clock_monotonic_ms() + wait_ms;
    while (!atomic_load(&stopping) && clock_monotonic_ms() < end_ms) {
        clock_sleep_us(STEP_MS * 1000);
    }
}

static int abusive_clients_port(int daemon)
{
    bool probe = random_below(&random_state, PROBE_ONE_IN) == 0;
    if (daemons_is_replica(daemon)) {
        return probe ? site_metrics_port : site_control_port;
    }
    int probe_port = random_below(&random_state, 2) == 0 ? site_metrics_port : site_ready_port;
    return probe ? probe_port : site_caller_port;
}

static void *abusive_clients_run(void *context)
{
    static crowd_t crowd;
    (void)context;
    while (!atomic_load(&stopping)) {
        int daemon = (int)random_below(&random_state, (uint32_t)daemons_count());
        const crowd_script_t *script = &scripts[random_below(&random_state, SCRIPTS)];
        crowd_start(&crowd, site_daemon_ip(daemon), abusive_clients_port(daemon), script, CLIENTS);
        abusive_clients_wait(PLAY_MS);
        crowd_stop(&crowd);
        atomic_fetch_add(&played, 1);
        abusive_clients_wait(random_below(&random_state, MAX_PAUSE_MS));
    }
    return NULL;
}

void abusive_clients_start(uint64_t seed)
{
    memset(letters, 'a', sizeof(letters));
    random_state = seed;
    pthread_create(&thread, NULL, abusive_clients_run, NULL);
}

void abusive_clients_stop(void)
{
    atomic_store(&stopping, true);
    pthread_join(thread, NULL);
}

int abusive_clients_count(void)
{
    return atomic_load(&played);
}
