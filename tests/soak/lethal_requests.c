#include "lethal_requests.h"

#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>

#include "../integration/site.h"
#include "base/clock.h"
#include "daemons.h"
#include "disk_watch.h"
#include "fault_log.h"
#include "oracle.h"
#include "random.h"

enum {
    RETRY_MIN_MS = 50, /* plus up to RETRY_EXTRA_MS; servers take longer than the minimum to start again */
    RETRY_EXTRA_MS = 700,
    KILL_ONE_IN = 3, /* attempts after which all daemons are killed, on average */
    GATEWAY_EXIT_US = 50000,
    GATEWAY_DOWN_MS = 300,
    DISTURBED_MS = 2500, /* how long a fault of a daemon may still affect later requests */
    DAEMON_FAULTS = FAULT_LOG_DOWN | FAULT_LOG_PAUSED | FAULT_LOG_STOPPING | FAULT_LOG_DISK_FULL
};

typedef struct lethal_operation_t {
    int number;
    const char *path;
    bool has_program;
    bool keeps_ids;      /* the servers start again under their ids */
    bool parallel;       /* two attempts at the same time */
    bool kills_gateways; /* the gateway of each attempt is killed when its first server ends; only for turns */
    int exits_before;
} lethal_operation_t;

static void lethal_send(const lethal_operation_t *operation, int attempt, int gateway)
{
    char id[48];
    char lines[256];
    char body[32];
    struct site_response response;
    oracle_expectation_t expectation = {0};
    snprintf(id, sizeof(id), "lethal%d-%d", operation->number, attempt);
    snprintf(body, sizeof(body), "prompt %d", operation->number);
    int length = snprintf(lines, sizeof(lines), "Bankbank-Deadline-Ms: 2000\r\n%s" SITE_EXIT_HEADER ": %d\r\n",
                          operation->keeps_ids ? SITE_SAME_ID_HEADER ": 1\r\n" : "",
                          operation->exits_before + 2 * LETHAL_REQUESTS_ATTEMPTS * SITE_SERVERS);
    if (operation->has_program) {
        snprintf(lines + length, sizeof(lines) - (size_t)length, "Bankbank-Program-Id: lethal%d\r\n%s",
                 operation->number,
                 operation->kills_gateways ? "Bankbank-Token-Budget: 100000\r\nBankbank-Token-Usage: 10,15\r\n" : "");
    }
    oracle_expect(id, &expectation);
    uint64_t sent_ms = clock_monotonic_ms();
    site_call_as(gateway, id, "POST", operation->path, lines, body, &response);
    printf("%s at gateway %d: status %d after %llu ms, %d runs, %d servers ended so far\n", id, gateway,
           response.status, (unsigned long long)(clock_monotonic_ms() - sent_ms), oracle_run_count(id),
           site_exit_count() - operation->exits_before);
    site_response_close(&response);
}

typedef struct lethal_companion_t {
    pthread_t thread;
    const lethal_operation_t *operation;
    int attempt;
    int gateway;
} lethal_companion_t;

static void *lethal_run_companion(void *argument)
{
    const lethal_companion_t *companion = argument;
    lethal_send(companion->operation, companion->attempt, companion->gateway);
    return NULL;
}

/* With `parallel`, a second attempt goes through the next gateway at the same time. */
static void lethal_attempt(const lethal_operation_t *operation, int attempt, int gateway)
{
    lethal_companion_t companion = {.operation = operation,
                                    .attempt = attempt + LETHAL_REQUESTS_ATTEMPTS,
                                    .gateway = (gateway + 1) % daemons_gateways()};
    bool started =
        operation->parallel && pthread_create(&companion.thread, NULL, lethal_run_companion, &companion) == 0;
    lethal_send(operation, attempt, gateway);
    if (started) {
        pthread_join(companion.thread, NULL);
    }
}

static int lethal_gateway; /* daemon that is killed when a server ends */
static atomic_bool lethal_gateway_killed;

/* In a server's thread; returns once the gateway cannot report the end any more. */
static void lethal_kill_gateway(void)
{
    if (!atomic_exchange(&lethal_gateway_killed, true)) {
        fault_log_begin(lethal_gateway, FAULT_LOG_DOWN);
        kill(site_process(lethal_gateway), SIGKILL);
        clock_sleep_us(GATEWAY_EXIT_US);
    }
}

/* An attempt whose gateway dies with its first server; returns when the gateway has settled. */
static void lethal_attempt_with_kill(const lethal_operation_t *operation, int attempt, int gateway,
                                     void (*settle)(void))
{
    lethal_gateway = site_gateway_daemon(gateway);
    atomic_store(&lethal_gateway_killed, false);
    site_set_before_exit(lethal_kill_gateway);
    lethal_send(operation, attempt, gateway);
    site_set_before_exit(NULL);
    if (atomic_load(&lethal_gateway_killed)) {
        daemons_kill(lethal_gateway, GATEWAY_DOWN_MS, 0, 0);
        fault_log_end(lethal_gateway, FAULT_LOG_DOWN);
        settle();
        clock_sleep_us(DISTURBED_MS * 1000);
    }
}

/* `except`: a daemon whose faults do not count; -1: none. */
static bool lethal_daemons_undisturbed(uint64_t from_ms, uint64_t to_ms, int except)
{
    bool disturbed = disk_watch_has_stalled(from_ms, to_ms);
    for (int i = 0; i < daemons_count(); i++) {
        disturbed = disturbed || (i != except && fault_log_overlaps(i, DAEMON_FAULTS, from_ms, to_ms));
    }
    return !disturbed;
}

/* Whether the daemons were undisturbed during the attempt, and so long before that no fault may still affect it. */
static bool lethal_attempt_undisturbed(const lethal_operation_t *operation, int attempt, int gateway,
                                       void (*settle)(void))
{
    uint64_t begin_ms = clock_monotonic_ms();
    if (!operation->kills_gateways) {
        lethal_attempt(operation, attempt, gateway);
        return lethal_daemons_undisturbed(begin_ms - DISTURBED_MS, clock_monotonic_ms(), -1);
    }
    bool before = lethal_daemons_undisturbed(begin_ms - DISTURBED_MS, begin_ms, -1);
    lethal_attempt_with_kill(operation, attempt, gateway, settle);
    return before && lethal_daemons_undisturbed(begin_ms, clock_monotonic_ms(), lethal_gateway);
}

typedef enum lethal_kind_t { LETHAL_ANY, LETHAL_STREAM_SAME_ID, LETHAL_GATEWAYS_KILLED, LETHAL_KINDS } lethal_kind_t;

/* By turns, so that a few operations are of all kinds. */
static lethal_kind_t lethal_next_kind(uint64_t *seed)
{
    static int next = -1;
    next = next < 0 ? (int)random_below(seed, LETHAL_KINDS) : (next + 1) % LETHAL_KINDS;
    return (lethal_kind_t)next;
}

static lethal_operation_t lethal_choose(uint64_t *seed)
{
    static const char *const paths[] = {"/once/x", "/safe/x", "/open/chat/x"};
    static int operations;
    lethal_kind_t kind = lethal_next_kind(seed);
    bool is_stream = kind == LETHAL_STREAM_SAME_ID || kind == LETHAL_GATEWAYS_KILLED;
    lethal_operation_t operation = {.number = ++operations,
                                    .path = paths[random_below(seed, sizeof(paths) / sizeof(paths[0]))],
                                    .has_program = random_below(seed, 2) == 0,
                                    .keeps_ids = random_below(seed, 2) == 0,
                                    .kills_gateways = kind == LETHAL_GATEWAYS_KILLED,
                                    .exits_before = site_exit_count()};
    operation.path = is_stream ? "/open/chat/x" : operation.path;
    operation.has_program = operation.has_program || operation.kills_gateways;
    operation.keeps_ids = operation.keeps_ids || kind == LETHAL_STREAM_SAME_ID;
    operation.parallel = operation.has_program && !operation.kills_gateways && random_below(seed, 2) == 0;
    return operation;
}

void lethal_requests_run(uint64_t *seed, void (*kill_all)(uint64_t *seed), void (*settle)(void))
{
    lethal_operation_t operation = lethal_choose(seed);
    bool kills = !operation.kills_gateways && random_below(seed, 2) == 0;
    bool undisturbed = true;
    fault_log_begin(FAULT_LOG_SERVERS, FAULT_LOG_SERVER_FAULT);
    for (int i = 0; i < LETHAL_REQUESTS_ATTEMPTS; i++) {
        int gateway = (int)random_below(seed, (uint32_t)daemons_gateways());
        undisturbed = lethal_attempt_undisturbed(&operation, i, gateway, settle) && undisturbed;
        if (kills && random_below(seed, KILL_ONE_IN) == 0) {
            kill_all(seed);
            clock_sleep_us(DISTURBED_MS * 1000);
        }
        clock_sleep_us((RETRY_MIN_MS + random_below(seed, RETRY_EXTRA_MS)) * 1000);
    }
    fault_log_end(FAULT_LOG_SERVERS, FAULT_LOG_SERVER_FAULT);
    int exits = site_exit_count() - operation.exits_before;
    printf("operation lethal%d, %s%s%s%s%s%s: %d servers ended%s\n", operation.number, operation.path,
           operation.has_program ? ", program" : "", operation.parallel ? ", two at a time" : "",
           operation.keeps_ids ? ", same ids" : "", kills ? ", kills" : "",
           operation.kills_gateways ? ", gateways killed" : "", exits, undisturbed ? "" : ", daemons disturbed");
    if (exits > LETHAL_REQUESTS_MAX_EXITS && undisturbed) {
        oracle_report_violation("lethal: operation lethal%d, %s ended %d servers, allowed %d", operation.number,
                                operation.path, exits, LETHAL_REQUESTS_MAX_EXITS);
    }
}
