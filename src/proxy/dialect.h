/**
 * @file dialect.h
 * Platform-specific protocol details: names of headers and paths, and formats
 * of the configuration and the machine list. A dialect only translates to and
 * from the daemon's own types.
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

enum dialect_header {
    DIALECT_REQUEST_ID,    /**< Differs for each retry of the caller; servers echo it. */
    DIALECT_DEADLINE_MS,   /**< Time for which the sender waits for the response, in ms. */
    DIALECT_EXPECT_SERVER, /**< Id of the server that must run the request. */
    DIALECT_SERVER_ID,     /**< Id of the server that responded. */
    DIALECT_SIGNATURE,     /**< Marks a response as made by a server. */
    DIALECT_NOT_RUN,       /**< Marks the response to a request that the server did not run. */
    DIALECT_PROGRAM,       /**< Id of a program: requests, called turns, with a common deadline and token budget. */
    DIALECT_SESSION,       /**< Id of a sequence of turns within a program. */
    DIALECT_PROGRAM_REMAINING_MS, /**< Remaining time of the program, in ms. */
    DIALECT_TOKEN_BUDGET,         /**< Maximum generated tokens of the program. */
    DIALECT_TOKEN_USAGE,          /**< Prompt tokens and maximum generated tokens, separated by a comma. */
    DIALECT_PROMPT_PARTS,         /**< Ids and token counts; all but the last part are shared with other prompts. */
    DIALECT_AFFINITY_KEY,         /**< Requests with equal keys prefer one server; may also be a cookie of this name. */
    DIALECT_PARENT_TURN,          /**< Turn that this one continues. */
    DIALECT_RESUMES,              /**< Id of the caller's request that brought the first event of a stream, which this
                                     request resumes after an event. */
    DIALECT_PRIORITY,             /**< Priority at a server, set by the daemon. */
    DIALECT_RETRY_AFTER,          /**< In seconds. */
    DIALECT_AUTHORIZATION,        /**< A caller's API key. */
    DIALECT_TENANT,               /**< Name of the key's tenant, set by the daemon. */
    DIALECT_HEADER_COUNT
};

/** Type of an operator's request. */
enum dialect_operation {
    DIALECT_OPERATION_NONE, /**< Not an operator's request. */
    DIALECT_OPERATION_PUT_CONFIG,
    DIALECT_OPERATION_GET_CONFIG,
    DIALECT_OPERATION_START_RETIRE, /**< Start to remove a machine's state replica from its group. */
    DIALECT_OPERATION_GET_RETIRE,   /**< Report whether that is complete. */
    DIALECT_OPERATION_DRAIN_ZONE,   /**< The zone's servers get no new requests. */
    DIALECT_OPERATION_OPEN_ZONE     /**< End the drain of a zone. */
};

enum { DIALECT_NAME_MAX = 64 /**< Bytes of a machine or zone name, NUL included. */ };

struct dialect {
    const char *headers[DIALECT_HEADER_COUNT];
    const char *const *system_headers; /**< Not forwarded from callers (caller_headers.h); ends with NULL. */
    const char *ready_path;
    /** The caller releases the result. NULL: `findings` has all errors. */
    struct route_table *(*read_configuration)(struct view text, struct findings *findings);
    /** Parses a page of the machine list: appends its servers to `list`, counts the skipped entries in `skipped`,
     * and sets `next_page` to the next page's token; it stays empty for the last page. False: the page is malformed. */
    bool (*read_servers)(struct view text, ServerList *list, server_entries_skipped_t *skipped,
                         struct buffer *next_page);
    /** Parses the value of DIALECT_PROMPT_PARTS: the shared parts, and the token count of the unshared one. */
    void (*read_prompt_parts)(struct view text, prefix_chain_t *shared, uint32_t *own_tokens);
    /** Appends the request target of a page of the machine list. */
    void (*write_servers_target)(const char *page, struct buffer *out);
    /** Classifies a request; `name` gets the machine or zone that an operator's request names. */
    enum dialect_operation (*read_operation)(struct view method, struct view target, char name[DIALECT_NAME_MAX]);
    /** Appends the response body for DIALECT_OPERATION_GET_RETIRE. */
    void (*write_retire_state)(bool completed, struct buffer *out);
};

#endif
