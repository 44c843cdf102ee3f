/**
 * @file ledger.h
 * The programs of one partition (one group, see state_machine.h), their calls and
 * budgets: the state machine of a replicated log. Every change is one log entry,
 * applied in the same order on all replicas. Applying it decides whether it is
 * accepted, which serializes the calls of a program without locks in the gateways.
 *
 * A program is a sequence of calls to a model, each of which continues the stored
 * conversation; it may have sub-programs. An attempt is one execution of a call by
 * a gateway at an engine (a model server).
 *
 * Call states: RUNNING -> FINISHED (answer stored) | UNKNOWN (may have run,
 * never runs again). A call that is known not to have run is removed.
 *
 * Hand-over: moves a program here from another site, the old site, in the steps
 * prepare, import and commit. The old site owns the program until the commit,
 * before which the hand-over can be aborted.
 */
#ifndef BANKBANK_CORE_LEDGER_H
#define BANKBANK_CORE_LEDGER_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "control.pb.h"
#include "core/history.h"

enum {
    LEDGER_ATTEMPT_LENGTH = 32,      /**< Hex digits of an attempt id. */
    LEDGER_MAX_DEPTH = 8,            /**< Maximum depth of a program tree, root included. */
    LEDGER_IDLE_MS = 3600 * 1000,    /**< A program that has not ended is ended after this idle time. */
    LEDGER_RETENTION_MS = 600 * 1000 /**< Minimum time for which an ended program is kept. */
};

enum ledger_call_state { LEDGER_CALL_RUNNING = 1, LEDGER_CALL_FINISHED = 2, LEDGER_CALL_UNKNOWN = 3 };

enum ledger_program_state {
    LEDGER_PROGRAM_OPEN = 0,
    LEDGER_PROGRAM_ENDED = 1,    /**< Accepts no new calls; answers can be replayed for LEDGER_RETENTION_MS. */
    LEDGER_PROGRAM_PREPARED = 2, /**< Hand-over prepared; the old site owns the program. */
    LEDGER_PROGRAM_IMPORTED = 3, /**< Hand-over imported; the old site still owns the program. */
    LEDGER_PROGRAM_ABORTED = 4   /**< Hand-over aborted; the old site owns the program. */
};

/**
 * One call of a program. A partition may hold over a million calls, so fields
 * that only a running call needs are in struct ledger_running, once per program.
 */
struct ledger_call {
    uint32_t number; /**< Position in the program, from 1. */
    enum ledger_call_state state;
    uint64_t body_hash;                      /**< Hash of the request body, to detect a repeated request. */
    struct history_ref messages;             /**< The caller's new messages. */
    struct history_ref answer;               /**< The assistant's message. */
    char *idempotency_key;                   /**< Or NULL. */
    char *finish_reason;                     /**< From the engine, or NULL; interned, see ledger_reason_intern(). */
    uint32_t prompt_tokens;                  /**< As reported by the engine. */
    uint32_t completion_tokens;              /**< As reported by the engine. */
    uint32_t cached_tokens;                  /**< Prompt tokens served from the engine's prefix cache. */
    uint32_t finished_s;                     /**< Wall-clock time, in seconds. */
    char attempt[LEDGER_ATTEMPT_LENGTH + 1]; /**< Attempt that may finish the call, or finished it. */
    bool repeatable;                         /**< May be retried after a lost attempt. */
};

/** The current attempt of the running call. */
struct ledger_running {
    uint32_t gateway;       /**< Node id of the daemon that runs it. */
    uint64_t gateway_epoch; /**< Lease epoch of that daemon. */
    uint64_t expires_ms;    /**< Wall-clock time after which it counts as lost, 0: never. */
    uint64_t reserved;      /**< Tokens, those of the prompt included. */
    uint64_t granted;       /**< Completion tokens that it may generate. */
    bool after_loss;        /**< An earlier attempt was lost and may have run. */
};

struct ledger_program {
    char *id;
    char *tenant;
    char *policy;
    char *parent;            /**< Program id, NULL: root. */
    char *engine;            /**< Engine of the last finished call, or NULL. */
    char *handover_site;     /**< Old site of the hand-over, NULL: created here. */
    uint64_t handover_epoch; /**< Epoch of the old site. */
    uint64_t budget;         /**< Token limit, 0: none. */
    uint64_t spent;          /**< Tokens spent, sub-programs included. */
    uint64_t reserved;       /**< Tokens reserved, sub-programs included. */
    uint64_t attained;       /**< Attained service in tokens: of the whole tree, counted at the root. */
    uint64_t context_tokens; /**< Tokens of the stored history. */
    uint64_t deadline_ms;    /**< Wall-clock deadline, 0: none. */
    uint64_t last_active_ms; /**< Time of the last entry that used the program. */
    enum ledger_program_state state;
    bool single_call;             /**< Created for a single call and ends with it. */
    uint32_t first_call;          /**< Call number of calls[0]: 1, or higher after a hand-over. */
    uint32_t next_call;           /**< Call number required of the next new call. */
    uint32_t max_turns;           /**< Maximum number of calls, 0: none. */
    uint32_t max_identical_calls; /**< Maximum number of consecutive identical calls, 0: none. */
    uint32_t identical_calls;     /**< Consecutive finished calls with the same body hash. */
    struct ledger_call *calls;    /**< A running call is the last. */
    uint32_t call_count;
    struct ledger_running running;                   /**< Valid while the last call is running. */
    char aborted_attempt[LEDGER_ATTEMPT_LENGTH + 1]; /**< Last attempt aborted as not run; a late begin is refused. */
    struct history_ref imported;                     /**< History imported by a hand-over. */
    char **held_engines;                             /**< Engines that may have the program's prompts cached. */
    uint32_t held_count;
    struct ledger_program *parent_program; /**< NULL: root, or the parent is not here. */
    struct ledger_program *first_child;
    struct ledger_program *next_sibling; /**< Next child of the same parent. */
    struct ledger_program *older;        /**< Neighbors in the list ordered by last activity. */
    struct ledger_program *newer;
    UT_hash_handle hh;
};

/** An engine's release of its cache of an ended program, not confirmed by it yet. */
struct ledger_release {
    char *key; /**< "program\nengine". */
    char *program;
    char *engine; /**< Engine that may have the program's prompts cached. */
    UT_hash_handle hh;
};

struct ledger {
    struct history_io history;
    struct ledger_program *programs;
    struct ledger_program *oldest; /**< Least recently active program. */
    struct ledger_program *newest;
    struct ledger_release *releases; /**< Pending releases in insertion order; replicated. */
    uint64_t time_ms;                /**< Time of the last entry. */
    struct buffer scratch;           /**< Text that results point to; valid until the next entry. */
};

/** Copies `history`. */
void ledger_init(struct ledger *ledger, const struct history_io *history);

/** Removes all programs and pending releases, and releases the stored texts. */
void ledger_clear(struct ledger *ledger);

/** Frees the memory but keeps the stored texts for the next start. */
void ledger_close(struct ledger *ledger);

/**
 * Applies one log entry. `result` points into the ledger and the entry and is
 * valid until the next call. `owner_expired` is the leader's decision that the
 * lease of the gateway that runs the current attempt has expired.
 */
void ledger_apply(struct ledger *ledger, uint64_t time_ms, bool owner_expired, const Entry *entry, EntryResult *result);

/** Returns NULL if there is none. */
struct ledger_program *ledger_find(const struct ledger *ledger, const char *id);

/** Returns NULL if no call is running. */
struct ledger_call *ledger_running_call(struct ledger_program *program);

/**
 * Appends the imported history and the messages and answers of the finished calls up to `through_call`, separated by
 * commas. Returns false if a text cannot be read.
 */
bool ledger_read_history(const struct ledger *ledger, const struct ledger_program *program, uint32_t through_call,
                         struct buffer *out);

/** Whether the least recently active program has expired at `now_ms` (wall clock). */
bool ledger_expiry_due(const struct ledger *ledger, uint64_t now_ms);

size_t ledger_count(const struct ledger *ledger);

/** Where the records of a snapshot go on that exceed its room; NULL: there are no more. */
typedef struct ledger_export_t {
    const struct ledger_program *program;
    const struct ledger_release *release;
} ledger_export_t;

/** The beginning of a ledger. */
ledger_export_t ledger_export_begin(const struct ledger *ledger);

/**
 * Fills a snapshot with the texts (`with_text`, for another machine) or with
 * references into the local history store, from `*rest` on, which it updates. Free it with
 * message_free(StateSnapshot_fields, ...).
 */
void ledger_export(const struct ledger *ledger, bool with_text, ledger_export_t *rest, StateSnapshot *snapshot);

/** Adds the programs and releases of a snapshot to an empty ledger, or to those of the snapshots before it. After the
 * last one, call ledger_import_end(). */
void ledger_import(struct ledger *ledger, const StateSnapshot *snapshot);
void ledger_import_end(struct ledger *ledger);

#endif
