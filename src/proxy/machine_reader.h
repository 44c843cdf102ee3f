/**
 * @file machine_reader.h
 * Reads the platform's machine list, page after page, and turns it into one
 * encoded ServerList in an order of its own, so that equal lists are equal
 * bytes. Entries that name no server are left out and counted
 * (core/server_entries.h); what is left out is told when it changes.
 *
 * Reading is paced. A page that fails, be it no answer or no whole page, is
 * asked again when the next reading would begin; those before it are kept for
 * it. After MACHINE_READER_AGAIN_MOST such pauses the reading is given up. Until
 * the last page is read the list stays as it was.
 */
#ifndef BANKBANK_PROXY_MACHINE_READER_H
#define BANKBANK_PROXY_MACHINE_READER_H

#include "core/server_entries.h"
#include "net/upstream.h"
#include "proxy/dialect.h"

enum {
    MACHINE_READER_LIMIT_MS = 1500, /**< Time one reading may take between two pauses. */
    MACHINE_READER_AGAIN_MOST = 2   /**< Pauses of one reading. */
};

/** The reader. */
struct machine_reader {
    struct upstream_pool *pool;     /**< Connections. */
    const struct dialect *dialect;  /**< Formats. */
    struct address address;         /**< Where the list is. */
    uint64_t period_ms;             /**< Pause between readings. */
    uint64_t due_ms;                /**< Next reading. */
    uint64_t begun_ms;              /**< Begin of the reading under way, or end of its last pause. */
    uint32_t agains;                /**< Pauses that it had. */
    struct upstream_exchange *call; /**< Call under way, or NULL. */
    int status;                     /**< Its answer's status. */
    struct buffer body;             /**< Its answer's body. */
    ServerList list;                /**< Servers of the pages read so far. */
    server_entries_left_t left;     /**< Entries of these that name none. */
    server_entries_left_t told;     /**< The same of the last whole reading. */
    uint64_t left_out;              /**< All of them, over all whole readings. */
    struct buffer page;             /**< Next page's token. */
    uint64_t calls;                 /**< Calls so far. */
    uint64_t failures;              /**< Readings that failed. */
    uint64_t read_ms;               /**< End of the last whole reading. */
    void *context;                  /**< First argument of `done`. */
    /** A whole list was read. */
    void (*done)(void *context, struct view encoded_list);
};

/** Starts a reading if one is due and `wanted`; ends one that takes too long. */
void machine_reader_tick(struct machine_reader *reader, uint64_t now_ms, bool wanted);

/** Frees it. */
void machine_reader_close(struct machine_reader *reader);

#endif
