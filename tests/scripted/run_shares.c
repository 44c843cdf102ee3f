/* Weighted traffic split of a route with two backends, over gateways and configurations:
 *   gateways COUNT        COUNT gateways start with a first configuration
 *   weights A B           weights of the two backends, from the next configuration on
 *   replace               all gateways activate a configuration with the next version
 *   requests COUNT        COUNT requests, distributed round robin to the gateways; prints the number at each backend */
#include "base/buffer.h"
#include "core/route_table.h"
#include "script.h"

enum { MAX_GATEWAYS = 64 };

static struct route_table *tables[MAX_GATEWAYS];
static uint64_t gateway_count;
static uint32_t weights[2] = {1, 1};
static uint64_t version;

static struct route_table *new_table(void)
{
    static const char *const services[] = {"first", "second"};
    struct route_table *table = route_table_new();
    struct route *route = route_table_add_route(table);
    table->version = ++version;
    route->name = text_copy("split");
    route->host = text_copy("a.example");
    route->prefix = text_copy("/");
    route->timeout_ms = 1000;
    for (int i = 0; i < 2; i++) {
        struct route_backend *backend = route_add_backend(route);
        backend->service = text_copy(services[i]);
        backend->weight = weights[i];
    }
    return table;
}

static void replace_configurations(void)
{
    for (uint64_t i = 0; i < gateway_count; i++) {
        struct route_table *table = new_table();
        route_table_init_credits(table, tables[i], (i + 1) * 0x9e3779b97f4a7c15U);
        route_table_release(tables[i]);
        tables[i] = table;
    }
}

static void release_tables(void)
{
    for (uint64_t i = 0; i < gateway_count; i++) {
        route_table_release(tables[i]);
        tables[i] = NULL;
    }
    gateway_count = 0;
}

static bool every_backend(void *context, const char *service)
{
    (void)context;
    (void)service;
    return true;
}

static void send_requests(uint64_t count)
{
    static uint64_t next_gateway;
    uint64_t first_count = 0;
    for (uint64_t i = 0; i < count; i++) {
        struct route *route = &tables[next_gateway++ % gateway_count]->routes[0];
        first_count += route_choose_backend(route, every_backend, NULL) == &route->backends[0] ? 1 : 0;
    }
    script_print("first %llu second %llu\n", (unsigned long long)first_count,
                 (unsigned long long)(count - first_count));
}

static void run(const script_command_t *command)
{
    uint64_t number = script_number(command, 1, 0);
    if (script_is(command, 0, "gateways") && number <= MAX_GATEWAYS) {
        release_tables();
        gateway_count = number;
        replace_configurations();
    } else if (script_is(command, 0, "weights")) {
        weights[0] = (uint32_t)number;
        weights[1] = (uint32_t)script_number(command, 2, 0);
    } else if (script_is(command, 0, "replace")) {
        replace_configurations();
    } else if (script_is(command, 0, "requests")) {
        send_requests(number);
    } else {
        script_print("unknown command\n");
    }
}

int main(int argc, char **argv)
{
    int status = script_main(argc > 1 ? argv[1] : "tests/scripted/shares.script", run);
    release_tables();
    return status;
}
