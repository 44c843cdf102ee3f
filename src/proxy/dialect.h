/**
 * @file dialect.h
 * Everything in which one platform's manner of speaking differs from
 * another's: names of headers and paths, and the formats of configuration and
 * machine list. A dialect translates to and from the product's typed values
 * and decides nothing.
 */
#ifndef BANKBANK_PROXY_DIALECT_H
#define BANKBANK_PROXY_DIALECT_H

#include <stdbool.h>

#include "base/buffer.h"
#include "base/findings.h"
#include "control.pb.h"
#include "core/prefix_table.h"
#include "core/route_table.h"
#include "core/server_entries.h"

/** Headers of requests and answers. */
enum dialect_header {
    DIALECT_REQUEST_ID,      /**< Id of one attempt of a client; servers echo it. */
    DIALECT_DEADLINE_MS,     /**< Time the sender waits, in ms. */
    DIALECT_EXPECT_SERVER,   /**< The incarnation that is meant. */
    DIALECT_SERVER_ID,       /**< The incarnation that answered. */
    DIALECT_SIGNATURE,       /**< A server's mark on its answers. */
    DIALECT_NOT_RUN,         /**< The server did not run the request. */
    DIALECT_PROGRAM,         /**< Program. */
    DIALECT_SESSION,         /**< Line of turns within a program. */
    DIALECT_PROGRAM_LEFT_MS, /**< Time left for the whole program. */
    DIALECT_TOKEN_BUDGET,    /**< Tokens that the program may generate. */
    DIALECT_TOKEN_USAGE,     /**< Prompt tokens, and the most to generate, separated by a comma. */
    DIALECT_PROMPT_PARTS,    /**< Parts of the prompt, the last one its own. */
    DIALECT_OBJECT,          /**< Object that a request is about; the value may also stand in a cookie of this name. */
    DIALECT_PARENT_TURN,     /**< Turn that this one goes on from. */
    DIALECT_PRIORITY,        /**< Rank at a server, set by the daemon. */
    DIALECT_RETRY_AFTER,     /**< Seconds until the client may ask again. */
    DIALECT_AUTHORIZATION,   /**< A caller's key. */
    DIALECT_TENANT,          /**< Name of the tenant that holds it, set by the daemon. */
    DIALECT_HEADER_COUNT
};

/** An operator's order. */
enum dialect_order {
    DIALECT_ORDER_NONE,         /**< The request is none. */
    DIALECT_ORDER_PUT_CONFIG,   /**< Replace the configuration. */
    DIALECT_ORDER_GET_CONFIG,   /**< Read it. */
    DIALECT_ORDER_START_RETIRE, /**< Empty a machine. */
    DIALECT_ORDER_GET_RETIRE,   /**< How far that is. */
    DIALECT_ORDER_DRAIN_ZONE,   /**< Send nothing more to the servers of a zone. */
    DIALECT_ORDER_OPEN_ZONE     /**< Take that back. */
};

enum { DIALECT_NAME_MAX = 64 /**< Bytes of the name of a machine or a zone, NUL included. */ };

/** A platform's manner of speaking. */
struct dialect {
    const char *headers[DIALECT_HEADER_COUNT]; /**< Names. */
    const char *const
        *system_headers;    /**< Names that a caller may not set at a server (caller_headers.h), then NULL. */
    const char *ready_path; /**< Path of the readiness question. */
    /** Reads a configuration; NULL: `findings` tells all faults. The caller releases it. */
    struct route_table *(*read_configuration)(struct view text, struct findings *findings);
    /** Appends the servers of one page to `list`, and counts the entries that name none in `left`; `next_page` gets the
     * next page's token, or stays empty. False: the text is no whole page. */
    bool (*read_servers)(struct view text, ServerList *list, server_entries_left_t *left, struct buffer *next_page);
    /** Reads the value of DIALECT_PROMPT_PARTS: the shared parts, and the tokens of the request's own one. */
    void (*read_parts)(struct view text, prefix_chain_t *shared, uint32_t *own_tokens);
    /** Appends the target of the machine list's page. */
    void (*write_servers_target)(const char *page, struct buffer *out);
    /** Tells which order a request is; `name` gets the machine or the zone that it names. */
    enum dialect_order (*read_order)(struct view method, struct view target, char name[DIALECT_NAME_MAX]);
    /** Appends the answer to a question how far emptying a machine is. */
    void (*write_retire_state)(bool completed, struct buffer *out);
};

#endif
