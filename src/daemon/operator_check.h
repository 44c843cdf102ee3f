/**
 * @file operator_check.h
 * Checks the content of operators' resources; every fault is collected.
 */
#ifndef BANKBANK_DAEMON_OPERATOR_CHECK_H
#define BANKBANK_DAEMON_OPERATOR_CHECK_H

#include "base/findings.h"
#include "control.pb.h"

/** Checks an encoded resource; returns its name (the caller frees it) or NULL. */
char *operator_check_resource(ResourceKind kind, struct view body, struct findings *findings);

#endif
