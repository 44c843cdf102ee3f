/**
 * @file control.h
 * The daemon's control thread: hosts the state replica (if this daemon has
 * the role), the control client and the links, and does all their input and
 * output. Request threads call into it and wait.
 */
#ifndef BANKBANK_DAEMON_CONTROL_H
#define BANKBANK_DAEMON_CONTROL_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buffer.h"
#include "control.pb.h"
#include "core/replica.h"
#include "daemon/settings.h"
#include "operator.pb.h"

struct control;

/** State of the control plane as seen here, for status pages and metrics. */
struct control_status {
    bool ready;                               /**< Lease and configuration are there. */
    uint64_t epoch;                           /**< Lease epoch. */
    uint64_t revision;                        /**< Configuration in force here. */
    uint32_t group_count;                     /**< Groups hosted here. */
    GroupStatus groups[REPLICA_MAX_GROUPS];   /**< Their consensus state. */
    struct replica_counters counters;         /**< Replica's events. */
    uint64_t programs;                        /**< Programs held by the local replica. */
    uint64_t client_messages, client_bytes;   /**< Sent by the control client. */
    uint64_t link_bytes_in, link_bytes_out;   /**< Over all links. */
    uint64_t link_frames_in, link_frames_out; /**< Over all links. */
};

/** Starts the thread; NULL and a log line on failure. */
struct control *control_start(const struct settings *settings, uint64_t boot_id);

/** Gives leaderships back, then ends the thread and frees everything. */
void control_stop(struct control *control);

/**
 * Sends a request and waits for its answer, at most `timeout_ms`. On
 * RESULT_OK `reply` holds the encoded answer of the kind.
 */
ResultCode control_call(struct control *control, uint32_t group, RequestKind kind, struct view body,
                        uint32_t timeout_ms, struct buffer *reply);

/** Sends a request whose outcome nobody waits for; it is retried for `timeout_ms`. */
void control_post(struct control *control, uint32_t group, RequestKind kind, struct view body, uint32_t timeout_ms);

/** Whether this daemon holds a lease and knows a configuration. */
bool control_is_ready(const struct control *control);

/** Epoch of the lease. */
uint64_t control_epoch(const struct control *control);

/** Tells the fleet that this daemon is leaving. */
void control_set_draining(struct control *control);

/** Copies the status. */
void control_read_status(struct control *control, struct control_status *status);

#endif
