/**
 * @file resume.h
 * Decides where an interrupted stream is resumed. A pure function.
 *
 * A stream is resumed after the last event that was forwarded to the caller, by
 * the id of that event. The same server is tried first: it has the prompt cached
 * and does not count as another server. If it has ended or is dead, it no longer
 * runs the stream, and another server is used. If it is leaving or unreachable
 * (reach.h), another server is used if the route allows one; otherwise the stream
 * continues at a leaving server while that may get such requests, and moves only once
 * the server's address refuses connections or the list no longer has it. In a
 * drained zone the run may continue: another server is used if the route allows
 * one, and otherwise the stream ends. If no other server is allowed and this one is
 * full, the stream waits like a queued request (queue_policy.h) and ends if the
 * server stays full. A server that broke off the stream before it sent any event is
 * tried again only after a backoff, or not if the route allows another one.
 *
 * An unreachable server's resumable streams are interrupted at once if the route
 * allows another server, and otherwise only when the server is dead (reach.h): one
 * that merely accepts no new connections may still run them. Streams that are not
 * resumable are not interrupted for this reason.
 */
#ifndef BANKBANK_CORE_RESUME_H
#define BANKBANK_CORE_RESUME_H

#include <stdbool.h>
#include <stdint.h>

enum {
    RESUME_MAX = 4,               /**< Per stream. */
    RESUME_MIN_REMAINING_MS = 40, /**< Minimum time left until the caller's deadline. */
    RESUME_SAME_MAX = 2,          /**< Resumes before another server is used, if the route allows one. */
    RESUME_BACKOFF_MS = 50,       /**< First backoff; it doubles with each resume. */
    RESUME_BACKOFF_MAX_MS = 200
};

typedef enum resume_target_t {
    RESUME_NONE, /**< The stream ends. */
    RESUME_SAME,
    RESUME_OTHER
} resume_target_t;

/** An interrupted stream. */
typedef struct resume_stream_t {
    bool resumable;   /**< Allowed by the route. */
    bool server_gone; /**< The server has ended (server_has_ended()), or it is leaving or unreachable and the route
                           allows another one. */
    bool server_zone_drained;
    bool stalled;          /**< No event has arrived since it was last resumed. */
    uint32_t resumes;      /**< So far. */
    uint32_t servers_used; /**< Servers that may have run it. */
    uint32_t max_attempts; /**< Maximum number of servers, set by the route. */
    uint64_t left_ms;      /**< Time until the caller's deadline. */
} resume_stream_t;

resume_target_t resume_decide(const resume_stream_t *stream);

/** Time to wait before the stream is resumed at the same server. */
uint32_t resume_backoff_ms(const resume_stream_t *stream);

#endif
