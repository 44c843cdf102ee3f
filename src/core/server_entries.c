#include "core/server_entries.h"

#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"
#include "base/message.h"

typedef struct server_entry_position_t {
    ServerRecord record;
    size_t position;
} server_entry_position_t;

static int server_entries_compare(const void *a, const void *b)
{
    const server_entry_position_t *left = a;
    const server_entry_position_t *right = b;
    int order = strcmp(left->record.id, right->record.id);
    if (order == 0 && left->record.born != right->record.born) {
        order = left->record.born > right->record.born ? -1 : 1;
    }
    if (order == 0) {
        order = left->position < right->position ? -1 : 1;
    }
    return order;
}

void server_entries_deduplicate(ServerList *list, server_entries_skipped_t *skipped)
{
    size_t count = list->servers_count;
    if (count < 2) {
        return;
    }
    server_entry_position_t *entries = memory_new(count * sizeof(*entries));
    for (size_t i = 0; i < count; i++) {
        entries[i] = (server_entry_position_t){list->servers[i], i};
    }
    qsort(entries, count, sizeof(*entries), server_entries_compare);
    list->servers_count = 0;
    for (size_t i = 0; i < count; i++) {
        if (i > 0 && text_equal(entries[i].record.id, list->servers[list->servers_count - 1].id)) {
            skipped->counts[SERVER_ENTRY_DUPLICATE]++;
            message_free(ServerRecord_fields, &entries[i].record);
        } else {
            list->servers[list->servers_count++] = entries[i].record;
        }
    }
    free(entries);
}

uint64_t server_entries_skipped_total(const server_entries_skipped_t *skipped)
{
    uint64_t sum = 0;
    for (int fault = SERVER_ENTRY_VALID + 1; fault < SERVER_ENTRY_FAULT_COUNT; fault++) {
        sum += skipped->counts[fault];
    }
    return sum;
}

const char *server_entry_fault_name(server_entry_fault_t fault)
{
    switch (fault) {
    case SERVER_ENTRY_VALID: return "good";
    case SERVER_ENTRY_UNREADABLE: return "unreadable";
    case SERVER_ENTRY_MISSING: return "missing";
    case SERVER_ENTRY_TYPE: return "type";
    case SERVER_ENTRY_VALUE: return "value";
    case SERVER_ENTRY_STATE: return "state";
    case SERVER_ENTRY_DUPLICATE: return "twice";
    case SERVER_ENTRY_FAULT_COUNT: break;
    }
    return "";
}
