/* Operator RPC: Create, Update, Delete, Get and List of services, pools, policies and tenants. */
#include <stdlib.h>
#include <string.h>

#include <pb_encode.h>

#include "base/message.h"
#include "daemon/operator_check.h"
#include "daemon/operator_internal.h"

enum {
    OPERATOR_FIELD_RESOURCES = 1, /* field numbers of every List...Response */
    OPERATOR_FIELD_REVISION = 2
};

static void operator_propose_change(struct operator_call *call, ConfigOperation operation, const ResourceChange *change,
                                    const char *name, struct view body)
{
    Entry entry = {0};
    entry.which_command = Entry_config_change_tag;
    ConfigChange *config = &entry.command.config_change;
    config->request_id = change->request_id;
    config->expected_revision = change->expected_revision;
    config->operation = operation;
    config->kind = call->kind;
    config->name = (char *)(uintptr_t)name;
    config->body = body;
    EntryResult result;
    if (gateway_propose_config(call->gateway, &entry, &result) == RESULT_OK) {
        ChangeResponse response = {.revision = result.revision};
        operator_send_message(call, ChangeResponse_fields, &response);
    } else {
        operator_send_result_error(call, &result);
    }
    message_free(EntryResult_fields, &result);
}

void operator_change(struct operator_call *call, ConfigOperation operation)
{
    ResourceChange change = {0};
    if (!message_decode(call->body, ResourceChange_fields, &change)) {
        operator_send_error(call, "invalid_argument", RUN_STATE_NOT_RUN, "the request does not decode");
        return;
    }
    if (operation == CONFIG_DELETE) {
        char *name = memory_copy(change.resource.data, change.resource.length);
        operator_propose_change(call, operation, &change, name, view_of(NULL, 0));
        free(name);
    } else {
        struct findings findings = {0};
        char *name = operator_check_resource(call->kind, change.resource, &findings);
        if (findings.count > 0) {
            operator_send_findings(call, &findings);
        } else {
            operator_propose_change(call, operation, &change, name, change.resource);
        }
        free(name);
        findings_close(&findings);
    }
    message_free(ResourceChange_fields, &change);
}

/* Linearizable read; false: an error was sent. Free `reply` with buffer_close(), and
 * `state` with message_free() if the read succeeded. */
static bool operator_read_config(struct operator_call *call, struct buffer *reply, ConfigState *state)
{
    ConfigQuery query = {0};
    struct buffer body = {0};
    memset(state, 0, sizeof(*state));
    message_encode(&body, ConfigQuery_fields, &query);
    ResultCode code = control_call(call->gateway->control, STATE_CONFIG_GROUP, REQUEST_CONFIG, buffer_view(&body),
                                   GATEWAY_CONTROL_TIMEOUT_MS, reply);
    buffer_close(&body);
    if (code == RESULT_OK && message_decode(buffer_view(reply), ConfigState_fields, state)) {
        return true;
    }
    operator_send_error(call, "unavailable", RUN_STATE_NOT_RUN, "no state replica answers");
    return false;
}

void operator_get(struct operator_call *call)
{
    ResourceName request = {0};
    struct buffer reply = {0};
    ConfigState state;
    if (!message_decode(call->body, ResourceName_fields, &request)) {
        operator_send_error(call, "invalid_argument", RUN_STATE_NOT_RUN, "the request does not decode");
        return;
    }
    if (operator_read_config(call, &reply, &state)) {
        const ConfigItem *found = NULL;
        for (pb_size_t i = 0; i < state.items_count; i++) {
            bool match = state.items[i].kind == call->kind && text_equal(state.items[i].name, request.name);
            found = match ? &state.items[i] : found;
        }
        if (found != NULL) {
            ResourceReply response = {.resource = found->body, .revision = state.revision};
            operator_send_message(call, ResourceReply_fields, &response);
        } else {
            operator_send_error(call, "not_found", RUN_STATE_NOT_RUN, "no such resource");
        }
        message_free(ConfigState_fields, &state);
    }
    message_free(ResourceName_fields, &request);
    buffer_close(&reply);
}

void operator_list(struct operator_call *call)
{
    struct buffer reply = {0};
    ConfigState state;
    if (!operator_read_config(call, &reply, &state)) {
        buffer_close(&reply);
        return;
    }
    struct buffer body = {0};
    /* A resource takes fewer bytes here than its item in the reply; 32 more bytes are enough for the revision. */
    uint8_t *output = buffer_reserve(&body, reply.length + 32);
    pb_ostream_t stream = pb_ostream_from_buffer(output, reply.length + 32);
    bool encoded = true;
    /* The items are ordered newest first, the response oldest first. */
    for (pb_size_t i = state.items_count; i > 0; i--) {
        const ConfigItem *item = &state.items[i - 1];
        if (item->kind == call->kind) {
            encoded = encoded && pb_encode_tag(&stream, PB_WT_STRING, OPERATOR_FIELD_RESOURCES) &&
                      pb_encode_string(&stream, item->body.data, item->body.length);
        }
    }
    encoded = encoded && pb_encode_tag(&stream, PB_WT_VARINT, OPERATOR_FIELD_REVISION) &&
              pb_encode_varint(&stream, state.revision);
    body.length = stream.bytes_written;
    if (encoded) {
        http_send(call->connection, 200, "application/proto", NULL, buffer_view(&body));
    } else {
        operator_send_error(call, "internal", RUN_STATE_RUN, "the answer cannot be encoded");
    }
    buffer_close(&body);
    buffer_close(&reply);
    message_free(ConfigState_fields, &state);
}
