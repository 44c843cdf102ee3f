/**
 * @file operator_check.h
 * Validation of the resources that operators create and update.
 */
#ifndef BANKBANK_DAEMON_OPERATOR_CHECK_H
#define BANKBANK_DAEMON_OPERATOR_CHECK_H

#include "base/findings.h"
#include "control.pb.h"

/** Adds all errors to `findings`. Returns the resource's name, to be freed, or NULL if `body` does not decode. */
char *operator_check_resource(ResourceKind kind, struct view body, struct findings *findings);

#endif
