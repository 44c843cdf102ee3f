#include "proxy/client_limits.h"

#include <sys/resource.h>

#include "proxy/frontend.h"
#include "proxy/state_host.h"

static uint32_t client_limits_of_descriptors(uint32_t divisor, uint32_t most)
{
    struct rlimit limit;
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return most;
    }
    rlim_t part = limit.rlim_cur / divisor;
    return part < most ? (uint32_t)part : most;
}

static size_t client_limits_or_default(size_t share, size_t fallback)
{
    return share == 0 ? fallback : share;
}

void client_limits_set_callers(const struct node *node, http_shares_t *shares)
{
    uint32_t configured = (uint32_t)node->settings.max_connections;
    shares->max_connections =
        configured > 0 ? configured
                       : client_limits_of_descriptors(CLIENT_LIMITS_CALLERS_DIVISOR, CLIENT_LIMITS_MAX_CALLERS);
    shares->max_connection_bytes = client_limits_or_default(node->memory.connections, CLIENT_LIMITS_DEFAULT_BYTES);
}

void client_limits_set_operators(const struct node *node, http_shares_t *shares)
{
    shares->max_connections =
        client_limits_of_descriptors(CLIENT_LIMITS_OPERATORS_DIVISOR, CLIENT_LIMITS_MAX_OPERATORS);
    shares->max_connection_bytes = client_limits_or_default(node->memory.connections, CLIENT_LIMITS_DEFAULT_BYTES);
}

void client_limits_set_probes(const struct node *node, http_shares_t *shares)
{
    shares->max_connections = client_limits_of_descriptors(CLIENT_LIMITS_PROBES_DIVISOR, CLIENT_LIMITS_MAX_PROBES);
    shares->max_connection_bytes = client_limits_or_default(node->memory.probes, CLIENT_LIMITS_DEFAULT_PROBES_BYTES);
}

size_t client_limits_bodies_bytes(const struct node *node)
{
    return client_limits_or_default(node->memory.incoming, CLIENT_LIMITS_DEFAULT_BODIES_BYTES);
}

size_t client_limits_caller_body_bytes(const struct node *node, size_t configured)
{
    size_t servable = node->memory.requests / 2;
    return servable > 0 && servable < configured ? servable : configured;
}

size_t client_limits_operator_body_bytes(const struct node *node)
{
    size_t part = node->memory.total / CLIENT_LIMITS_OPERATOR_BODY_DIVISOR;
    bool smaller = part > 0 && part < CLIENT_LIMITS_OPERATOR_BODY_BYTES;
    return smaller ? part : CLIENT_LIMITS_OPERATOR_BODY_BYTES;
}

/* ---- Metrics ------------------------------------------------------------------------------------- */

typedef struct client_listener_t {
    const char *name;
    const struct http_listener *listener;
} client_listener_t;

enum { CLIENT_LISTENERS = 4 };

static void client_limits_write_help(const char *name, const char *type, const char *help, struct buffer *out)
{
    buffer_printf(out, "# HELP bankbank_%s %s\n# TYPE bankbank_%s %s\n", name, help, name, type);
}

static void client_limits_write_value(const char *metric, const char *listener, uint64_t value, struct buffer *out)
{
    buffer_printf(out, "bankbank_%s{listener=\"%s\"} %llu\n", metric, listener, (unsigned long long)value);
}

void client_limits_write_metrics(const struct node *node, struct buffer *out)
{
    const client_listener_t listeners[CLIENT_LISTENERS] = {
        {"callers", node->frontend == NULL ? NULL : &node->frontend->callers},
        {"operators", node->host == NULL || !node->host->serves_control ? NULL : &node->host->control},
        {"readiness", &node->ready},
        {"metrics", &node->metrics},
    };
    client_limits_write_help("client_connections", "gauge", "Connections of clients.", out);
    client_limits_write_help("client_connections_limit", "gauge", "Most of them.", out);
    client_limits_write_help("client_connection_bytes", "gauge", "Memory of connections, heads and unparsed input.",
                             out);
    client_limits_write_help("client_connection_bytes_limit", "gauge", "Most of it.", out);
    client_limits_write_help("client_body_bytes", "gauge", "Memory reserved for bodies.", out);
    client_limits_write_help("clients_displaced_total", "counter", "Clients turned away for others.", out);
    client_limits_write_help("clients_refused_total", "counter", "Clients refused since a share was full.", out);
    for (int i = 0; i < CLIENT_LISTENERS; i++) {
        const char *name = listeners[i].name;
        const struct http_listener *listener = listeners[i].listener;
        if (listener == NULL || listener->loop == NULL) {
            continue;
        }
        const http_shares_t *shares = &listener->shares;
        client_limits_write_value("client_connections", name, shares->connections, out);
        client_limits_write_value("client_connections_limit", name, shares->max_connections, out);
        client_limits_write_value("client_connection_bytes", name, shares->connection_bytes, out);
        client_limits_write_value("client_connection_bytes_limit", name, shares->max_connection_bytes, out);
        client_limits_write_value("client_body_bytes", name, listener->reserved_bytes, out);
        client_limits_write_value("clients_displaced_total", name, shares->displaced, out);
        client_limits_write_value("clients_refused_total", name, shares->refused + listener->counters.over_memory_limit,
                                  out);
    }
}
