#include "proxy/node_settings.h"

#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "core/quarantine.h"
#include "core/watch.h"
#include "net/address.h"

enum {
    NODE_LIST_PERIOD_MS = 500,
    NODE_GRACE_MS = 8000,
    NODE_LOG_LINES_PER_S = 40,
    NODE_MAX_DURATION_MS = 3600 * 1000,
    NODE_MAX_MEMORY_MB = 1 << 20,
    NODE_MAX_OVERSHOOT = 1000,         /* thousandths */
    NODE_MAX_START_OVERSHOOT = 100000, /* thousandths */
    NODE_MAX_SLACK = 1000000,
    NODE_MAX_WATCHERS = 100000,
    NODE_MAX_CONNECTIONS = 1000000,
    NODE_MAX_ZONES = 1000,
    NODE_MAX_PORT = 65535
};

static const struct yaml_field node_seed_fields[] = {
    {.key = "address", .type = YAML_TEXT, .offset = offsetof(struct node_seed, address), .required = true},
    {.key = NULL},
};

static const struct yaml_field node_zone_fields[] = {
    {.key = "name", .type = YAML_TEXT, .offset = offsetof(zone_info_t, name), .required = true},
    {.key = "region", .type = YAML_TEXT, .offset = offsetof(zone_info_t, region)},
    {.key = NULL},
};

#define NODE_TEXT(name)                                                                                                \
    {                                                                                                                  \
        .key = #name, .type = YAML_TEXT, .offset = offsetof(struct node_settings, name)                                \
    }
#define NODE_NUMBER(name, min, max)                                                                                    \
    {                                                                                                                  \
        .key = #name, .type = YAML_NUMBER, .offset = offsetof(struct node_settings, name), .minimum = min,             \
        .maximum = max                                                                                                 \
    }

static const struct yaml_field node_settings_fields[] = {
    NODE_TEXT(name),
    NODE_TEXT(zone),
    NODE_TEXT(ip),
    NODE_NUMBER(peer_port, 1, NODE_MAX_PORT),
    {.key = "bootstrap", .type = YAML_FLAG, .offset = offsetof(struct node_settings, bootstrap)},
    NODE_TEXT(data),
    NODE_TEXT(caller_address),
    NODE_TEXT(ready_address),
    NODE_TEXT(control_address),
    NODE_TEXT(metrics_address),
    NODE_TEXT(machine_list),
    {.key = "seeds",
     .type = YAML_LIST,
     .offset = offsetof(struct node_settings, seeds),
     .fields = node_seed_fields,
     .item_size = sizeof(struct node_seed)},
    {.key = "zones",
     .type = YAML_LIST,
     .offset = offsetof(struct node_settings, zones),
     .fields = node_zone_fields,
     .item_size = sizeof(zone_info_t)},
    NODE_NUMBER(closed_port, 0, NODE_MAX_PORT),
    NODE_NUMBER(refer_above, 0, NODE_MAX_WATCHERS),
    NODE_NUMBER(list_period_ms, 50, NODE_MAX_DURATION_MS),
    {.key = "grace_s",
     .type = YAML_SECONDS,
     .offset = offsetof(struct node_settings, grace_ms),
     .maximum = NODE_MAX_DURATION_MS},
    {.key = "quota_window_s",
     .type = YAML_SECONDS,
     .offset = offsetof(struct node_settings, quota_window_ms),
     .maximum = NODE_MAX_DURATION_MS},
    /* Fractions: YAML_SECONDS converts them to thousandths. */
    {.key = "quota_overshoot",
     .type = YAML_SECONDS,
     .offset = offsetof(struct node_settings, quota_overshoot),
     .maximum = NODE_MAX_OVERSHOOT},
    NODE_NUMBER(quota_slack, 0, NODE_MAX_SLACK),
    {.key = "start_overshoot",
     .type = YAML_SECONDS,
     .offset = offsetof(struct node_settings, start_overshoot),
     .maximum = NODE_MAX_START_OVERSHOOT},
    NODE_NUMBER(start_slack, 0, NODE_MAX_SLACK),
    NODE_NUMBER(memory_mb, 0, NODE_MAX_MEMORY_MB),
    NODE_NUMBER(max_connections, 0, NODE_MAX_CONNECTIONS),
    NODE_NUMBER(tolerated_zones, 0, NODE_MAX_ZONES),
    NODE_NUMBER(server_drain_ms, 0, NODE_MAX_DURATION_MS),
    NODE_NUMBER(quarantine_servers, 0, QUARANTINE_MAX_FAILURES),
    {.key = "quarantine_s",
     .type = YAML_SECONDS,
     .offset = offsetof(struct node_settings, quarantine_ms),
     .maximum = NODE_MAX_DURATION_MS},
    NODE_NUMBER(log_lines_per_s, 0, 100000),
    NODE_TEXT(log_level),
    {.key = NULL},
};

static void node_settings_defaults(struct node_settings *settings)
{
    memset(settings, 0, sizeof(*settings));
    settings->list_period_ms = NODE_LIST_PERIOD_MS;
    settings->grace_ms = NODE_GRACE_MS;
    settings->refer_above = WATCH_REFER_ABOVE;
    settings->quarantine_servers = QUARANTINE_DEFAULT_FAILURES;
    settings->quarantine_ms = QUARANTINE_DEFAULT_KEEP_MS;
    settings->log_lines_per_s = NODE_LOG_LINES_PER_S;
    settings->log_level = text_copy("warn");
}

static bool node_is_set(const char *text)
{
    return text_or_empty(text)[0] != '\0';
}

static void node_check_address(const char *path, const char *key, const char *value, struct findings *findings)
{
    struct address address;
    if (!node_is_set(value) || address_parse(value, &address)) {
        return;
    }
    struct buffer location = {0};
    buffer_printf(&location, "%s: %s", path, key);
    findings_add(findings, buffer_text(&location), "must be IP:PORT, not '%s'", value);
    buffer_close(&location);
}

static void node_settings_check(const struct node_settings *settings, const char *path, struct findings *findings)
{
    enum log_level level;
    node_check_address(path, "caller_address", settings->caller_address, findings);
    node_check_address(path, "ready_address", settings->ready_address, findings);
    node_check_address(path, "control_address", settings->control_address, findings);
    node_check_address(path, "metrics_address", settings->metrics_address, findings);
    node_check_address(path, "machine_list", settings->machine_list, findings);
    const struct node_seed *seeds = settings->seeds.items;
    for (size_t i = 0; i < settings->seeds.count; i++) {
        node_check_address(path, "seeds", seeds[i].address, findings);
    }
    if (!node_is_set(settings->name)) {
        findings_add(findings, path, "name is required");
    }
    if (settings->peer_port == 0 || !node_is_set(settings->ip)) {
        findings_add(findings, path, "ip and peer_port are required");
    }
    if (settings->seeds.count == 0) {
        findings_add(findings, path, "seeds must name at least one state replica");
    }
    if (!node_is_set(settings->data) && !node_is_set(settings->caller_address)) {
        findings_add(findings, path, "data (a state replica) or caller_address (a gateway) is required");
    }
    if (!log_level_parse(text_or_empty(settings->log_level), &level)) {
        findings_add(findings, path, "log_level must be error, warn, info or debug");
    }
}

static void node_settings_read_environment(struct node_settings *settings, const char *variable,
                                           struct findings *findings)
{
    const char *text = getenv(variable);
    if (text != NULL) {
        yaml_read_text(variable, text, node_settings_fields, settings, findings);
    }
}

void node_settings_load(struct node_settings *settings, const char *path, struct findings *findings)
{
    node_settings_defaults(settings);
    yaml_read_file(path, node_settings_fields, settings, findings);
    node_settings_read_environment(settings, NODE_SETTINGS_ENV, findings);
    node_settings_read_environment(settings, NODE_SETTINGS_ENV_2, findings);
    node_settings_read_environment(settings, NODE_SETTINGS_ENV_3, findings);
    node_settings_read_environment(settings, NODE_SETTINGS_ENV_4, findings);
    node_settings_check(settings, path, findings);
}

void node_settings_close(struct node_settings *settings)
{
    yaml_close(node_settings_fields, settings);
}
