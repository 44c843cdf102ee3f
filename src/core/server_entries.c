#include "core/server_entries.h"

#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"
#include "base/message.h"

/* A server and where its entry stood. */
typedef struct entries_place_t {
    ServerRecord record;
    size_t position;
} entries_place_t;

static int entries_compare(const void *a, const void *b)
{
    const entries_place_t *left = a;
    const entries_place_t *right = b;
    int order = strcmp(left->record.id, right->record.id);
    if (order == 0 && left->record.born != right->record.born) {
        order = left->record.born > right->record.born ? -1 : 1;
    }
    if (order == 0) {
        order = left->position < right->position ? -1 : 1;
    }
    return order;
}

void server_entries_settle(ServerList *list, server_entries_left_t *left)
{
    size_t count = list->servers_count;
    if (count < 2) {
        return;
    }
    entries_place_t *places = memory_new(count * sizeof(*places));
    for (size_t i = 0; i < count; i++) {
        places[i] = (entries_place_t){list->servers[i], i};
    }
    qsort(places, count, sizeof(*places), entries_compare);
    list->servers_count = 0;
    for (size_t i = 0; i < count; i++) {
        if (i > 0 && text_equal(places[i].record.id, list->servers[list->servers_count - 1].id)) {
            left->counts[SERVER_ENTRY_TWICE]++;
            message_free(ServerRecord_fields, &places[i].record);
        } else {
            list->servers[list->servers_count++] = places[i].record;
        }
    }
    free(places);
}

uint64_t server_entries_sum(const server_entries_left_t *left)
{
    uint64_t sum = 0;
    for (int fault = SERVER_ENTRY_GOOD + 1; fault < SERVER_ENTRY_FAULTS; fault++) {
        sum += left->counts[fault];
    }
    return sum;
}

const char *server_entry_fault_name(server_entry_fault_t fault)
{
    switch (fault) {
    case SERVER_ENTRY_GOOD: return "good";
    case SERVER_ENTRY_UNREADABLE: return "unreadable";
    case SERVER_ENTRY_MISSING: return "missing";
    case SERVER_ENTRY_TYPE: return "type";
    case SERVER_ENTRY_VALUE: return "value";
    case SERVER_ENTRY_STATE: return "state";
    case SERVER_ENTRY_TWICE: return "twice";
    case SERVER_ENTRY_FAULTS: break;
    }
    return "";
}
