/* Stops requests under which several servers failed (core/quarantine.h). */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/event_log.h"
#include "base/message.h"
#include "proxy/forward.h"

enum { FORWARD_UNAVAILABLE = 503, FORWARD_BAD_GATEWAY = 502 };

static const char FORWARD_QUARANTINED[] = "servers failed while they ran it";

static uint64_t forward_quarantine_remaining_ms(struct forward *forward)
{
    const struct frontend *frontend = forward->frontend;
    if (frontend->quarantine.quarantined == 0) {
        return 0;
    }
    return quarantine_remaining_ms(&frontend->quarantine, node_now(frontend->node), forward_operation(forward));
}

bool forward_is_quarantined(struct forward *forward)
{
    return forward_quarantine_remaining_ms(forward) > 0;
}

static void forward_log_quarantined(struct forward *forward)
{
    char operation[QUARANTINE_TEXT_BYTES];
    quarantine_format(forward_operation(forward), operation);
    event_log("quarantine_refused", "{s:s,s:s,s:i,s:I}", "id", text_or_empty(forward->id), "operation", operation,
              "runs", (int)forward->possible_runs, "remaining_ms",
              (json_int_t)forward_quarantine_remaining_ms(forward));
}

void forward_refuse_quarantined(struct forward *forward)
{
    forward->frontend->counters.quarantine_refusals++;
    forward_log_quarantined(forward);
    if (forward->possible_runs > 0) {
        forward_fail(forward, FORWARD_BAD_GATEWAY, FORWARD_QUARANTINED);
        return;
    }
    forward->retry_after_ms = forward_quarantine_remaining_ms(forward);
    forward_refuse(forward, FORWARD_UNAVAILABLE, FORWARD_QUARANTINED);
}

/* ---- Reports to the leader ---------------------------------------------------------------------------- */

/* Returns the suspicion of the operation that was reported. */
static uint32_t frontend_adopt_encoded_notice(struct frontend *frontend, struct view encoded)
{
    QuarantineNotice notice = {0};
    uint32_t suspicion = 0;
    if (message_decode(encoded, QuarantineNotice_fields, &notice)) {
        suspicion = notice.suspicion;
        frontend_adopt_quarantine(frontend, notice.quarantined, notice.quarantined_count);
        message_free(QuarantineNotice_fields, &notice);
    }
    return suspicion;
}

static void forward_log_uncounted(struct forward *forward, const char *reason)
{
    char operation[QUARANTINE_TEXT_BYTES];
    quarantine_format(forward_operation(forward), operation);
    event_log("failure_not_counted", "{s:s,s:s,s:s}", "id", text_or_empty(forward->id), "operation", operation,
              "reason", reason);
}

/* The number of failures is unknown: the request must not be sent to another server. */
static void forward_end_uncounted(struct forward *forward, const char *reason)
{
    forward->frontend->counters.uncounted_failures++;
    forward->failure_uncounted = true;
    forward_log_uncounted(forward, reason);
}

/* The attempt of a request that goes on is open by now, unless that would exceed the suspicion. */
static void forward_apply_suspicion(struct forward *forward, uint32_t suspicion)
{
    if (forward_exceeds_suspicion(forward, suspicion)) {
        forward_end_uncounted(forward, "other attempts at the operation are open");
        return;
    }
    forward->permit.granted = true;
}

static void forward_on_failure_counted(void *context, ResultCode code, struct view body)
{
    struct forward_attempt *attempt = context;
    attempt->failure_report = NULL;
    if (code == RESULT_OK) {
        uint32_t suspicion = frontend_adopt_encoded_notice(attempt->forward->frontend, body);
        if (attempt->may_go_on) {
            forward_apply_suspicion(attempt->forward, suspicion);
        }
    } else if (code != RESULT_INVALID && attempt->may_go_on) { /* invalid: of a leader that does not count failures */
        forward_end_uncounted(attempt->forward, "not acknowledged");
    }
    forward_after_failure(attempt, attempt->failure);
}

/* Within one request, a server that broke off several times counts once, unless it may have ended in between. */
static uint64_t forward_failure_id(const struct forward_attempt *attempt)
{
    uint64_t parts[] = {XXH64(attempt->forward->id, strlen(attempt->forward->id), 0), attempt->server->hash,
                        attempt->server->possible_ends};
    return XXH64(parts, sizeof(parts), 0);
}

static quarantine_failure_t forward_describe_failure(const struct forward_attempt *attempt)
{
    return (quarantine_failure_t){
        .operation = forward_operation(attempt->forward),
        .id = forward_failure_id(attempt),
        .by_contents = attempt->forward->operation_by_contents,
        .sent_ms = attempt->sent_ms,
    };
}

/* The leader counts it even if the request ends, or the caller leaves, meanwhile. */
static struct node_request *forward_submit_failure(const struct forward_attempt *attempt, node_reply reply,
                                                   void *context)
{
    struct node *node = attempt->forward->frontend->node;
    quarantine_failure_t failure = forward_describe_failure(attempt);
    struct buffer body = {0};
    FailureReport report = {
        .operation = failure.operation,
        .server = attempt->server->hash,
        .failure = failure.id,
        .age_ms = (uint32_t)(node_now(node) - failure.sent_ms),
        .by_contents = failure.by_contents,
        .attempt = forward_attempt_key(attempt->forward),
        .goes_on = attempt->forward->permit.opened,
    };
    message_encode(&body, FailureReport_fields, &report);
    struct node_request *request = node_submit(node, REQUEST_FAILURE, buffer_view(&body),
                                               node_now(node) + FORWARD_FAILURE_REPORT_MS, reply, context);
    buffer_close(&body);
    return request;
}

static bool forward_counts_alone(const struct frontend *frontend)
{
    return node_is_isolated(frontend->node) || frontend_is_cut_off(frontend);
}

/* Returns whether failures are counted at all. */
static bool forward_count_failure(const struct forward_attempt *attempt)
{
    struct frontend *frontend = attempt->forward->frontend;
    quarantine_failure_t failure = forward_describe_failure(attempt);
    quarantine_record(&frontend->quarantine, node_now(frontend->node), &failure);
    return frontend->quarantine.max_failures > 0;
}

bool forward_report_failure(struct forward_attempt *attempt, const char *reason)
{
    struct forward *forward = attempt->forward;
    struct frontend *frontend = forward->frontend;
    if (!forward_count_failure(attempt)) {
        return false;
    }
    bool waits = frontend->counts_known && !forward_counts_alone(frontend);
    attempt->may_go_on =
        (forward_may_retry(forward) || forward_is_resumable(forward)) && !forward_is_quarantined(forward);
    forward->permit.opened = forward->permit.opened || (attempt->may_go_on && forward->turn.program == NULL);
    struct node_request *report =
        forward_submit_failure(attempt, waits ? forward_on_failure_counted : NULL, waits ? attempt : NULL);
    if (attempt->may_go_on && !frontend->counts_known) {
        forward_end_uncounted(forward, "earlier failures are not known since the start");
    }
    if (attempt->may_go_on && waits) {
        frontend_probe_for_end(frontend, attempt->server);
    }
    attempt->failure = reason;
    attempt->failure_report = waits ? report : NULL;
    attempt->failure_reported_ms = node_now(frontend->node);
    return waits;
}

static bool forward_report_is_late(const struct forward_attempt *attempt)
{
    if (attempt->failure_report == NULL) {
        return false;
    }
    uint64_t wait_ms = attempt->may_go_on ? FORWARD_FAILURE_WAIT_MS : FORWARD_FAILURE_ANSWER_MS;
    return node_now(attempt->forward->frontend->node) >= attempt->failure_reported_ms + wait_ms;
}

static void forward_end_failure_wait(struct forward_attempt *attempt)
{
    struct frontend *frontend = attempt->forward->frontend;
    node_ignore_reply(frontend->node, attempt->failure_report);
    attempt->failure_report = NULL;
    if (attempt->may_go_on && !forward_counts_alone(frontend)) {
        forward_end_uncounted(attempt->forward, "not acknowledged in time");
    }
    forward_after_failure(attempt, attempt->failure);
}

void forward_end_failure_waits(struct frontend *frontend)
{
    struct forward *next = NULL;
    for (struct forward *forward = frontend->forwards; forward != NULL; forward = next) {
        next = forward->next;
        for (int i = 0; i < FORWARD_MAX_PARALLEL; i++) {
            if (forward_report_is_late(&forward->attempts[i])) {
                forward_end_failure_wait(&forward->attempts[i]);
                break; /* the request may have ended */
            }
        }
    }
}

static bool forward_server_has_ended(const struct server *server)
{
    return server->replaced || !server->listed || server->not_listening || server->address_reused ||
           server->reach.unreachable;
}

void forward_report_silent_servers(const struct forward *forward)
{
    for (int i = 0; i < FORWARD_MAX_PARALLEL; i++) {
        const struct forward_attempt *attempt = &forward->attempts[i];
        bool in_flight = attempt->exchange != NULL && upstream_was_sent(attempt->exchange);
        if (in_flight && forward_server_has_ended(attempt->server) && forward_count_failure(attempt)) {
            forward_submit_failure(attempt, NULL, NULL);
        }
    }
}

bool forward_awaits_failure_count(const struct forward *forward)
{
    for (int i = 0; i < FORWARD_MAX_PARALLEL; i++) {
        if (forward->attempts[i].failure_report != NULL) {
            return true;
        }
    }
    return false;
}

void frontend_adopt_quarantine(struct frontend *frontend, const QuarantinedOperation *list, size_t count)
{
    quarantine_adopt(&frontend->quarantine, node_now(frontend->node), list, count);
}
