#include "daemon/operator_check.h"

#include <stdio.h>
#include <string.h>

#include "base/message.h"
#include "core/config_store.h"
#include "operator.pb.h"

enum { CHECK_PATH_SIZE = 64 };

static void check_name(const char *path, const char *name, struct findings *findings)
{
    const char *text = text_or_empty(name);
    size_t length = strlen(text);
    size_t allowed = strspn(text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.");
    if (length == 0 || length > CONFIG_NAME_MAX || allowed != length) {
        findings_add(findings, path, "must have 1 to %d letters, digits, '-', '_' or '.'", CONFIG_NAME_MAX);
    }
}

static void check_url(const char *path, const char *url, struct findings *findings)
{
    static const char prefix[] = "http://";
    const char *text = text_or_empty(url);
    size_t length = strlen(text);
    bool valid = strncmp(text, prefix, sizeof(prefix) - 1) == 0 && length > sizeof(prefix) - 1 &&
                 text[length - 1] != '/' && strpbrk(text, " \r\n\t") == NULL;
    if (!valid) {
        findings_add(findings, path, "must be http://IP:PORT[/prefix] without a slash at the end");
    }
}

static char *check_service(struct view body, struct findings *findings)
{
    Service service = {0};
    if (!message_decode(body, Service_fields, &service)) {
        findings_add(findings, "service", "does not decode");
        return NULL;
    }
    check_name("service.name", service.name, findings);
    for (pb_size_t i = 0; i < service.backends_count; i++) {
        char path[CHECK_PATH_SIZE];
        snprintf(path, sizeof(path), "service.backends[%u].name", i);
        check_name(path, service.backends[i].name, findings);
        snprintf(path, sizeof(path), "service.backends[%u].base_url", i);
        check_url(path, service.backends[i].base_url, findings);
    }
    char *name = text_copy(service.name);
    message_free(Service_fields, &service);
    return name;
}

static void check_engine(const Pool *pool, pb_size_t position, struct findings *findings)
{
    const Engine *engine = &pool->engines[position];
    char path[CHECK_PATH_SIZE];
    snprintf(path, sizeof(path), "pool.engines[%u].name", position);
    check_name(path, engine->name, findings);
    for (pb_size_t i = 0; i < position; i++) {
        if (text_equal(pool->engines[i].name, engine->name)) {
            findings_add(findings, path, "stands twice");
        }
    }
    snprintf(path, sizeof(path), "pool.engines[%u].base_url", position);
    check_url(path, engine->base_url, findings);
}

static char *check_pool(struct view body, struct findings *findings)
{
    Pool pool = {0};
    if (!message_decode(body, Pool_fields, &pool)) {
        findings_add(findings, "pool", "does not decode");
        return NULL;
    }
    check_name("pool.name", pool.name, findings);
    if (text_or_empty(pool.model)[0] == '\0') {
        findings_add(findings, "pool.model", "is required");
    }
    for (pb_size_t i = 0; i < pool.engines_count; i++) {
        check_engine(&pool, i, findings);
    }
    char *name = text_copy(pool.name);
    message_free(Pool_fields, &pool);
    return name;
}

static char *check_policy(struct view body, struct findings *findings)
{
    Policy policy = {0};
    if (!message_decode(body, Policy_fields, &policy)) {
        findings_add(findings, "policy", "does not decode");
        return NULL;
    }
    check_name("policy.name", policy.name, findings);
    check_name("policy.pool", policy.pool, findings);
    if (policy.placement > PLACEMENT_STICKY) {
        findings_add(findings, "policy.placement", "is not a known placement");
    }
    char *name = text_copy(policy.name);
    message_free(Policy_fields, &policy);
    return name;
}

static char *check_tenant(struct view body, struct findings *findings)
{
    Tenant tenant = {0};
    if (!message_decode(body, Tenant_fields, &tenant)) {
        findings_add(findings, "tenant", "does not decode");
        return NULL;
    }
    check_name("tenant.name", tenant.name, findings);
    if (strlen(text_or_empty(tenant.api_key)) < 8) {
        findings_add(findings, "tenant.api_key", "must have at least 8 characters");
    }
    char *name = text_copy(tenant.name);
    message_free(Tenant_fields, &tenant);
    return name;
}

char *operator_check_resource(ResourceKind kind, struct view body, struct findings *findings)
{
    switch (kind) {
    case RESOURCE_SERVICE: return check_service(body, findings);
    case RESOURCE_POOL: return check_pool(body, findings);
    case RESOURCE_POLICY: return check_policy(body, findings);
    case RESOURCE_TENANT: return check_tenant(body, findings);
    default: findings_add(findings, "kind", "is not a known resource"); return NULL;
    }
}
