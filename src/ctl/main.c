/* bankbankctl: command-line client of the daemons' operator RPC. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include <argtable2.h>

#include "base/message.h"
#include "ctl/ctl.h"
#include "net/http_client.h"

enum { CTL_MAX_ARGUMENTS = 1024, CTL_METHOD_SIZE = 64, CTL_ID_BYTES = 16 };

static const char CTL_COMMANDS[] = "Commands:\n"
                                   "  status\n"
                                   "  list KIND\n"
                                   "  get KIND NAME\n"
                                   "  create KIND NAME [FIELD=VALUE...]\n"
                                   "  update KIND NAME [FIELD=VALUE...]\n"
                                   "  delete KIND NAME\n"
                                   "  wait REVISION\n"
                                   "  replica add|remove NODE\n"
                                   "  explain ID LOGFILE...\n"
                                   "  handover run|prepare|commit|abort PROGRAM...\n"
                                   "KIND is service, pool, policy or tenant. Repeat list fields, once per element:\n"
                                   "  engine=NAME,URL[,ZONE[,WEIGHT[,draining]]]\n"
                                   "  backend=NAME,URL[,ZONE[,draining]]\n";

static void ctl_random_id(char *text)
{
    unsigned char bytes[CTL_ID_BYTES];
    ssize_t got = getrandom(bytes, sizeof(bytes), 0);
    (void)got;
    for (int i = 0; i < CTL_ID_BYTES; i++) {
        snprintf(text + (ptrdiff_t)(2 * i), 3, "%02x", bytes[i]);
    }
}

static void ctl_print_json(json_t *value)
{
    char *text = json_dumps(value, JSON_INDENT(2));
    printf("%s\n", text);
    free(text);
    json_decref(value);
}

static void ctl_method_name(char *out, const char *verb, const char *noun)
{
    snprintf(out, CTL_METHOD_SIZE, "%s%s", verb, noun);
}

static int ctl_print_change(const struct ctl_options *options, const struct buffer *reply)
{
    ChangeResponse response = ChangeResponse_init_zero;
    if (!message_decode(buffer_view(reply), ChangeResponse_fields, &response)) {
        return CTL_EXIT_FAILURE;
    }
    if (options->json) {
        ctl_print_json(json_pack("{s:I}", "revision", (json_int_t)response.revision));
    } else {
        printf("revision %llu\n", (unsigned long long)response.revision);
    }
    return 0;
}

static int ctl_change(const struct ctl_options *options, const char *verb, const struct ctl_kind *kind,
                      struct view resource)
{
    char id[2 * CTL_ID_BYTES + 1];
    char method[CTL_METHOD_SIZE];
    ctl_random_id(id);
    ctl_method_name(method, verb, kind->singular);
    ResourceChange change = {0};
    change.request_id = options->request_id != NULL ? (char *)(uintptr_t)options->request_id : id;
    change.expected_revision = options->expected_revision;
    change.resource = resource;
    struct buffer reply = {0};
    bool done = ctl_call(options, method, ResourceChange_fields, &change, &reply);
    int status = done ? ctl_print_change(options, &reply) : CTL_EXIT_FAILURE;
    buffer_close(&reply);
    return status;
}

static int ctl_create_or_update(const struct ctl_options *options, const char *verb, const struct ctl_kind *kind,
                                int count, char **arguments)
{
    struct buffer name = {0};
    struct buffer body = {0};
    void *resource = memory_new(kind->size);
    buffer_printf(&name, "name=%s", arguments[0]);
    arguments[0] = buffer_text(&name);
    int status = CTL_EXIT_USAGE;
    if (ctl_resource_parse(kind, resource, count, arguments) && message_encode(&body, kind->descriptor, resource)) {
        status = ctl_change(options, verb, kind, buffer_view(&body));
    }
    message_free(kind->descriptor, resource);
    free(resource);
    buffer_close(&body);
    buffer_close(&name);
    return status;
}

/* Decodes a resource and appends it to a JSON array; skips one that does not decode. */
static void ctl_append_resource(const struct ctl_kind *kind, struct view body, json_t *list)
{
    void *resource = memory_new(kind->size);
    if (message_decode(body, kind->descriptor, resource)) {
        json_array_append_new(list, ctl_resource_json(kind, resource));
        message_free(kind->descriptor, resource);
    }
    free(resource);
}

static int ctl_print_list(const struct ctl_options *options, const struct ctl_kind *kind, json_t *list)
{
    if (options->json) {
        ctl_print_json(list);
    } else {
        ctl_print_table(kind, list);
        json_decref(list);
    }
    return 0;
}

static int ctl_get(const struct ctl_options *options, const struct ctl_kind *kind, const char *name)
{
    char method[CTL_METHOD_SIZE];
    ctl_method_name(method, "Get", kind->singular);
    ResourceName request = ResourceName_init_zero;
    request.name = (char *)(uintptr_t)name;
    struct buffer reply = {0};
    ResourceReply response = {0};
    int status = CTL_EXIT_FAILURE;
    if (ctl_call(options, method, ResourceName_fields, &request, &reply) &&
        message_decode(buffer_view(&reply), ResourceReply_fields, &response)) {
        json_t *list = json_array();
        ctl_append_resource(kind, response.resource, list);
        status = ctl_print_list(options, kind, list);
    }
    buffer_close(&reply);
    return status;
}

/* In every List response, field 1 holds the encoded resources; so one parser handles all kinds. */
static int ctl_list(const struct ctl_options *options, const struct ctl_kind *kind)
{
    enum { RESOURCES_TAG = 0x0a /* field 1, length-delimited */ };
    char method[CTL_METHOD_SIZE];
    ctl_method_name(method, "List", kind->plural);
    ListPoolsRequest request = ListPoolsRequest_init_zero;
    struct buffer reply = {0};
    if (!ctl_call(options, method, ListPoolsRequest_fields, &request, &reply)) {
        buffer_close(&reply);
        return CTL_EXIT_FAILURE;
    }
    json_t *list = json_array();
    size_t position = 0;
    while (position < reply.length && reply.data[position] == RESOURCES_TAG) {
        size_t length = 0;
        int shift = 0;
        position++;
        do {
            length |= (size_t)(reply.data[position] & 0x7f) << shift;
            shift += 7;
        } while (position < reply.length && (reply.data[position++] & 0x80) != 0);
        if (length > reply.length - position) {
            break;
        }
        ctl_append_resource(kind, view_of(reply.data + position, length), list);
        position += length;
    }
    buffer_close(&reply);
    return ctl_print_list(options, kind, list);
}

static int ctl_status(const struct ctl_options *options)
{
    GetStatusRequest request = GetStatusRequest_init_zero;
    GetStatusResponse status = GetStatusResponse_init_zero;
    struct buffer reply = {0};
    bool done = ctl_call(options, "GetStatus", GetStatusRequest_fields, &request, &reply) &&
                message_decode(buffer_view(&reply), GetStatusResponse_fields, &status);
    buffer_close(&reply);
    if (!done) {
        return CTL_EXIT_FAILURE;
    }
    json_t *groups = json_array();
    for (pb_size_t i = 0; i < status.groups_count; i++) {
        const GroupStatus *group = &status.groups[i];
        json_array_append_new(groups, json_pack("{s:i,s:I,s:i,s:I,s:I,s:b,s:i,s:i}", "group", (int)group->group, "term",
                                                (json_int_t)group->term, "leader", (int)group->leader, "commit_index",
                                                (json_int_t)group->commit_index, "applied_index",
                                                (json_int_t)group->applied_index, "is_leader", group->is_leader,
                                                "voters", (int)group->voters, "learners", (int)group->learners));
    }
    if (options->json) {
        ctl_print_json(json_pack("{s:i,s:s,s:I,s:b,s:o}", "node", (int)status.node, "zone", text_or_empty(status.zone),
                                 "revision", (json_int_t)status.revision, "ready", status.ready, "groups", groups));
    } else {
        printf("node %u in %s, revision %llu, %s\n", status.node, text_or_empty(status.zone),
               (unsigned long long)status.revision, status.ready ? "ready" : "not ready");
        printf("%-6s %-6s %-7s %-10s %-10s %-7s %-8s\n", "group", "term", "leader", "committed", "applied", "voters",
               "learners");
        for (pb_size_t i = 0; i < status.groups_count; i++) {
            const GroupStatus *group = &status.groups[i];
            printf("%-6u %-6llu %-7u %-10llu %-10llu %-7u %-8u\n", group->group, (unsigned long long)group->term,
                   group->leader, (unsigned long long)group->commit_index, (unsigned long long)group->applied_index,
                   group->voters, group->learners);
        }
        json_decref(groups);
    }
    message_free(GetStatusResponse_fields, &status);
    return 0;
}

static int ctl_wait(const struct ctl_options *options, const char *revision)
{
    WaitRevisionRequest request = WaitRevisionRequest_init_zero;
    WaitRevisionResponse response = WaitRevisionResponse_init_zero;
    struct buffer reply = {0};
    request.revision = strtoull(revision, NULL, 10);
    request.timeout_ms = options->timeout_ms;
    bool done = ctl_call(options, "WaitRevision", WaitRevisionRequest_fields, &request, &reply) &&
                message_decode(buffer_view(&reply), WaitRevisionResponse_fields, &response);
    buffer_close(&reply);
    if (!done) {
        return CTL_EXIT_FAILURE;
    }
    if (response.in_force) {
        printf("revision %s is in force everywhere\n", revision);
    } else {
        printf("revision %s is not in force everywhere, the fleet is at %llu; lagging nodes:", revision,
               (unsigned long long)response.revision);
        for (pb_size_t i = 0; i < response.lagging_nodes_count; i++) {
            printf(" %u", response.lagging_nodes[i]);
        }
        printf("\n");
    }
    message_free(WaitRevisionResponse_fields, &response);
    return response.in_force ? 0 : CTL_EXIT_FAILURE;
}

static int ctl_replica(const struct ctl_options *options, const char *action, const char *node)
{
    bool add = strcmp(action, "add") == 0;
    ChangeReplicaRequest request = ChangeReplicaRequest_init_zero;
    ChangeReplicaResponse response = ChangeReplicaResponse_init_zero;
    struct buffer reply = {0};
    request.node = (uint32_t)strtoul(node, NULL, 10);
    request.action = add ? REPLICA_ADD : REPLICA_REMOVE;
    request.timeout_ms = options->timeout_ms;
    bool done = ctl_call(options, "ChangeReplica", ChangeReplicaRequest_fields, &request, &reply) &&
                message_decode(buffer_view(&reply), ChangeReplicaResponse_fields, &response);
    buffer_close(&reply);
    if (done) {
        printf("node %u is %s all %u groups\n", request.node, add ? "a voter of" : "removed from", response.groups);
    }
    return done ? 0 : CTL_EXIT_FAILURE;
}

static int ctl_usage(void)
{
    fprintf(stderr, "bankbankctl: unknown or incomplete command\n%s", CTL_COMMANDS);
    return CTL_EXIT_USAGE;
}

static int ctl_resource_command(const struct ctl_options *options, int count, char **arguments)
{
    const struct ctl_kind *kind = count > 1 ? ctl_kind_find(arguments[1]) : NULL;
    const char *verb = arguments[0];
    if (kind == NULL) {
        return ctl_usage();
    }
    if (strcmp(verb, "list") == 0) {
        return ctl_list(options, kind);
    }
    if (count < 3) {
        return ctl_usage();
    }
    if (strcmp(verb, "get") == 0) {
        return ctl_get(options, kind, arguments[2]);
    }
    if (strcmp(verb, "delete") == 0) {
        return ctl_change(options, "Delete", kind, view_of_string(arguments[2]));
    }
    if (strcmp(verb, "create") == 0) {
        return ctl_create_or_update(options, "Create", kind, count - 2, arguments + 2);
    }
    if (strcmp(verb, "update") == 0) {
        return ctl_create_or_update(options, "Update", kind, count - 2, arguments + 2);
    }
    return ctl_usage();
}

static int ctl_run(const struct ctl_options *options, int count, char **arguments)
{
    if (strcmp(arguments[0], "status") == 0) {
        return ctl_status(options);
    }
    if (strcmp(arguments[0], "wait") == 0 && count == 2) {
        return ctl_wait(options, arguments[1]);
    }
    bool replica = strcmp(arguments[0], "replica") == 0 && count == 3;
    if (replica && (strcmp(arguments[1], "add") == 0 || strcmp(arguments[1], "remove") == 0)) {
        return ctl_replica(options, arguments[1], arguments[2]);
    }
    if (strcmp(arguments[0], "handover") == 0) {
        return ctl_handover(options, count - 1, arguments + 1);
    }
    if (count > 0 && strcmp(arguments[0], "explain") == 0) {
        return ctl_explain(count - 1, arguments + 1);
    }
    return ctl_resource_command(options, count, arguments);
}

int main(int argc, char **argv)
{
    struct arg_str *server =
        arg_str0("s", "server", "IP:PORT", "operator address of a daemon (default 127.0.0.1:9090)");
    struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
    struct arg_str *request_id = arg_str0(NULL, "request-id", "ID", "idempotency id of the change (default random)");
    struct arg_int *expected = arg_int0(NULL, "expected-revision", "N", "reject the change at any other revision");
    struct arg_int *timeout =
        arg_int0(NULL, "timeout-ms", "MS", "timeout of wait (default 10000) and replica (default 60000)");
    struct arg_str *old_site = arg_str0(NULL, "old-site", "URL", "URL of the old site, for hand-overs");
    struct arg_str *old_name =
        arg_str0(NULL, "old-site-name", "NAME", "name of the old site reported to callers (default old-site)");
    struct arg_int *epoch = arg_int0(NULL, "epoch", "N", "epoch of the hand-over (default 1)");
    struct arg_lit *help = arg_lit0("h", "help", "show this text");
    struct arg_str *arguments = arg_strn(NULL, NULL, "COMMAND", 0, CTL_MAX_ARGUMENTS, NULL);
    struct arg_end *end = arg_end(8);
    void *table[] = {server, json, request_id, expected, timeout, old_site, old_name, epoch, help, arguments, end};
    int status = 0;
    int errors = arg_parse(argc, argv, table);
    if (help->count > 0 || (errors == 0 && arguments->count == 0)) {
        printf("Usage: bankbankctl");
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-28s %s\n");
        printf("%s", CTL_COMMANDS);
    } else if (errors > 0) {
        arg_print_errors(stderr, end, "bankbankctl");
        status = CTL_EXIT_USAGE;
    } else {
        struct ctl_options options = {
            .server = server->count > 0 ? server->sval[0] : "127.0.0.1:9090",
            .json = json->count > 0,
            .request_id = request_id->count > 0 ? request_id->sval[0] : NULL,
            .expected_revision = expected->count > 0 ? (uint64_t)expected->ival[0] : 0,
            .timeout_ms = timeout->count > 0 ? (uint32_t)timeout->ival[0] : 0,
            .old_site = old_site->count > 0 ? old_site->sval[0] : NULL,
            .old_site_name = old_name->count > 0 ? old_name->sval[0] : "old-site",
            .epoch = epoch->count > 0 ? (uint64_t)epoch->ival[0] : 1,
        };
        http_client_init();
        status = ctl_run(&options, arguments->count, (char **)(uintptr_t)arguments->sval);
        http_client_close();
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return status;
}
