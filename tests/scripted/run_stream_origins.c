/* Records of the software version that began each stream (core/stream_origins.h), and the services that a gateway takes
 * for mixed (core/version_mix.h).
 *   begin STREAM SERVICE VERSION [attempt N] [keep MS]
 *                                 a gateway records a stream; prints the refusal, if any
 *   forget STREAM [attempt N]     a gateway no longer knows its version
 *   who STREAM                    prints the service and the version that began it
 *   recorded SERVICE              whether streams of the service have records
 *   snapshot                      replaces the state by its snapshot
 *   count                         prints the number of records
 *   fill COUNT                    records COUNT streams, and prints how many were refused
 *   list SERVICE VERSION ...      the gateway applies a list of servers, "-" is an empty version
 *   mixed SERVICE                 whether the gateway takes the service for mixed
 *   wait MS */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "../support/streams.h"
#include "base/message.h"
#include "core/version_mix.h"
#include "script.h"

enum { NAME_BYTES = 32, SERVER_NAME_BYTES = 80, KEEP_MS = 5000, MAX_SERVERS = 8 };

static struct state_machine machine;
static struct server_table servers;
static version_mix_t mix;
static uint64_t now_ms = 1000000;

static uint64_t stream_hash(const char *name)
{
    return XXH64(name, strlen(name), 0);
}

static ResultCode apply(const StreamBegin *begin)
{
    struct buffer encoded = {0};
    struct buffer stamped = {0};
    struct buffer applied = {0};
    EntryResult result = {0};
    Entry entry = {.which_command = Entry_stream_begin_tag, .command.stream_begin = *begin};
    message_encode(&encoded, Entry_fields, &entry);
    state_machine_stamp(now_ms, 0, buffer_view(&encoded), &stamped);
    state_machine_apply(&machine, buffer_view(&stamped), &applied);
    message_decode(buffer_view(&applied), EntryResult_fields, &result);
    ResultCode code = result.code;
    message_free(EntryResult_fields, &result);
    buffer_close(&encoded);
    buffer_close(&stamped);
    buffer_close(&applied);
    return code;
}

/* The number after a word; `absent` without it. */
static uint64_t option(const script_command_t *command, const char *name, uint64_t absent)
{
    for (int i = 2; i < command->count; i++) {
        if (script_is(command, i, name)) {
            return script_number(command, i + 1, absent);
        }
    }
    return absent;
}

static void record(const script_command_t *command)
{
    char stream[NAME_BYTES];
    char service[NAME_BYTES];
    char version[NAME_BYTES];
    script_copy(command, 1, stream, sizeof(stream));
    script_copy(command, 2, service, sizeof(service));
    script_copy(command, 3, version, sizeof(version));
    StreamBegin begin = {
        .stream = stream_hash(stream),
        .attempt = (uint32_t)option(command, "attempt", 1),
        .keep_ms = option(command, "keep", KEEP_MS),
        .forget = script_is(command, 0, "forget"),
    };
    begin.service = begin.forget ? NULL : service;
    begin.version = begin.forget ? NULL : version;
    if (apply(&begin) != RESULT_OK) {
        script_print("refused\n");
    }
}

static void fill(uint64_t count)
{
    uint64_t refused = 0;
    for (uint64_t i = 0; i < count; i++) {
        StreamBegin begin = {.stream = i + 1, .keep_ms = KEEP_MS};
        begin.service = (char *)(uintptr_t) "service";
        begin.version = (char *)(uintptr_t) "v1";
        refused += apply(&begin) == RESULT_OK ? 0 : 1;
    }
    script_print("%llu refused\n", (unsigned long long)refused);
}

static void print_origin(const script_command_t *command)
{
    char stream[NAME_BYTES];
    script_copy(command, 1, stream, sizeof(stream));
    const stream_version_t *version = stream_origins_find(&machine.site.stream_origins, stream_hash(stream));
    script_print("%s %s\n", version == NULL ? "unknown" : version->service, version == NULL ? "" : version->version);
}

static void reload(void)
{
    struct history_io in_memory = {0};
    struct buffer stream = {0};
    stream_write(&machine, &stream);
    state_machine_close(&machine);
    state_machine_init(&machine, STATE_CONFIG_GROUP, &in_memory);
    if (!stream_read(&machine, &stream)) {
        script_print("invalid\n");
    }
    buffer_close(&stream);
}

static void apply_list(const script_command_t *command)
{
    char names[MAX_SERVERS][SERVER_NAME_BYTES];
    char services[MAX_SERVERS][NAME_BYTES];
    char versions[MAX_SERVERS][NAME_BYTES];
    ServerRecord records[MAX_SERVERS];
    ServerList list = {.servers = records};
    memset(records, 0, sizeof(records));
    for (int word = 1; word + 1 < command->count && list.servers_count < MAX_SERVERS; word += 2) {
        pb_size_t i = list.servers_count++;
        script_copy(command, word, services[i], NAME_BYTES);
        script_copy(command, word + 1, versions[i], NAME_BYTES);
        versions[i][0] = versions[i][0] == '-' ? '\0' : versions[i][0];
        snprintf(names[i], sizeof(names[i]), "%s-%s-%d", services[i], versions[i], (int)i);
        records[i].id = names[i];
        records[i].service = services[i];
        records[i].version = versions[i];
        records[i].address = names[i];
        records[i].zone = names[i];
    }
    server_table_update(&servers, &list);
    version_mix_update(&mix, &servers, now_ms);
}

static void print_service(const script_command_t *command)
{
    char service[NAME_BYTES];
    script_copy(command, 1, service, sizeof(service));
    bool yes = script_is(command, 0, "mixed") ? version_mix_has(&mix, service, now_ms)
                                              : stream_origins_has_service(&machine.site.stream_origins, service);
    script_print("%s\n", yes ? "yes" : "no");
}

static void run(const script_command_t *command)
{
    if (script_is(command, 0, "begin") || script_is(command, 0, "forget")) {
        record(command);
    } else if (script_is(command, 0, "who")) {
        print_origin(command);
    } else if (script_is(command, 0, "snapshot")) {
        reload();
    } else if (script_is(command, 0, "count")) {
        script_print("%u\n", HASH_COUNT(machine.site.stream_origins.streams));
    } else if (script_is(command, 0, "fill")) {
        fill(script_number(command, 1, 0));
    } else if (script_is(command, 0, "list")) {
        apply_list(command);
    } else if (script_is(command, 0, "wait")) {
        now_ms += script_number(command, 1, 0);
    } else {
        print_service(command);
    }
}

int main(int argc, char **argv)
{
    struct history_io in_memory = {0};
    state_machine_init(&machine, STATE_CONFIG_GROUP, &in_memory);
    int result = argc > 1 ? script_main(argv[1], run) : 1;
    state_machine_close(&machine);
    server_table_close(&servers);
    version_mix_close(&mix);
    return result;
}
