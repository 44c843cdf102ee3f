/**
 * @file control.h
 * The daemon's control thread. It owns the state replica (with the state role),
 * the control client and the links to other daemons, and does all their I/O.
 * Other threads submit requests to it.
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

/** For GetStatus and the metrics. */
struct control_status {
    bool ready;           /**< See control_is_ready(). */
    uint64_t epoch;       /**< Of this daemon's lease. */
    uint64_t revision;    /**< Of the configuration applied by this daemon. */
    uint32_t group_count; /**< Groups replicated here; 0 without the state role. */
    GroupStatus groups[REPLICA_MAX_GROUPS];
    struct replica_counters counters;
    uint64_t programs;                        /**< In the local replica. */
    uint64_t client_messages, client_bytes;   /**< Sent by the control client. */
    uint64_t link_bytes_in, link_bytes_out;   /**< Over all links. */
    uint64_t link_frames_in, link_frames_out; /**< Over all links. */
};

/** Returns NULL and logs the error on failure. `settings` must outlive the result. */
struct control *control_start(const struct settings *settings, uint64_t boot_id);

/** Transfers the leaderships to other replicas, joins the thread and frees `control`. */
void control_stop(struct control *control);

/**
 * Sends a request and waits for the reply, at most `timeout_ms`. On RESULT_OK
 * the encoded reply is appended to `reply`.
 */
ResultCode control_call(struct control *control, uint32_t group, RequestKind kind, struct view body,
                        uint32_t timeout_ms, struct buffer *reply);

/** Does not wait for the result; retries for `timeout_ms`. `body` is copied. */
void control_call_async(struct control *control, uint32_t group, RequestKind kind, struct view body,
                        uint32_t timeout_ms);

/** Whether this daemon holds a lease (core/lease_table.h) and has a configuration; otherwise it refuses calls. */
bool control_is_ready(const struct control *control);

/** Fencing epoch of the lease. */
uint64_t control_epoch(const struct control *control);

/** The control client then reports that this daemon is draining. */
void control_set_draining(struct control *control);

void control_read_status(struct control *control, struct control_status *status);

#endif
