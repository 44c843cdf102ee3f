/* State replica: the leader logs the software versions of services (core/service_versions.h). */
#include "base/message.h"
#include "proxy/state_host_internal.h"

/* Counts the servers of the list by service and version. */
static void host_count_versions(struct state_host *host, service_versions_t *listed)
{
    ServerList list = {0};
    if (!message_decode(server_list_encoded(&host->node->state.servers), ServerList_fields, &list)) {
        return;
    }
    for (pb_size_t i = 0; i < list.servers_count; i++) {
        const ServerRecord *server = &list.servers[i];
        service_versions_count_server(listed, text_or_empty(server->service), text_or_empty(server->version));
    }
    message_free(ServerList_fields, &list);
}

/* Returns whether the log has all of them. */
static bool host_log_versions(struct state_host *host, const service_versions_t *listed)
{
    const struct site_state *site = &host->replica.groups[STATE_CONFIG_GROUP].machine.site;
    bool logged = true;
    for (const service_version_t *service = listed->services; service != NULL; service = service->hh.next) {
        ServiceVersion entry = {
            .service = (char *)(uintptr_t)service->name,
            .version = service->version,
            .several = service->several,
        };
        if (!service_versions_has(&site->versions, &entry)) {
            replica_record_version(&host->replica, node_now(host->node), &entry);
            logged = false;
        }
    }
    return logged;
}

void state_host_record_versions(struct state_host *host)
{
    uint64_t now_ms = node_now(host->node);
    if (!host->versions_due || now_ms < host->versions_due_ms || !state_host_is_leader(host) ||
        !state_host_members_have_level(host, STATE_LEVEL_VERSIONS)) {
        return;
    }
    service_versions_t listed = {0};
    host_count_versions(host, &listed);
    host->versions_due = !host_log_versions(host, &listed);
    host->versions_due_ms = now_ms + STATE_HOST_VERSIONS_RETRY_MS;
    service_versions_close(&listed);
}
