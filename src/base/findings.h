/**
 * @file findings.h
 * Collects the faults of one input with their places, so that all of them
 * can be reported together instead of one at a time.
 */
#ifndef BANKBANK_BASE_FINDINGS_H
#define BANKBANK_BASE_FINDINGS_H

#include "base/buffer.h"

/** One fault. */
struct finding {
    char *place; /**< Where, such as "settings.yaml:12: groups". */
    char *text;  /**< What is wrong and what was expected. */
};

/** A growing list of faults; all zero is a valid empty list. */
struct findings {
    struct finding *items; /**< Owned array. */
    size_t count;          /**< Number of faults. */
};

/** Adds a fault at `place`. */
void findings_add(struct findings *findings, const char *place, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/** Writes one line a fault to `out`. */
void findings_report(const struct findings *findings, struct buffer *out);

/** Frees the list. */
void findings_close(struct findings *findings);

#endif
