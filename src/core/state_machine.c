#include "core/state_machine.h"

#include <stdlib.h>
#include <string.h>

#include <pb.h>
#include <xxhash.h>

#include "base/message.h"
#include "core/turn_record.h"

void state_machine_init(struct state_machine *machine, uint32_t group, const struct history_io *history)
{
    memset(machine, 0, sizeof(*machine));
    machine->group = group;
    config_store_init(&machine->config);
    site_state_init(&machine->site, history);
    ledger_init(&machine->ledger, history);
}

void state_machine_close(struct state_machine *machine)
{
    config_store_close(&machine->config);
    lease_table_close(&machine->leases);
    site_state_close(&machine->site);
    ledger_close(&machine->ledger);
}

void state_machine_stamp(uint64_t timestamp_ms, uint8_t flags, struct view entry, struct buffer *out)
{
    uint8_t stamp[STATE_STAMP_LENGTH];
    for (int i = 0; i < 8; i++) {
        stamp[i] = (uint8_t)(timestamp_ms >> (8 * i));
    }
    stamp[8] = flags;
    buffer_append(out, stamp, sizeof(stamp));
    buffer_append(out, entry.data, entry.length);
}

static uint64_t state_machine_stamp_time(struct view data)
{
    uint64_t timestamp_ms = 0;
    for (int i = 0; i < 8; i++) {
        timestamp_ms |= (uint64_t)data.data[i] << (8 * i);
    }
    return timestamp_ms;
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
        bool has_running_call = program != NULL && ledger_running_call(program) != NULL;
        if (has_running_call &&
            lease_table_has_ended(leases, program->running.gateway, program->running.gateway_epoch)) {
            flags |= STATE_FLAG_OWNER_EXPIRED;
        }
    }
    message_free(Entry_fields, &decoded);
    return flags;
}

static void state_machine_apply_config(struct state_machine *machine, uint64_t timestamp_ms, const Entry *entry,
                                       EntryResult *result)
{
    if (site_state_apply(&machine->site, timestamp_ms, entry, result)) {
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

/* An encoded Entry has a single field, whose tag is in the first bytes (a varint), so it need not be decoded. */
int state_machine_entry_command(struct view entry)
{
    uint64_t key = 0;
    for (size_t i = 0; i < entry.length && i < sizeof(uint32_t); i++) {
        key |= (uint64_t)(entry.data[i] & 0x7f) << (7 * i);
        if ((entry.data[i] & 0x80) == 0) {
            return (key & 7) == PB_WT_STRING ? (int)(key >> 3) : 0;
        }
    }
    return 0;
}

uint32_t state_machine_entry_level(struct view entry)
{
    switch (state_machine_entry_command(entry)) {
    case Entry_zone_drain_tag: return STATE_LEVEL_ZONES;
    case Entry_stream_begin_tag: return STATE_LEVEL_STREAMS;
    case Entry_operation_failure_tag: return STATE_LEVEL_FAILURES;
    case Entry_service_version_tag: return STATE_LEVEL_VERSIONS;
    default: return 0;
    }
}

/* ---- Snapshots ----------------------------------------------------------------- */

/* Where the records of a head go on that exceed the room of a repeated field. */
typedef struct state_export_t {
    site_export_t site;
    ledger_export_t ledger;
} state_export_t;

static bool state_export_is_complete(const state_export_t *rest)
{
    return rest->site.stream == NULL && rest->site.attempt == NULL && rest->ledger.program == NULL &&
           rest->ledger.release == NULL;
}

static void state_free_export(const struct state_machine *machine, StateSnapshot *snapshot)
{
    if (machine->group != STATE_CONFIG_GROUP) {
        message_free(StateSnapshot_fields, snapshot);
        return;
    }
    config_state_close(&snapshot->config);
    site_state_free_export(&snapshot->site);
    free(snapshot->requests);
    free(snapshot->leases);
}

/* Encodes a snapshot with all that `rest` has left in StateSnapshot.more. */
static bool state_encode_with_more(const struct state_machine *machine, bool with_text, state_export_t *rest,
                                   StateSnapshot *snapshot, struct buffer *out)
{
    struct buffer more = {0};
    bool encoded = true;
    if (!state_export_is_complete(rest)) {
        StateSnapshot next = {0};
        next.has_site = machine->group == STATE_CONFIG_GROUP;
        if (next.has_site) {
            site_state_export_more(&machine->site, &next.site, &rest->site);
        } else {
            ledger_export(&machine->ledger, with_text, &rest->ledger, &next);
        }
        encoded = state_encode_with_more(machine, with_text, rest, &next, &more);
        state_free_export(machine, &next);
    }
    snapshot->more = buffer_view(&more);
    encoded = encoded && message_encode(out, StateSnapshot_fields, snapshot);
    snapshot->more = view_of(NULL, 0);
    buffer_close(&more);
    return encoded;
}

static bool state_export_ledger(const struct state_machine *machine, bool with_text, struct buffer *out)
{
    StateSnapshot snapshot = {0};
    state_export_t rest = {.ledger = ledger_export_begin(&machine->ledger)};
    ledger_export(&machine->ledger, with_text, &rest.ledger, &snapshot);
    bool encoded = state_encode_with_more(machine, with_text, &rest, &snapshot, out);
    state_free_export(machine, &snapshot);
    return encoded;
}

/* Exports everything except turns and budgets, which have records of their own. */
static bool state_export_head(const struct state_machine *machine, struct buffer *out)
{
    if (machine->group != STATE_CONFIG_GROUP) {
        return state_export_ledger(machine, false, out);
    }
    StateSnapshot snapshot = {0};
    state_export_t rest = {0};
    struct buffer order = {0};
    config_store_export(&machine->config, &snapshot);
    lease_table_export(&machine->leases, &snapshot);
    snapshot.has_site = true;
    site_state_export(&machine->site, &snapshot.site, &rest.site);
    turn_store_export_order(&machine->site.turns, &order);
    snapshot.site.turns_by_use = buffer_view(&order);
    bool encoded = state_encode_with_more(machine, false, &rest, &snapshot, out);
    snapshot.site.turns_by_use = view_of(NULL, 0);
    buffer_close(&order);
    state_free_export(machine, &snapshot);
    return encoded;
}

static bool state_import_more(struct state_machine *machine, struct view data)
{
    StateSnapshot snapshot = {0};
    if (data.length == 0) {
        return true;
    }
    if (!message_decode(data, StateSnapshot_fields, &snapshot)) {
        return false;
    }
    if (machine->group == STATE_CONFIG_GROUP) {
        site_state_import_more(&machine->site, &snapshot.site);
    } else {
        ledger_import(&machine->ledger, &snapshot);
    }
    bool imported = state_import_more(machine, snapshot.more);
    message_free(StateSnapshot_fields, &snapshot);
    return imported;
}

static bool state_import_head(struct state_machine *machine, struct view data)
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
    bool imported = state_import_more(machine, snapshot.more);
    ledger_import_end(&machine->ledger);
    message_free(StateSnapshot_fields, &snapshot);
    return imported;
}

bool state_machine_write(const struct state_machine *machine, const state_sink_t *sink)
{
    struct buffer record = {0};
    bool written = state_export_head(machine, &record) && state_stream_begin(sink) &&
                   state_stream_put(sink, STATE_RECORD_HEAD, buffer_view(&record));
    /* The hash table iterates in insertion order, which has parents before children. */
    for (const struct turn *turn = machine->site.turns.turns; written && turn != NULL; turn = turn->hh.next) {
        buffer_clear(&record);
        turn_export(turn, &record);
        written = state_stream_put(sink, STATE_RECORD_TURN, buffer_view(&record));
    }
    const struct budget_program *program = machine->site.budgets.programs;
    for (; written && program != NULL; program = program->hh.next) {
        buffer_clear(&record);
        budget_program_export(program, &record);
        written = state_stream_put(sink, STATE_RECORD_BUDGET, buffer_view(&record));
    }
    buffer_close(&record);
    return written;
}

static bool state_import_budget(struct state_machine *machine, struct view payload)
{
    BudgetRecord record = {0};
    if (!message_decode(payload, BudgetRecord_fields, &record)) {
        return false;
    }
    budget_table_import(&machine->site.budgets, &record);
    message_free(BudgetRecord_fields, &record);
    return true;
}

bool state_machine_read(struct state_machine *machine, state_record_kind_t kind, struct view payload)
{
    switch (kind) {
    case STATE_RECORD_HEAD: return state_import_head(machine, payload);
    case STATE_RECORD_TURN: return turn_store_import(&machine->site.turns, payload);
    case STATE_RECORD_BUDGET: return state_import_budget(machine, payload);
    }
    return false;
}

void state_machine_read_end(struct state_machine *machine)
{
    turn_store_restore_order(&machine->site.turns);
}

/* Converts the head record of a ledger. The result contains the texts if `with_text`, else references to the history
 * store. */
static bool state_convert_ledger(uint32_t group, const struct history_io *history, struct view payload, bool with_text,
                                 struct buffer *out)
{
    struct state_machine temporary;
    state_machine_init(&temporary, group, history);
    bool read = state_import_head(&temporary, payload) && state_export_ledger(&temporary, with_text, out);
    ledger_clear(&temporary.ledger);
    state_machine_close(&temporary);
    return read;
}

static bool state_record_convert(uint32_t group, const struct history_io *history, state_record_kind_t kind,
                                 struct view payload, bool to_wire, const state_sink_t *sink)
{
    struct buffer converted = {0};
    bool done = false;
    switch (kind) {
    case STATE_RECORD_HEAD:
        done = group != STATE_CONFIG_GROUP && state_convert_ledger(group, history, payload, to_wire, &converted);
        break;
    case STATE_RECORD_TURN:
        done = to_wire ? turn_record_to_wire(history, payload, &converted)
                       : turn_record_from_wire(history, payload, &converted);
        break;
    case STATE_RECORD_BUDGET: break;
    }
    bool unchanged = kind == STATE_RECORD_BUDGET || (kind == STATE_RECORD_HEAD && group == STATE_CONFIG_GROUP);
    bool put = (unchanged || done) && state_stream_put(sink, kind, unchanged ? payload : buffer_view(&converted));
    buffer_close(&converted);
    return put;
}

bool state_record_to_wire(uint32_t group, const struct history_io *history, state_record_kind_t kind,
                          struct view payload, const state_sink_t *sink)
{
    return state_record_convert(group, history, kind, payload, true, sink);
}

bool state_record_from_wire(uint32_t group, const struct history_io *history, state_record_kind_t kind,
                            struct view payload, const state_sink_t *sink)
{
    return state_record_convert(group, history, kind, payload, false, sink);
}

/* Sub-programs have their root's id before the dash, which keeps a tree of programs in one group. */
uint32_t state_machine_group_of(const char *program_id, uint32_t groups)
{
    const char *dash = strchr(program_id, '-');
    size_t length = dash == NULL ? strlen(program_id) : (size_t)(dash - program_id);
    return groups < 2 ? 0 : 1 + (uint32_t)(XXH64(program_id, length, 0) % (groups - 1));
}
