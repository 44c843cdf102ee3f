/* Operator RPC: GetStatus, WaitRevision, ChangeReplica. */
#include <string.h>

#include "base/clock.h"
#include "base/message.h"
#include "daemon/operator_internal.h"

enum { OPERATOR_POLL_US = 20000, OPERATOR_MAX_WAIT_MS = 60000, OPERATOR_DEFAULT_WAIT_MS = 10000 };

/* ---- Status -------------------------------------------------------------------------------- */

void operator_status(struct operator_call *call)
{
    struct control_status status;
    control_read_status(call->gateway->control, &status);
    GetStatusResponse response = {0};
    response.node = (uint32_t)call->gateway->settings->node;
    response.zone = call->gateway->settings->zone;
    response.revision = status.revision;
    response.ready = status.ready;
    response.groups_count = (pb_size_t)status.group_count;
    response.groups = status.groups;
    operator_send_message(call, GetStatusResponse_fields, &response);
}

/* Asks the leader of the configuration group which gateways have not applied the revision; true if it exists and there
 * are none. Free `list` with message_free(); call again only after that. */
static bool operator_is_revision_applied(struct operator_call *call, uint64_t revision, struct buffer *reply,
                                         LagList *list)
{
    LagQuery query = {.revision = revision};
    struct buffer body = {0};
    memset(list, 0, sizeof(*list));
    buffer_clear(reply);
    message_encode(&body, LagQuery_fields, &query);
    ResultCode code = control_call(call->gateway->control, STATE_CONFIG_GROUP, REQUEST_LAG, buffer_view(&body),
                                   GATEWAY_CONTROL_TIMEOUT_MS, reply);
    buffer_close(&body);
    bool decoded = code == RESULT_OK && message_decode(buffer_view(reply), LagList_fields, list);
    return decoded && list->revision >= revision && list->nodes_count == 0;
}

void operator_wait_revision(struct operator_call *call)
{
    WaitRevisionRequest request = {0};
    if (!message_decode(call->body, WaitRevisionRequest_fields, &request)) {
        operator_send_error(call, "invalid_argument", RUN_STATE_NOT_RUN, "the request does not decode");
        return;
    }
    uint32_t timeout_ms = request.timeout_ms == 0 ? OPERATOR_DEFAULT_WAIT_MS : request.timeout_ms;
    timeout_ms = timeout_ms > OPERATOR_MAX_WAIT_MS ? OPERATOR_MAX_WAIT_MS : timeout_ms;
    uint64_t deadline_ms = clock_monotonic_ms() + timeout_ms;
    struct buffer reply = {0};
    LagList list;
    bool applied_everywhere = operator_is_revision_applied(call, request.revision, &reply, &list);
    while (!applied_everywhere && clock_monotonic_ms() < deadline_ms) {
        message_free(LagList_fields, &list);
        clock_sleep_us(OPERATOR_POLL_US);
        applied_everywhere = operator_is_revision_applied(call, request.revision, &reply, &list);
    }
    WaitRevisionResponse response = {.in_force = applied_everywhere, .revision = list.revision};
    response.lagging_nodes_count = list.nodes_count;
    response.lagging_nodes = list.nodes;
    operator_send_message(call, WaitRevisionResponse_fields, &response);
    message_free(LagList_fields, &list);
    buffer_close(&reply);
}

/* ---- Replicas ------------------------------------------------------------------------------ */

/* Retries until the group accepts the change, reports it as invalid, or the deadline passes. */
static ResultCode operator_change_member(struct operator_call *call, uint32_t group, uint32_t node, MemberAction action,
                                         uint64_t deadline_ms)
{
    MemberChange change = {.node = node, .action = action};
    struct buffer body = {0};
    struct buffer reply = {0};
    message_encode(&body, MemberChange_fields, &change);
    ResultCode code = RESULT_ABORTED;
    while (code != RESULT_OK && code != RESULT_INVALID && clock_monotonic_ms() < deadline_ms) {
        buffer_clear(&reply);
        code = control_call(call->gateway->control, group, REQUEST_MEMBERS, buffer_view(&body),
                            GATEWAY_CONTROL_TIMEOUT_MS, &reply);
        if (code != RESULT_OK) {
            clock_sleep_us(OPERATOR_POLL_US);
        }
    }
    buffer_close(&body);
    buffer_close(&reply);
    return code;
}

void operator_change_replica(struct operator_call *call)
{
    ChangeReplicaRequest request = {0};
    if (!message_decode(call->body, ChangeReplicaRequest_fields, &request) || request.node == 0) {
        operator_send_error(call, "invalid_argument", RUN_STATE_NOT_RUN, "node: a replica's id is needed");
        return;
    }
    uint32_t timeout_ms = request.timeout_ms == 0 ? OPERATOR_MAX_WAIT_MS : request.timeout_ms;
    uint64_t deadline_ms = clock_monotonic_ms() + timeout_ms;
    bool add = request.action == REPLICA_ADD;
    uint32_t groups = (uint32_t)call->gateway->settings->groups;
    for (uint32_t group = 0; group < groups; group++) {
        ResultCode code =
            operator_change_member(call, group, request.node, add ? MEMBER_ADD_LEARNER : MEMBER_REMOVE, deadline_ms);
        if (code == RESULT_OK && add) {
            code = operator_change_member(call, group, request.node, MEMBER_PROMOTE, deadline_ms);
        }
        if (code != RESULT_OK) {
            struct buffer text = {0};
            buffer_printf(&text, "group %u of %u could not be changed in time; repeat the command", group, groups);
            operator_send_error(call, "deadline_exceeded", RUN_STATE_UNKNOWN, buffer_text(&text));
            buffer_close(&text);
            return;
        }
    }
    ChangeReplicaResponse response = {.groups = groups};
    operator_send_message(call, ChangeReplicaResponse_fields, &response);
}
