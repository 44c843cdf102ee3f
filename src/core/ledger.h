/**
 * @file ledger.h
 * The program ledger: one partition's programs, their calls and budgets.
 *
 * It is the state machine of a replicated log. Every change is one log entry
 * that is applied on all replicas in the same order, and is accepted or
 * refused by the state it meets. So the ledger serializes the calls of a
 * program, and no gateway holds a lock.
 *
 * Call states: RUNNING -> FINISHED (answer stored) | UNKNOWN (may have run,
 * never runs again); a call that is known not to have run is forgotten.
 */
#ifndef BANKBANK_CORE_LEDGER_H
#define BANKBANK_CORE_LEDGER_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "control.pb.h"
#include "core/history.h"

enum {
    LEDGER_ATTEMPT_LENGTH = 32,           /**< Hex digits of an attempt id. */
    LEDGER_MAX_DEPTH = 8,                 /**< Nesting of sub-programs. */
    LEDGER_DEFAULT_IDLE_MS = 3600 * 1000, /**< Idle time before a program expires. */
    LEDGER_RETENTION_MS = 600 * 1000      /**< Time an ended program's answers stay readable. */
};

enum ledger_call_state { LEDGER_CALL_RUNNING = 1, LEDGER_CALL_FINISHED = 2, LEDGER_CALL_UNKNOWN = 3 };

enum ledger_program_state {
    LEDGER_PROGRAM_OPEN = 0,     /**< Accepts calls. */
    LEDGER_PROGRAM_ENDED = 1,    /**< Accepts none; answers stay readable for a while. */
    LEDGER_PROGRAM_PREPARED = 2, /**< Hand-over prepared: the old site owns it. */
    LEDGER_PROGRAM_IMPORTED = 3, /**< Hand-over imported: the old site still owns it. */
    LEDGER_PROGRAM_ABORTED = 4   /**< Hand-over aborted: the old site owns it. */
};

/**
 * One call of a program. There are many of these (100 turns of 16,000 programs),
 * so what only a running call needs stands once in the program.
 */
struct ledger_call {
    uint32_t number;                         /**< Position in the program, from 1. */
    enum ledger_call_state state;            /**< Current state. */
    uint64_t body_hash;                      /**< Hash of the request, for resends. */
    struct history_ref messages;             /**< The caller's new messages. */
    struct history_ref answer;               /**< The assistant's message. */
    char *idempotency_key;                   /**< Caller's key, or NULL. */
    char *finish_reason;                     /**< Engine's reason, or NULL; see ledger_reason_keep(). */
    uint32_t prompt_tokens;                  /**< Usage as the engine reported it. */
    uint32_t completion_tokens;              /**< Usage as the engine reported it. */
    uint32_t cached_tokens;                  /**< Prompt tokens served from the engine's cache. */
    uint32_t finished_s;                     /**< Wall clock of the finish, seconds. */
    char attempt[LEDGER_ATTEMPT_LENGTH + 1]; /**< Attempt that may finish the call, or did. */
    bool repeatable;                         /**< Another attempt may run after a loss. */
};

/** What is known of the running call besides its record. */
struct ledger_running {
    uint32_t gateway;       /**< Daemon that runs the attempt. */
    uint64_t gateway_epoch; /**< That daemon's lease epoch. */
    uint64_t expires_ms;    /**< Wall clock after which the attempt counts as lost; 0: never. */
    uint64_t reserved;      /**< Tokens reserved. */
    uint64_t granted;       /**< Completion tokens allowed. */
    bool after_loss;        /**< An attempt before this one was lost and may have run. */
};

/** One program. */
struct ledger_program {
    char *id;                                        /**< Unique id. */
    char *tenant;                                    /**< Owner. */
    char *policy;                                    /**< Policy name. */
    char *parent;                                    /**< Parent program, or NULL. */
    char *engine;                                    /**< Engine of the last finished call, or NULL. */
    char *owner;                                     /**< Old site while a hand-over is open, or NULL. */
    uint64_t owner_epoch;                            /**< Old site's epoch. */
    uint64_t budget;                                 /**< Token limit, 0: none. */
    uint64_t spent;                                  /**< Tokens spent, sub-programs included. */
    uint64_t reserved;                               /**< Tokens reserved, sub-programs included. */
    uint64_t attained;                               /**< Service had by the whole tree (kept at the root). */
    uint64_t context_tokens;                         /**< Tokens of the stored history. */
    uint64_t deadline_ms;                            /**< Wall-clock limit, 0: none. */
    uint64_t last_active_ms;                         /**< Time of the last entry that touched it. */
    enum ledger_program_state state;                 /**< Current state. */
    bool single;                                     /**< A program of one call, ended by its answer. */
    uint32_t first_call;                             /**< Number of calls[0]: 1, or higher after a hand-over. */
    uint32_t next_call;                              /**< Number the next new call must have. */
    uint32_t max_turns;                              /**< Limit of calls, 0: none. */
    uint32_t max_identical_calls;                    /**< Limit of consecutive equal calls, 0: none. */
    uint32_t identical_calls;                        /**< Consecutive finished calls with one body hash. */
    struct ledger_call *calls;                       /**< Calls first_call ..., a running one last. */
    uint32_t call_count;                             /**< Number of calls. */
    struct ledger_running running;                   /**< Valid while the last call runs. */
    char aborted_attempt[LEDGER_ATTEMPT_LENGTH + 1]; /**< Last attempt that did not run; it may not begin late. */
    struct history_ref imported;                     /**< History brought by a hand-over. */
    char **held_engines;                             /**< Engines that may hold memory of it. */
    uint32_t held_count;                             /**< Number of those. */
    struct ledger_program *parent_program;           /**< Parent, or NULL. */
    struct ledger_program *first_child;              /**< Sub-programs. */
    struct ledger_program *next_sibling;             /**< Next sub-program of the same parent. */
    struct ledger_program *older;                    /**< Activity order. */
    struct ledger_program *newer;                    /**< Activity order. */
    UT_hash_handle hh;                               /**< By id. */
};

/** A release of engine memory that waits for the engine's confirmation. */
struct ledger_release {
    char *key;         /**< "program\nengine". */
    char *program;     /**< Program that is gone. */
    char *engine;      /**< Engine that may hold memory of it. */
    UT_hash_handle hh; /**< By key. */
};

/** One partition. */
struct ledger {
    struct history_io history;       /**< Text storage. */
    struct ledger_program *programs; /**< By id. */
    struct ledger_program *oldest;   /**< Head of the activity order. */
    struct ledger_program *newest;   /**< Tail of the activity order. */
    struct ledger_release *releases; /**< Durable outbox, in insertion order. */
    uint64_t time_ms;                /**< Time of the last entry. */
    struct buffer scratch;           /**< Text lent to results until the next entry. */
};

/** Starts an empty ledger. */
void ledger_init(struct ledger *ledger, const struct history_io *history);

/** Forgets all programs and gives their texts up. */
void ledger_clear(struct ledger *ledger);

/** Frees the memory; stored texts stay for the next start. */
void ledger_close(struct ledger *ledger);

/**
 * Applies one entry. `result` borrows memory of the ledger and of the entry
 * and is valid until the next call. `owner_expired` tells that the gateway of
 * the running attempt lost its lease (decided by the leader).
 */
void ledger_apply(struct ledger *ledger, uint64_t time_ms, bool owner_expired, const Entry *entry, EntryResult *result);

/** Finds a program, or NULL. */
struct ledger_program *ledger_find(const struct ledger *ledger, const char *id);

/** The running call of a program, or NULL. */
struct ledger_call *ledger_running_call(struct ledger_program *program);

/** Appends the messages of the calls up to `through_call`, separated by commas. */
bool ledger_read_history(const struct ledger *ledger, const struct ledger_program *program, uint32_t through_call,
                         struct buffer *out);

/** Whether expiry has work at `now_ms` (wall clock). */
bool ledger_expiry_due(const struct ledger *ledger, uint64_t now_ms);

/** Number of programs. */
size_t ledger_count(const struct ledger *ledger);

/**
 * Fills a snapshot. With `with_text` it carries the texts (for another
 * machine), else references into the local history store. The snapshot owns
 * its memory: free it with message_free(StateSnapshot_fields, ...).
 */
void ledger_export(const struct ledger *ledger, bool with_text, StateSnapshot *snapshot);

/** Loads a snapshot into an empty ledger. */
void ledger_import(struct ledger *ledger, const StateSnapshot *snapshot);

#endif
