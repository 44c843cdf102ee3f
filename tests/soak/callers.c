#include "callers.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../integration/site.h"
#include "base/clock.h"
#include "oracle.h"
#include "random.h"

enum {
    CALLERS = 10,        /* threads with requests */
    OPERATORS = 2,       /* threads with configurations */
    TOKENS_AN_EVENT = 5, /* as the site's configuration says */
    EVENTS = 3,          /* of a whole turn */
    BUDGET_TURNS = 6,    /* that a program's budget holds */
    TURNS = 9,           /* that it tries */
    TRIES = 40,          /* of one turn, before it is left */
    AGAIN_US = 100000,   /* pause after a refusal */
    CONFIGURATION_US = 250000,
    TEXT_BYTES = 2000, /* of a turn's input */
    KEPT = 64          /* conversations that are gone on from at the end */
};

/* A program: one line of turns. */
typedef struct program_t {
    char name[80];
    char parent[64];
    struct buffer history;
    uint64_t handed_out;
} program_t;

static pthread_t threads[CALLERS + OPERATORS];
static uint64_t seeds[CALLERS + OPERATORS];
static atomic_bool stopping;
static atomic_ullong calls;
static atomic_ullong served;
static atomic_ullong refused;
static atomic_ullong turns;
static atomic_ullong configurations;
static atomic_ullong version;      /* highest that was sent */
static atomic_ullong acknowledged; /* highest that was acknowledged */
static pthread_mutex_t kept_lock = PTHREAD_MUTEX_INITIALIZER;
static program_t kept[KEPT];
static uint64_t kept_count;

/* ---- Requests that stand alone ---------------------------------------------- */

static void next_id(char *out, size_t size, int thread, const char *kind)
{
    static atomic_ullong number;
    snprintf(out, size, "%s%d-%llu", kind, thread, (unsigned long long)atomic_fetch_add(&number, 1));
}

/* Notes what an answer promises beside its content. */
static void note_answer(const char *id, const struct site_answer *answer)
{
    atomic_fetch_add(&calls, 1);
    struct buffer head = {0};
    buffer_append(&head, answer->head.data, answer->head.length);
    bool not_run = strstr(buffer_text(&head), "X-Run-State: not-run") != NULL;
    buffer_close(&head);
    if (answer->status == 200 && answer->whole) {
        atomic_fetch_add(&served, 1);
    }
    if (not_run && answer->status != 200) {
        atomic_fetch_add(&refused, 1);
        oracle_not_run(id);
    }
}

static void call_alone(int thread, uint64_t *seed, bool once)
{
    char id[48];
    struct site_answer answer;
    oracle_wish_t wish = {.once = once};
    next_id(id, sizeof(id), thread, once ? "o" : "s");
    oracle_expect(id, &wish);
    site_call_as((int)random_below(seed, SITE_GATEWAYS), id, "POST", once ? "/once/x" : "/safe/x", "", id, &answer);
    note_answer(id, &answer);
    if (answer.status == 200 && answer.whole && strcmp(buffer_text(&answer.body), id) != 0) {
        oracle_violated("mixed: %s gets the answer '%.40s'", id, buffer_text(&answer.body));
    }
    site_answer_close(&answer);
}

/* ---- Programs --------------------------------------------------------------- */

/* What a whole turn adds to its conversation. */
static void add_turn(program_t *program, const char *id, const char *input)
{
    buffer_append_text(&program->history, input);
    for (int i = 1; i <= EVENTS; i++) {
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

static void check_events(const char *id, struct buffer *body)
{
    struct buffer expected = {0};
    for (int i = 1; i <= EVENTS; i++) {
        buffer_printf(&expected, "id: %d\ndata: %s-%d\n\n", i, id, i);
    }
    if (strcmp(buffer_text(body), buffer_text(&expected)) != 0) {
        oracle_violated("mixed: %s gets the stream '%.80s'", id, buffer_text(body));
    }
    buffer_close(&expected);
}

static void fill_input(uint64_t *seed, const char *id, char *input)
{
    int length = snprintf(input, TEXT_BYTES, "%s asks ", id);
    uint32_t more = random_below(seed, TEXT_BYTES - 64);
    memset(input + length, 'a' + (int)random_below(seed, 26), more);
    input[(size_t)length + more] = '\n';
    input[(size_t)length + more + 1] = '\0';
}

/* One try of a turn; returns the status, 0 where its outcome is not known. */
static int try_turn(int thread, uint64_t *seed, program_t *program)
{
    char id[48];
    char lines[320];
    char input[TEXT_BYTES];
    struct site_answer answer;
    struct buffer expected = {0};
    next_id(id, sizeof(id), thread, "t");
    fill_input(seed, id, input);
    buffer_append(&expected, program->history.data, program->history.length);
    buffer_append_text(&expected, input);
    oracle_wish_t wish = {.once = true, .expected = buffer_view(&expected)};
    oracle_expect(id, &wish);
    int length = snprintf(lines, sizeof(lines),
                          "Bankbank-Program-Id: %s\r\nBankbank-Token-Budget: %d\r\nBankbank-Token-Usage: 10,%d\r\n",
                          program->name, BUDGET_TURNS * EVENTS * TOKENS_AN_EVENT, EVENTS * TOKENS_AN_EVENT);
    if (program->parent[0] != '\0') {
        snprintf(lines + length, sizeof(lines) - (size_t)length, "Bankbank-Parent-Turn: %s\r\n", program->parent);
    }
    site_call_as((int)random_below(seed, SITE_GATEWAYS), id, "POST", "/chat/x", lines, input, &answer);
    note_answer(id, &answer);
    int status = answer.status;
    if (status == 200) {
        program->handed_out += count_events(&answer.body) * TOKENS_AN_EVENT;
    }
    if (status == 200 && answer.whole) {
        check_events(id, &answer.body);
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

static void run_program(int thread, uint64_t *seed)
{
    program_t program = {0};
    int status = 0;
    next_id(program.name, sizeof(program.name), thread, "p");
    for (int turn = 0; turn < TURNS && status != 402 && !atomic_load(&stopping); turn++) {
        for (int i = 0; i < TRIES && !atomic_load(&stopping); i++) {
            status = try_turn(thread, seed, &program);
            if (status == 200 || status == 402) {
                break;
            }
            if (status == 404) {
                oracle_violated("turn lost: %s knows no turn %s", program.name, program.parent);
            }
            clock_sleep_us(AGAIN_US);
        }
        if (status != 200) {
            break;
        }
    }
    if (program.handed_out > BUDGET_TURNS * EVENTS * TOKENS_AN_EVENT) {
        oracle_violated("budget: %s was handed out %llu tokens", program.name, (unsigned long long)program.handed_out);
    }
    if (program.parent[0] != '\0') {
        keep_program(&program);
    } else {
        buffer_close(&program.history);
    }
}

static void *run_caller(void *argument)
{
    int thread = (int)(intptr_t)argument;
    uint64_t *seed = &seeds[thread];
    while (!atomic_load(&stopping)) {
        switch (random_below(seed, 4)) {
        case 0: call_alone(thread, seed, true); break;
        case 1: call_alone(thread, seed, false); break;
        default: run_program(thread, seed); break;
        }
        clock_sleep_us(random_below(seed, AGAIN_US / 4));
    }
    return NULL;
}

/* ---- Configurations --------------------------------------------------------- */

static unsigned long long version_in(struct buffer *reply)
{
    const char *at = strstr(buffer_text(reply), "\"version\":");
    return at == NULL ? 0 : strtoull(at + strlen("\"version\":"), NULL, 10);
}

/* An operator whose answer was lost sends an older version again: it is acknowledged and changes nothing. */
static void resend_configuration(uint64_t *seed)
{
    unsigned long long known = atomic_load(&acknowledged);
    unsigned long long older = known > 1 ? known - 1 : known;
    char *text = site_configuration((int)older, "");
    site_order((int)random_below(seed, SITE_STATES), "POST", "/api/config/replace", text, NULL);
    free(text);
}

static void put_configuration(uint64_t *seed)
{
    unsigned long long own = atomic_fetch_add(&version, 1) + 1;
    char *text = site_configuration((int)own, "");
    int status = site_order((int)random_below(seed, SITE_STATES), "POST", "/api/config/replace", text, NULL);
    free(text);
    unsigned long long known = atomic_load(&acknowledged);
    while (status == 200 && known < own && !atomic_compare_exchange_weak(&acknowledged, &known, own)) {
    }
    if (status == 200) {
        atomic_fetch_add(&configurations, 1);
    }
}

static void read_configuration(uint64_t *seed)
{
    struct buffer reply = {0};
    unsigned long long least = atomic_load(&acknowledged);
    int state = (int)random_below(seed, SITE_STATES);
    int status = site_order(state, "GET", "/api/config/get", NULL, &reply);
    if (status == 200 && version_in(&reply) < least) {
        oracle_violated("reverted: replica %d shows version %llu, %llu was acknowledged before", state,
                        version_in(&reply), least);
    }
    buffer_close(&reply);
}

static void *run_operator(void *argument)
{
    uint64_t *seed = &seeds[(intptr_t)argument];
    while (!atomic_load(&stopping)) {
        switch (random_below(seed, 6)) {
        case 0:
        case 1: put_configuration(seed); break;
        case 2: resend_configuration(seed); break;
        default: read_configuration(seed); break;
        }
        clock_sleep_us(random_below(seed, CONFIGURATION_US));
    }
    return NULL;
}

/* ---- All -------------------------------------------------------------------- */

void callers_start(uint64_t seed)
{
    atomic_store(&version, 1);
    atomic_store(&acknowledged, 1);
    for (int i = 0; i < CALLERS + OPERATORS; i++) {
        seeds[i] = seed * 1000 + (uint64_t)i;
        pthread_create(&threads[i], NULL, i < CALLERS ? run_caller : run_operator, (void *)(intptr_t)i);
    }
}

/* Everything is well again: what was acknowledged is there. */
static void go_on_once(uint64_t *seed, program_t *program)
{
    int status = 0;
    snprintf(program->name, sizeof(program->name), "end-%s", program->parent);
    for (int i = 0; i < TRIES && status != 200; i++) {
        status = try_turn(CALLERS + OPERATORS, seed, program);
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

void callers_stop(void)
{
    atomic_store(&stopping, true);
    for (int i = 0; i < CALLERS + OPERATORS; i++) {
        pthread_join(threads[i], NULL);
    }
    for (uint64_t i = 0; i < kept_count && i < KEPT; i++) {
        go_on_once(&seeds[0], &kept[i]);
        buffer_close(&kept[i].history);
    }
}

callers_sum_t callers_sum(void)
{
    callers_sum_t sum = {
        .calls = atomic_load(&calls),
        .served = atomic_load(&served),
        .refused = atomic_load(&refused),
        .turns = atomic_load(&turns),
        .configurations = atomic_load(&configurations),
    };
    return sum;
}
