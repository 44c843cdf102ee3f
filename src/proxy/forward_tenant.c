/* Whose request it is: the key that it carries, in the configuration that is in force. */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "proxy/forward.h"

enum { FORWARD_UNAUTHORIZED = 401, FORWARD_NO_STATE = 503 };

static const char FORWARD_SCHEME[] = "Bearer ";

/* The key of a request; empty: it carries none. */
static struct view forward_key(const struct forward *forward)
{
    const char *name = forward->front->node->dialect->headers[DIALECT_AUTHORIZATION];
    struct view value = http_reader_header(forward->call->request, name);
    size_t scheme = sizeof(FORWARD_SCHEME) - 1;
    if (value.length <= scheme || strncasecmp((const char *)value.data, FORWARD_SCHEME, scheme) != 0) {
        return view_of(NULL, 0);
    }
    struct view key = view_of(value.data + scheme, value.length - scheme);
    while (key.length > 0 && *key.data == ' ') {
        key = view_of(key.data + 1, key.length - 1);
    }
    return key;
}

static const struct route_tenant *forward_find_tenant(const struct forward *forward, const struct route_table *table)
{
    struct view key = forward_key(forward);
    return key.length == 0 ? NULL : route_table_tenant(table, key);
}

/* A gateway that hears no state replica cannot know whether a key is new: others can. The real time counts: this
 * process may have stood still since its turn began. */
static void forward_refuse_key(struct forward *forward)
{
    struct front *front = forward->front;
    front->counters.key_refusals++;
    if (node_is_fresh_at(front->node, node_real_now())) {
        forward_refuse(forward, FORWARD_UNAUTHORIZED, forward_key(forward).length == 0 ? "no key" : "unknown key");
    } else {
        http_call_close_after(forward->call);
        forward_refuse(forward, FORWARD_NO_STATE, "keys not current");
    }
}

bool forward_tenant_find(struct forward *forward)
{
    const struct route_table *table = forward->table;
    if (!table->has_tenants) {
        return true;
    }
    forward->tenant = forward_find_tenant(forward, table);
    if (forward->tenant == NULL && !forward->route->open) {
        forward_refuse_key(forward);
        return false;
    }
    return true;
}

/* A request that has waited is held to the keys of the newest configuration, as one that comes now is. */
bool forward_tenant_still_holds(const struct forward *forward)
{
    const struct route_table *table = forward->front->table;
    if (table == forward->table || !table->has_tenants || forward->tenant == NULL) {
        return true;
    }
    const struct route_tenant *now = forward_find_tenant(forward, table);
    return now != NULL && strcmp(now->name, forward->tenant->name) == 0;
}

uint64_t forward_tenant_hash(const struct forward *forward)
{
    return forward->tenant == NULL ? 0 : forward->tenant->hash;
}

/* Programs of two tenants may have one name: their budgets are two. */
char *forward_tenant_program(const struct forward *forward, const char *program)
{
    struct buffer name = {0};
    if (!forward->table->has_tenants) {
        return text_copy(program);
    }
    buffer_printf(&name, "%016llx/%s", (unsigned long long)forward_tenant_hash(forward), program);
    char *copy = text_copy(buffer_text(&name));
    buffer_close(&name);
    return copy;
}
