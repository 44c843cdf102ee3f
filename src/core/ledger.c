/* Programs of one partition: lookup, creation, end, expiry and stored history. */
#include "core/ledger_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void ledger_init(struct ledger *ledger, const struct history_io *history)
{
    memset(ledger, 0, sizeof(*ledger));
    ledger->history = *history;
}

/* Finish reasons interned by ledger_reason_intern(). */
static const char *const ledger_known_reasons[] = {"stop", "length", "tool_calls", "content_filter", "function_call"};

static const char *ledger_known_reason(const char *reason)
{
    for (size_t i = 0; reason != NULL && i < sizeof(ledger_known_reasons) / sizeof(ledger_known_reasons[0]); i++) {
        if (strcmp(ledger_known_reasons[i], reason) == 0) {
            return ledger_known_reasons[i];
        }
    }
    return NULL;
}

char *ledger_reason_intern(const char *reason)
{
    const char *known = ledger_known_reason(reason);
    if (text_or_empty(reason)[0] == '\0') {
        return NULL;
    }
    return known != NULL ? (char *)(uintptr_t)known : text_copy(reason);
}

static void ledger_reason_free(char *reason)
{
    if (ledger_known_reason(reason) != reason) {
        free(reason);
    }
}

void ledger_call_close(struct ledger *ledger, struct ledger_call *call)
{
    ledger->history.release(ledger->history.context, &call->messages);
    ledger->history.release(ledger->history.context, &call->answer);
    free(call->idempotency_key);
    ledger_reason_free(call->finish_reason);
}

static void ledger_unlink(struct ledger *ledger, struct ledger_program *program)
{
    if (program->older != NULL) {
        program->older->newer = program->newer;
    } else {
        ledger->oldest = program->newer;
    }
    if (program->newer != NULL) {
        program->newer->older = program->older;
    } else {
        ledger->newest = program->older;
    }
}

static void ledger_link_newest(struct ledger *ledger, struct ledger_program *program)
{
    program->newer = NULL;
    program->older = ledger->newest;
    if (ledger->newest != NULL) {
        ledger->newest->newer = program;
    } else {
        ledger->oldest = program;
    }
    ledger->newest = program;
}

void ledger_touch(struct ledger *ledger, struct ledger_program *program)
{
    program->last_active_ms = ledger->time_ms;
    ledger_unlink(ledger, program);
    ledger_link_newest(ledger, program);
}

struct ledger_program *ledger_find(const struct ledger *ledger, const char *id)
{
    struct ledger_program *program = NULL;
    if (id != NULL) {
        HASH_FIND_STR(ledger->programs, id, program);
    }
    return program;
}

struct ledger_program *ledger_add(struct ledger *ledger, const char *id)
{
    struct ledger_program *program = memory_new(sizeof(*program));
    program->id = text_copy(id);
    program->first_call = 1;
    program->next_call = 1;
    program->last_active_ms = ledger->time_ms;
    HASH_ADD_KEYPTR(hh, ledger->programs, program->id, strlen(program->id), program);
    ledger_link_newest(ledger, program);
    return program;
}

/* No effect if the parent does not exist here, as for a root. */
void ledger_attach(struct ledger *ledger, struct ledger_program *program)
{
    struct ledger_program *parent = ledger_find(ledger, program->parent);
    if (parent == NULL) {
        return;
    }
    program->parent_program = parent;
    program->next_sibling = parent->first_child;
    parent->first_child = program;
}

static void ledger_detach(struct ledger_program *program)
{
    if (program->parent_program != NULL) {
        struct ledger_program **link = &program->parent_program->first_child;
        while (*link != program) {
            link = &(*link)->next_sibling;
        }
        *link = program->next_sibling;
    }
    for (struct ledger_program *child = program->first_child; child != NULL; child = child->next_sibling) {
        child->parent_program = NULL;
    }
}

struct ledger_program *ledger_root(struct ledger_program *program)
{
    while (program->parent_program != NULL) {
        program = program->parent_program;
    }
    return program;
}

void ledger_remove(struct ledger *ledger, struct ledger_program *program)
{
    HASH_DEL(ledger->programs, program);
    ledger_detach(program);
    ledger_unlink(ledger, program);
    for (uint32_t i = 0; i < program->call_count; i++) {
        ledger_call_close(ledger, &program->calls[i]);
    }
    ledger->history.release(ledger->history.context, &program->imported);
    for (uint32_t i = 0; i < program->held_count; i++) {
        free(program->held_engines[i]);
    }
    free(program->held_engines);
    free(program->calls);
    free(program->id);
    free(program->tenant);
    free(program->policy);
    free(program->parent);
    free(program->engine);
    free(program->handover_site);
    free(program);
}

static void ledger_release_close(struct ledger *ledger, struct ledger_release *release)
{
    HASH_DEL(ledger->releases, release);
    free(release->key);
    free(release->program);
    free(release->engine);
    free(release);
}

void ledger_clear(struct ledger *ledger)
{
    while (ledger->oldest != NULL) {
        ledger_remove(ledger, ledger->oldest);
    }
    struct ledger_release *release;
    struct ledger_release *next;
    HASH_ITER(hh, ledger->releases, release, next)
    {
        ledger_release_close(ledger, release);
    }
}

static void ledger_ignore_text_release(void *context, const struct history_ref *ref)
{
    (void)context;
    (void)ref;
}

void ledger_close(struct ledger *ledger)
{
    ledger->history.release = ledger_ignore_text_release;
    ledger_clear(ledger);
    buffer_close(&ledger->scratch);
}

struct ledger_call *ledger_running_call(struct ledger_program *program)
{
    if (program->call_count == 0) {
        return NULL;
    }
    struct ledger_call *last = &program->calls[program->call_count - 1];
    return last->state == LEDGER_CALL_RUNNING ? last : NULL;
}

void ledger_fail(EntryResult *result, ResultCode code, const char *message)
{
    result->code = code;
    result->message = (char *)(uintptr_t)message;
}

static uint32_t ledger_depth(const struct ledger_program *program)
{
    uint32_t depth = 0;
    for (; program != NULL; program = program->parent_program) {
        depth++;
    }
    return depth;
}

static bool ledger_create_matches(const struct ledger_program *program, const ProgramCreate *create)
{
    return text_equal(program->tenant, create->tenant) && text_equal(program->policy, create->policy) &&
           text_equal(program->parent, create->parent);
}

void ledger_create(struct ledger *ledger, const ProgramCreate *create, EntryResult *result)
{
    struct ledger_program *program = ledger_find(ledger, create->id);
    if (program != NULL) {
        if (!ledger_create_matches(program, create)) {
            ledger_fail(result, RESULT_ALREADY_EXISTS, "a program with this id and other properties exists");
        }
        return;
    }
    bool has_parent = text_or_empty(create->parent)[0] != '\0';
    if (has_parent) {
        const struct ledger_program *parent = ledger_find(ledger, create->parent);
        if (parent == NULL || parent->state != LEDGER_PROGRAM_OPEN) {
            ledger_fail(result, RESULT_NOT_FOUND, "the parent program does not exist or has ended");
            return;
        }
        if (!text_equal(parent->tenant, create->tenant)) {
            ledger_fail(result, RESULT_NOT_FOUND, "the parent program belongs to another tenant");
            return;
        }
        if (ledger_depth(parent) >= LEDGER_MAX_DEPTH) {
            ledger_fail(result, RESULT_LIMIT, "sub-programs are nested too deeply");
            return;
        }
    }
    program = ledger_add(ledger, create->id);
    program->tenant = text_copy(create->tenant);
    program->policy = text_copy(create->policy);
    program->parent = has_parent ? text_copy(create->parent) : NULL;
    program->budget = create->budget_tokens;
    program->deadline_ms = create->deadline_ms;
    program->max_turns = create->max_turns;
    program->max_identical_calls = create->max_identical_calls;
    ledger_attach(ledger, program);
}

void ledger_add_engine(struct ledger_program *program, const char *engine)
{
    if (text_or_empty(engine)[0] == '\0') {
        return;
    }
    for (uint32_t i = 0; i < program->held_count; i++) {
        if (strcmp(program->held_engines[i], engine) == 0) {
            return;
        }
    }
    size_t size = (program->held_count + 1) * sizeof(*program->held_engines);
    program->held_engines = memory_resize(program->held_engines, size);
    program->held_engines[program->held_count++] = text_copy(engine);
}

static char *ledger_release_key(const char *program, const char *engine)
{
    struct buffer key = {0};
    buffer_printf(&key, "%s\n%s", text_or_empty(program), text_or_empty(engine));
    return buffer_text(&key);
}

void ledger_add_release(struct ledger *ledger, const char *program, const char *engine)
{
    char *key = ledger_release_key(program, engine);
    struct ledger_release *release = NULL;
    HASH_FIND_STR(ledger->releases, key, release);
    if (release != NULL) {
        free(key);
        return;
    }
    release = memory_new(sizeof(*release));
    release->key = key;
    release->program = text_copy(program);
    release->engine = text_copy(engine);
    HASH_ADD_KEYPTR(hh, ledger->releases, release->key, strlen(release->key), release);
}

static void ledger_confirm_release(struct ledger *ledger, const MemoryRelease *confirmed)
{
    char *key = ledger_release_key(confirmed->program, confirmed->engine);
    struct ledger_release *release = NULL;
    HASH_FIND_STR(ledger->releases, key, release);
    free(key);
    if (release != NULL) {
        ledger_release_close(ledger, release);
    }
}

void ledger_end(struct ledger *ledger, struct ledger_program *program)
{
    if (program->state == LEDGER_PROGRAM_ENDED) {
        return;
    }
    ledger_abandon_running(program);
    program->state = LEDGER_PROGRAM_ENDED;
    ledger_touch(ledger, program);
    for (uint32_t i = 0; i < program->held_count; i++) {
        ledger_add_release(ledger, program->id, program->held_engines[i]);
        free(program->held_engines[i]);
    }
    program->held_count = 0;
    for (struct ledger_program *child = program->first_child; child != NULL; child = child->next_sibling) {
        ledger_end(ledger, child);
    }
}

static void ledger_end_by_id(struct ledger *ledger, const ProgramEnd *end, EntryResult *result)
{
    struct ledger_program *program = ledger_find(ledger, end->id);
    bool allowed = program != NULL && (text_equal(end->tenant, "") || text_equal(end->tenant, program->tenant));
    if (!allowed) {
        ledger_fail(result, RESULT_NOT_FOUND, "no such program");
        return;
    }
    ledger_end(ledger, program);
}

static bool ledger_is_expired(const struct ledger_program *program, uint64_t now_ms)
{
    bool ended = program->state == LEDGER_PROGRAM_ENDED;
    uint64_t limit = ended ? LEDGER_RETENTION_MS : LEDGER_IDLE_MS;
    return now_ms > program->last_active_ms + limit;
}

/* Checks only the least recently active program. An ended program may therefore outlive its retention behind an open
 * one, by at most LEDGER_IDLE_MS. */
bool ledger_expiry_due(const struct ledger *ledger, uint64_t now_ms)
{
    return ledger->oldest != NULL && ledger_is_expired(ledger->oldest, now_ms);
}

static void ledger_expire(struct ledger *ledger, const ProgramExpire *expire)
{
    for (uint32_t i = 0; i < expire->limit && ledger_expiry_due(ledger, expire->idle_before_ms); i++) {
        struct ledger_program *program = ledger->oldest;
        if (program->state == LEDGER_PROGRAM_ENDED) {
            ledger_remove(ledger, program);
        } else {
            ledger_end(ledger, program);
        }
    }
}

static bool ledger_append_text(const struct ledger *ledger, const struct history_ref *ref, struct buffer *out)
{
    if (ref->length == 0) {
        return true;
    }
    if (out->length > 0) {
        buffer_append(out, ",", 1);
    }
    return ledger->history.read(ledger->history.context, ref, out);
}

bool ledger_read_history(const struct ledger *ledger, const struct ledger_program *program, uint32_t through_call,
                         struct buffer *out)
{
    if (!ledger_append_text(ledger, &program->imported, out)) {
        return false;
    }
    for (uint32_t i = 0; i < program->call_count; i++) {
        const struct ledger_call *call = &program->calls[i];
        if (call->number > through_call || call->state != LEDGER_CALL_FINISHED) {
            continue;
        }
        if (!ledger_append_text(ledger, &call->messages, out) || !ledger_append_text(ledger, &call->answer, out)) {
            return false;
        }
    }
    return true;
}

size_t ledger_count(const struct ledger *ledger)
{
    return HASH_COUNT(ledger->programs);
}

void ledger_apply(struct ledger *ledger, uint64_t time_ms, bool owner_expired, const Entry *entry, EntryResult *result)
{
    memset(result, 0, sizeof(*result));
    if (time_ms > ledger->time_ms) {
        ledger->time_ms = time_ms;
    }
    switch (entry->which_command) {
    case Entry_program_create_tag: ledger_create(ledger, &entry->command.program_create, result); break;
    case Entry_call_begin_tag: ledger_begin_call(ledger, owner_expired, &entry->command.call_begin, result); break;
    case Entry_call_finish_tag: ledger_finish_call(ledger, &entry->command.call_finish, result); break;
    case Entry_call_abort_tag: ledger_abort_call(ledger, &entry->command.call_abort); break;
    case Entry_program_end_tag: ledger_end_by_id(ledger, &entry->command.program_end, result); break;
    case Entry_program_expire_tag: ledger_expire(ledger, &entry->command.program_expire); break;
    case Entry_memory_release_tag: ledger_confirm_release(ledger, &entry->command.memory_release); break;
    case Entry_handover_change_tag: ledger_handover(ledger, &entry->command.handover_change, result); break;
    default: ledger_fail(result, RESULT_INVALID, "not a ledger entry"); break;
    }
}
