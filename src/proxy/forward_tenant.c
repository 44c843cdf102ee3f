/* Authentication: maps the API key of a request to a tenant. */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "proxy/forward.h"

enum { FORWARD_UNAUTHORIZED = 401, FORWARD_UNAVAILABLE = 503 };

enum { FORWARD_HASH_DIGITS = 16 /* of a tenant, in hexadecimal */ };

static const char FORWARD_HEX_DIGITS[] = "0123456789abcdef";
static const char FORWARD_AUTH_SCHEME[] = "Bearer ";

/* Empty if the request has no bearer key. */
static struct view forward_api_key(const struct forward *forward)
{
    const char *name = forward->frontend->node->dialect->headers[DIALECT_AUTHORIZATION];
    struct view value = http_reader_header(forward->call->request, name);
    size_t scheme_bytes = sizeof(FORWARD_AUTH_SCHEME) - 1;
    if (value.length <= scheme_bytes || strncasecmp((const char *)value.data, FORWARD_AUTH_SCHEME, scheme_bytes) != 0) {
        return view_of(NULL, 0);
    }
    struct view key = view_of(value.data + scheme_bytes, value.length - scheme_bytes);
    while (key.length > 0 && *key.data == ' ') {
        key = view_of(key.data + 1, key.length - 1);
    }
    return key;
}

static const struct route_tenant *forward_find_tenant(const struct forward *forward, const struct route_table *table)
{
    struct view key = forward_api_key(forward);
    return key.length == 0 ? NULL : route_table_tenant(table, key);
}

/* Responds 401 only while the configuration is certainly current, else 503 and a closed connection: another gateway
 * may know a newer key. Uses the real time, not the loop's: the process may have been suspended since the loop
 * iteration began. */
static void forward_refuse_key(struct forward *forward)
{
    struct frontend *frontend = forward->frontend;
    frontend->counters.key_refusals++;
    if (node_is_fresh_at(frontend->node, node_real_now())) {
        forward_refuse(forward, FORWARD_UNAUTHORIZED, forward_api_key(forward).length == 0 ? "no key" : "unknown key");
    } else {
        http_call_close_after(forward->call);
        forward_refuse(forward, FORWARD_UNAVAILABLE, "keys not current");
    }
}

bool forward_tenant_find(struct forward *forward)
{
    const struct route_table *table = forward->table;
    if (!table->has_tenants) {
        return true;
    }
    forward->tenant = forward_find_tenant(forward, table);
    if (forward->tenant == NULL && !forward->route->allows_anonymous) {
        forward_refuse_key(forward);
        return false;
    }
    return true;
}

bool forward_tenant_is_valid(const struct forward *forward)
{
    const struct route_table *table = forward->frontend->table;
    if (table == forward->table || !table->has_tenants || forward->tenant == NULL) {
        return true;
    }
    const struct route_tenant *current = forward_find_tenant(forward, table);
    return current != NULL && strcmp(current->name, forward->tenant->name) == 0;
}

uint64_t forward_tenant_hash(const struct forward *forward)
{
    return forward->tenant == NULL ? 0 : forward->tenant->hash;
}

/* Whether a caller's name of a program has the form of a tenant's program at the state replicas. */
static bool forward_looks_like_tenant_program(const char *program)
{
    return strspn(program, FORWARD_HEX_DIGITS) >= FORWARD_HASH_DIGITS && program[FORWARD_HASH_DIGITS] == '/';
}

/* Two tenants may use the same program name; their budgets are separate. The program of a caller without a tenant keeps
 * its name, and so its budget, when a configuration adds the first tenants or removes the last ones. */
char *forward_tenant_program(const struct forward *forward, const char *program)
{
    struct buffer name = {0};
    if (forward->tenant == NULL && !forward_looks_like_tenant_program(program)) {
        return text_copy(program);
    }
    buffer_printf(&name, "%016llx/%s", (unsigned long long)forward_tenant_hash(forward), program);
    char *copy = text_copy(buffer_text(&name));
    buffer_close(&name);
    return copy;
}
