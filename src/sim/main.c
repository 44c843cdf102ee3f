/* bankbank-sim: runs many seeded schedules and reports the first that fails. */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <argtable2.h>

#include "sim/sim.h"

enum { MAIN_MAX_THREADS = 64, MAIN_DEFAULT_SEEDS = 200, MAIN_EXIT_USAGE = 2 };

/* Work shared by the threads. */
struct main_work {
    pthread_mutex_t lock;
    uint64_t next;
    uint64_t end;
    uint64_t done;
    uint64_t failed;
    uint64_t first_failure;
    char failure[SIM_FAULT_TEXT];
    struct sim_counters totals;
};

static void main_add_counters(struct main_work *work, const struct sim_counters *counters)
{
    uint64_t *totals = (uint64_t *)&work->totals;
    const uint64_t *values = (const uint64_t *)counters;
    for (size_t i = 0; i < sizeof(*counters) / sizeof(uint64_t); i++) {
        totals[i] += values[i];
    }
}

static bool main_take(struct main_work *work, uint64_t *seed)
{
    pthread_mutex_lock(&work->lock);
    bool taken = work->next < work->end;
    *seed = work->next;
    work->next += taken ? 1 : 0;
    pthread_mutex_unlock(&work->lock);
    return taken;
}

static void main_note(struct main_work *work, uint64_t seed, const struct sim *sim)
{
    pthread_mutex_lock(&work->lock);
    work->done++;
    main_add_counters(work, &sim->counters);
    if (sim->failed) {
        if (work->failed == 0 || seed < work->first_failure) {
            work->first_failure = seed;
            memcpy(work->failure, sim->failure, sizeof(work->failure));
        }
        work->failed++;
        printf("seed %llu: %s\n", (unsigned long long)seed, sim->failure);
    }
    pthread_mutex_unlock(&work->lock);
}

static void *main_thread(void *argument)
{
    struct main_work *work = argument;
    struct sim *sim = memory_new(sizeof(*sim));
    uint64_t seed = 0;
    while (main_take(work, &seed)) {
        struct sim_options options = sim_options_of_seed(seed);
        sim_run(sim, &options);
        main_note(work, seed, sim);
        sim_close(sim);
    }
    free(sim);
    return NULL;
}

static int main_run(uint64_t first, uint64_t count, int threads)
{
    struct main_work work = {.next = first, .end = first + count};
    pthread_t ids[MAIN_MAX_THREADS];
    struct timespec begun;
    struct timespec ended;
    pthread_mutex_init(&work.lock, NULL);
    clock_gettime(CLOCK_MONOTONIC, &begun);
    for (int i = 0; i < threads; i++) {
        pthread_create(&ids[i], NULL, main_thread, &work);
    }
    for (int i = 0; i < threads; i++) {
        pthread_join(ids[i], NULL);
    }
    clock_gettime(CLOCK_MONOTONIC, &ended);
    const struct sim_counters *t = &work.totals;
    printf("schedules %llu, failed %llu, %.1f s\n", (unsigned long long)work.done, (unsigned long long)work.failed,
           (double)(ended.tv_sec - begun.tv_sec) + (double)(ended.tv_nsec - begun.tv_nsec) / 1e9);
    printf("calls %llu, replays %llu, unknown %llu, repeated runs %llu, budget refusals %llu, timeouts %llu\n",
           (unsigned long long)t->calls, (unsigned long long)t->replays, (unsigned long long)t->unknowns,
           (unsigned long long)t->takeovers, (unsigned long long)t->budget_refusals, (unsigned long long)t->timeouts);
    printf("changes %llu, races lost %llu, history reads %llu\n", (unsigned long long)t->changes,
           (unsigned long long)t->races_lost, (unsigned long long)t->reads);
    printf("crashes %llu, cuts %llu, freezes %llu, snapshots installed %llu\n", (unsigned long long)t->crashes,
           (unsigned long long)t->cuts, (unsigned long long)t->freezes, (unsigned long long)t->installs);
    if (work.failed > 0) {
        printf("first failing seed %llu: %s\n", (unsigned long long)work.first_failure, work.failure);
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
    struct arg_int *first = arg_int0(NULL, "first", "SEED", "first seed (1)");
    struct arg_int *count = arg_int0(NULL, "seeds", "N", "number of schedules (200)");
    struct arg_int *threads = arg_int0(NULL, "threads", "N", "threads (8)");
    struct arg_lit *help = arg_lit0("h", "help", "show this text");
    struct arg_end *end = arg_end(8);
    void *table[] = {first, count, threads, help, end};
    int status = EXIT_SUCCESS;
    int faults = arg_parse(argc, argv, table);
    if (help->count > 0) {
        printf("Usage: bankbank-sim");
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-28s %s\n");
    } else if (faults > 0) {
        arg_print_errors(stderr, end, "bankbank-sim");
        status = MAIN_EXIT_USAGE;
    } else {
        int wanted = threads->count > 0 ? threads->ival[0] : 8;
        wanted = wanted < 1 ? 1 : wanted > MAIN_MAX_THREADS ? MAIN_MAX_THREADS : wanted;
        status = main_run(first->count > 0 ? (uint64_t)first->ival[0] : 1,
                          count->count > 0 ? (uint64_t)count->ival[0] : MAIN_DEFAULT_SEEDS, wanted);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return status;
}
