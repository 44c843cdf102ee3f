#include "daemon/settings.h"

#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "net/address.h"
#include "net/http.h"

enum { SETTINGS_BODY_MEMORY_BYTES = 128 << 20 };

static const struct yaml_field settings_replica_fields[] = {
    {.key = "node",
     .type = YAML_NUMBER,
     .offset = offsetof(struct settings_replica, node),
     .minimum = 1,
     .maximum = UINT32_MAX,
     .required = true},
    {.key = "address", .type = YAML_TEXT, .offset = offsetof(struct settings_replica, address), .required = true},
    {.key = "spare", .type = YAML_FLAG, .offset = offsetof(struct settings_replica, spare)},
    {.key = NULL},
};

#define SETTING_TEXT(name, field)                                                                                      \
    {                                                                                                                  \
        .key = name, .type = YAML_TEXT, .offset = offsetof(struct settings, field)                                     \
    }
#define SETTING_FLAG(name, field)                                                                                      \
    {                                                                                                                  \
        .key = name, .type = YAML_FLAG, .offset = offsetof(struct settings, field)                                     \
    }
#define SETTING_NUMBER(name, field, min, max)                                                                          \
    {                                                                                                                  \
        .key = name, .type = YAML_NUMBER, .offset = offsetof(struct settings, field), .minimum = min, .maximum = max   \
    }

static const struct yaml_field settings_fields[] = {
    SETTING_TEXT("cluster", cluster),
    SETTING_NUMBER("node", node, 1, UINT32_MAX),
    SETTING_TEXT("zone", zone),
    SETTING_TEXT("data", data),
    SETTING_FLAG("state_role", state_role),
    SETTING_FLAG("gateway_role", gateway_role),
    SETTING_TEXT("caller_address", caller_address),
    SETTING_TEXT("operator_address", operator_address),
    SETTING_TEXT("peer_address", peer_address),
    {.key = "replicas",
     .type = YAML_LIST,
     .offset = offsetof(struct settings, replicas),
     .fields = settings_replica_fields,
     .item_size = sizeof(struct settings_replica)},
    SETTING_NUMBER("groups", groups, 2, SETTINGS_MAX_GROUPS),
    SETTING_NUMBER("election_timeout_ms", election_timeout_ms, 50, 60000),
    SETTING_NUMBER("heartbeat_ms", heartbeat_ms, 10, 10000),
    SETTING_NUMBER("lease_ms", lease_ms, 500, 60000),
    SETTING_NUMBER("threads", threads, 4, 4096),
    SETTING_NUMBER("operator_threads", operator_threads, 2, 256),
    SETTING_NUMBER("max_body_bytes", max_body_bytes, 1024, 256 << 20),
    SETTING_NUMBER("body_memory_bytes", body_memory_bytes, 0, 64ULL << 30),
    SETTING_NUMBER("call_timeout_ms", call_timeout_ms, 100, 3600000),
    SETTING_NUMBER("drain_timeout_ms", drain_timeout_ms, 0, 3600000),
    SETTING_FLAG("allow_anonymous", allow_anonymous),
    SETTING_TEXT("machine_list_url", machine_list_url),
    SETTING_TEXT("log_level", log_level),
    {.key = NULL},
};

static void settings_defaults(struct settings *settings)
{
    memset(settings, 0, sizeof(*settings));
    settings->cluster = text_copy("bankbank");
    settings->node = 1;
    settings->zone = text_copy("zone-1");
    settings->data = text_copy("bankbank-data");
    settings->state_role = true;
    settings->gateway_role = true;
    settings->caller_address = text_copy("127.0.0.1:8080");
    settings->operator_address = text_copy("127.0.0.1:9090");
    settings->peer_address = text_copy("");
    settings->groups = 5;
    settings->election_timeout_ms = 1000;
    settings->heartbeat_ms = 150;
    settings->lease_ms = 3000;
    settings->threads = 256;
    settings->operator_threads = 8;
    settings->max_body_bytes = 16 << 20;
    settings->call_timeout_ms = 120000;
    settings->drain_timeout_ms = 60000;
    settings->allow_anonymous = true;
    settings->machine_list_url = text_copy("");
    settings->log_level = text_copy("info");
}

void settings_load(struct settings *settings, const char *path, struct findings *findings)
{
    settings_defaults(settings);
    if (path != NULL) {
        yaml_read_file(path, settings_fields, settings, findings);
    }
}

static void settings_check_address(const char *path, const char *key, const char *value, bool may_be_empty,
                                   struct findings *findings)
{
    struct address address;
    bool empty = text_or_empty(value)[0] == '\0';
    if (empty && may_be_empty) {
        return;
    }
    if (empty || !address_parse(value, &address)) {
        struct buffer location = {0};
        buffer_printf(&location, "%s: %s", path, key);
        findings_add(findings, buffer_text(&location), "must be IP:PORT, such as 127.0.0.1:8080, not '%s'",
                     text_or_empty(value));
        buffer_close(&location);
    }
}

static void settings_check_replicas(const struct settings *settings, const char *path, struct findings *findings)
{
    const struct settings_replica *replicas = settings->replicas.items;
    bool self_listed = false;
    size_t members = 0;
    for (size_t i = 0; i < settings->replicas.count; i++) {
        settings_check_address(path, "replicas.address", replicas[i].address, false, findings);
        self_listed = self_listed || replicas[i].node == settings->node;
        members += replicas[i].spare ? 0 : 1;
        for (size_t j = 0; j < i; j++) {
            if (replicas[j].node == replicas[i].node) {
                findings_add(findings, path, "replicas: node %llu is listed twice",
                             (unsigned long long)replicas[i].node);
            }
        }
    }
    if (settings->replicas.count > 0 && members == 0) {
        findings_add(findings, path, "replicas: at least one must not be a spare");
    }
    if (settings->replicas.count > RAFT_MAX_MEMBERS) {
        findings_add(findings, path, "replicas: at most %d are allowed", RAFT_MAX_MEMBERS);
    }
    if (!settings->state_role && settings->replicas.count == 0) {
        findings_add(findings, path, "replicas: a daemon without the state role needs at least one");
    }
    if (settings->state_role && settings->replicas.count > 0 && !self_listed) {
        findings_add(findings, path, "replicas: this daemon has the state role and must be listed");
    }
    bool needs_peer = settings->state_role && settings->replicas.count > 0;
    settings_check_address(path, "peer_address", settings->peer_address, !needs_peer, findings);
}

void settings_check(const struct settings *settings, const char *path, struct findings *findings)
{
    const char *location = path == NULL ? "settings" : path;
    enum log_level level;
    settings_check_address(location, "caller_address", settings->caller_address, !settings->gateway_role, findings);
    settings_check_address(location, "operator_address", settings->operator_address, false, findings);
    settings_check_replicas(settings, location, findings);
    if (!settings->state_role && !settings->gateway_role) {
        findings_add(findings, location, "state_role, gateway_role: at least one must be true");
    }
    if (settings->heartbeat_ms * 3 > settings->election_timeout_ms) {
        findings_add(findings, location, "heartbeat_ms: must be at most a third of election_timeout_ms");
    }
    if (settings->body_memory_bytes != 0 && settings->body_memory_bytes < HTTP_BODY_COPIES * settings->max_body_bytes) {
        findings_add(findings, location, "body_memory_bytes: must be at least %d times max_body_bytes",
                     HTTP_BODY_COPIES);
    }
    if (!log_level_parse(settings->log_level, &level)) {
        findings_add(findings, location, "log_level: must be error, warn, info or debug, not '%s'",
                     settings->log_level);
    }
}

size_t settings_body_memory_bytes(const struct settings *settings)
{
    size_t single = HTTP_BODY_COPIES * (size_t)settings->max_body_bytes;
    size_t fallback = single > SETTINGS_BODY_MEMORY_BYTES ? single : SETTINGS_BODY_MEMORY_BYTES;
    return settings->body_memory_bytes == 0 ? fallback : (size_t)settings->body_memory_bytes;
}

void settings_close(struct settings *settings)
{
    yaml_close(settings_fields, settings);
}

void settings_members(const struct settings *settings, struct raft_members *members)
{
    const struct settings_replica *replicas = settings->replicas.items;
    memset(members, 0, sizeof(*members));
    for (size_t i = 0; i < settings->replicas.count && i < RAFT_MAX_MEMBERS; i++) {
        if (!replicas[i].spare) {
            members->nodes[members->count++] = (uint32_t)replicas[i].node;
        }
    }
    if (settings->replicas.count == 0) {
        members->nodes[members->count++] = (uint32_t)settings->node;
    }
}

const char *settings_replica_address(const struct settings *settings, uint32_t node)
{
    const struct settings_replica *replicas = settings->replicas.items;
    for (size_t i = 0; i < settings->replicas.count; i++) {
        if (replicas[i].node == node) {
            return replicas[i].address;
        }
    }
    return NULL;
}
