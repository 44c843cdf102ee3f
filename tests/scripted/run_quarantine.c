/* Tests which operations are quarantined after failures of servers. Table 0 is the leader's. Commands:
 *   limit TABLE SERVERS KEEP_MS     sets the limits
 *   fail MS TABLE OPERATION ID [SENT]  a server failed while it ran the operation; SENT: when the request was sent, of
 *                                   an operation that is identified by its contents
 *   state MS TABLE OPERATION        prints the failures and the remaining time
 *   share MS FROM TO                TO adopts the operations that FROM lists
 *   many MS TABLE COUNT             COUNT other operations fail once each
 *   list MS TABLE                   prints how many operations are held, and listed as quarantined
 *   clear TABLE                     forgets all, as on a new leader
 *   serve MS CONTENTS               a server responded to a request with these contents
 *   served MS CONTENTS              prints whether one did lately */
#include <stdlib.h>

#include "core/quarantine.h"
#include "core/served_set.h"
#include "script.h"

enum { TABLES = 3, FIRST_OTHER_OPERATION = 1000 };

static quarantine_t tables[TABLES];
static served_set_t served;

static quarantine_t *table_of(const script_command_t *command, int position)
{
    return &tables[script_number(command, position, 0) % TABLES];
}

static void fail(const script_command_t *command)
{
    uint64_t now_ms = script_number(command, 1, 0);
    quarantine_failure_t failure = {
        .operation = script_number(command, 3, 0),
        .id = script_number(command, 4, 0),
        .by_contents = script_number(command, 5, UINT64_MAX) != UINT64_MAX,
        .sent_ms = script_number(command, 5, 0),
    };
    bool begins = quarantine_record(table_of(command, 2), now_ms, &failure);
    script_print(begins ? "quarantined\n" : "counted\n");
}

static void print_state(const script_command_t *command)
{
    const quarantine_t *table = table_of(command, 2);
    uint64_t operation = script_number(command, 3, 0);
    uint64_t remaining_ms = quarantine_remaining_ms(table, script_number(command, 1, 0), operation);
    script_print("failures %u, remaining %llu\n", quarantine_count(table, operation), (unsigned long long)remaining_ms);
}

static void share(const script_command_t *command)
{
    uint64_t now_ms = script_number(command, 1, 0);
    pb_size_t count = 0;
    QuarantinedOperation *list = quarantine_list(table_of(command, 2), now_ms, &count);
    quarantine_adopt(table_of(command, 3), now_ms, list, count);
    script_print("shared %u\n", (unsigned)count);
    free(list);
}

static void fail_many(const script_command_t *command)
{
    uint64_t count = script_number(command, 3, 0);
    for (uint64_t i = 0; i < count; i++) {
        quarantine_failure_t failure = {.operation = FIRST_OTHER_OPERATION + i, .id = 1};
        quarantine_record(table_of(command, 2), script_number(command, 1, 0), &failure);
    }
}

static void print_list(const script_command_t *command)
{
    quarantine_t *table = table_of(command, 2);
    uint64_t now_ms = script_number(command, 1, 0);
    pb_size_t count = 0;
    quarantine_expire(table, now_ms);
    free(quarantine_list(table, now_ms, &count));
    script_print("operations %u, listed %u\n", HASH_COUNT(table->operations), (unsigned)count);
}

static void set_limit(const script_command_t *command)
{
    quarantine_t *table = table_of(command, 1);
    table->max_failures = (uint32_t)script_number(command, 2, 0);
    table->keep_ms = script_number(command, 3, 0);
}

static void run(const script_command_t *command)
{
    if (script_is(command, 0, "limit")) {
        set_limit(command);
    } else if (script_is(command, 0, "fail")) {
        fail(command);
    } else if (script_is(command, 0, "state")) {
        print_state(command);
    } else if (script_is(command, 0, "share")) {
        share(command);
    } else if (script_is(command, 0, "many")) {
        fail_many(command);
    } else if (script_is(command, 0, "list")) {
        print_list(command);
    } else if (script_is(command, 0, "clear")) {
        quarantine_clear(table_of(command, 1));
    } else if (script_is(command, 0, "serve")) {
        served_set_add(&served, script_number(command, 1, 0), script_number(command, 2, 0));
    } else if (script_is(command, 0, "served")) {
        bool has = served_set_has(&served, script_number(command, 1, 0), script_number(command, 2, 0));
        script_print(has ? "served\n" : "not known\n");
    } else {
        script_print("unknown command\n");
    }
}

int main(int argc, char **argv)
{
    int status = script_main(argc > 1 ? argv[1] : "tests/scripted/quarantine.script", run);
    for (int i = 0; i < TABLES; i++) {
        quarantine_clear(&tables[i]);
    }
    return status;
}
