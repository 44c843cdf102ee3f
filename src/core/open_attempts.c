#include "core/open_attempts.h"

#include <stdlib.h>

#include "base/buffer.h"

static open_attempt_t *open_attempts_find(const open_attempts_t *open, uint64_t key)
{
    open_attempt_t *attempt = NULL;
    HASH_FIND(hh, open->attempts, &key, sizeof(key), attempt);
    return attempt;
}

static open_operation_t *open_attempts_find_operation(const open_attempts_t *open, uint64_t key)
{
    open_operation_t *operation = NULL;
    HASH_FIND(hh, open->operations, &key, sizeof(key), operation);
    return operation;
}

static void open_attempts_delete(open_attempts_t *open, open_attempt_t *attempt)
{
    open_operation_t *operation = open_attempts_find_operation(open, attempt->operation);
    if (--operation->attempts == 0) {
        HASH_DEL(open->operations, operation);
        free(operation);
    }
    HASH_DEL(open->attempts, attempt);
    free(attempt);
}

void open_attempts_close(open_attempts_t *open)
{
    while (open->attempts != NULL) {
        open_attempts_delete(open, open->attempts);
    }
}

static void open_attempts_insert(open_attempts_t *open, const AttemptRecord *record)
{
    if (open_attempts_find(open, record->attempt) != NULL) {
        return;
    }
    if (HASH_COUNT(open->attempts) >= OPEN_ATTEMPTS_MAX) {
        open_attempts_delete(open, open->attempts);
    }
    open_operation_t *operation = open_attempts_find_operation(open, record->operation);
    if (operation == NULL) {
        operation = memory_new(sizeof(*operation));
        operation->operation = record->operation;
        HASH_ADD(hh, open->operations, operation, sizeof(operation->operation), operation);
    }
    operation->attempts++;
    open_attempt_t *attempt = memory_new(sizeof(*attempt));
    attempt->attempt = record->attempt;
    attempt->operation = record->operation;
    attempt->expires_ms = record->expires_ms;
    HASH_ADD(hh, open->attempts, attempt, sizeof(attempt->attempt), attempt);
}

void open_attempts_add(open_attempts_t *open, uint64_t now_ms, uint64_t operation, uint64_t attempt)
{
    AttemptRecord record = {.operation = operation, .attempt = attempt, .expires_ms = now_ms + OPEN_ATTEMPTS_KEEP_MS};
    open_attempts_insert(open, &record);
}

void open_attempts_remove(open_attempts_t *open, uint64_t key)
{
    open_attempt_t *attempt = open_attempts_find(open, key);
    if (attempt != NULL) {
        open_attempts_delete(open, attempt);
    }
}

uint32_t open_attempts_others(const open_attempts_t *open, uint64_t key, uint64_t attempt_key)
{
    const open_operation_t *operation = open_attempts_find_operation(open, key);
    const open_attempt_t *attempt = open_attempts_find(open, attempt_key);
    uint32_t own = attempt != NULL && attempt->operation == key ? 1 : 0;
    return operation == NULL ? 0 : operation->attempts - own;
}

void open_attempts_expire(open_attempts_t *open, uint64_t now_ms)
{
    while (open->attempts != NULL && open->attempts->expires_ms <= now_ms) {
        open_attempts_delete(open, open->attempts);
    }
}

size_t open_attempts_bytes(const open_attempts_t *open)
{
    return HASH_COUNT(open->attempts) *
           (sizeof(open_attempt_t) + sizeof(open_operation_t) + OPEN_ATTEMPTS_OVERHEAD_BYTES);
}

/* ---- Snapshots -------------------------------------------------------------------------------------- */

void open_attempts_export(const open_attempts_t *open, const open_attempt_t **next, SiteSnapshot *snapshot)
{
    if (*next == NULL) {
        return;
    }
    size_t count = HASH_COUNT(open->attempts);
    size_t room = count < PB_SIZE_MAX ? count : PB_SIZE_MAX;
    snapshot->attempts = memory_new(room * sizeof(*snapshot->attempts));
    for (; *next != NULL && snapshot->attempts_count < room; *next = (*next)->hh.next) {
        const open_attempt_t *attempt = *next;
        snapshot->attempts[snapshot->attempts_count++] = (AttemptRecord){
            .operation = attempt->operation, .attempt = attempt->attempt, .expires_ms = attempt->expires_ms};
    }
}

void open_attempts_free_export(SiteSnapshot *snapshot)
{
    free(snapshot->attempts);
}

void open_attempts_import(open_attempts_t *open, const SiteSnapshot *snapshot)
{
    for (pb_size_t i = 0; i < snapshot->attempts_count; i++) {
        open_attempts_insert(open, &snapshot->attempts[i]);
    }
}
