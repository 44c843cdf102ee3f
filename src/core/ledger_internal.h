/**
 * @file ledger_internal.h
 * Functions shared by the parts of the ledger; not for others.
 *
 *   ledger.c           programs: create, end, expire, lookup, history
 *   ledger_calls.c     calls: begin, finish, abort
 *   ledger_handover.c  hand-over from an old site
 *   ledger_snapshot.c  export and import
 */
#ifndef BANKBANK_CORE_LEDGER_INTERNAL_H
#define BANKBANK_CORE_LEDGER_INTERNAL_H

#include "core/ledger.h"

/* ledger.c */
struct ledger_program *ledger_add(struct ledger *ledger, const char *id);
void ledger_remove(struct ledger *ledger, struct ledger_program *program);
void ledger_touch(struct ledger *ledger, struct ledger_program *program);
void ledger_end(struct ledger *ledger, struct ledger_program *program);
void ledger_attach(struct ledger *ledger, struct ledger_program *program);
struct ledger_program *ledger_root(struct ledger_program *program);
void ledger_hold_engine(struct ledger_program *program, const char *engine);
void ledger_add_release(struct ledger *ledger, const char *program, const char *engine);
void ledger_create(struct ledger *ledger, const ProgramCreate *create, EntryResult *result);
void ledger_call_close(struct ledger *ledger, struct ledger_call *call);
/* Keeps a finish reason; well-known ones cost no memory. */
char *ledger_reason_keep(const char *reason);
void ledger_fail(EntryResult *result, ResultCode code, const char *message);

/* ledger_calls.c */
void ledger_begin(struct ledger *ledger, bool owner_expired, const CallBegin *begin, EntryResult *result);
void ledger_finish(struct ledger *ledger, const CallFinish *finish, EntryResult *result);
void ledger_abort(struct ledger *ledger, const CallAbort *abort_entry);
void ledger_abandon_running(struct ledger_program *program);

/* ledger_handover.c */
void ledger_handover(struct ledger *ledger, const HandoverChange *change, EntryResult *result);

#endif
