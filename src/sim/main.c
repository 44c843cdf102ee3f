/* bankbank-sim: runs a range of seeded schedules on several threads and reports those that fail. */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <argtable2.h>

#include "sim/sim.h"

enum { MAIN_MAX_THREADS = 64, MAIN_DEFAULT_SEEDS = 200, MAIN_EXIT_USAGE = 2 };

/* State shared by the worker threads; `lock` protects all members. */
struct main_work {
    pthread_mutex_t lock;
    uint64_t next_seed;
    uint64_t end_seed;
    uint64_t run_count;
    uint64_t failed_count;
    uint64_t first_failed_seed; /* the lowest one; `failure` belongs to it */
    char failure[SIM_FAILURE_TEXT_BYTES];
    struct sim_counters totals;
    bool lose_disks;
};

static void main_add_counters(struct main_work *work, const struct sim_counters *counters)
{
    uint64_t *totals = (uint64_t *)&work->totals;
    const uint64_t *values = (const uint64_t *)counters;
    for (size_t i = 0; i < sizeof(*counters) / sizeof(uint64_t); i++) {
        totals[i] += values[i];
    }
}

static bool main_take_seed(struct main_work *work, uint64_t *seed)
{
    pthread_mutex_lock(&work->lock);
    bool taken = work->next_seed < work->end_seed;
    *seed = work->next_seed;
    work->next_seed += taken ? 1 : 0;
    pthread_mutex_unlock(&work->lock);
    return taken;
}

static void main_record_result(struct main_work *work, uint64_t seed, const struct sim *sim)
{
    pthread_mutex_lock(&work->lock);
    work->run_count++;
    main_add_counters(work, &sim->counters);
    if (sim->failed) {
        if (work->failed_count == 0 || seed < work->first_failed_seed) {
            work->first_failed_seed = seed;
            memcpy(work->failure, sim->failure, sizeof(work->failure));
        }
        work->failed_count++;
        printf("seed %llu: %s\n", (unsigned long long)seed, sim->failure);
    }
    pthread_mutex_unlock(&work->lock);
}

static void *main_worker(void *argument)
{
    struct main_work *work = argument;
    struct sim *sim = memory_new(sizeof(*sim));
    uint64_t seed = 0;
    while (main_take_seed(work, &seed)) {
        struct sim_options options = work->lose_disks ? sim_disk_options_of_seed(seed) : sim_options_of_seed(seed);
        sim_run(sim, &options);
        main_record_result(work, seed, sim);
        sim_close(sim);
    }
    free(sim);
    return NULL;
}

static int main_run(uint64_t first, uint64_t count, int threads, bool lose_disks)
{
    struct main_work work = {.next_seed = first, .end_seed = first + count, .lose_disks = lose_disks};
    pthread_t ids[MAIN_MAX_THREADS];
    struct timespec start_time;
    struct timespec end_time;
    pthread_mutex_init(&work.lock, NULL);
    clock_gettime(CLOCK_MONOTONIC, &start_time);
    for (int i = 0; i < threads; i++) {
        pthread_create(&ids[i], NULL, main_worker, &work);
    }
    for (int i = 0; i < threads; i++) {
        pthread_join(ids[i], NULL);
    }
    clock_gettime(CLOCK_MONOTONIC, &end_time);
    const struct sim_counters *totals = &work.totals;
    printf("schedules %llu, failed %llu, %.1f s\n", (unsigned long long)work.run_count,
           (unsigned long long)work.failed_count,
           (double)(end_time.tv_sec - start_time.tv_sec) + (double)(end_time.tv_nsec - start_time.tv_nsec) / 1e9);
    printf("calls %llu, replays %llu, unknown %llu, repeated runs %llu, budget refusals %llu, timeouts %llu\n",
           (unsigned long long)totals->calls, (unsigned long long)totals->replays, (unsigned long long)totals->unknowns,
           (unsigned long long)totals->repeated_runs, (unsigned long long)totals->budget_refusals,
           (unsigned long long)totals->timeouts);
    printf("changes %llu, revision conflicts %llu, history reads %llu\n", (unsigned long long)totals->changes,
           (unsigned long long)totals->revision_conflicts, (unsigned long long)totals->reads);
    printf("crashes %llu, partitions %llu, freezes %llu, snapshots installed %llu\n",
           (unsigned long long)totals->crashes, (unsigned long long)totals->partitions,
           (unsigned long long)totals->freezes, (unsigned long long)totals->installs);
    printf("states compared %llu\n", (unsigned long long)totals->digests);
    if (lose_disks) {
        printf("disks lost %llu, returns at another address %llu, changes of members %llu\n",
               (unsigned long long)totals->disk_losses, (unsigned long long)totals->moves,
               (unsigned long long)totals->member_changes);
    }
    if (work.failed_count > 0) {
        printf("first failing seed %llu: %s\n", (unsigned long long)work.first_failed_seed, work.failure);
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
    struct arg_int *first = arg_int0(NULL, "first", "SEED", "first seed (default 1)");
    struct arg_int *count = arg_int0(NULL, "seeds", "N", "number of seeds to run (default 200)");
    struct arg_int *threads = arg_int0(NULL, "threads", "N", "number of threads (default 8, at most 64)");
    struct arg_lit *lose_disks = arg_lit0(NULL, "lose-disks", "machines lose their disks and are replaced");
    struct arg_lit *help = arg_lit0("h", "help", "show this text");
    struct arg_end *end = arg_end(8);
    void *table[] = {first, count, threads, lose_disks, help, end};
    int status = EXIT_SUCCESS;
    int errors = arg_parse(argc, argv, table);
    if (help->count > 0) {
        printf("Usage: bankbank-sim");
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-28s %s\n");
    } else if (errors > 0) {
        arg_print_errors(stderr, end, "bankbank-sim");
        status = MAIN_EXIT_USAGE;
    } else {
        int thread_count = threads->count > 0 ? threads->ival[0] : 8;
        thread_count = thread_count < 1 ? 1 : thread_count > MAIN_MAX_THREADS ? MAIN_MAX_THREADS : thread_count;
        status = main_run(first->count > 0 ? (uint64_t)first->ival[0] : 1,
                          count->count > 0 ? (uint64_t)count->ival[0] : MAIN_DEFAULT_SEEDS, thread_count,
                          lose_disks->count > 0);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return status;
}
