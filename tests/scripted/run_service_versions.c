/* Tests whether streams without a record may be resumed at the version that serves. Commands:
 *   put MS SERVICE VERSION [several]  applies an entry
 *   settled MS SERVICE [VERSION]      prints whether the service is settled; VERSION: as the gateway's list shows it
 *   restart                           writes a snapshot, and reads it into an empty state
 *   clear                             empties the state */
#include <string.h>

#include "core/service_versions.h"
#include "script.h"

enum { NAME_BYTES = 32 };

static service_versions_t versions;

static void put(const script_command_t *command)
{
    char service[NAME_BYTES];
    char version[NAME_BYTES];
    script_copy(command, 2, service, sizeof(service));
    script_copy(command, 3, version, sizeof(version));
    ServiceVersion entry = {.service = service, .version = version, .several = script_is(command, 4, "several")};
    service_versions_put(&versions, script_number(command, 1, 0), &entry);
    script_print(service_versions_has(&versions, &entry) ? "known\n" : "unknown\n");
}

static void print_settled(const script_command_t *command)
{
    char service[NAME_BYTES];
    char version[NAME_BYTES];
    script_copy(command, 2, service, sizeof(service));
    script_copy(command, 3, version, sizeof(version));
    const char *current = command->count > 3 ? version : NULL;
    bool settled = service_versions_is_settled(&versions, script_number(command, 1, 0), service, current);
    script_print(settled ? "settled\n" : "not settled\n");
}

static void restart(void)
{
    SiteSnapshot snapshot = {0};
    service_versions_t restored = {0};
    service_versions_export(&versions, &snapshot);
    service_versions_import(&restored, &snapshot);
    service_versions_free_export(&snapshot);
    service_versions_close(&versions);
    versions = restored;
    script_print("services %u\n", HASH_COUNT(versions.services));
}

static void run(const script_command_t *command)
{
    if (script_is(command, 0, "put")) {
        put(command);
    } else if (script_is(command, 0, "settled")) {
        print_settled(command);
    } else if (script_is(command, 0, "restart")) {
        restart();
    } else if (script_is(command, 0, "clear")) {
        service_versions_close(&versions);
    } else {
        script_print("unknown command\n");
    }
}

int main(int argc, char **argv)
{
    int status = script_main(argc > 1 ? argv[1] : "tests/scripted/service_versions.script", run);
    service_versions_close(&versions);
    return status;
}
