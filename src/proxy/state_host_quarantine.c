/* State replica: the leader logs the failures that gateways report (core/quarantine.h). */
#include <stdlib.h>

#include "base/event_log.h"
#include "base/message.h"
#include "proxy/node_metrics.h"
#include "proxy/state_host_internal.h"

static const quarantine_t *host_logged_failures(const struct state_host *host)
{
    return &host->replica.groups[STATE_CONFIG_GROUP].machine.site.failures;
}

uint64_t *state_host_list_suspected(const struct state_host *host, pb_size_t *count)
{
    return quarantine_list_suspected(host_logged_failures(host), count);
}

/* A gateway that misses the notice learns the operation from the next reply to its load reports. */
static void host_notify_gateways(struct state_host *host, const QuarantineNotice *notice)
{
    Frame frame = {.which_payload = Frame_quarantine_notice_tag, .payload.quarantine_notice = *notice};
    const struct load_gateway *gateway = host->loads.gateways;
    for (; gateway != NULL; gateway = gateway->hh.next) {
        node_send_frame(host->node, gateway->node, &frame);
    }
}

static void host_begin_quarantine(struct state_host *host, QuarantinedOperation *entry, uint32_t failures)
{
    char operation[QUARANTINE_TEXT_BYTES];
    quarantine_format(entry->operation, operation);
    event_log("operation_quarantined", "{s:s,s:i,s:I}", "operation", operation, "servers", (int)failures,
              "remaining_ms", (json_int_t)entry->remaining_ms);
    host->quarantines++;
    QuarantineNotice notice = {.quarantined_count = 1, .quarantined = entry};
    host_notify_gateways(host, &notice);
}

/* Gateways ask for permits for an operation that one more failure quarantines, also those that have seen none. */
static void host_notify_suspected(struct state_host *host)
{
    const quarantine_t *logged = host_logged_failures(host);
    if (host->suspects_applied == logged->one_left) {
        return;
    }
    host->suspects_applied = logged->one_left;
    uint64_t until_ms = host->suspects_until_ms;
    for (const quarantine_operation_t *it = logged->operations; it != NULL; it = it->hh.next) {
        if (it->last_ms >= until_ms && quarantine_has_one_failure_left(logged, it)) {
            QuarantineNotice notice = {.suspected = it->hash};
            host_notify_gateways(host, &notice);
            host->suspects_until_ms = it->last_ms > host->suspects_until_ms ? it->last_ms : host->suspects_until_ms;
        }
    }
}

void state_host_apply_quarantines(struct state_host *host)
{
    const quarantine_t *logged = host_logged_failures(host);
    uint64_t now_ms = node_now(host->node);
    if (!state_host_is_leader(host)) {
        return;
    }
    host_notify_suspected(host);
    if (host->quarantines_applied == logged->begun) {
        return;
    }
    host->quarantines_applied = logged->begun;
    pb_size_t count = 0;
    QuarantinedOperation *list =
        quarantine_list(logged, replica_timestamp_ms(&host->replica, STATE_CONFIG_GROUP), &count);
    for (pb_size_t i = 0; i < count; i++) {
        if (quarantine_remaining_ms(&host->quarantine, now_ms, list[i].operation) == 0) {
            host_begin_quarantine(host, &list[i], quarantine_count(logged, list[i].operation));
        }
    }
    quarantine_adopt(&host->quarantine, now_ms, list, count);
    free(list);
}

static uint64_t host_failure_id(const FailureReport *report)
{
    return report->failure != 0 ? report->failure : report->server; /* of a gateway of an earlier version */
}

static bool host_log_failure(struct state_host *host, uint32_t from, const Request *request,
                             const FailureReport *report)
{
    OperationFailure failure = {
        .operation = report->operation,
        .failure = host_failure_id(report),
        .max_failures = host->quarantine.max_failures,
        .keep_ms = host->quarantine.keep_ms,
        .age_ms = report->age_ms,
        .by_contents = report->by_contents,
        .attempt = report->attempt,
        .goes_on = report->goes_on,
    };
    return replica_record_failure(&host->replica, node_now(host->node), from, request, &failure);
}

/* While a member cannot apply the entry, failures are counted in this process only. */
static void host_count_failure(struct state_host *host, const FailureReport *report, struct buffer *out)
{
    uint64_t now_ms = node_now(host->node);
    quarantine_failure_t failure = {
        .operation = report->operation,
        .id = host_failure_id(report),
        .by_contents = report->by_contents,
        .sent_ms = now_ms > report->age_ms ? now_ms - report->age_ms : 0,
    };
    bool begins = quarantine_record(&host->quarantine, now_ms, &failure);
    uint64_t remaining_ms = quarantine_remaining_ms(&host->quarantine, now_ms, report->operation);
    QuarantinedOperation entry = {.operation = report->operation, .remaining_ms = (uint32_t)remaining_ms};
    if (begins) {
        host_begin_quarantine(host, &entry, quarantine_count(&host->quarantine, entry.operation));
    }
    QuarantineNotice notice = {.quarantined_count = remaining_ms > 0 ? 1 : 0, .quarantined = &entry};
    message_encode(out, QuarantineNotice_fields, &notice);
}

void state_host_handle_failure(struct state_host *host, uint32_t from, const Request *request)
{
    Frame frame = {.which_payload = Frame_reply_tag};
    Reply *reply = &frame.payload.reply;
    struct buffer body = {0};
    FailureReport report = {0};
    reply->id = request->id;
    reply->leader = state_host_leader(host);
    reply->code = RESULT_NOT_LEADER;
    bool handles = state_host_is_leader(host) && message_decode(request->body, FailureReport_fields, &report);
    bool logs = handles && state_host_members_have_level(host, STATE_LEVEL_FAILURES);
    if (logs && host_log_failure(host, from, request, &report)) {
        return; /* answered once it is applied */
    }
    if (handles && !logs) {
        host_count_failure(host, &report, &body);
        reply->code = RESULT_OK;
        reply->body = buffer_view(&body);
    }
    node_send_frame(host->node, from, &frame);
    buffer_close(&body);
}

void state_host_write_quarantine(const struct state_host *host, struct buffer *out)
{
    metrics_write_counter(out, "quarantines_total", "Operations quarantined by this replica as the leader.",
                          host->quarantines);
    metrics_write_gauge(out, "attempts_open", "Requests that servers may be running, as far as the log knows.",
                        HASH_COUNT(host->replica.groups[STATE_CONFIG_GROUP].machine.site.open_attempts.attempts));
    metrics_write_gauge(out, "operations_suspected", "Operations under which a server failed lately.",
                        HASH_COUNT(host_logged_failures(host)->operations));
}
