/**
 * @file findings.h
 * Collects all errors of an input with their locations.
 */
#ifndef BANKBANK_BASE_FINDINGS_H
#define BANKBANK_BASE_FINDINGS_H

#include "base/buffer.h"

struct finding {
    char *location; /**< Such as "settings.yaml:12: groups". */
    char *text;     /**< What is wrong and what was expected. */
};

/** All zero is a valid empty list. */
struct findings {
    struct finding *items; /**< Owned. */
    size_t count;
};

void findings_add(struct findings *findings, const char *location, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/** Appends one line per error to `out`. */
void findings_report(const struct findings *findings, struct buffer *out);

void findings_close(struct findings *findings);

#endif
