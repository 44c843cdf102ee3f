/*
 * Choice of the server (server_table) and rank of a turn (turn_rank) under a short overload of simulated model servers
 * with continuous batching, chunked prefill and an LRU prompt cache.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/server_table.h"
#include "core/turn_rank.h"
#include "suite.h"

enum {
    SERVERS = 8,
    GATEWAYS = 12,         /* maximum; each sees the requests of the others with a delay */
    LOADS_PERIOD_MS = 400, /* interval at which gateways receive the loads of the others */
    SLOTS = 8,
    CACHE_TOKENS = 43874,           /* per server */
    PREFILL_TOKENS_PER_STEP = 2048, /* maximum */
    SHARED_TOKENS = 512,            /* prefix tokens common to all prompts */
    INPUT_TOKENS = 327,             /* new prompt tokens of a turn */
    OUTPUT_TOKENS = 72,             /* of a turn */
    TURNS = 11,
    PAUSE_MS = 120, /* between turns of a program */
    PROGRAMS = 1200,
    RUN_MS = 40000 /* programs arrive until 15 s before the end, so that all can finish */
};

static const double STEP_MS = 3.06; /* time in which a server generates a token for each turn, without prefill */
static const double PREFILL_TOKENS_PER_MS = 64.8;
static const double TARGET_FACTOR = 1.4; /* relative to the duration on idle servers */

typedef enum test_phase_t { TEST_PAUSE, TEST_QUEUED, TEST_PREFILL, TEST_DECODE, TEST_DONE } test_phase_t;

typedef struct test_program_t {
    test_phase_t phase;
    double start_ms;
    double since_ms; /* end of the pause, or start of the wait */
    double end_ms;
    int turn;
    int gateway;
    int server;       /* server of the current turn */
    int home;         /* server of the last turn, -1: none */
    bool busy;        /* the server was busy when the turn was sent */
    int prefill_left; /* prompt tokens to be processed */
    int output_left;  /* output tokens to be generated */
    bool cached[SERVERS];
    double used_ms[SERVERS];
} test_program_t;

static test_program_t programs[PROGRAMS];
static int program_count;
static double server_ms[SERVERS];
static int used_tokens[SERVERS];
static struct server_table tables[GATEWAYS];
static struct server *by_number[GATEWAYS][SERVERS];
static double loads_due_ms;
static int gateway_count;
static double processed_tokens;
static double needed_tokens;

static int context_of(const test_program_t *program)
{
    return SHARED_TOKENS + (program->turn + 1) * INPUT_TOKENS + program->turn * OUTPUT_TOKENS;
}

/* Evicts least recently used contexts until `tokens` fit; false: running turns need the rest. */
static bool make_room(int server, int tokens)
{
    while (used_tokens[server] + tokens > CACHE_TOKENS) {
        test_program_t *oldest = NULL;
        for (int i = 0; i < program_count; i++) {
            test_program_t *program = &programs[i];
            bool runs = program->server == server && (program->phase == TEST_PREFILL || program->phase == TEST_DECODE);
            if (program->cached[server] && !runs &&
                (oldest == NULL || program->used_ms[server] < oldest->used_ms[server])) {
                oldest = program;
            }
        }
        if (oldest == NULL) {
            return false;
        }
        oldest->cached[server] = false;
        /* The cached context includes the current turn of a program that is queued or paused. */
        used_tokens[server] -= context_of(oldest);
    }
    return true;
}

static bool rank_before(const test_program_t *a, const test_program_t *b)
{
    uint32_t left = turn_rank(a->busy, a->turn == 0);
    uint32_t right = turn_rank(b->busy, b->turn == 0);
    return left != right ? left < right : a->since_ms < b->since_ms;
}

static void admit(int server)
{
    for (;;) {
        int running = 0;
        test_program_t *next = NULL;
        for (int i = 0; i < program_count; i++) {
            test_program_t *program = &programs[i];
            if (program->server != server) {
                continue;
            }
            running += program->phase == TEST_PREFILL || program->phase == TEST_DECODE ? 1 : 0;
            if (program->phase == TEST_QUEUED && (next == NULL || rank_before(program, next))) {
                next = program;
            }
        }
        if (next == NULL || running >= SLOTS) {
            return;
        }
        int context = context_of(next);
        if (next->cached[server]) {
            used_tokens[server] -= context; /* added again below */
            next->cached[server] = false;
            next->prefill_left = INPUT_TOKENS;
        } else {
            next->prefill_left = context;
        }
        if (!make_room(server, context)) {
            next->prefill_left = 0;
            return;
        }
        used_tokens[server] += context;
        next->cached[server] = true;
        next->used_ms[server] = server_ms[server];
        next->output_left = OUTPUT_TOKENS;
        next->phase = TEST_PREFILL;
        needed_tokens += INPUT_TOKENS;
        processed_tokens += next->prefill_left;
    }
}

static void finish_turn(test_program_t *program, int server)
{
    server_end_request(&tables[program->gateway], by_number[program->gateway][server]);
    program->home = server;
    program->used_ms[server] = server_ms[server];
    program->turn++;
    for (int i = 0; i < SERVERS; i++) {
        /* Older prefixes of the conversation on other servers are evicted, as a simplification. */
        if (i != server && program->cached[i]) {
            program->cached[i] = false;
            program->turn--;
            used_tokens[i] -= context_of(program);
            program->turn++;
        }
    }
    used_tokens[server] += INPUT_TOKENS + OUTPUT_TOKENS; /* reserved for the next turn */
    program->phase = program->turn == TURNS ? TEST_DONE : TEST_PAUSE;
    program->since_ms = server_ms[server] + PAUSE_MS;
    program->end_ms = server_ms[server];
    if (program->phase == TEST_DONE) {
        program->cached[server] = false;
        used_tokens[server] -= context_of(program);
    }
}

/* Processes a chunk of prompts and generates a token for each turn with a processed prompt. */
static void step(int server)
{
    int left = PREFILL_TOKENS_PER_STEP;
    int processed = 0;
    admit(server);
    double start_ms = server_ms[server];
    for (int i = 0; i < program_count; i++) {
        test_program_t *program = &programs[i];
        if (program->server == server && program->phase == TEST_PREFILL) {
            int part = program->prefill_left < left ? program->prefill_left : left;
            program->prefill_left -= part;
            left -= part;
            processed += part;
            program->phase = program->prefill_left == 0 ? TEST_DECODE : TEST_PREFILL;
        }
    }
    server_ms[server] = start_ms + STEP_MS + processed / PREFILL_TOKENS_PER_MS;
    for (int i = 0; i < program_count; i++) {
        test_program_t *program = &programs[i];
        if (program->server == server && program->phase == TEST_DECODE && --program->output_left == 0) {
            finish_turn(program, server);
        }
    }
}

static void send_turn(test_program_t *program, double now_ms)
{
    struct server_criteria criteria = {.service = "s", .zone = "z"};
    criteria.home = program->home < 0 ? NULL : by_number[program->gateway][program->home]->id;
    struct server *server = server_table_choose(&tables[program->gateway], (uint64_t)now_ms, &criteria);
    server_begin_request(server, (uint64_t)now_ms);
    program->busy = server_is_busy(&tables[program->gateway], server, (uint64_t)now_ms);
    program->server = server->id[0] - 'a';
    program->phase = TEST_QUEUED;
    program->since_ms = now_ms;
}

static void send_loads(double now_ms)
{
    if (now_ms < loads_due_ms) {
        return;
    }
    loads_due_ms = now_ms + LOADS_PERIOD_MS;
    for (int k = 0; k < SERVERS; k++) {
        uint32_t requests = 0;
        for (int g = 0; g < gateway_count; g++) {
            requests += by_number[g][k]->in_flight;
        }
        for (int g = 0; g < gateway_count; g++) {
            by_number[g][k]->other_in_flight = requests - by_number[g][k]->in_flight;
            tables[g].loads_until_ms = (uint64_t)loads_due_ms + LOADS_PERIOD_MS;
        }
    }
}

/* Programs per second: twice the normal rate from second 4 to 10. */
static double rate_at(double now_ms)
{
    return now_ms >= 4000 && now_ms < 10000 ? 30 : 15;
}

static void simulate(void)
{
    double arrival_ms = 0;
    while (true) {
        int first = 0;
        for (int i = 1; i < SERVERS; i++) {
            first = server_ms[i] < server_ms[first] ? i : first;
        }
        double now_ms = server_ms[first];
        if (now_ms > RUN_MS) {
            return;
        }
        while (arrival_ms <= now_ms && program_count < PROGRAMS && arrival_ms < RUN_MS - 15000) {
            programs[program_count] = (test_program_t){.phase = TEST_PAUSE,
                                                       .start_ms = arrival_ms,
                                                       .since_ms = arrival_ms,
                                                       .gateway = program_count % gateway_count,
                                                       .home = -1};
            program_count++;
            arrival_ms += 1000 / rate_at(arrival_ms);
        }
        send_loads(now_ms);
        for (int i = 0; i < program_count; i++) {
            if (programs[i].phase == TEST_PAUSE && programs[i].since_ms <= now_ms) {
                send_turn(&programs[i], now_ms);
            }
        }
        step(first);
    }
}

static void start(int gateways)
{
    ServerRecord records[SERVERS];
    char names[SERVERS][2];
    memset(records, 0, sizeof(records));
    memset(tables, 0, sizeof(tables));
    loads_due_ms = 0;
    memset(server_ms, 0, sizeof(server_ms));
    memset(used_tokens, 0, sizeof(used_tokens));
    gateway_count = gateways;
    program_count = 0;
    processed_tokens = 0;
    needed_tokens = 0;
    for (int i = 0; i < SERVERS; i++) {
        snprintf(names[i], sizeof(names[i]), "%c", 'a' + i);
        records[i] = (ServerRecord){.id = names[i],
                                    .service = (char *)(uintptr_t) "s",
                                    .address = (char *)(uintptr_t) "127.0.0.1:1",
                                    .zone = (char *)(uintptr_t) "z",
                                    .slots = SLOTS};
    }
    ServerList list = {.servers_count = SERVERS, .servers = records};
    for (int g = 0; g < gateway_count; g++) {
        server_table_update(&tables[g], &list);
        for (struct server *server = tables[g].servers; server != NULL; server = server->hh.next) {
            by_number[g][server->id[0] - 'a'] = server;
        }
    }
}

static void teardown(void)
{
    for (int g = 0; g < gateway_count; g++) {
        server_table_close(&tables[g]);
    }
}

typedef struct test_outcome_t {
    int done;
    int in_time;
    double prefill_per_needed_token;
} test_outcome_t;

static test_outcome_t simulate_gateways(int gateways)
{
    double idle_ms = TURNS * (OUTPUT_TOKENS * STEP_MS + INPUT_TOKENS / PREFILL_TOKENS_PER_MS) + (TURNS - 1) * PAUSE_MS;
    test_outcome_t outcome = {0};
    start(gateways);
    simulate();
    for (int i = 0; i < program_count; i++) {
        bool done = programs[i].phase == TEST_DONE;
        outcome.done += done ? 1 : 0;
        outcome.in_time += done && programs[i].end_ms - programs[i].start_ms <= TARGET_FACTOR * idle_ms ? 1 : 0;
    }
    outcome.prefill_per_needed_token = processed_tokens / needed_tokens;
    return outcome;
}

/* Without ranks, running programs are delayed, evicted and processed again, and many do not finish. */
START_TEST(running_programs_finish_in_time_during_an_overload)
{
    test_outcome_t outcome = simulate_gateways(1);
    ck_assert_int_eq(outcome.done, program_count);
    ck_assert_int_ge(outcome.in_time, program_count / 2);
    ck_assert_double_le(outcome.prefill_per_needed_token, 1.6);
}
END_TEST

/* Gateways that see each other's requests late overload one server after another. If programs leave their homes for
 * short queues, more prompts are processed again. */
START_TEST(programs_do_not_leave_home_for_a_short_queue)
{
    test_outcome_t outcome = simulate_gateways(GATEWAYS);
    ck_assert_int_eq(outcome.done, program_count);
    ck_assert_double_le(outcome.prefill_per_needed_token, 3.9);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("overload");
    TCase *tests = tcase_create("servers");
    tcase_set_timeout(tests, 60);
    tcase_add_checked_fixture(tests, NULL, teardown);
    tcase_add_test(tests, running_programs_finish_in_time_during_an_overload);
    tcase_add_test(tests, programs_do_not_leave_home_for_a_short_queue);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
