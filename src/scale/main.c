/* bankbank-scale: hollow gateways against real state replicas; figures as JSON. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include <argtable2.h>

#include "base/clock.h"
#include "base/log.h"
#include "measure/scrape.h"
#include "net/http_client.h"
#include "scale/scale.h"

enum {
    SCALE_EXIT_USAGE = 2,
    SCALE_ROUND_US = 2000,
    SCALE_READY_LIMIT_MS = 60000,
    SCALE_CREATE_LIMIT_MS = 120000,
    SCALE_POLL_US = 5000,
    SCALE_SETTLE_US = 1500000 /* what the set-up left to do is not measured */
};

/* Metrics read from each replica; rates but for the memory. */
static const char *const scale_metrics[] = {
    "bankbank_process_cpu_seconds_total", "bankbank_process_resident_memory_bytes",
    "bankbank_log_syncs_total",           "bankbank_log_entries_total",
    "bankbank_log_bytes_total",           "bankbank_link_sent_bytes_total",
    "bankbank_link_received_bytes_total", "bankbank_link_sent_frames_total",
};
enum { SCALE_METRICS = sizeof(scale_metrics) / sizeof(scale_metrics[0]), SCALE_MEMORY_METRIC = 1 };

/* Counters at the start and at the end of the measured time. */
struct scale_totals {
    uint64_t frames_out, frames_in, bytes_out, bytes_in;
    double replicas[RAFT_MAX_MEMBERS][SCALE_METRICS];
    double cpu_seconds;
    uint64_t time_us;
};

/* ---- Threads --------------------------------------------------------------------------- */

static void scale_drive_changes(struct scale *scale, double *next_us)
{
    const struct scale_config *config = &scale->config;
    bool measuring = __atomic_load_n(&scale->measuring, __ATOMIC_ACQUIRE);
    if (scale->change_count < scale_setup_changes(config)) {
        scale_change_next(scale);
        return;
    }
    double now_us = (double)clock_monotonic_us();
    if (measuring && config->changes_per_second > 0 && now_us >= *next_us) {
        scale_change_next(scale);
        *next_us = now_us + 1e6 / config->changes_per_second;
    }
}

static void *scale_thread_main(void *argument)
{
    struct scale_thread *thread = argument;
    struct scale *scale = thread->scale;
    double next_change_us = 0;
    while (!__atomic_load_n(&scale->stopping, __ATOMIC_ACQUIRE)) {
        uint64_t started_us = clock_monotonic_us();
        uint64_t ready = 0;
        thread->now_ms = clock_monotonic_ms();
        for (uint32_t i = 0; i < thread->hollow_count; i++) {
            hollow_step(&thread->hollows[i], thread->now_ms);
            ready += control_client_has_lease(&thread->hollows[i].client, thread->now_ms) ? 1 : 0;
        }
        __atomic_store_n(&thread->ready, ready, __ATOMIC_RELEASE);
        bool all_ready = ready == thread->hollow_count;
        if (all_ready) {
            scale_generate(thread);
        }
        if (thread->number == 0) {
            scale_drive_changes(scale, &next_change_us);
        }
        uint64_t took_us = clock_monotonic_us() - started_us;
        if (took_us < SCALE_ROUND_US) {
            clock_sleep_us(SCALE_ROUND_US - took_us);
        }
    }
    return NULL;
}

static bool scale_start(struct scale *scale)
{
    const struct scale_config *config = &scale->config;
    uint32_t node = config->first_node;
    for (uint32_t t = 0; t < config->threads; t++) {
        struct scale_thread *thread = &scale->threads[t];
        thread->scale = scale;
        thread->number = t;
        thread->random = config->seed * 7919U + t;
        thread->now_ms = clock_monotonic_ms();
        thread->hollow_count = config->gateways / config->threads + (t < config->gateways % config->threads ? 1 : 0);
        thread->program_count = config->programs / config->threads;
        thread->hollows = memory_new(thread->hollow_count * sizeof(*thread->hollows));
        thread->programs = memory_new(thread->program_count * sizeof(*thread->programs));
        for (uint32_t i = 0; i < thread->hollow_count; i++) {
            if (!hollow_start(&thread->hollows[i], thread, node++)) {
                return false;
            }
        }
    }
    for (uint32_t t = 0; t < config->threads; t++) {
        if (pthread_create(&scale->threads[t].thread, NULL, scale_thread_main, &scale->threads[t]) != 0) {
            return false;
        }
    }
    return true;
}

static void scale_stop(struct scale *scale)
{
    __atomic_store_n(&scale->stopping, true, __ATOMIC_RELEASE);
    for (uint32_t t = 0; t < scale->config.threads; t++) {
        struct scale_thread *thread = &scale->threads[t];
        pthread_join(thread->thread, NULL);
        for (uint32_t i = 0; i < thread->hollow_count; i++) {
            hollow_stop(&thread->hollows[i]);
        }
        free(thread->hollows);
        free(thread->programs);
    }
}

/* ---- Phases ------------------------------------------------------------------------------ */

static uint64_t scale_count_ready(const struct scale *scale)
{
    uint64_t ready = 0;
    for (uint32_t t = 0; t < scale->config.threads; t++) {
        ready += __atomic_load_n(&scale->threads[t].ready, __ATOMIC_ACQUIRE);
    }
    return ready;
}

static bool scale_is_ready(const struct scale *scale)
{
    return scale_count_ready(scale) == scale->config.gateways;
}

static bool scale_is_created(const struct scale *scale)
{
    uint64_t wanted = (uint64_t)(scale->config.programs / scale->config.threads) * scale->config.threads;
    return __atomic_load_n(&scale->created, __ATOMIC_ACQUIRE) >= wanted;
}

static bool scale_is_configured(const struct scale *scale)
{
    return __atomic_load_n(&scale->configured, __ATOMIC_ACQUIRE) >= scale_setup_changes(&scale->config);
}

/* Waits for a condition; returns the seconds it took, or -1. */
static double scale_wait(const struct scale *scale, bool (*reached)(const struct scale *scale), uint64_t limit_ms)
{
    uint64_t started_us = clock_monotonic_us();
    uint64_t end_ms = clock_monotonic_ms() + limit_ms;
    while (!reached(scale)) {
        if (clock_monotonic_ms() > end_ms) {
            return -1;
        }
        clock_sleep_us(SCALE_POLL_US);
    }
    return (double)(clock_monotonic_us() - started_us) / 1e6;
}

static void scale_read_totals(const struct scale *scale, struct scale_totals *totals)
{
    struct rusage usage;
    memset(totals, 0, sizeof(*totals));
    for (uint32_t t = 0; t < scale->config.threads; t++) {
        const struct scale_thread *thread = &scale->threads[t];
        for (uint32_t i = 0; i < thread->hollow_count; i++) {
            const struct hollow *hollow = &thread->hollows[i];
            totals->frames_out += hollow->links.frames_out;
            totals->frames_in += hollow->links.frames_in;
            totals->bytes_out += hollow->links.bytes_out;
            totals->bytes_in += hollow->links.bytes_in;
        }
    }
    getrusage(RUSAGE_SELF, &usage);
    totals->cpu_seconds = (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
                          (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
    totals->time_us = clock_monotonic_us();
    for (uint32_t i = 0; i < scale->config.metrics_count; i++) {
        struct buffer page = {0};
        scrape_fetch(scale->config.metrics[i], &page);
        for (size_t j = 0; j < SCALE_METRICS; j++) {
            totals->replicas[i][j] = scrape_value(&page, scale_metrics[j]);
        }
        buffer_close(&page);
    }
}

static json_t *scale_report_replicas(const struct scale_config *config, const struct scale_totals *before,
                                     const struct scale_totals *after)
{
    double seconds = (double)(after->time_us - before->time_us) / 1e6;
    json_t *list = json_array();
    for (uint32_t i = 0; i < config->metrics_count; i++) {
        json_t *replica = json_object();
        for (size_t j = 0; j < SCALE_METRICS; j++) {
            double rate = (after->replicas[i][j] - before->replicas[i][j]) / seconds;
            bool is_memory = j == SCALE_MEMORY_METRIC;
            json_object_set_new(replica, scale_metrics[j], json_real(is_memory ? after->replicas[i][j] : rate));
        }
        json_array_append_new(list, replica);
    }
    return list;
}

static void scale_print(struct scale *scale, double ready_s, double configured_s, double created_s,
                        const struct scale_totals *before, const struct scale_totals *after)
{
    const struct scale_config *config = &scale->config;
    double seconds = (double)(after->time_us - before->time_us) / 1e6;
    double share = 1.0 / seconds / config->gateways;
    uint64_t calls = 0;
    uint64_t refused = 0;
    uint64_t skipped = 0;
    for (uint32_t t = 0; t < config->threads; t++) {
        calls += scale->threads[t].calls;
        refused += scale->threads[t].refused;
        skipped += scale->threads[t].skipped;
    }
    scale_join_changes(scale);
    json_t *body = json_pack("{s:I,s:I,s:I,s:I,s:f,s:f,s:f,s:f,s:f,s:I,s:I}", "gateways", (json_int_t)config->gateways,
                             "programs", (json_int_t)config->programs, "tenants", (json_int_t)config->tenants,
                             "engines", (json_int_t)config->engines, "seconds", seconds, "ready_seconds", ready_s,
                             "configured_seconds", configured_s, "created_seconds", created_s, "calls_per_second",
                             (double)calls / seconds, "refused", (json_int_t)refused, "skipped", (json_int_t)skipped);
    json_object_set_new(body, "per_gateway",
                        json_pack("{s:f,s:f,s:f,s:f,s:f}", "frames_out_per_second",
                                  (double)(after->frames_out - before->frames_out) * share, "frames_in_per_second",
                                  (double)(after->frames_in - before->frames_in) * share, "bytes_out_per_second",
                                  (double)(after->bytes_out - before->bytes_out) * share, "bytes_in_per_second",
                                  (double)(after->bytes_in - before->bytes_in) * share, "cpu_cores",
                                  (after->cpu_seconds - before->cpu_seconds) * share));
    json_object_set_new(body, "replicas", scale_report_replicas(config, before, after));
    json_object_set_new(body, "begin_ms", samples_report(&scale->begin));
    json_object_set_new(body, "finish_ms", samples_report(&scale->finish));
    json_object_set_new(body, "in_force_ms", samples_report(&scale->in_force));
    json_dumpf(body, stdout, JSON_INDENT(2));
    printf("\n");
    json_decref(body);
}

static int scale_run(struct scale *scale)
{
    struct scale_totals before;
    struct scale_totals after;
    if (!scale_start(scale)) {
        fprintf(stderr, "bankbank-scale: cannot start the gateways\n");
        return EXIT_FAILURE;
    }
    double ready_s = scale_wait(scale, scale_is_ready, SCALE_READY_LIMIT_MS);
    double configured_s = ready_s < 0 ? -1 : scale_wait(scale, scale_is_configured, SCALE_READY_LIMIT_MS);
    double created_s = configured_s < 0 ? -1 : scale_wait(scale, scale_is_created, SCALE_CREATE_LIMIT_MS);
    bool reached = created_s >= 0;
    if (reached) {
        clock_sleep_us(SCALE_SETTLE_US);
        scale_read_totals(scale, &before);
        __atomic_store_n(&scale->measuring, true, __ATOMIC_RELEASE);
        clock_sleep_us((uint64_t)(scale->config.seconds * 1e6));
        scale_read_totals(scale, &after);
    } else {
        fprintf(stderr, "bankbank-scale: %llu of %u gateways ready, %llu programs created\n",
                (unsigned long long)scale_count_ready(scale), scale->config.gateways,
                (unsigned long long)scale->created);
    }
    scale_stop(scale);
    if (reached) {
        scale_print(scale, ready_s, configured_s, created_s, &before, &after);
    }
    free(scale->arrivals);
    return reached ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* ---- Command line -------------------------------------------------------------------------- */

/* Reads NODE=IP:PORT. */
static bool scale_add_replica(struct scale_config *config, const char *text)
{
    char *end = NULL;
    unsigned long node = strtoul(text, &end, 10);
    uint32_t position = config->replica_count;
    bool valid =
        node > 0 && *end == '=' && position < RAFT_MAX_MEMBERS && address_parse(end + 1, &config->addresses[position]);
    if (valid) {
        config->replicas[config->replica_count++] = (uint32_t)node;
    }
    return valid;
}

static double scale_number(const struct arg_dbl *flag, double fallback)
{
    return flag->count > 0 ? flag->dval[0] : fallback;
}

static uint32_t scale_int(const struct arg_int *flag, uint32_t fallback)
{
    return flag->count > 0 ? (uint32_t)flag->ival[0] : fallback;
}

int main(int argc, char **argv)
{
    static struct scale scale;
    struct arg_str *replicas = arg_strn(NULL, "replica", "NODE=IP:PORT", 1, RAFT_MAX_MEMBERS, "peer link of a replica");
    struct arg_str *metrics =
        arg_strn(NULL, "metrics", "URL", 0, RAFT_MAX_MEMBERS, "base URL of a replica's metrics; may be repeated");
    struct arg_str *cluster = arg_str0(NULL, "cluster", "NAME", "cluster (demo)");
    struct arg_int *groups = arg_int0(NULL, "groups", "N", "groups of the system (5)");
    struct arg_int *gateways = arg_int0(NULL, "gateways", "N", "hollow gateways (20)");
    struct arg_int *threads = arg_int0(NULL, "threads", "N", "threads they share (4)");
    struct arg_int *programs = arg_int0(NULL, "programs", "N", "programs under way (0)");
    struct arg_dbl *calls = arg_dbl0(NULL, "calls", "N", "program calls a second (0)");
    struct arg_dbl *changes = arg_dbl0(NULL, "changes", "N", "configuration changes a second (0)");
    struct arg_int *tenants = arg_int0(NULL, "tenants", "N", "tenants to create first (0)");
    struct arg_int *engines = arg_int0(NULL, "engines", "N", "engines to put into three pools first (0)");
    struct arg_int *message = arg_int0(NULL, "message-bytes", "N", "mean length of messages and answers (1000)");
    struct arg_dbl *seconds = arg_dbl0(NULL, "seconds", "S", "time measured (5)");
    struct arg_int *seed = arg_int0(NULL, "seed", "N", "seed (1)");
    struct arg_end *end = arg_end(8);
    void *table[] = {replicas, metrics, cluster, groups,  gateways, threads, programs, calls,
                     changes,  tenants, engines, message, seconds,  seed,    end};
    int status = SCALE_EXIT_USAGE;
    if (arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, "bankbank-scale");
        goto out;
    }
    scale.config = (struct scale_config){
        .cluster = cluster->count > 0 ? cluster->sval[0] : "demo",
        .groups = scale_int(groups, 5),
        .gateways = scale_int(gateways, 20),
        .first_node = 1000,
        .threads = scale_int(threads, 4),
        .programs = scale_int(programs, 0),
        .calls_per_second = scale_number(calls, 0),
        .changes_per_second = scale_number(changes, 0),
        .tenants = scale_int(tenants, 0),
        .engines = scale_int(engines, 0),
        .pools = 3,
        .message_bytes = scale_int(message, 1000),
        .seconds = scale_number(seconds, 5),
        .seed = scale_int(seed, 1),
    };
    for (int i = 0; i < metrics->count; i++) {
        scale.config.metrics[scale.config.metrics_count++] = metrics->sval[i];
    }
    for (int i = 0; i < replicas->count; i++) {
        if (!scale_add_replica(&scale.config, replicas->sval[i])) {
            fprintf(stderr, "bankbank-scale: '%s' is not NODE=IP:PORT\n", replicas->sval[i]);
            goto out;
        }
    }
    if (scale.config.threads == 0 || scale.config.threads > SCALE_MAX_THREADS) {
        fprintf(stderr, "bankbank-scale: 1 to %d threads\n", SCALE_MAX_THREADS);
        goto out;
    }
    signal(SIGPIPE, SIG_IGN);
    log_init(LOG_LEVEL_ERROR);
    http_client_init();
    samples_init(&scale.begin);
    samples_init(&scale.finish);
    samples_init(&scale.in_force);
    pthread_mutex_init(&scale.lock, NULL);
    status = scale_run(&scale);
    samples_close(&scale.begin);
    samples_close(&scale.finish);
    samples_close(&scale.in_force);
    http_client_close();
    log_close();
out:
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return status;
}
