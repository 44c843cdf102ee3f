/* A server's answer: checked, and passed on whole or event by event. */
#include <stdlib.h>
#include <string.h>

#include "base/event_log.h"
#include "proxy/forward.h"

enum {
    FORWARD_OK = 200,
    FORWARD_MISDIRECTED = 421,
    FORWARD_FIRST_FAILURE = 300,
    FORWARD_SERVER_ERROR = 500,
    FORWARD_OUT_OF_TIME = 504
};

/* ---- Head ------------------------------------------------------------------------------- */

static struct view forward_answer_header(const struct forward *forward, const struct http_reader *answer,
                                         enum dialect_header header)
{
    return http_reader_header(answer, forward->front->node->dialect->headers[header]);
}

static bool forward_id_matches(const struct forward *forward, const struct http_reader *answer)
{
    struct view id = forward_answer_header(forward, answer, DIALECT_REQUEST_ID);
    return id.length == strlen(forward->id) && memcmp(id.data, forward->id, id.length) == 0;
}

/* What is wrong with an answer, NULL: nothing. A success must be a server's own whole word. */
static const char *forward_answer_fault(struct forward *forward, const struct http_reader *answer)
{
    bool success = answer->status < FORWARD_FIRST_FAILURE;
    bool has_id = forward_answer_header(forward, answer, DIALECT_REQUEST_ID).length > 0;
    if ((has_id || success) && !forward_id_matches(forward, answer)) {
        forward->front->counters.crossed++;
        return "an answer to another request";
    }
    if (success && forward_answer_header(forward, answer, DIALECT_SIGNATURE).length == 0) {
        return "a success without the server's signature";
    }
    if (http_reader_has(answer, "Content-Encoding")) {
        return "an encoded answer";
    }
    return NULL;
}

static void forward_keep_lines(struct forward_attempt *attempt, const struct http_reader *answer)
{
    for (int i = 0; i < answer->header_count; i++) {
        const struct http_header *header = &answer->headers[i];
        if (!http_reader_is_hop_header(answer, header->name)) {
            struct buffer *lines = &attempt->lines;
            buffer_append(lines, header->name.data, header->name.length);
            buffer_append(lines, ": ", 2);
            buffer_append(lines, header->value.data, header->value.length);
            buffer_append(lines, "\r\n", 2);
        }
    }
}

static bool forward_is_not_run(const struct forward *forward, const struct http_reader *answer)
{
    const char *mark = forward->front->node->dialect->headers[DIALECT_NOT_RUN];
    return http_reader_has(answer, mark) || answer->status == FORWARD_MISDIRECTED;
}

static void forward_note_heard(struct forward_attempt *attempt)
{
    struct front *front = attempt->forward->front;
    attempt->heard_ms = node_now(front->node);
    front_note_heard(front, attempt->server);
}

static void forward_on_head(void *owner, const struct http_reader *answer)
{
    struct forward_attempt *attempt = owner;
    struct forward *forward = attempt->forward;
    attempt->status = answer->status;
    reach_note_answer(&attempt->server->reach, node_now(forward->front->node) - attempt->sent_ms);
    forward_note_heard(attempt);
    if (forward_is_not_run(forward, answer)) {
        attempt->refused = true;
        return;
    }
    const char *fault = forward_answer_fault(forward, answer);
    if (fault != NULL) {
        forward_may_have_run(attempt, fault);
        return;
    }
    forward_keep_lines(attempt, answer);
    attempt->streaming = forward->route->kind == ROUTE_STREAM && answer->status == FORWARD_OK;
    if (forward->stream.begun) {
        if (!attempt->streaming) {
            forward_may_have_run(attempt, "a stream that was not taken up");
        }
        return; /* the caller keeps the head of the first answer */
    }
    if (attempt->streaming) {
        forward->stream.begun = true;
        forward->told_status = answer->status;
        http_call_begin(forward->call, answer->status, buffer_view(&attempt->lines));
    }
}

/* ---- Body -------------------------------------------------------------------------------- */

/* Ids rise; a step back or a repeat is not this run's. */
static bool forward_event_is_next(struct forward *forward, const struct event_stream_event *event)
{
    struct forward_stream *answer = &forward->stream;
    uint64_t id = 0;
    if (!event->has_id) {
        answer->unnumbered = answer->unnumbered || event->has_data;
        return true;
    }
    for (size_t i = 0; i < event->id.length; i++) {
        uint64_t digit = (uint64_t)event->id.data[i] - '0';
        if (digit > 9 || id > (UINT64_MAX - digit) / 10) {
            answer->unnumbered = true;
            return true; /* ids that are not numbers, or too large, carry no order */
        }
        id = id * 10 + digit;
    }
    bool next = answer->event_count == 0 || id > answer->last_event;
    answer->last_event = id;
    return next;
}

static bool forward_on_event(void *context, const struct event_stream_event *event)
{
    struct forward *forward = context;
    struct forward_stream *answer = &forward->stream;
    if (!forward_event_is_next(forward, event)) {
        return false;
    }
    if (answer->event_count == 0) {
        answer->first_event_ms = node_now(forward->front->node);
        histogram_note(&forward->front->first_event, answer->first_event_ms - forward->call->received_ms);
    }
    if (event->has_data) {
        answer->event_count++;
        if (forward->turn.keep) {
            buffer_append(&forward->turn.output, event->data.data, event->data.length);
            buffer_append(&forward->turn.output, "\n", 1);
        }
    }
    http_call_data(forward->call, event->raw);
    return true;
}

/* What a slow caller has not taken yet stays with the server, whose sending stops in turn. */
static void forward_pause_for_caller(struct forward_attempt *attempt)
{
    struct forward *forward = attempt->forward;
    if (!forward->stream.paused && http_call_pending(forward->call) > FORWARD_MAX_PENDING) {
        forward->stream.paused = true;
        forward->front->counters.pauses++;
        upstream_pause(attempt->exchange, true);
    }
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
            forward_note_heard(attempt);
            upstream_pause(attempt->exchange, false);
        }
    }
}

static void forward_on_body(void *owner, struct view part)
{
    struct forward_attempt *attempt = owner;
    struct forward *forward = attempt->forward;
    forward_note_heard(attempt);
    if (attempt->refused) {
        return;
    }
    if (attempt->streaming) {
        if (!event_stream_feed(&forward->stream.events, part, forward_on_event, forward)) {
            forward_may_have_run(attempt, "events out of order");
            return;
        }
        upstream_watch(attempt->exchange, forward_is_resumable(forward)); /* its events have told whether it is */
        forward_pause_for_caller(attempt);
        return;
    }
    buffer_append(&attempt->body, part.data, part.length);
    if (attempt->body.length > FORWARD_MAX_ANSWER) {
        forward_may_have_run(attempt, "an answer that is too large");
    }
}

/* ---- End ------------------------------------------------------------------------------------ */

static void forward_pass_whole(struct forward_attempt *attempt)
{
    struct forward *forward = attempt->forward;
    struct buffer lines = attempt->lines;
    struct buffer body = attempt->body;
    int status = attempt->status;
    memset(&attempt->lines, 0, sizeof(attempt->lines));
    memset(&attempt->body, 0, sizeof(attempt->body));
    forward_complete_with(forward, status, &lines, &body);
}

static void forward_refused_by_server(struct forward_attempt *attempt)
{
    struct front *front = attempt->forward->front;
    front->counters.server_refusals++;
    if (attempt->status == FORWARD_MISDIRECTED) {
        attempt->server->misplaced = true;
        forward_not_run(attempt, "another server has the address");
        return;
    }
    server_refused(&front->servers, attempt->server, node_now(front->node));
    forward_not_run(attempt, "the server refused");
}

static void forward_finish_stream(struct forward_attempt *attempt)
{
    struct forward *forward = attempt->forward;
    if (event_stream_is_inside(&forward->stream.events)) {
        forward_may_have_run(attempt, "a stream that ends inside an event");
        return;
    }
    forward->turn.ran_at = text_copy(attempt->server->life);
    prefix_cost_note(&forward->front->call_cost, forward->own_tokens,
                     forward->stream.event_count * forward_chunk_tokens(forward));
    forward_end_attempt(attempt);
    if (forward->turn.program != NULL) {
        forward_turn_commit(forward);
    } else {
        forward_complete(forward);
    }
}

/* A server whose time ran out has worked as told: a queue is no failure. */
static health_outcome_t forward_outcome(int status)
{
    bool failed = status >= FORWARD_SERVER_ERROR && status != FORWARD_OUT_OF_TIME;
    return failed ? HEALTH_FAILED : HEALTH_SERVED;
}

static void forward_on_end(void *owner, enum upstream_end end)
{
    struct forward_attempt *attempt = owner;
    struct node *node = attempt->forward->front->node;
    attempt->exchange = NULL;
    if (end == UPSTREAM_NOT_SENT || end == UPSTREAM_VACANT) {
        attempt->server->vacant = end == UPSTREAM_VACANT;
        forward_not_run(attempt, forward_unsent_reason(attempt));
        return;
    }
    if (end == UPSTREAM_SILENT) {
        front_note_silent_open(attempt->forward->front, attempt->server);
        forward_may_have_run(attempt, "the server's machine is silent");
        return;
    }
    if (end == UPSTREAM_BROKEN) {
        forward_may_have_run(attempt, "the server broke off");
        return;
    }
    if (attempt->refused) {
        forward_refused_by_server(attempt);
        return;
    }
    health_note(&attempt->server->health, node_now(node), forward_outcome(attempt->status));
    if (attempt->streaming) {
        forward_finish_stream(attempt);
    } else {
        forward_pass_whole(attempt);
    }
}

const struct upstream_events forward_upstream_events = {forward_on_write, forward_on_head, forward_on_body,
                                                        forward_on_end};
