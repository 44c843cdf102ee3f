/**
 * @file ledger_internal.h
 * Private to the source files of the ledger:
 *
 *   ledger.c           programs: create, end, expire, lookup, history
 *   ledger_calls.c     calls: begin, finish, abort
 *   ledger_handover.c  hand-over of a program from an old site
 *   ledger_snapshot.c  export and import
 */
#ifndef BANKBANK_CORE_LEDGER_INTERNAL_H
#define BANKBANK_CORE_LEDGER_INTERNAL_H

#include "core/ledger.h"

/* ledger.c */
struct ledger_program *ledger_add(struct ledger *ledger, const char *id);
void ledger_remove(struct ledger *ledger, struct ledger_program *program);
void ledger_touch(struct ledger *ledger, struct ledger_program *program);
/* Ends the program and its sub-programs and adds the releases of their engine caches. Running calls become unknown. */
void ledger_end(struct ledger *ledger, struct ledger_program *program);
void ledger_attach(struct ledger *ledger, struct ledger_program *program);
struct ledger_program *ledger_root(struct ledger_program *program);
void ledger_add_engine(struct ledger_program *program, const char *engine);
void ledger_add_release(struct ledger *ledger, const char *program, const char *engine);
void ledger_create(struct ledger *ledger, const ProgramCreate *create, EntryResult *result);
void ledger_call_close(struct ledger *ledger, struct ledger_call *call);
/* Returns a shared constant for a common finish reason, a copy of any other, and NULL if it is empty. The call owns it:
 * ledger_call_close() frees it. */
char *ledger_reason_intern(const char *reason);
void ledger_fail(EntryResult *result, ResultCode code, const char *message);

/* ledger_calls.c */
void ledger_begin_call(struct ledger *ledger, bool owner_expired, const CallBegin *begin, EntryResult *result);
void ledger_finish_call(struct ledger *ledger, const CallFinish *finish, EntryResult *result);
void ledger_abort_call(struct ledger *ledger, const CallAbort *abort_entry);
/* Sets a running call, if there is one, to unknown. */
void ledger_abandon_running(struct ledger_program *program);

/* ledger_handover.c */
void ledger_handover(struct ledger *ledger, const HandoverChange *change, EntryResult *result);

#endif
