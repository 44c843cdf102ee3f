/**
 * @file resume.h
 * Where a stream that broke off goes on. Pure.
 *
 * A run that a caller reads may be taken up with the id of the last event that
 * was passed on. The server that broke off is asked first: it keeps the prompt,
 * and a run there counts as no further server. It is passed over when it has
 * ended, leaves or is gone, since then the former run ends soon or has
 * ended. One that gets nothing new is passed over only where the route has room for
 * a further server, since the former run may go on. A run whose server only takes no connections does not break off:
 * that its server is gone, is told by its own connection (reach.h). Where the route has no room for a further server
 * and that one does not take the run back, being full, it is waited for as requests wait for a place (place_wait.h),
 * and the stream ends if it stays full.
 */
#ifndef BANKBANK_CORE_RESUME_H
#define BANKBANK_CORE_RESUME_H

#include <stdbool.h>
#include <stdint.h>

enum {
    RESUME_MAX = 4,       /**< Times that one stream is taken up. */
    RESUME_LEAST_MS = 40, /**< Least time left of the caller's for that. */
    RESUME_SAME_MAX = 2   /**< Times in a row at the server that broke off, where the route allows others. */
};

/** Where a broken stream goes on. */
typedef enum resume_way_t {
    RESUME_NOT,  /**< It ends. */
    RESUME_SAME, /**< At the server that broke off. */
    RESUME_OTHER /**< At another one. */
} resume_way_t;

/** A stream that broke off. */
typedef struct resume_view_t {
    bool resumable;        /**< Its route allows it. */
    bool server_gone;      /**< server_is_gone(): it has ended, leaves or is gone. */
    bool server_closed;    /**< It works on, and gets nothing new: its zone is drained. */
    uint32_t resumes;      /**< Times it was taken up so far. */
    uint32_t servers;      /**< Servers that may have run it. */
    uint32_t max_attempts; /**< Most servers that the route allows. */
    uint64_t left_ms;      /**< Time left of the caller's. */
} resume_view_t;

/** Decides. */
resume_way_t resume_decide(const resume_view_t *view);

#endif
