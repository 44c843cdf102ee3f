/*
 * Fuzzes the parser of the platform's instance list with one bad entry (random bytes or a mutated valid entry) between
 * valid ones. The valid entries must be kept in order, and any other accepted server must be usable.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/message.h"
#include "core/server_list.h"
#include "net/address.h"
#include "platform.h"

enum { MAX_VALID = 4, MAX_RANDOM_BYTES = 2048, ASCII_DELETE = 0x7f, MUTATION_THRESHOLD = 128 };

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static const char VALID_ENTRY[] =
    "{\"id\":\"good%d\",\"service\":\"s\",\"address\":\"10.0.0.%d:80\",\"zone\":\"z\",\"version\":\"v\",\"slots\":4,"
    "\"state\":\"ready\",\"cold-remaining-ms\":0,\"born\":17,\"models\":[{\"name\":\"m,{\\\"]\",\"adapters\":[]}]}";

static void require(bool condition, const char *what)
{
    if (!condition) {
        fprintf(stderr, "check \"%s\" failed\n", what);
        abort();
    }
}

/* Whether the bad entry may close the list and open another one: the page may then be valid with fewer entries. */
static bool closes_and_reopens_list(struct view entry)
{
    const uint8_t *closing = entry.length == 0 ? NULL : memchr(entry.data, ']', entry.length);
    return closing != NULL && memchr(closing, '[', entry.length - (size_t)(closing - entry.data)) != NULL;
}

static void append_valid(struct buffer *page, int number)
{
    buffer_printf(page, VALID_ENTRY, number, number + 1);
}

static void append_bad_entry(struct buffer *page, const uint8_t *data, size_t size, bool mutated)
{
    size_t begin = page->length;
    if (!mutated) {
        buffer_append(page, data, size < MAX_RANDOM_BYTES ? size : MAX_RANDOM_BYTES);
        return;
    }
    append_valid(page, MAX_VALID * 2);
    size_t length = page->length - begin;
    for (size_t at = 0; at + 2 < size; at += 3) {
        page->data[begin + (data[at] * 256U + data[at + 1]) % length] = data[at + 2];
    }
}

static void check_text(const char *text, bool may_be_empty)
{
    require(text != NULL && (may_be_empty || text[0] != '\0'), "every required text is present");
    for (; *text != '\0'; text++) {
        require((uint8_t)*text >= ' ' && *text != ASCII_DELETE, "no text has control bytes");
    }
}

static void check_usable(const ServerRecord *record)
{
    struct address address;
    check_text(record->id, false);
    check_text(record->service, false);
    check_text(record->zone, false);
    check_text(record->version, true);
    require(address_parse(record->address, &address) && address.port != 0, "every server has an address and a port");
}

static void check_valid_entries(const ServerList *list, int valid)
{
    int found = 0;
    for (pb_size_t i = 0; i < list->servers_count; i++) {
        char id[16];
        snprintf(id, sizeof(id), "good%d", found);
        found += found < valid && strcmp(list->servers[i].id, id) == 0 ? 1 : 0;
        check_usable(&list->servers[i]);
    }
    require(found == valid, "all valid entries are kept in order");
}

static void check_deduplicated(ServerList *list, server_entries_skipped_t *skipped)
{
    static server_list_t servers;
    struct buffer encoded = {0};
    uint64_t all = list->servers_count + server_entries_skipped_total(skipped);
    server_entries_deduplicate(list, skipped);
    require(list->servers_count + server_entries_skipped_total(skipped) == all, "every entry is kept or counted");
    require(message_encode(&encoded, ServerList_fields, list), "the list can be encoded");
    server_list_replace(&servers, buffer_view(&encoded));
    require(HASH_COUNT(servers.entries) == list->servers_count, "the list contains each server once");
    server_list_close(&servers);
    buffer_close(&encoded);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct buffer page = {0};
    struct buffer token = {0};
    ServerList list = {0};
    server_entries_skipped_t skipped = {0};
    if (size < 2) {
        return 0;
    }
    int before = data[0] % MAX_VALID;
    int valid = before + data[1] % MAX_VALID;
    buffer_append_text(&page, "{\"instances\":[");
    for (int i = 0; i < before; i++) {
        append_valid(&page, i);
        buffer_append_text(&page, ",");
    }
    size_t begin = page.length;
    bool mutated = data[0] >= MUTATION_THRESHOLD;
    append_bad_entry(&page, data + 2, size - 2, mutated);
    bool ambiguous = !mutated && closes_and_reopens_list(view_of(page.data + begin, page.length - begin));
    for (int i = before; i < valid; i++) {
        buffer_append_text(&page, ", ");
        append_valid(&page, i);
    }
    buffer_append_text(&page, "],\"next-token\":null}");
    bool read = platform_read_servers(buffer_view(&page), &list, &skipped, &token);
    if (!ambiguous) {
        require(read, "a page with one bad entry is read");
        check_valid_entries(&list, valid);
    }
    check_deduplicated(&list, &skipped);
    message_free(ServerList_fields, &list);
    buffer_close(&page);
    buffer_close(&token);
    return 0;
}
