#include "core/quarantine.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/buffer.h"

static quarantine_operation_t *quarantine_find(const quarantine_t *quarantine, uint64_t hash)
{
    quarantine_operation_t *operation = NULL;
    HASH_FIND(hh, quarantine->operations, &hash, sizeof(hash), operation);
    return operation;
}

static void quarantine_remove(quarantine_t *quarantine, quarantine_operation_t *operation)
{
    quarantine->quarantined -= operation->quarantined ? 1 : 0;
    HASH_DEL(quarantine->operations, operation);
    free(operation);
}

void quarantine_clear(quarantine_t *quarantine)
{
    while (quarantine->operations != NULL) {
        quarantine_remove(quarantine, quarantine->operations);
    }
}

static void quarantine_make_room(quarantine_t *quarantine)
{
    if (HASH_COUNT(quarantine->operations) < QUARANTINE_MAX_OPERATIONS) {
        return;
    }
    quarantine_operation_t *oldest = quarantine->operations;
    while (oldest != NULL && oldest->quarantined) {
        oldest = oldest->hh.next;
    }
    quarantine_remove(quarantine, oldest == NULL ? quarantine->operations : oldest);
}

static quarantine_operation_t *quarantine_find_or_add(quarantine_t *quarantine, uint64_t hash)
{
    quarantine_operation_t *operation = quarantine_find(quarantine, hash);
    if (operation == NULL) {
        quarantine_make_room(quarantine);
        operation = memory_new(sizeof(*operation));
        operation->hash = hash;
        HASH_ADD(hh, quarantine->operations, hash, sizeof(operation->hash), operation);
    }
    return operation;
}

static void quarantine_begin(quarantine_t *quarantine, quarantine_operation_t *operation, uint64_t expires_ms)
{
    operation->quarantined = true;
    operation->expires_ms = expires_ms;
    quarantine->quarantined++;
    quarantine->begun++;
}

static bool quarantine_counts(const quarantine_operation_t *operation, const quarantine_failure_t *failure)
{
    for (uint32_t i = 0; i < operation->failure_count; i++) {
        if (operation->failures[i] == failure->id) {
            return false;
        }
    }
    return operation->failure_count == 0 || !failure->by_contents || failure->sent_ms >= operation->last_ms;
}

bool quarantine_has_one_failure_left(const quarantine_t *quarantine, const quarantine_operation_t *operation)
{
    return !operation->quarantined && operation->failure_count + 1 == quarantine->max_failures;
}

bool quarantine_record(quarantine_t *quarantine, uint64_t now_ms, const quarantine_failure_t *failure)
{
    if (quarantine->max_failures == 0) {
        return false;
    }
    quarantine_expire(quarantine, now_ms);
    quarantine_operation_t *operation = quarantine_find_or_add(quarantine, failure->operation);
    if (operation->quarantined) {
        return false;
    }
    if (quarantine_counts(operation, failure)) {
        operation->failures[operation->failure_count++] = failure->id;
        quarantine->one_left += quarantine_has_one_failure_left(quarantine, operation) ? 1 : 0;
    }
    operation->last_ms = now_ms;
    operation->expires_ms = now_ms + quarantine->keep_ms;
    bool begins = operation->failure_count >= quarantine->max_failures;
    if (begins) {
        quarantine_begin(quarantine, operation, now_ms + quarantine->keep_ms);
    }
    return begins;
}

uint32_t quarantine_count(const quarantine_t *quarantine, uint64_t hash)
{
    const quarantine_operation_t *operation = quarantine_find(quarantine, hash);
    return operation == NULL ? 0 : operation->failure_count;
}

bool quarantine_is_suspected(const quarantine_t *quarantine, uint64_t hash)
{
    const quarantine_operation_t *operation = quarantine->operations == NULL ? NULL : quarantine_find(quarantine, hash);
    return operation != NULL && (operation->failure_count > 0 || operation->suspected);
}

void quarantine_suspect(quarantine_t *quarantine, uint64_t now_ms, uint64_t hash)
{
    if (quarantine->max_failures == 0) {
        return;
    }
    quarantine_operation_t *operation = quarantine_find_or_add(quarantine, hash);
    operation->suspected = true;
    uint64_t expires_ms = now_ms + quarantine->keep_ms;
    operation->expires_ms = operation->expires_ms > expires_ms ? operation->expires_ms : expires_ms;
}

uint64_t quarantine_remaining_ms(const quarantine_t *quarantine, uint64_t now_ms, uint64_t hash)
{
    const quarantine_operation_t *operation = quarantine->quarantined == 0 ? NULL : quarantine_find(quarantine, hash);
    bool remains = operation != NULL && operation->quarantined && operation->expires_ms > now_ms;
    return remains ? operation->expires_ms - now_ms : 0;
}

void quarantine_adopt(quarantine_t *quarantine, uint64_t now_ms, const QuarantinedOperation *list, size_t count)
{
    for (size_t i = 0; i < count && quarantine->max_failures > 0; i++) {
        quarantine_operation_t *operation = quarantine_find_or_add(quarantine, list[i].operation);
        if (!operation->quarantined) {
            uint64_t remaining_ms =
                list[i].remaining_ms < quarantine->keep_ms ? list[i].remaining_ms : quarantine->keep_ms;
            quarantine_begin(quarantine, operation, now_ms + remaining_ms);
        }
    }
}

static const quarantine_operation_t *quarantine_latest(const quarantine_t *quarantine)
{
    return ELMT_FROM_HH(quarantine->operations->hh.tbl, quarantine->operations->hh.tbl->tail);
}

static bool quarantine_is_listed(const quarantine_operation_t *operation, uint64_t now_ms)
{
    return operation->quarantined && operation->expires_ms >= now_ms + QUARANTINE_MIN_LISTED_MS;
}

QuarantinedOperation *quarantine_list(const quarantine_t *quarantine, uint64_t now_ms, pb_size_t *count)
{
    *count = 0;
    if (quarantine->quarantined == 0) {
        return NULL;
    }
    QuarantinedOperation *list = memory_new(QUARANTINE_MAX_LISTED * sizeof(*list));
    const quarantine_operation_t *operation = quarantine_latest(quarantine);
    while (operation != NULL && *count < QUARANTINE_MAX_LISTED) {
        if (quarantine_is_listed(operation, now_ms)) {
            list[(*count)++] = (QuarantinedOperation){operation->hash, (uint32_t)(operation->expires_ms - now_ms)};
        }
        operation = operation->hh.prev;
    }
    return list;
}

uint64_t *quarantine_list_suspected(const quarantine_t *quarantine, pb_size_t *count)
{
    *count = 0;
    if (quarantine->operations == NULL) {
        return NULL;
    }
    uint64_t *list = memory_new(QUARANTINE_MAX_LISTED * sizeof(*list));
    const quarantine_operation_t *operation = quarantine_latest(quarantine);
    while (operation != NULL && *count < QUARANTINE_MAX_LISTED) {
        if (quarantine_has_one_failure_left(quarantine, operation)) {
            list[(*count)++] = operation->hash;
        }
        operation = operation->hh.prev;
    }
    return list;
}

void quarantine_format(uint64_t operation, char out[QUARANTINE_TEXT_BYTES])
{
    snprintf(out, QUARANTINE_TEXT_BYTES, "%016" PRIx64, operation);
}

void quarantine_expire(quarantine_t *quarantine, uint64_t now_ms)
{
    quarantine_operation_t *operation;
    quarantine_operation_t *next;
    HASH_ITER(hh, quarantine->operations, operation, next)
    {
        if (now_ms >= operation->expires_ms) {
            quarantine_remove(quarantine, operation);
        }
    }
}

size_t quarantine_bytes(const quarantine_t *quarantine)
{
    return HASH_COUNT(quarantine->operations) * sizeof(quarantine_operation_t);
}

/* ---- Snapshots ------------------------------------------------------------------------------------------ */

void quarantine_export(const quarantine_t *quarantine, SiteSnapshot *snapshot)
{
    size_t count = HASH_COUNT(quarantine->operations);
    snapshot->max_failures = quarantine->max_failures;
    snapshot->failures_keep_ms = quarantine->keep_ms;
    if (count == 0) {
        return;
    }
    snapshot->failures = memory_new(count * sizeof(*snapshot->failures));
    for (quarantine_operation_t *operation = quarantine->operations; operation != NULL;
         operation = operation->hh.next) {
        snapshot->failures[snapshot->failures_count++] = (FailureRecord){
            .operation = operation->hash,
            .failures = operation->failures,
            .failures_count = (pb_size_t)operation->failure_count,
            .quarantined = operation->quarantined,
            .last_ms = operation->last_ms,
            .expires_ms = operation->expires_ms,
        };
    }
}

void quarantine_free_export(SiteSnapshot *snapshot)
{
    free(snapshot->failures);
}

void quarantine_import(quarantine_t *quarantine, const SiteSnapshot *snapshot)
{
    uint32_t max_failures = snapshot->max_failures;
    quarantine->max_failures = max_failures < QUARANTINE_MAX_FAILURES ? max_failures : QUARANTINE_MAX_FAILURES;
    quarantine->keep_ms = snapshot->failures_keep_ms;
    for (pb_size_t i = 0; i < snapshot->failures_count; i++) {
        const FailureRecord *record = &snapshot->failures[i];
        quarantine_operation_t *operation = quarantine_find_or_add(quarantine, record->operation);
        for (pb_size_t j = 0; j < record->failures_count && j < QUARANTINE_MAX_FAILURES; j++) {
            operation->failures[operation->failure_count++] = record->failures[j];
        }
        operation->last_ms = record->last_ms;
        operation->expires_ms = record->expires_ms;
        if (record->quarantined) {
            quarantine_begin(quarantine, operation, record->expires_ms);
        }
    }
}
