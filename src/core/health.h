/**
 * @file health.h
 * How often a server has failed lately, as one gateway's own traffic shows it.
 * Pure.
 *
 * A health check that answers well says little: a server may fail some of its
 * requests, refuse them with room to spare, or leave them without an answer.
 * The share of failures is a moving average over outcomes that also fades with
 * time, so that a server that is avoided is tried again gently. What is above the
 * share that a single failure leaves counts as calls when servers are compared
 * (server_table.h): one that fails now and then is not avoided, and where all
 * fail alike none is.
 */
#ifndef BANKBANK_CORE_HEALTH_H
#define BANKBANK_CORE_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

enum {
    HEALTH_ONE = 1 << 16,                 /**< A share of 1. */
    HEALTH_HALF_LIFE_MS = 4000,           /**< Time in which a share halves without outcomes. */
    HEALTH_WINDOW = 4,                    /**< An outcome moves the share by one part in so many. */
    HEALTH_CALLS = 100,                   /**< Calls that a share of 1 beyond HEALTH_EXCUSED counts as. */
    HEALTH_EXCUSED = HEALTH_ONE * 3 / 10, /**< Share that counts for nothing: more than one failure leaves. */
    HEALTH_SOUND = HEALTH_ONE / 10,       /**< Share below which a server that failed counts as sound in the log. */
    HEALTH_UNANSWERED_MS = 800,           /**< An attempt without an answer for that long has failed, at least. */
    HEALTH_UNANSWERED_AIMS = 4            /**< And for so many times the latency that its route aims at. */
};

/** How one attempt ended. */
typedef enum health_outcome_t {
    HEALTH_SERVED,    /**< A whole answer that is no error of the server. */
    HEALTH_FAILED,    /**< It broke off, was wrong, or is an error of the server. */
    HEALTH_REFUSED,   /**< It was refused although the server seemed to have room. */
    HEALTH_UNANSWERED /**< No answer has begun for longer than its kind takes. */
} health_outcome_t;

/** Health of one server; all zero: nothing is known against it. */
typedef struct health_t {
    uint32_t share;    /**< Share of failures at `noted_ms`, of HEALTH_ONE. */
    uint64_t noted_ms; /**< Time of the last outcome. */
} health_t;

/** Notes an outcome. */
void health_note(health_t *health, uint64_t now_ms, health_outcome_t outcome);

/** Share of failures now, of HEALTH_ONE. */
uint32_t health_share(const health_t *health, uint64_t now_ms);

/** Calls that a share counts as when servers are compared. */
uint32_t health_calls(uint32_t share);

/** Whether a program should leave its home for such a share. */
bool health_is_bad(uint32_t share);

/** What the log tells of a server: it fails above HEALTH_EXCUSED, and is sound again below HEALTH_SOUND only. */
bool health_told_failing(bool told, uint32_t share);

#endif
