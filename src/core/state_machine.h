/**
 * @file state_machine.h
 * What a group replicates: group 0 holds configuration, leases and the state
 * of a site, every other group one partition of the program ledger.
 *
 * Log entry data: 8 bytes wall-clock milliseconds (little endian), 1 byte of
 * flags, both stamped by the leader that proposes it, then the encoded Entry.
 */
#ifndef BANKBANK_CORE_STATE_MACHINE_H
#define BANKBANK_CORE_STATE_MACHINE_H

#include "core/config_store.h"
#include "core/lease_table.h"
#include "core/ledger.h"
#include "core/site_state.h"
#include "core/state_stream.h"

enum {
    STATE_CONFIG_GROUP = 0,      /**< Group of configuration and leases. */
    STATE_STAMP_LENGTH = 9,      /**< Bytes before the encoded Entry. */
    STATE_FLAG_OWNER_EXPIRED = 1 /**< The running attempt's gateway lost its lease. */
};

/** State of one group. */
struct state_machine {
    uint32_t group;             /**< Group id. */
    struct config_store config; /**< Group 0. */
    struct lease_table leases;  /**< Group 0. */
    struct site_state site;     /**< Group 0. */
    struct ledger ledger;       /**< Other groups. */
};

/** Starts an empty state. */
void state_machine_init(struct state_machine *machine, uint32_t group, const struct history_io *history);

/** Frees it. */
void state_machine_close(struct state_machine *machine);

/** Appends stamp and entry to `out`. */
void state_machine_stamp(uint64_t wall_ms, uint8_t flags, struct view entry, struct buffer *out);

/** Flags for an entry that a leader is about to propose, given the leases it knows. */
uint8_t state_machine_flags(const struct state_machine *machine, const struct lease_table *leases, struct view entry);

/** Applies stamped data and appends the encoded EntryResult to `result`. */
void state_machine_apply(struct state_machine *machine, struct view data, struct buffer *result);

/** Writes the state as a stream that holds texts by their places in the history store. */
bool state_machine_write(const struct state_machine *machine, const state_sink_t *sink);

/** Loads a record of such a stream; false: it does not decode. */
bool state_machine_read(struct state_machine *machine, state_record_kind_t kind, struct view payload);

/** After the last record. */
void state_machine_read_end(struct state_machine *machine);

/** Writes a record of this machine in the form that goes to another machine, texts included. */
bool state_record_to_wire(uint32_t group, const struct history_io *history, state_record_kind_t kind,
                          struct view payload, const state_sink_t *sink);

/** The other way: texts go into `history`, where they are not counted as in use. */
bool state_record_from_wire(uint32_t group, const struct history_io *history, state_record_kind_t kind,
                            struct view payload, const state_sink_t *sink);

/** Group of a program in a system with `groups` groups, group 0 included. */
uint32_t state_machine_group_of(const char *program_id, uint32_t groups);

#endif
