/* Validates responses of servers, and relays them as a whole or event by event. */
#include <stdlib.h>
#include <string.h>

#include "base/event_log.h"
#include "proxy/forward.h"
#include "proxy/frontend_memory.h"

enum {
    FORWARD_OK = 200,
    FORWARD_MISDIRECTED = 421,
    FORWARD_FIRST_NON_SUCCESS = 300,
    FORWARD_SERVER_ERROR = 500,
    FORWARD_GATEWAY_TIMEOUT = 504
};

/* ---- Head ------------------------------------------------------------------------------- */

static struct view forward_response_header(const struct forward *forward, const struct http_reader *response,
                                           enum dialect_header header)
{
    return http_reader_header(response, forward->frontend->node->dialect->headers[header]);
}

static bool forward_id_matches(const struct forward *forward, const struct http_reader *response)
{
    struct view id = forward_response_header(forward, response, DIALECT_REQUEST_ID);
    return id.length == strlen(forward->id) && memcmp(id.data, forward->id, id.length) == 0;
}

/* NULL: it is the response to this request. A success must name the request. Any other response may lack its id, but
 * may then be a copy of an earlier one: it is certain only if it is the first of its connection. */
static const char *forward_mismatch(const struct forward_attempt *attempt, const struct http_reader *response)
{
    const struct forward *forward = attempt->forward;
    bool has_id = forward_response_header(forward, response, DIALECT_REQUEST_ID).length > 0;
    if (has_id) {
        return forward_id_matches(forward, response) ? NULL : "an answer to another request";
    }
    bool certain = response->status >= FORWARD_FIRST_NON_SUCCESS && upstream_is_first_exchange(attempt->exchange);
    return certain ? NULL : "an answer that names no request";
}

/* NULL: the response to this request is valid. A success must carry the server's signature. */
static const char *forward_response_error(const struct forward *forward, const struct http_reader *response)
{
    bool success = response->status < FORWARD_FIRST_NON_SUCCESS;
    if (success && forward_response_header(forward, response, DIALECT_SIGNATURE).length == 0) {
        return "a success without the server's signature";
    }
    if (http_reader_has_header(response, "Content-Encoding")) {
        return "an encoded answer";
    }
    return NULL;
}

static void forward_save_header_lines(struct forward_attempt *attempt, const struct http_reader *response)
{
    for (int i = 0; i < response->header_count; i++) {
        const struct http_header *header = &response->headers[i];
        if (!http_reader_is_hop_by_hop(response, header->name)) {
            struct buffer *lines = &attempt->header_lines;
            buffer_append(lines, header->name.data, header->name.length);
            buffer_append(lines, ": ", 2);
            buffer_append(lines, header->value.data, header->value.length);
            buffer_append(lines, "\r\n", 2);
        }
    }
}

static bool forward_is_not_run(const struct forward *forward, const struct http_reader *response)
{
    const char *name = forward->frontend->node->dialect->headers[DIALECT_NOT_RUN];
    return http_reader_has_header(response, name) || response->status == FORWARD_MISDIRECTED;
}

static void forward_record_received(struct forward_attempt *attempt)
{
    struct frontend *frontend = attempt->forward->frontend;
    attempt->last_received_ms = node_now(frontend->node);
    frontend_record_received(frontend, attempt->server);
}

static void forward_on_head(void *owner, const struct http_reader *response)
{
    struct forward_attempt *attempt = owner;
    struct forward *forward = attempt->forward;
    attempt->status = response->status;
    reach_record_response(&attempt->server->reach, node_now(forward->frontend->node) - attempt->sent_ms);
    forward_record_received(attempt);
    const char *mismatch = forward_mismatch(attempt, response);
    if (mismatch != NULL) {
        forward->frontend->counters.mismatched++;
        forward_attempt_outcome_unknown(attempt, mismatch);
        return;
    }
    if (forward_response_header(forward, response, DIALECT_REQUEST_ID).length == 0) {
        forward->frontend->counters.unnamed++;
        upstream_close_after_response(attempt->exchange); /* a copy of it would not name its request either */
    }
    if (forward_is_not_run(forward, response)) {
        attempt->refused = true;
        return;
    }
    const char *error = forward_response_error(forward, response);
    if (error != NULL) {
        forward_attempt_outcome_unknown(attempt, error);
        return;
    }
    forward_save_header_lines(attempt, response);
    attempt->streaming = forward->route->kind == ROUTE_STREAM && response->status == FORWARD_OK;
    if (forward->stream.head_sent) {
        if (!attempt->streaming) {
            forward_attempt_outcome_unknown(attempt, "a stream that was not taken up");
        }
        return; /* the caller already has the head of the first response */
    }
    if (attempt->streaming) {
        forward->stream.head_sent = true;
        forward->response_status = response->status;
        http_call_start_response(forward->call, response->status, buffer_view(&attempt->header_lines));
    }
}

/* ---- Body -------------------------------------------------------------------------------- */

/* Whether the event's id, if it has one, is greater than the last one: ids of one run only increase. */
static bool forward_event_is_next(struct forward *forward, const struct event_stream_event *event)
{
    struct forward_stream *stream = &forward->stream;
    uint64_t id = 0;
    if (!event->has_id) {
        stream->has_unnumbered_event = stream->has_unnumbered_event || event->has_data;
        return true;
    }
    for (size_t i = 0; i < event->id.length; i++) {
        uint64_t digit = (uint64_t)event->id.data[i] - '0';
        if (digit > 9 || id > (UINT64_MAX - digit) / 10) {
            stream->has_unnumbered_event = true;
            return true; /* not a 64-bit number: cannot be compared */
        }
        id = id * 10 + digit;
    }
    bool next = stream->event_count == 0 || id > stream->last_event;
    stream->last_event = id;
    return next;
}

static bool forward_on_event(void *context, const struct event_stream_event *event)
{
    struct forward *forward = context;
    struct forward_stream *stream = &forward->stream;
    if (!forward_event_is_next(forward, event) || stream->comment_bytes > FORWARD_MAX_COMMENT_BYTES) {
        return false;
    }
    if (stream->event_count == 0) {
        stream->first_event_ms = node_now(forward->frontend->node);
        histogram_record(&forward->frontend->first_event_time, stream->first_event_ms - forward->call->received_ms);
    }
    stream->comment_bytes = event->has_data ? 0 : stream->comment_bytes + event->raw.length;
    if (event->has_data) {
        stream->event_count++;
        if (forward->turn.persistent) {
            buffer_append(&forward->turn.output, event->data.data, event->data.length);
            buffer_append(&forward->turn.output, "\n", 1);
        }
    }
    forward_send_event(forward, event->raw);
    return true;
}

/* Backpressure: pauses reading from the server while the caller reads too slowly. */
static void forward_pause_for_caller(struct forward_attempt *attempt)
{
    struct forward *forward = attempt->forward;
    if (!forward->stream.paused &&
        http_call_unsent_bytes(forward->call) + forward->origin.held.length > FORWARD_MAX_PENDING_BYTES) {
        forward->stream.paused = true;
        forward->frontend->counters.pauses++;
        upstream_pause(attempt->exchange, true);
    }
}

/* While reading was paused, the server's silence proved nothing; that it ends proves no contact either. */
static void forward_restart_silence(struct forward_attempt *attempt)
{
    attempt->last_received_ms = node_now(attempt->forward->frontend->node);
    attempt->server->last_activity_ms = attempt->last_received_ms;
}

void forward_caller_drained(struct forward *forward)
{
    if (!forward->stream.paused) {
        return;
    }
    forward->stream.paused = false;
    for (int i = 0; i < FORWARD_MAX_PARALLEL; i++) {
        struct forward_attempt *attempt = &forward->attempts[i];
        if (attempt->streaming && attempt->exchange != NULL) {
            forward_restart_silence(attempt);
            upstream_pause(attempt->exchange, false);
        }
    }
}

/* What a server sent for the attempt and is not yet relayed. */
static size_t forward_held_bytes(const struct forward_attempt *attempt)
{
    const struct forward *forward = attempt->forward;
    return attempt->streaming ? forward->stream.events.pending.length + forward->origin.held.length
                              : attempt->body.length;
}

/* While the memory for requests is full, only small answers are received whole. */
static bool forward_has_memory(const struct forward_attempt *attempt, struct view part)
{
    bool has_memory = frontend_memory_grow(attempt->forward->frontend, part.length);
    return has_memory || forward_held_bytes(attempt) + part.length <= FORWARD_SMALL_RESPONSE_BYTES;
}

static void forward_handle_server_refusal(struct forward_attempt *attempt);

/* A refusal counts without its end if its body is too long. */
static void forward_skip_refusal_body(struct forward_attempt *attempt, struct view part)
{
    attempt->refusal_bytes += part.length;
    if (attempt->refusal_bytes > FORWARD_MAX_REFUSAL_BYTES) {
        forward_handle_server_refusal(attempt);
    }
}

static void forward_on_body(void *owner, struct view part)
{
    struct forward_attempt *attempt = owner;
    struct forward *forward = attempt->forward;
    forward_record_received(attempt);
    if (attempt->refused) {
        forward_skip_refusal_body(attempt, part);
        return;
    }
    if (!forward_has_memory(attempt, part)) {
        forward_attempt_outcome_unknown(attempt, "no memory for the answer");
        return;
    }
    if (attempt->streaming) {
        if (!event_stream_feed(&forward->stream.events, part, forward_on_event, forward)) {
            forward_attempt_outcome_unknown(attempt, "events out of order, too large, or without data");
            return;
        }
        forward_pin_version(attempt);
        /* An event without a numeric id makes the stream not resumable. */
        upstream_set_keepalive(attempt->exchange, forward_is_resumable(forward));
        forward_pause_for_caller(attempt);
        return;
    }
    buffer_append(&attempt->body, part.data, part.length);
    if (attempt->body.length > FORWARD_MAX_RESPONSE_BYTES) {
        forward_attempt_outcome_unknown(attempt, "an answer that is too large");
    }
}

/* ---- End ------------------------------------------------------------------------------------ */

static void forward_relay_response(struct forward_attempt *attempt)
{
    struct forward *forward = attempt->forward;
    struct buffer lines = attempt->header_lines;
    struct buffer body = attempt->body;
    int status = attempt->status;
    memset(&attempt->header_lines, 0, sizeof(attempt->header_lines));
    memset(&attempt->body, 0, sizeof(attempt->body));
    forward_complete_with(forward, status, &lines, &body);
}

static void forward_handle_server_refusal(struct forward_attempt *attempt)
{
    struct frontend *frontend = attempt->forward->frontend;
    frontend->counters.server_refusals++;
    if (attempt->status == FORWARD_MISDIRECTED) {
        attempt->server->address_reused = true;
        forward_attempt_not_run(attempt, "another server has the address");
        return;
    }
    server_record_refused(&frontend->servers, attempt->server, node_now(frontend->node));
    forward_attempt_not_run(attempt, "the server refused");
}

static void forward_end_stream(struct forward_attempt *attempt)
{
    struct forward *forward = attempt->forward;
    if (event_stream_has_partial(&forward->stream.events)) {
        forward_attempt_outcome_unknown(attempt, "a stream that ends inside an event");
        return;
    }
    forward->turn.served_by = text_copy(attempt->server->incarnation);
    prefix_cost_record(&forward->frontend->call_cost, forward->own_tokens,
                       forward->stream.event_count * forward_tokens_per_event(forward));
    forward_end_attempt(attempt);
    if (forward->turn.program != NULL) {
        forward_turn_commit(forward);
    } else {
        forward_complete(forward);
    }
}

/* 504 does not count as a failure: the server's queue may just be long. */
static health_outcome_t forward_health_outcome(int status)
{
    bool failed = status >= FORWARD_SERVER_ERROR && status != FORWARD_GATEWAY_TIMEOUT;
    return failed ? HEALTH_FAILED : HEALTH_SERVED;
}

static bool forward_was_not_sent(enum upstream_result result)
{
    return result == UPSTREAM_NOT_SENT || result == UPSTREAM_REFUSED || result == UPSTREAM_CONNECT_TIMEOUT;
}

static void forward_on_end(void *owner, enum upstream_result result)
{
    struct forward_attempt *attempt = owner;
    struct node *node = attempt->forward->frontend->node;
    attempt->exchange = NULL;
    if (forward_was_not_sent(result)) {
        attempt->server->not_listening = result == UPSTREAM_REFUSED;
        attempt->server->possible_ends += result == UPSTREAM_REFUSED ? 1 : 0;
        if (result == UPSTREAM_CONNECT_TIMEOUT) {
            frontend_record_connect_timeout(attempt->forward->frontend, attempt->server);
        }
        forward_attempt_not_run(attempt, forward_unsent_reason(attempt));
        return;
    }
    if (result == UPSTREAM_PEER_TIMEOUT) {
        frontend_record_unresponsive(attempt->forward->frontend, attempt->server);
        forward_attempt_failed(attempt, "the server's machine is silent");
        return;
    }
    if (result == UPSTREAM_ENDLESS) {
        forward_attempt_outcome_unknown(attempt, "bytes without end that are no answer");
        return;
    }
    if (result == UPSTREAM_BROKEN) {
        forward_attempt_failed(attempt, "the server broke off");
        return;
    }
    if (attempt->refused) {
        forward_handle_server_refusal(attempt);
        return;
    }
    health_record(&attempt->server->health, node_now(node), forward_health_outcome(attempt->status));
    if (attempt->streaming) {
        forward_end_stream(attempt);
    } else {
        forward_relay_response(attempt);
    }
}

const struct upstream_events forward_upstream_events = {forward_on_write, forward_on_head, forward_on_body,
                                                        forward_on_end};
