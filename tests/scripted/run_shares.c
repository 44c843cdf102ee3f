/* Shares of a split route over gateways and configurations:
 *   gateways COUNT        so many gateways begin with a first configuration
 *   weights A B           of the two parts, from the next configuration on
 *   replace               every gateway takes a configuration of the next version
 *   requests COUNT        so many, dealt to the gateways in turn; tells how many each part got */
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
        struct route_part *part = route_add_part(route);
        part->service = text_copy(services[i]);
        part->weight = weights[i];
    }
    return table;
}

static void replace(void)
{
    for (uint64_t i = 0; i < gateway_count; i++) {
        struct route_table *table = new_table();
        route_table_begin_shares(table, tables[i], (i + 1) * 0x9e3779b97f4a7c15U);
        route_table_release(tables[i]);
        tables[i] = table;
    }
}

static void end(void)
{
    for (uint64_t i = 0; i < gateway_count; i++) {
        route_table_release(tables[i]);
        tables[i] = NULL;
    }
    gateway_count = 0;
}

static bool every_part(void *context, const char *service)
{
    (void)context;
    (void)service;
    return true;
}

static void request(uint64_t count)
{
    static uint64_t turn;
    uint64_t first = 0;
    for (uint64_t i = 0; i < count; i++) {
        struct route *route = &tables[turn++ % gateway_count]->routes[0];
        first += route_choose_part(route, every_part, NULL) == &route->parts[0] ? 1 : 0;
    }
    script_print("first %llu second %llu\n", (unsigned long long)first, (unsigned long long)(count - first));
}

static void run(const script_command_t *command)
{
    uint64_t number = script_number(command, 1, 0);
    if (script_is(command, 0, "gateways") && number <= MAX_GATEWAYS) {
        end();
        gateway_count = number;
        replace();
    } else if (script_is(command, 0, "weights")) {
        weights[0] = (uint32_t)number;
        weights[1] = (uint32_t)script_number(command, 2, 0);
    } else if (script_is(command, 0, "replace")) {
        replace();
    } else if (script_is(command, 0, "requests")) {
        request(number);
    } else {
        script_print("unknown command\n");
    }
}

int main(int argc, char **argv)
{
    int status = script_main(argc > 1 ? argv[1] : "tests/scripted/shares.script", run);
    end();
    return status;
}
