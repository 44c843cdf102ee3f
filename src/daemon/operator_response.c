/* Operator RPC: responses and errors in the format of the Connect protocol. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/message.h"
#include "daemon/operator_internal.h"

static int operator_http_status(const char *code)
{
    static const struct {
        const char *code;
        int status;
    } statuses[] = {
        {"invalid_argument", 400},   {"not_found", 404},   {"already_exists", 409},      {"aborted", 409},
        {"unimplemented", 404},      {"unavailable", 503}, {"failed_precondition", 400}, {"deadline_exceeded", 408},
        {"resource_exhausted", 429},
    };
    for (size_t i = 0; i < sizeof(statuses) / sizeof(statuses[0]); i++) {
        if (strcmp(statuses[i].code, code) == 0) {
            return statuses[i].status;
        }
    }
    return 500;
}

void operator_send_error(struct operator_call *call, const char *code, enum run_state state, const char *text)
{
    json_t *body = json_pack("{s:s,s:s}", "code", code, "message", text_or_empty(text));
    char *encoded = json_dumps(body, JSON_COMPACT);
    struct buffer headers = {0};
    buffer_printf(&headers, "X-Run-State: %s\r\n", http_run_state_name(state));
    http_send(call->connection, operator_http_status(code), "application/json", buffer_text(&headers),
              view_of_string(encoded));
    buffer_close(&headers);
    free(encoded);
    json_decref(body);
}

void operator_send_message(struct operator_call *call, const pb_msgdesc_t *fields, const void *message)
{
    struct buffer body = {0};
    if (message_encode(&body, fields, message)) {
        http_send(call->connection, 200, "application/proto", NULL, buffer_view(&body));
    } else {
        operator_send_error(call, "internal", RUN_STATE_RUN, "the answer cannot be encoded");
    }
    buffer_close(&body);
}

void operator_send_result_error(struct operator_call *call, const EntryResult *result)
{
    char text[256];
    snprintf(text, sizeof(text), "%s", text_or_empty(result->message));
    switch (result->code) {
    case RESULT_NOT_FOUND: operator_send_error(call, "not_found", RUN_STATE_NOT_RUN, text); return;
    case RESULT_ALREADY_EXISTS: operator_send_error(call, "already_exists", RUN_STATE_NOT_RUN, text); return;
    case RESULT_ABORTED:
        if (result->revision != 0) {
            snprintf(text, sizeof(text), "%s; the current revision is %llu", text_or_empty(result->message),
                     (unsigned long long)result->revision);
        }
        operator_send_error(call, "aborted", RUN_STATE_NOT_RUN, text);
        return;
    case RESULT_INVALID: operator_send_error(call, "invalid_argument", RUN_STATE_NOT_RUN, text); return;
    case RESULT_CONFLICT: operator_send_error(call, "failed_precondition", RUN_STATE_NOT_RUN, text); return;
    case RESULT_UNAVAILABLE:
        operator_send_error(call, "unavailable", RUN_STATE_NOT_RUN, "no state replica can be reached");
        return;
    default:
        operator_send_error(call, "unavailable", RUN_STATE_UNKNOWN,
                            "no answer in time; send again with the same request_id to learn the outcome");
        return;
    }
}

void operator_send_findings(struct operator_call *call, const struct findings *findings)
{
    struct buffer report = {0};
    findings_report(findings, &report);
    operator_send_error(call, "invalid_argument", RUN_STATE_NOT_RUN, buffer_text(&report));
    buffer_close(&report);
}
