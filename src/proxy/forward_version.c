/* Keeps each stream at the software version that began it: within a response, and when its caller resumes it with
 * another request, maybe through another gateway (core/stream_origins.h). */
#include "proxy/forward.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/event_log.h"
#include "base/message.h"
#include "proxy/caller_headers.h"

enum { FORWARD_UNAVAILABLE = 503 };

static bool forward_service_is_mixed(const struct forward *forward, const char *service)
{
    const struct frontend *frontend = forward->frontend;
    return version_mix_has(&frontend->version_mix, service, node_now(frontend->node));
}

static bool forward_route_is_mixed(const struct forward *forward)
{
    bool mixed = false;
    for (uint32_t i = 0; i < forward->route->backend_count; i++) {
        mixed = mixed || forward_service_is_mixed(forward, forward->route->backends[i].service);
    }
    return mixed;
}

/* Stored turns are not resumed by their callers: a part of one would be stored as the whole. */
static bool forward_may_be_resumed_by_caller(const struct forward *forward)
{
    return forward->route->kind == ROUTE_STREAM && forward->route->resumable && !forward->turn.persistent;
}

bool forward_resumes_stream(const struct forward *forward)
{
    struct view last_event = http_reader_header(forward->call->request, CALLER_HEADERS_LAST_EVENT);
    return forward_may_be_resumed_by_caller(forward) && last_event.length > 0;
}

bool forward_names_stream(const struct forward *forward)
{
    return text_or_empty(forward->resumes)[0] != '\0' && forward_resumes_stream(forward);
}

/* The id of the request that brought the first event identifies the stream over all requests that resume it. */
static uint64_t forward_stream_hash(const struct forward *forward)
{
    const char *id = forward_names_stream(forward) ? forward->resumes : forward->id;
    return XXH64(id, strlen(id), forward_tenant_hash(forward));
}

/* ---- Records -------------------------------------------------------------------------------------------- */

/* The caller's own timeout: the route's may be shorter, and the caller may resume the stream after it. */
static uint64_t forward_keep_ms(const struct forward *forward)
{
    return forward_header_number(forward, DIALECT_DEADLINE_MS, forward->route->timeout_ms) + FORWARD_RECORD_SLACK_MS;
}

/* Replicas of an earlier version cannot apply the entry, hence REQUEST_PROPOSE_NEW. */
static struct node_request *forward_propose_record(const struct forward *forward, const StreamBegin *begin,
                                                   node_reply reply, struct forward *context)
{
    struct buffer body = {0};
    Entry entry = {.which_command = Entry_stream_begin_tag, .command.stream_begin = *begin};
    message_encode(&body, Entry_fields, &entry);
    struct node_request *request = node_submit(forward->frontend->node, REQUEST_PROPOSE_NEW, buffer_view(&body),
                                               forward->deadline_ms, reply, context);
    buffer_close(&body);
    return request;
}

/* A record that failed is not needed: a request that resumes the stream is then refused. */
static void forward_on_recorded(void *context, ResultCode code, struct view body)
{
    struct forward *forward = context;
    (void)body;
    forward->origin.record = NULL;
    forward->frontend->counters.unrecorded_streams += code == RESULT_OK ? 0 : 1;
    forward_release_held(forward);
}

void forward_record_version(struct forward *forward, const struct server *server)
{
    struct forward_origin *origin = &forward->origin;
    bool recorded = origin->recorded != NULL && text_equal(origin->recorded, server->version);
    if (recorded || !forward_may_be_resumed_by_caller(forward) || !forward_service_is_mixed(forward, server->service)) {
        return;
    }
    StreamBegin begin = {
        .stream = forward_stream_hash(forward),
        .service = server->service,
        .version = server->version,
        .attempt = forward->sends,
        .keep_ms = forward_keep_ms(forward),
    };
    free(origin->recorded);
    origin->recorded = text_copy(server->version);
    node_ignore_reply(forward->frontend->node, origin->record);
    forward->frontend->counters.stream_records++;
    origin->record = forward_propose_record(forward, &begin, forward_on_recorded, forward);
}

void forward_record_running(struct forward *forward)
{
    for (int i = 0; i < FORWARD_MAX_PARALLEL; i++) {
        const struct forward_attempt *attempt = &forward->attempts[i];
        if (attempt->forward != NULL && !forward->stream.version_unknown) {
            forward_record_version(forward, attempt->server);
        }
    }
}

static void forward_forget_record(struct forward *forward)
{
    if (forward->origin.recorded != NULL) {
        StreamBegin begin = {.stream = forward_stream_hash(forward), .attempt = forward->sends, .forget = true};
        forward_propose_record(forward, &begin, NULL, NULL);
    }
}

void forward_origin_close(struct forward *forward)
{
    struct forward_origin *origin = &forward->origin;
    node_ignore_reply(forward->frontend->node, origin->lookup);
    node_ignore_reply(forward->frontend->node, origin->record);
    buffer_close(&origin->held);
    free(origin->recorded);
    memset(origin, 0, sizeof(*origin));
}

/* ---- Events that wait for the record -------------------------------------------------------------------- */

void forward_send_event(struct forward *forward, struct view raw)
{
    struct forward_origin *origin = &forward->origin;
    if (!origin->first_event_seen && origin->record != NULL) {
        origin->held_until_ms = node_now(forward->frontend->node) + FORWARD_RECORD_WAIT_MS;
    }
    origin->first_event_seen = true;
    if (origin->held_until_ms != 0) {
        buffer_append(&origin->held, raw.data, raw.length);
    } else {
        http_call_send_data(forward->call, raw);
    }
}

void forward_release_held(struct forward *forward)
{
    struct forward_origin *origin = &forward->origin;
    if (origin->held_until_ms != 0) {
        origin->held_until_ms = 0;
        http_call_send_data(forward->call, buffer_view(&origin->held));
        buffer_clear(&origin->held);
        if (http_call_unsent_bytes(forward->call) == 0) {
            forward_caller_drained(forward); /* bytes that are written at once cause no http_handler.drained */
        }
    }
}

void forward_release_held_streams(struct frontend *frontend)
{
    uint64_t now_ms = node_now(frontend->node);
    for (struct forward *forward = frontend->forwards; forward != NULL; forward = forward->next) {
        uint64_t until_ms = forward->origin.held_until_ms;
        if (until_ms != 0 && now_ms >= until_ms) {
            event_log("stream_not_recorded", "{s:s,s:s}", "id", text_or_empty(forward->id), "version",
                      text_or_empty(forward->origin.recorded));
            forward_release_held(forward);
        }
    }
}

/* ---- Within a response ---------------------------------------------------------------------------------- */

/* Whether the server runs another version since it was replaced: the attempt may have run at either incarnation. */
static bool forward_successor_differs(const struct forward_attempt *attempt)
{
    const struct server *server = attempt->server;
    const struct server *current =
        server->replaced ? server_table_find(&attempt->forward->frontend->servers, server->id) : NULL;
    return current != NULL && !text_equal(current->version, server->version);
}

void forward_check_replaced_version(struct forward_attempt *attempt)
{
    struct forward *forward = attempt->forward;
    if (forward->stream.version == NULL || forward->stream.version_unknown || !forward_successor_differs(attempt)) {
        return;
    }
    forward->stream.version_unknown = true;
    event_log("stream_version_unknown", "{s:s,s:s,s:s}", "id", text_or_empty(forward->id), "server",
              attempt->server->id, "version", forward->stream.version);
    forward_forget_record(forward);
}

/* `service`: as the route names it. */
static void forward_set_version(struct forward *forward, const char *service, const char *version)
{
    forward->stream.service = service;
    forward->stream.version = text_copy(version);
    forward->criteria.service = service;
    forward->criteria.version = forward->stream.version;
    forward->criteria.drain_ms = forward->frontend->node->settings.server_drain_ms;
}

void forward_pin_version(struct forward_attempt *attempt)
{
    struct forward *forward = attempt->forward;
    if (forward->stream.version == NULL && forward->stream.event_count > 0) {
        forward_set_version(forward, forward->criteria.service, attempt->server->version);
        forward_check_replaced_version(attempt);
    }
}

bool forward_lacks_version(const struct forward *forward)
{
    const struct frontend *frontend = forward->frontend;
    return forward->stream.version != NULL &&
           !server_table_has_version(&frontend->servers, node_now(frontend->node), &forward->criteria, NULL);
}

bool forward_has_other_of_version(const struct forward_attempt *attempt)
{
    const struct forward *forward = attempt->forward;
    const struct frontend *frontend = forward->frontend;
    return server_table_has_version(&frontend->servers, node_now(frontend->node), &forward->criteria, attempt->server);
}

/* ---- Requests that resume a stream ----------------------------------------------------------------------- */

static void forward_refuse_resumption(struct forward *forward, const char *reason)
{
    forward->frontend->counters.resumption_refusals++;
    forward_refuse(forward, FORWARD_UNAVAILABLE, reason);
}

/* The route's name of a service; NULL: the route does not use it. */
static const char *forward_find_service(const struct forward *forward, const char *service)
{
    for (uint32_t i = 0; i < forward->route->backend_count; i++) {
        if (text_equal(forward->route->backends[i].service, service)) {
            return forward->route->backends[i].service;
        }
    }
    return NULL;
}

static void forward_log_origin(const struct forward *forward, const StreamState *state)
{
    event_log("stream_origin_read", "{s:s,s:s,s:b,s:s,s:b,s:b}", "id", text_or_empty(forward->id), "resumes",
              text_or_empty(forward->resumes), "found", state->found, "version", text_or_empty(state->version),
              "others_recorded", state->others_recorded, "unsettled", state->unsettled);
}

/* Without a record, the stream was begun by the only version that serves, if group 0 knows of no other one lately. */
static void forward_apply_origin(struct forward *forward, const StreamState *state)
{
    const char *service = state->found ? forward_find_service(forward, text_or_empty(state->service)) : NULL;
    forward_log_origin(forward, state);
    if (state->found && service == NULL) {
        forward_refuse_resumption(forward, "the route no longer leads to the stream's service");
    } else if (!state->found && (state->others_recorded || state->unsettled || forward_route_is_mixed(forward))) {
        forward_refuse_resumption(forward, forward_names_stream(forward)
                                               ? "software version of the stream not known"
                                               : "the request does not name the stream that it resumes");
    } else {
        if (state->found) {
            forward_set_version(forward, service, text_or_empty(state->version));
            forward->origin.recorded = text_copy(forward->stream.version);
        }
        forward_continue(forward);
    }
}

static void forward_on_origin_read(void *context, ResultCode code, struct view body)
{
    struct forward *forward = context;
    StreamState state = {0};
    forward->origin.lookup = NULL;
    if (code == RESULT_OK && message_decode(body, StreamState_fields, &state)) {
        frontend_record_leader_reply(forward->frontend);
        forward_apply_origin(forward, &state);
        message_free(StreamState_fields, &state);
    } else if (code == RESULT_INVALID) {
        forward_apply_origin(forward, &state); /* a leader of an earlier version has no records */
    } else {
        forward_refuse_resumption(forward, "software version of the stream not learnt");
    }
}

static void forward_read_origin(struct forward *forward)
{
    struct node *node = forward->frontend->node;
    const struct route *route = forward->route;
    struct buffer body = {0};
    StreamQuery query = {.stream = forward_names_stream(forward) ? forward_stream_hash(forward) : 0};
    query.services = memory_new((route->backend_count + 1U) * sizeof(*query.services));
    query.versions = memory_new((route->backend_count + 1U) * sizeof(*query.versions));
    for (uint32_t i = 0; i < route->backend_count; i++) {
        const char *service = route->backends[i].service;
        query.services[query.services_count++] = (char *)(uintptr_t)service;
        query.versions[query.versions_count++] =
            (char *)(uintptr_t)version_mix_only(&forward->frontend->version_mix, service);
    }
    message_encode(&body, StreamQuery_fields, &query);
    forward->origin.lookup = node_submit(node, REQUEST_STREAM, buffer_view(&body), forward_replica_deadline_ms(forward),
                                         forward_on_origin_read, forward);
    free(query.services);
    free(query.versions);
    buffer_close(&body);
}

void forward_begin_resumption(struct forward *forward)
{
    if (forward_resumes_stream(forward)) {
        forward->frontend->counters.resumptions++;
        forward_read_origin(forward);
    }
}
