#include "calls.h"

#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "daemons.h"
#include "random.h"
#include "routes.h"

enum {
    CALLS_LEAST_MS = 300, /* least time of a caller, and what may be added */
    CALLS_MORE_MS = 2600,
    CALLS_SAFE_SERVERS = 2, /* as the site's configuration says */
    CALLS_ID = 48
};

static atomic_ullong calls_count;
static atomic_ullong calls_kept;
static atomic_ullong calls_served;
static atomic_ullong calls_refused;

void calls_next_id(char *out, size_t size, const caller_t *caller, const char *kind)
{
    static atomic_ullong number;
    snprintf(out, size, "%s%d-%llu", kind, caller->number, (unsigned long long)atomic_fetch_add(&number, 1));
}

/* ---- One request --------------------------------------------------------------- */

/* Notes what an answer promises beside its content. */
static void calls_note(const char *id, const struct site_answer *answer)
{
    atomic_fetch_add(&calls_count, 1);
    struct buffer head = {0};
    buffer_append(&head, answer->head.data, answer->head.length);
    bool not_run = strstr(buffer_text(&head), "X-Run-State: not-run") != NULL;
    buffer_close(&head);
    if (answer->status == 200 && answer->whole) {
        atomic_fetch_add(&calls_served, 1);
    }
    if (not_run && answer->status != 200) {
        atomic_fetch_add(&calls_refused, 1);
        oracle_not_run(id);
    }
}

static bool calls_planned_alone(uint64_t from_ms, uint64_t to_ms)
{
    int stopping = 0;
    for (int i = 0; i < daemons_states(); i++) {
        stopping += lives_touched(site_state_daemon(i), LIVES_STOPPING, from_ms, to_ms) ? 1 : 0;
    }
    return stopping <= 1 && !lives_any_touched(daemons_count(), LIVES_UNPLANNED, from_ms, to_ms);
}

static void calls_judge_end(const call_t *call, const struct site_answer *answer, uint64_t sent_ms)
{
    uint64_t now_ms = clock_monotonic_ms();
    int daemon = site_gateway_daemon(call->gateway);
    int runs = oracle_runs(call->id);
    if (now_ms >= sent_ms + call->time_ms || answer->whole) {
        return;
    }
    if (answer->status == 0 && runs > 0 && !lives_touched(daemon, LIVES_DOWN, sent_ms, now_ms)) {
        oracle_violated("unanswered: %s, begun %d times, ends after %llu of %u ms without an answer of daemon %d",
                        call->id, runs, (unsigned long long)(now_ms - sent_ms), call->time_ms, daemon);
    } else if (answer->status != 0 && calls_planned_alone(sent_ms - CALLS_CONTACT_MS, now_ms)) {
        oracle_violated("cut: %s, begun %d times, ends after %llu of %u ms inside its answer %d of daemon %d", call->id,
                        runs, (unsigned long long)(now_ms - sent_ms), call->time_ms, answer->status, daemon);
    }
}

void calls_make(caller_t *caller, const call_t *call, struct site_answer *answer)
{
    line_t *line = &caller->lines[call->gateway];
    struct buffer request = {0};
    oracle_wish_t wish = call->wish;
    bool before = line->open;
    memset(answer, 0, sizeof(*answer));
    buffer_printf(&request,
                  "POST %s HTTP/1.1\r\nHost: app.example\r\nBankbank-Request-Id: %s\r\n%sBankbank-Deadline-Ms: %u\r\n"
                  "%sContent-Length: %zu\r\n\r\n",
                  call->path, call->id, caller->keeps ? "" : "Connection: close\r\n", call->time_ms, call->lines,
                  strlen(call->body));
    buffer_append_text(&request, call->body);
    if (line_open(line, call->gateway)) {
        atomic_fetch_add(&calls_kept, before ? 1 : 0);
        uint64_t sent_ms = clock_monotonic_ms();
        wish.end_ms = sent_ms + call->time_ms;
        oracle_expect(call->id, &wish);
        line_exchange(line, buffer_view(&request), caller->keeps, answer);
        calls_judge_end(call, answer, sent_ms);
    }
    calls_note(call->id, answer);
    buffer_close(&request);
}

void calls_close(caller_t *caller)
{
    for (int i = 0; i < LIVES_MOST; i++) {
        line_close(&caller->lines[i]);
    }
}

calls_sum_t calls_sum(void)
{
    return (calls_sum_t){
        .calls = atomic_load(&calls_count),
        .kept = atomic_load(&calls_kept),
        .served = atomic_load(&calls_served),
        .refused = atomic_load(&calls_refused),
    };
}

/* ---- Requests that stand alone ---------------------------------------------------- */

static int calls_gateway(caller_t *caller)
{
    return (int)random_below(&caller->seed, (uint32_t)daemons_gateways());
}

static uint32_t calls_time(caller_t *caller)
{
    return CALLS_LEAST_MS + random_below(&caller->seed, CALLS_MORE_MS);
}

/* Sends it with its id as its body; returns the status. */
static int calls_plain(caller_t *caller, call_t *call)
{
    struct site_answer answer;
    call->body = call->id;
    call->lines = "";
    call->time_ms = calls_time(caller);
    calls_make(caller, call, &answer);
    if (answer.status == 200 && answer.whole && strcmp(buffer_text(&answer.body), call->id) != 0) {
        oracle_violated("mixed: %s gets the answer '%.40s'", call->id, buffer_text(&answer.body));
    }
    int status = answer.status;
    site_answer_close(&answer);
    return status;
}

void calls_once(caller_t *caller)
{
    char id[CALLS_ID];
    calls_next_id(id, sizeof(id), caller, "o");
    call_t call = {.id = id, .path = "/once/x", .wish = {.once = true, .servers = 1}, .gateway = calls_gateway(caller)};
    calls_plain(caller, &call);
}

void calls_safe(caller_t *caller)
{
    char id[CALLS_ID];
    calls_next_id(id, sizeof(id), caller, "s");
    call_t call = {
        .id = id, .path = "/safe/x", .wish = {.servers = CALLS_SAFE_SERVERS}, .gateway = calls_gateway(caller)};
    calls_plain(caller, &call);
}

void calls_added(caller_t *caller)
{
    char id[CALLS_ID];
    char path[CALLS_ID];
    routes_asked_t asked;
    int gateway = calls_gateway(caller);
    if (!routes_choose(&caller->seed, site_gateway_daemon(gateway), &asked)) {
        return;
    }
    calls_next_id(id, sizeof(id), caller, "v");
    snprintf(path, sizeof(path), "/v%llu/x", (unsigned long long)asked.version);
    call_t call = {.id = id, .path = path, .wish = {.servers = routes_servers(asked.version)}, .gateway = gateway};
    routes_judge(&asked, calls_plain(caller, &call));
}

void calls_check_events(const char *id, struct buffer *body)
{
    struct buffer expected = {0};
    for (int i = 1; i <= CALLS_EVENTS; i++) {
        buffer_printf(&expected, "id: %d\ndata: %s-%d\n\n", i, id, i);
    }
    if (strcmp(buffer_text(body), buffer_text(&expected)) != 0) {
        oracle_violated("mixed: %s gets the stream '%.80s'", id, buffer_text(body));
    }
    buffer_close(&expected);
}

void calls_open(caller_t *caller)
{
    char id[CALLS_ID];
    struct site_answer answer;
    calls_next_id(id, sizeof(id), caller, "e");
    call_t call = {.id = id, .path = "/open/chat/x", .lines = "", .body = id, .wish = {.servers = 1}};
    call.gateway = calls_gateway(caller);
    call.time_ms = calls_time(caller);
    calls_make(caller, &call, &answer);
    if (answer.status == 200 && answer.whole) {
        calls_check_events(id, &answer.body);
    }
    site_answer_close(&answer);
}
