#include "programs.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "daemons.h"
#include "random.h"

enum {
    TOKENS_AN_EVENT = 5, /* as the site's configuration says */
    BUDGET_TURNS = 6,    /* that a program's budget holds */
    TURNS = 9,           /* that it tries */
    TRIES = 40,          /* of one turn, before it is left */
    AGAIN_US = 100000,   /* pause after a refusal */
    SHORT_BYTES = 2000,  /* of a turn's input */
    LONG_BYTES = 24000,  /* the same of one program in LONG_ONE_IN: logs grow, and snapshots are due */
    LONG_ONE_IN = 6,
    TIME_LEAST_MS = 1500, /* time of a turn, and what may be added */
    TIME_MORE_MS = 1500,
    KEPT = 64 /* conversations that are gone on from at the end */
};

/* A program: one line of turns. */
typedef struct program_t {
    char name[80];
    char parent[64];
    struct buffer history;
    uint32_t input_bytes;
    uint64_t handed_out;
} program_t;

static atomic_ullong turns;
static pthread_mutex_t kept_lock = PTHREAD_MUTEX_INITIALIZER;
static program_t kept[KEPT];
static uint64_t kept_count;

/* What a whole turn adds to its conversation. */
static void add_turn(program_t *program, const char *id, const char *input)
{
    buffer_append_text(&program->history, input);
    for (int i = 1; i <= CALLS_EVENTS; i++) {
        buffer_printf(&program->history, "%s-%d\n", id, i);
    }
    snprintf(program->parent, sizeof(program->parent), "%s", id);
}

static uint64_t count_events(struct buffer *body)
{
    uint64_t count = 0;
    for (const char *at = buffer_text(body); (at = strstr(at, "data: ")) != NULL; at++) {
        count++;
    }
    return count;
}

static void fill_input(uint64_t *seed, const char *id, uint32_t most, char *input)
{
    int length = snprintf(input, SHORT_BYTES, "%s asks ", id);
    uint32_t more = random_below(seed, most - 64);
    memset(input + length, 'a' + (int)random_below(seed, 26), more);
    input[(size_t)length + more] = '\n';
    input[(size_t)length + more + 1] = '\0';
}

/* One try of a turn; returns the status, 0 where its outcome is not known. */
static int try_turn(caller_t *caller, program_t *program)
{
    char id[48];
    char lines[320];
    char input[LONG_BYTES];
    struct site_answer answer;
    struct buffer expected = {0};
    calls_next_id(id, sizeof(id), caller, "t");
    fill_input(&caller->seed, id, program->input_bytes, input);
    buffer_append(&expected, program->history.data, program->history.length);
    buffer_append_text(&expected, input);
    int length = snprintf(lines, sizeof(lines),
                          "Bankbank-Program-Id: %s\r\nBankbank-Token-Budget: %d\r\nBankbank-Token-Usage: 10,%d\r\n",
                          program->name, BUDGET_TURNS * CALLS_EVENTS * TOKENS_AN_EVENT, CALLS_EVENTS * TOKENS_AN_EVENT);
    if (program->parent[0] != '\0') {
        snprintf(lines + length, sizeof(lines) - (size_t)length, "Bankbank-Parent-Turn: %s\r\n", program->parent);
    }
    call_t call = {.id = id, .path = "/chat/x", .lines = lines, .body = input};
    call.wish = (oracle_wish_t){.once = true, .servers = 1, .expected = buffer_view(&expected)};
    call.gateway = (int)random_below(&caller->seed, (uint32_t)daemons_gateways());
    call.time_ms = TIME_LEAST_MS + random_below(&caller->seed, TIME_MORE_MS);
    calls_make(caller, &call, &answer);
    int status = answer.status;
    if (status == 200) {
        program->handed_out += count_events(&answer.body) * TOKENS_AN_EVENT;
    }
    if (status == 200 && answer.whole) {
        calls_check_events(id, &answer.body);
        add_turn(program, id, input);
        atomic_fetch_add(&turns, 1);
    }
    status = status == 200 && !answer.whole ? 0 : status;
    site_answer_close(&answer);
    buffer_close(&expected);
    return status;
}

static void keep_program(const program_t *program)
{
    pthread_mutex_lock(&kept_lock);
    program_t *place = &kept[kept_count++ % KEPT];
    buffer_close(&place->history);
    *place = *program;
    pthread_mutex_unlock(&kept_lock);
}

static int run_turn(caller_t *caller, program_t *program, const atomic_bool *stopping)
{
    int status = 0;
    for (int i = 0; i < TRIES && !atomic_load(stopping); i++) {
        status = try_turn(caller, program);
        if (status == 200 || status == 402) {
            break;
        }
        if (status == 404) {
            oracle_violated("turn lost: %s knows no turn %s", program->name, program->parent);
        }
        clock_sleep_us(AGAIN_US);
    }
    return status;
}

void programs_run(caller_t *caller, const atomic_bool *stopping)
{
    program_t program = {.input_bytes = random_below(&caller->seed, LONG_ONE_IN) == 0 ? LONG_BYTES : SHORT_BYTES};
    int status = 200;
    calls_next_id(program.name, sizeof(program.name), caller, "p");
    for (int turn = 0; turn < TURNS && status == 200 && !atomic_load(stopping); turn++) {
        status = run_turn(caller, &program, stopping);
    }
    if (program.handed_out > BUDGET_TURNS * CALLS_EVENTS * TOKENS_AN_EVENT) {
        oracle_violated("budget: %s was handed out %llu tokens", program.name, (unsigned long long)program.handed_out);
    }
    if (program.parent[0] != '\0') {
        keep_program(&program);
    } else {
        buffer_close(&program.history);
    }
}

static void go_on_once(caller_t *caller, program_t *program)
{
    int status = 0;
    snprintf(program->name, sizeof(program->name), "end-%s", program->parent);
    for (int i = 0; i < TRIES && status != 200; i++) {
        status = try_turn(caller, program);
        if (status == 404) {
            break;
        }
        if (status != 200) {
            clock_sleep_us(AGAIN_US);
        }
    }
    if (status != 200) {
        oracle_violated("turn lost: at the end %s cannot go on, status %d", program->name, status);
    }
}

void programs_go_on(caller_t *caller)
{
    for (uint64_t i = 0; i < kept_count && i < KEPT; i++) {
        go_on_once(caller, &kept[i]);
        buffer_close(&kept[i].history);
    }
}

uint64_t programs_turns(void)
{
    return atomic_load(&turns);
}
