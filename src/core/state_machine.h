/**
 * @file state_machine.h
 * Replicated state machine of a Raft group: group 0 holds configuration, leases
 * and site state, every other group one partition of the program ledger.
 *
 * Log entry data: a stamp of the proposing leader (8 bytes of timestamp in
 * milliseconds, little endian, and 1 byte of flags), then the encoded Entry. See
 * replica_config.monotonic_timestamps for the clock.
 */
#ifndef BANKBANK_CORE_STATE_MACHINE_H
#define BANKBANK_CORE_STATE_MACHINE_H

#include "core/config_store.h"
#include "core/lease_table.h"
#include "core/ledger.h"
#include "core/site_state.h"
#include "core/state_stream.h"

/** Levels of log entries: a daemon of level N can apply the entries of all levels up to N. */
enum {
    STATE_LEVEL_ZONES = 1,    /**< Entry.zone_drain. */
    STATE_LEVEL_STREAMS = 2,  /**< Entry.stream_begin. */
    STATE_LEVEL_FAILURES = 3, /**< Entry.operation_failure. */
    STATE_LEVEL_VERSIONS = 4, /**< Entry.service_version. */
    STATE_LEVEL = STATE_LEVEL_VERSIONS
};

enum {
    STATE_CONFIG_GROUP = 0,      /**< Group of configuration, leases and site state. */
    STATE_STAMP_LENGTH = 9,      /**< Bytes of the stamp before the encoded Entry. */
    STATE_FLAG_OWNER_EXPIRED = 1 /**< The gateway of the program's running call has lost its lease. */
};

struct state_machine {
    uint32_t group;
    struct config_store config; /**< Group 0 only. */
    struct lease_table leases;  /**< Group 0 only. */
    struct site_state site;     /**< Group 0 only. */
    struct ledger ledger;       /**< Other groups only. */
};

void state_machine_init(struct state_machine *machine, uint32_t group, const struct history_io *history);

void state_machine_close(struct state_machine *machine);

/** Appends a stamp and an encoded entry to `out`. */
void state_machine_stamp(uint64_t timestamp_ms, uint8_t flags, struct view entry, struct buffer *out);

/** Returns the stamp's flags for an entry that a leader is about to propose; `leases` are those of group 0. */
uint8_t state_machine_flags(const struct state_machine *machine, const struct lease_table *leases, struct view entry);

/** Tag of the command of an encoded Entry; 0: it has none. */
int state_machine_entry_command(struct view entry);

/** Level that a daemon needs to apply an encoded Entry. */
uint32_t state_machine_entry_level(struct view entry);

/** Applies log entry data (stamp and entry) and appends the encoded EntryResult to `result`. */
void state_machine_apply(struct state_machine *machine, struct view data, struct buffer *result);

/** Writes the state as a stream in which texts are references to the history store; false: the sink failed. */
bool state_machine_write(const struct state_machine *machine, const state_sink_t *sink);

/** Loads a record of such a stream; false: the record is invalid. After the last, call state_machine_read_end(). */
bool state_machine_read(struct state_machine *machine, state_record_kind_t kind, struct view payload);

void state_machine_read_end(struct state_machine *machine);

/** Writes a stored record in the form sent to another replica, texts included; false: the record is invalid, or the
 * sink failed. */
bool state_record_to_wire(uint32_t group, const struct history_io *history, state_record_kind_t kind,
                          struct view payload, const state_sink_t *sink);

/** Writes a received record in the stored form. Its texts are stored in `history`, but not marked as in use there.
 * False: the record is invalid, or the sink failed. */
bool state_record_from_wire(uint32_t group, const struct history_io *history, state_record_kind_t kind,
                            struct view payload, const state_sink_t *sink);

/** Returns the group of a program, given the number of groups including group 0. Sub-programs are in their root's
 * group. */
uint32_t state_machine_group_of(const char *program_id, uint32_t groups);

#endif
