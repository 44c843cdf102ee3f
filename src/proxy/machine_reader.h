/**
 * @file machine_reader.h
 * Periodically fetches the platform's machine list, which lists its servers, page
 * by page, and encodes it as a ServerList in canonical order: equal lists have
 * equal bytes. Invalid and duplicate entries are skipped and counted
 * (core/server_entries.h).
 *
 * A failed page is retried when the next fetch is due; earlier pages are kept.
 * After MACHINE_READER_MAX_RETRIES the fetch is abandoned. Only complete lists
 * are reported.
 */
#ifndef BANKBANK_PROXY_MACHINE_READER_H
#define BANKBANK_PROXY_MACHINE_READER_H

#include "core/server_entries.h"
#include "net/upstream.h"
#include "proxy/dialect.h"

enum {
    MACHINE_READER_TIMEOUT_MS = 1500, /**< For all pages of a fetch, from its start or its last retry. */
    MACHINE_READER_MAX_RETRIES = 2
};

struct machine_reader {
    struct upstream_pool *pool;
    const struct dialect *dialect;
    struct address address;
    uint64_t period_ms;
    uint64_t due_ms;     /**< Earliest time of the next fetch or retry. */
    uint64_t started_ms; /**< Start of the current fetch, or of its last retry. */
    uint32_t retries;
    struct upstream_exchange *exchange; /**< Request in flight, or NULL. */
    int status;
    struct buffer body;
    ServerList list;                         /**< Servers on the pages read so far. */
    server_entries_skipped_t skipped;        /**< Skipped entries on these pages, by fault. */
    server_entries_skipped_t logged_skipped; /**< `skipped` of the last complete fetch. */
    uint64_t skipped_total;                  /**< Over all complete fetches. */
    struct buffer page_token;                /**< Token of the next page; empty: the first page. */
    uint64_t calls;                          /**< Requests for a page. */
    uint64_t failures;                       /**< Requests that failed, timed out or returned an invalid page. */
    uint64_t last_read_ms;                   /**< End of the last complete fetch. */
    void *context;                           /**< Passed to `done`. */
    /** Called after a complete fetch; `encoded_list` is valid during the call only. */
    void (*done)(void *context, struct view encoded_list);
};

/** Starts a fetch or a retry if one is due and `wanted`, and cancels a request that has timed out. */
void machine_reader_tick(struct machine_reader *reader, uint64_t now_ms, bool wanted);

void machine_reader_close(struct machine_reader *reader);

#endif
