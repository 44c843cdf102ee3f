/* Identifies what a caller wants, over all of its requests for it. */
#include "proxy/forward.h"

#include <string.h>

#include <xxhash.h>

static void forward_operation_add(XXH64_state_t *state, struct view part)
{
    uint64_t length = part.length;
    XXH64_update(state, &length, sizeof(length));
    XXH64_update(state, part.data, part.length);
}

static void forward_operation_add_header(XXH64_state_t *state, const struct forward *forward,
                                         enum dialect_header header)
{
    const char *name = forward->frontend->node->dialect->headers[header];
    forward_operation_add(state, http_reader_header(forward->call->request, name));
}

/* A program repeats a request with equal contents and another id. */
static void forward_operation_add_contents(XXH64_state_t *state, const struct forward *forward)
{
    const struct http_reader *request = forward->call->request;
    forward_operation_add_header(state, forward, DIALECT_PROGRAM);
    forward_operation_add_header(state, forward, DIALECT_PARENT_TURN);
    forward_operation_add(state, request->method);
    forward_operation_add(state, http_reader_header(request, "Host"));
    forward_operation_add(state, request->target);
    forward_operation_add(state, buffer_view(&forward->call->body));
}

static uint64_t forward_contents_hash(const struct forward *forward)
{
    XXH64_state_t *state = XXH64_createState();
    XXH64_reset(state, forward_tenant_hash(forward));
    forward_operation_add_contents(state, forward);
    uint64_t hash = XXH64_digest(state);
    XXH64_freeState(state);
    return hash;
}

static bool forward_has_program(const struct forward *forward)
{
    const char *program_header = forward->frontend->node->dialect->headers[DIALECT_PROGRAM];
    return http_reader_header(forward->call->request, program_header).length > 0;
}

/* Of a request without a program: its id, or that of the request whose stream it resumes. */
static uint64_t forward_id_hash(const struct forward *forward)
{
    const char *id = forward_names_stream(forward) ? forward->resumes : forward->id;
    return XXH64(id, strlen(id), forward_tenant_hash(forward));
}

/* Without a program, requests of several callers may have equal contents. If servers have responded to such contents
 * lately, other failures are not the fault of them, and each request is an operation of its own. */
uint64_t forward_operation(struct forward *forward)
{
    if (forward->has_operation) {
        return forward->operation;
    }
    const struct frontend *frontend = forward->frontend;
    uint64_t contents = forward_contents_hash(forward);
    bool has_program = forward_has_program(forward);
    bool served = !has_program && served_set_has(&frontend->served, node_now(frontend->node), contents);
    forward->operation = served ? forward_id_hash(forward) : contents;
    forward->operation_by_contents = !has_program && !served;
    forward->has_operation = true;
    return forward->operation;
}

void forward_record_served(struct forward *forward)
{
    struct frontend *frontend = forward->frontend;
    if (!forward_has_program(forward)) {
        served_set_add(&frontend->served, node_now(frontend->node), forward_contents_hash(forward));
    }
}
