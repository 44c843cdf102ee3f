/*
 * Fuzzes the reader of the platform's list: one entry of another writer, as random bytes or as a good entry with bytes
 * changed, between good ones. The good ones hold, in their order, and what else is taken for a server can be used.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/message.h"
#include "core/server_list.h"
#include "net/address.h"
#include "platform.h"

enum { MOST_GOOD = 4, MOST_BYTES = 2048, DELETE = 0x7f, CHANGED = 128 };

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static const char GOOD[] =
    "{\"id\":\"good%d\",\"service\":\"s\",\"address\":\"10.0.0.%d:80\",\"zone\":\"z\",\"version\":\"v\",\"slots\":4,"
    "\"state\":\"ready\",\"cold-remaining-ms\":0,\"born\":17,\"models\":[{\"name\":\"m,{\\\"]\",\"adapters\":[]}]}";

static void require(bool held, const char *what)
{
    if (!held) {
        fprintf(stderr, "check %s failed\n", what);
        abort();
    }
}

/* A byte that opens a list behind one that closes one makes another page of it, whose entries end there. */
static bool makes_another_page(struct view entry)
{
    const uint8_t *closing = entry.length == 0 ? NULL : memchr(entry.data, ']', entry.length);
    return closing != NULL && memchr(closing, '[', entry.length - (size_t)(closing - entry.data)) != NULL;
}

static void append_good(struct buffer *page, int number)
{
    buffer_printf(page, GOOD, number, number + 1);
}

/* Random bytes, or a good entry with some changed. */
static void append_foreign(struct buffer *page, const uint8_t *data, size_t size, bool changed)
{
    size_t begin = page->length;
    if (!changed) {
        buffer_append(page, data, size < MOST_BYTES ? size : MOST_BYTES);
        return;
    }
    append_good(page, MOST_GOOD * 2);
    size_t length = page->length - begin;
    for (size_t at = 0; at + 2 < size; at += 3) {
        page->data[begin + (data[at] * 256U + data[at + 1]) % length] = data[at + 2];
    }
}

static void check_text(const char *text, bool may_be_empty)
{
    require(text != NULL && (may_be_empty || text[0] != '\0'), "a text is there");
    for (; *text != '\0'; text++) {
        require((uint8_t)*text >= ' ' && *text != DELETE, "a text has no control bytes");
    }
}

static void check_usable(const ServerRecord *record)
{
    struct address address;
    check_text(record->id, false);
    check_text(record->service, false);
    check_text(record->zone, false);
    check_text(record->version, true);
    require(address_parse(record->address, &address) && address.port != 0, "a server has an address");
}

static void check_good(const ServerList *list, int good)
{
    int found = 0;
    for (pb_size_t i = 0; i < list->servers_count; i++) {
        char id[16];
        snprintf(id, sizeof(id), "good%d", found);
        found += found < good && strcmp(list->servers[i].id, id) == 0 ? 1 : 0;
        check_usable(&list->servers[i]);
    }
    require(found == good, "the good entries hold");
}

static void check_settled(ServerList *list, server_entries_left_t *left)
{
    static server_list_t servers;
    struct buffer encoded = {0};
    uint64_t all = list->servers_count + server_entries_sum(left);
    server_entries_settle(list, left);
    require(list->servers_count + server_entries_sum(left) == all, "every entry holds or is counted");
    require(message_encode(&encoded, ServerList_fields, list), "a list is encoded");
    server_list_put(&servers, buffer_view(&encoded));
    require(HASH_COUNT(servers.entries) == list->servers_count, "a list has each server once");
    server_list_close(&servers);
    buffer_close(&encoded);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct buffer page = {0};
    struct buffer token = {0};
    ServerList list = {0};
    server_entries_left_t left = {0};
    if (size < 2) {
        return 0;
    }
    int before = data[0] % MOST_GOOD;
    int good = before + data[1] % MOST_GOOD;
    buffer_append_text(&page, "{\"instances\":[");
    for (int i = 0; i < before; i++) {
        append_good(&page, i);
        buffer_append_text(&page, ",");
    }
    size_t begin = page.length;
    bool changed = data[0] >= CHANGED;
    append_foreign(&page, data + 2, size - 2, changed);
    bool another = !changed && makes_another_page(view_of(page.data + begin, page.length - begin));
    for (int i = before; i < good; i++) {
        buffer_append_text(&page, ", ");
        append_good(&page, i);
    }
    buffer_append_text(&page, "],\"next-token\":null}");
    bool read = platform_read_servers(buffer_view(&page), &list, &left, &token);
    if (!another) {
        require(read, "a page with one entry of another writer is read");
        check_good(&list, good);
    }
    check_settled(&list, &left);
    message_free(ServerList_fields, &list);
    buffer_close(&page);
    buffer_close(&token);
    return 0;
}
