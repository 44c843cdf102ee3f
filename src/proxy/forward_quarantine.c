/* Stops requests under which several servers failed (core/quarantine.h). */
#include <stdlib.h>
#include <string.h>

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

static void frontend_adopt_encoded_notice(struct frontend *frontend, struct view encoded)
{
    QuarantineNotice notice = {0};
    if (message_decode(encoded, QuarantineNotice_fields, &notice)) {
        frontend_adopt_quarantine(frontend, notice.quarantined, notice.quarantined_count);
        message_free(QuarantineNotice_fields, &notice);
    }
}

static void forward_log_uncounted(struct forward *forward, ResultCode code)
{
    char operation[QUARANTINE_TEXT_BYTES];
    quarantine_format(forward_operation(forward), operation);
    event_log("failure_not_counted", "{s:s,s:s,s:i}", "id", text_or_empty(forward->id), "operation", operation, "code",
              (int)code);
}

static void forward_on_failure_counted(void *context, ResultCode code, struct view body)
{
    struct forward_attempt *attempt = context;
    attempt->failure_report = NULL;
    if (code == RESULT_OK) {
        frontend_adopt_encoded_notice(attempt->forward->frontend, body);
    } else {
        forward_log_uncounted(attempt->forward, code);
    }
    forward_after_failure(attempt, attempt->failure);
}

static struct node_request *forward_submit_failure(const struct forward_attempt *attempt, node_reply reply,
                                                   void *context)
{
    struct forward *forward = attempt->forward;
    struct node *node = forward->frontend->node;
    struct buffer body = {0};
    FailureReport report = {.operation = forward_operation(forward), .server = attempt->server->hash};
    message_encode(&body, FailureReport_fields, &report);
    struct node_request *request = node_submit(node, REQUEST_FAILURE, buffer_view(&body),
                                               node_now(node) + FORWARD_FAILURE_REPORT_MS, reply, context);
    buffer_close(&body);
    return request;
}

/* Returns whether the leader can be told. */
static bool forward_count_failure(const struct forward_attempt *attempt)
{
    struct forward *forward = attempt->forward;
    struct frontend *frontend = forward->frontend;
    quarantine_record(&frontend->quarantine, node_now(frontend->node), forward_operation(forward),
                      attempt->server->hash);
    return frontend->quarantine.max_servers > 0 && !node_is_isolated(frontend->node) && !frontend_is_cut_off(frontend);
}

bool forward_report_failure(struct forward_attempt *attempt, const char *reason)
{
    struct forward *forward = attempt->forward;
    if (!forward_count_failure(attempt)) {
        return false;
    }
    bool may_go_on = forward_may_retry(forward) || forward_is_resumable(forward);
    if (!may_go_on || forward_is_quarantined(forward)) {
        forward_submit_failure(attempt, NULL, NULL);
        return false;
    }
    attempt->failure = reason;
    attempt->failure_report = forward_submit_failure(attempt, forward_on_failure_counted, attempt);
    return true;
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
