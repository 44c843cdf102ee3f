/* A server's answer: checked, and passed on whole or event by event. */
#include <stdlib.h>
#include <string.h>

#include "base/event_log.h"
#include "proxy/forward.h"

enum { FORWARD_OK = 200, FORWARD_MISDIRECTED = 421, FORWARD_FIRST_FAILURE = 300 };

void forward_answer_close(struct forward_answer *answer)
{
    buffer_close(&answer->lines);
    buffer_close(&answer->body);
    event_stream_close(&answer->events);
    memset(answer, 0, sizeof(*answer));
}

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

static void forward_keep_lines(struct forward *forward, const struct http_reader *answer)
{
    for (int i = 0; i < answer->header_count; i++) {
        const struct http_header *header = &answer->headers[i];
        if (!http_reader_is_hop_header(answer, header->name)) {
            struct buffer *lines = &forward->answer.lines;
            buffer_append(lines, header->name.data, header->name.length);
            buffer_append(lines, ": ", 2);
            buffer_append(lines, header->value.data, header->value.length);
            buffer_append(lines, "\r\n", 2);
        }
    }
}

/* Gives the exchange up for an answer that cannot be trusted. */
static void forward_distrust(struct forward *forward, const char *fault)
{
    struct upstream_exchange *exchange = forward->exchange;
    forward->exchange = NULL;
    upstream_cancel(&forward->front->node->upstreams, exchange);
    forward_may_have_run(forward, fault);
}

static bool forward_is_not_run(const struct forward *forward, const struct http_reader *answer)
{
    const char *mark = forward->front->node->dialect->headers[DIALECT_NOT_RUN];
    return http_reader_has(answer, mark) || answer->status == FORWARD_MISDIRECTED;
}

static void forward_on_head(void *owner, const struct http_reader *answer)
{
    struct forward *forward = owner;
    struct forward_answer *state = &forward->answer;
    state->status = answer->status;
    if (forward_is_not_run(forward, answer)) {
        state->refused = true;
        return;
    }
    const char *fault = forward_answer_fault(forward, answer);
    if (fault != NULL) {
        forward_distrust(forward, fault);
        return;
    }
    forward_keep_lines(forward, answer);
    state->streaming = forward->route->kind == ROUTE_STREAM && answer->status == FORWARD_OK;
    if (state->streaming) {
        state->begun = true;
        forward->told_status = answer->status;
        http_call_begin(forward->call, answer->status, buffer_view(&state->lines));
    }
}

/* ---- Body -------------------------------------------------------------------------------- */

/* Ids rise; a step back or a repeat is not this run's. */
static bool forward_event_is_next(struct forward *forward, const struct event_stream_event *event)
{
    struct forward_answer *answer = &forward->answer;
    uint64_t id = 0;
    if (!event->has_id) {
        return true;
    }
    for (size_t i = 0; i < event->id.length; i++) {
        if (event->id.data[i] < '0' || event->id.data[i] > '9') {
            return true; /* ids that are not numbers carry no order */
        }
        id = id * 10 + (uint64_t)(event->id.data[i] - '0');
    }
    bool next = answer->event_count == 0 || id > answer->last_event;
    answer->last_event = id;
    return next;
}

static bool forward_on_event(void *context, const struct event_stream_event *event)
{
    struct forward *forward = context;
    struct forward_answer *answer = &forward->answer;
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

static void forward_on_body(void *owner, struct view part)
{
    struct forward *forward = owner;
    struct forward_answer *answer = &forward->answer;
    if (answer->refused) {
        return;
    }
    if (answer->streaming) {
        if (!event_stream_feed(&answer->events, part, forward_on_event, forward)) {
            forward_distrust(forward, "events out of order");
        }
        return;
    }
    buffer_append(&answer->body, part.data, part.length);
    if (answer->body.length > FORWARD_MAX_ANSWER) {
        forward_distrust(forward, "an answer that is too large");
    }
}

/* ---- End ------------------------------------------------------------------------------------ */

static void forward_pass_whole(struct forward *forward)
{
    struct forward_answer *answer = &forward->answer;
    struct buffer lines = answer->lines;
    struct buffer body = answer->body;
    memset(&answer->lines, 0, sizeof(answer->lines));
    memset(&answer->body, 0, sizeof(answer->body));
    forward_complete_with(forward, answer->status, &lines, &body);
}

static void forward_refused_by_server(struct forward *forward)
{
    struct server *server = forward->server;
    uint64_t now_ms = node_now(forward->front->node);
    forward->front->counters.server_refusals++;
    if (forward->answer.status == FORWARD_MISDIRECTED) {
        server->misplaced = true;
        forward_not_run(forward, "another server has the address");
        return;
    }
    server->full_until_ms = now_ms + SERVER_SHED_PAUSE_MS;
    forward_not_run(forward, "the server refused");
}

static void forward_finish_stream(struct forward *forward)
{
    if (event_stream_is_inside(&forward->answer.events)) {
        forward_may_have_run(forward, "a stream that ends inside an event");
        return;
    }
    forward->turn.ran_at = text_copy(forward->server->id);
    forward_leave_server(forward);
    if (forward->turn.program != NULL) {
        forward_turn_commit(forward);
    } else {
        forward_complete(forward);
    }
}

static void forward_on_end(void *owner, enum upstream_end end)
{
    struct forward *forward = owner;
    struct node *node = forward->front->node;
    forward->exchange = NULL;
    if (end == UPSTREAM_NOT_SENT) {
        circuit_note_failure(&forward->server->circuit, node_now(node));
        forward_not_run(forward, "no connection to the server");
        return;
    }
    if (end == UPSTREAM_BROKEN) {
        forward_may_have_run(forward, "the server broke off");
        return;
    }
    if (forward->answer.refused) {
        forward_refused_by_server(forward);
        return;
    }
    circuit_note_success(&forward->server->circuit);
    if (forward->answer.streaming) {
        forward_finish_stream(forward);
    } else {
        forward_pass_whole(forward);
    }
}

const struct upstream_events forward_upstream_events = {forward_on_head, forward_on_body, forward_on_end};
