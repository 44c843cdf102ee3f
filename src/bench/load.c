#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "bench/bench.h"
#include "measure/scrape.h"

enum {
    LOAD_STACK_BYTES = 256 << 10,
    LOAD_SAMPLE_PERIOD_US = 100000,
    LOAD_DRAIN_POLL_US = 10000,
    LOAD_DRAIN_TIMEOUT_MS = 120000
};

static const char LOAD_CPU_METRIC[] = "bankbank_process_cpu_seconds_total";
static const char LOAD_MEMORY_METRIC[] = "bankbank_process_resident_memory_bytes";

/* The arrival's thread frees it. */
struct arrival {
    struct bench *bench;
    bool plain;
    uint32_t number;
    uint64_t seed;
};

static void arrival_run_program(const struct arrival *arrival)
{
    struct bench *bench = arrival->bench;
    bool paired = bench->config.engine_count > 0 && bench->config.gateway_count > 0;
    bool direct = bench->config.gateway_count == 0 || (paired && arrival->number % 2 == 1);
    struct bench_results *results = &bench->results[direct ? BENCH_DIRECT : BENCH_GATEWAY];
    /* Both programs of a pair, one through a daemon and one direct, draw the same turns. */
    uint64_t seed = bench->config.seed * 1000003U + (paired ? arrival->number / 2 : arrival->number);
    struct bench_program program = {.bench = bench, .results = results, .seed = seed, .number = arrival->number};
    if (bench_program_run(&program, NULL)) {
        samples_add(&results->program, program.turn_time_ms);
        __atomic_fetch_add(&results->programs_finished, 1, __ATOMIC_RELAXED);
    } else {
        __atomic_fetch_add(&results->programs_failed, 1, __ATOMIC_RELAXED);
    }
}

static void *arrival_main(void *argument)
{
    struct arrival *arrival = argument;
    if (arrival->plain) {
        bench_send_plain_request(arrival->bench, arrival->seed);
    } else {
        arrival_run_program(arrival);
    }
    __atomic_fetch_sub(&arrival->bench->open, 1, __ATOMIC_ACQ_REL);
    free(arrival);
    return NULL;
}

static void load_start_arrival(struct bench *bench, bool plain, uint32_t number, uint64_t seed)
{
    uint64_t open = __atomic_load_n(&bench->open, __ATOMIC_ACQUIRE);
    if (open >= bench->config.max_open) {
        bench->dropped++;
        return;
    }
    bench->most_open = open + 1 > bench->most_open ? open + 1 : bench->most_open;
    struct arrival *arrival = memory_new(sizeof(*arrival));
    *arrival = (struct arrival){.bench = bench, .plain = plain, .number = number, .seed = seed};
    pthread_t thread;
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, LOAD_STACK_BYTES);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    __atomic_fetch_add(&bench->open, 1, __ATOMIC_ACQ_REL);
    if (pthread_create(&thread, &attributes, arrival_main, arrival) != 0) {
        __atomic_fetch_sub(&bench->open, 1, __ATOMIC_ACQ_REL);
        bench->dropped++;
        free(arrival);
    }
    pthread_attr_destroy(&attributes);
}

static void load_sleep_until(uint64_t time_us)
{
    uint64_t now_us = clock_monotonic_us();
    if (time_us > now_us) {
        clock_sleep_us(time_us - now_us);
    }
}

static void load_generate_arrivals(struct bench *bench)
{
    const struct bench_config *config = &bench->config;
    uint64_t random_state = config->seed;
    uint64_t start_us = clock_monotonic_us();
    double end_s = config->seconds;
    double next_program_s =
        config->program_rate > 0 ? bench_exponential(&random_state, 1.0 / config->program_rate) : end_s;
    double next_plain_s = config->plain_rate > 0 ? bench_exponential(&random_state, 1.0 / config->plain_rate) : end_s;
    uint32_t programs = 0;
    while (next_program_s < end_s || next_plain_s < end_s) {
        bool plain = next_plain_s < next_program_s;
        double *next_s = plain ? &next_plain_s : &next_program_s;
        load_sleep_until(start_us + (uint64_t)(*next_s * 1e6));
        load_start_arrival(bench, plain, plain ? 0 : programs++, bench_random(&random_state));
        *next_s += bench_exponential(&random_state, 1.0 / (plain ? config->plain_rate : config->program_rate));
    }
}

static void *load_sample_daemons(void *argument)
{
    struct bench *bench = argument;
    while (!__atomic_load_n(&bench->ended, __ATOMIC_ACQUIRE)) {
        for (uint32_t i = 0; i < bench->config.gateway_count; i++) {
            const char *gateway = bench->config.gateways[i];
            struct buffer page = {0};
            scrape_fetch(gateway, &page);
            double memory = scrape_value(&page, LOAD_MEMORY_METRIC);
            double streams = scrape_value(&page, "bankbank_requests_in_flight");
            buffer_close(&page);
            bench->memory_peak[i] = memory > bench->memory_peak[i] ? memory : bench->memory_peak[i];
            bench->streams_peak[i] = streams > bench->streams_peak[i] ? streams : bench->streams_peak[i];
        }
        clock_sleep_us(LOAD_SAMPLE_PERIOD_US);
    }
    return NULL;
}

/* The CPU time is stored negative: bench_run() adds its final value. */
static void load_record_baseline(struct bench *bench)
{
    for (uint32_t i = 0; i < bench->config.gateway_count; i++) {
        struct buffer page = {0};
        scrape_fetch(bench->config.gateways[i], &page);
        bench->cpu_seconds[i] = -scrape_value(&page, LOAD_CPU_METRIC);
        bench->memory_before[i] = scrape_value(&page, LOAD_MEMORY_METRIC);
        buffer_close(&page);
    }
}

void bench_run(struct bench *bench)
{
    pthread_t sampler;
    load_record_baseline(bench);
    uint64_t started_us = clock_monotonic_us();
    bool sampling = pthread_create(&sampler, NULL, load_sample_daemons, bench) == 0;
    load_generate_arrivals(bench);
    uint64_t deadline_ms = clock_monotonic_ms() + LOAD_DRAIN_TIMEOUT_MS;
    while (__atomic_load_n(&bench->open, __ATOMIC_ACQUIRE) > 0 && clock_monotonic_ms() < deadline_ms) {
        clock_sleep_us(LOAD_DRAIN_POLL_US);
    }
    bench->wall_seconds = (double)(clock_monotonic_us() - started_us) / 1e6;
    __atomic_store_n(&bench->ended, true, __ATOMIC_RELEASE);
    if (sampling) {
        pthread_join(sampler, NULL);
    }
    for (uint32_t i = 0; i < bench->config.gateway_count; i++) {
        struct buffer page = {0};
        scrape_fetch(bench->config.gateways[i], &page);
        bench->cpu_seconds[i] += scrape_value(&page, LOAD_CPU_METRIC);
        bench->memory_after[i] = scrape_value(&page, LOAD_MEMORY_METRIC);
        buffer_close(&page);
    }
}
