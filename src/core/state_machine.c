#include "core/state_machine.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/message.h"

void state_machine_init(struct state_machine *machine, uint32_t group, const struct history_io *history)
{
    memset(machine, 0, sizeof(*machine));
    machine->group = group;
    config_store_init(&machine->config);
    ledger_init(&machine->ledger, history);
}

void state_machine_close(struct state_machine *machine)
{
    config_store_close(&machine->config);
    lease_table_close(&machine->leases);
    site_state_close(&machine->site);
    ledger_close(&machine->ledger);
}

void state_machine_stamp(uint64_t wall_ms, uint8_t flags, struct view entry, struct buffer *out)
{
    uint8_t stamp[STATE_STAMP_LENGTH];
    for (int i = 0; i < 8; i++) {
        stamp[i] = (uint8_t)(wall_ms >> (8 * i));
    }
    stamp[8] = flags;
    buffer_append(out, stamp, sizeof(stamp));
    buffer_append(out, entry.data, entry.length);
}

static uint64_t state_machine_stamp_time(struct view data)
{
    uint64_t wall_ms = 0;
    for (int i = 0; i < 8; i++) {
        wall_ms |= (uint64_t)data.data[i] << (8 * i);
    }
    return wall_ms;
}

uint8_t state_machine_flags(const struct state_machine *machine, const struct lease_table *leases, struct view entry)
{
    Entry decoded = {0};
    if (machine->group == STATE_CONFIG_GROUP || !message_decode(entry, Entry_fields, &decoded)) {
        return 0;
    }
    uint8_t flags = 0;
    if (decoded.which_command == Entry_call_begin_tag) {
        struct ledger_program *program = ledger_find(&machine->ledger, decoded.command.call_begin.program);
        bool runs = program != NULL && ledger_running_call(program) != NULL;
        if (runs && lease_table_is_over(leases, program->running.gateway, program->running.gateway_epoch)) {
            flags |= STATE_FLAG_OWNER_EXPIRED;
        }
    }
    message_free(Entry_fields, &decoded);
    return flags;
}

static void state_machine_apply_config(struct state_machine *machine, uint64_t stamp_ms, const Entry *entry,
                                       EntryResult *result)
{
    if (site_state_apply(&machine->site, stamp_ms, entry, result)) {
        return;
    }
    switch (entry->which_command) {
    case Entry_config_change_tag: config_store_apply(&machine->config, &entry->command.config_change, result); break;
    case Entry_gateway_lease_tag: lease_table_apply(&machine->leases, &entry->command.gateway_lease, result); break;
    default: result->code = RESULT_INVALID; break;
    }
}

void state_machine_apply(struct state_machine *machine, struct view data, struct buffer *result)
{
    Entry entry = {0};
    EntryResult outcome = {0};
    bool decoded =
        data.length >= STATE_STAMP_LENGTH &&
        message_decode(view_of(data.data + STATE_STAMP_LENGTH, data.length - STATE_STAMP_LENGTH), Entry_fields, &entry);
    if (!decoded) {
        outcome.code = RESULT_INVALID;
    } else if (machine->group == STATE_CONFIG_GROUP) {
        state_machine_apply_config(machine, state_machine_stamp_time(data), &entry, &outcome);
    } else {
        bool owner_expired = (data.data[8] & STATE_FLAG_OWNER_EXPIRED) != 0;
        ledger_apply(&machine->ledger, state_machine_stamp_time(data), owner_expired, &entry, &outcome);
    }
    message_encode(result, EntryResult_fields, &outcome);
    if (decoded) {
        message_free(Entry_fields, &entry);
    }
}

void state_machine_export(const struct state_machine *machine, bool with_text, struct buffer *out)
{
    StateSnapshot snapshot = {0};
    if (machine->group != STATE_CONFIG_GROUP) {
        ledger_export(&machine->ledger, with_text, &snapshot);
        message_encode(out, StateSnapshot_fields, &snapshot);
        message_free(StateSnapshot_fields, &snapshot);
        return;
    }
    config_store_export(&machine->config, &snapshot);
    lease_table_export(&machine->leases, &snapshot);
    snapshot.has_site = true;
    site_state_export(&machine->site, &snapshot.site);
    message_encode(out, StateSnapshot_fields, &snapshot);
    site_snapshot_close(&snapshot.site);
    config_state_close(&snapshot.config);
    free(snapshot.requests);
    free(snapshot.leases);
}

bool state_machine_import(struct state_machine *machine, struct view data)
{
    StateSnapshot snapshot = {0};
    if (!message_decode(data, StateSnapshot_fields, &snapshot)) {
        return false;
    }
    if (machine->group == STATE_CONFIG_GROUP) {
        config_store_import(&machine->config, &snapshot);
        lease_table_import(&machine->leases, &snapshot);
        site_state_import(&machine->site, &snapshot.site);
    } else {
        ledger_import(&machine->ledger, &snapshot);
    }
    message_free(StateSnapshot_fields, &snapshot);
    return true;
}

/* Sub-programs share the part of the id before the dash with their root, so
 * that a whole tree lives in one group. */
uint32_t state_machine_group_of(const char *program_id, uint32_t groups)
{
    const char *dash = strchr(program_id, '-');
    size_t length = dash == NULL ? strlen(program_id) : (size_t)(dash - program_id);
    return groups < 2 ? 0 : 1 + (uint32_t)(XXH64(program_id, length, 0) % (groups - 1));
}
