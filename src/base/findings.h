/**
 * @file findings.h
 * Collects the errors of an input with their locations. The first FINDINGS_MAX are
 * kept and reported: what a refused input may cost is bounded even if its errors grow
 * with the square of its size, as those of duplicates.
 */
#ifndef BANKBANK_BASE_FINDINGS_H
#define BANKBANK_BASE_FINDINGS_H

#include <stdbool.h>

#include "base/buffer.h"

enum { FINDINGS_MAX = 1000 };

struct finding {
    char *location; /**< Such as "settings.yaml:12: groups". */
    char *text;     /**< What is wrong and what was expected. */
};

/** All zero is a valid empty list. */
struct findings {
    struct finding *items; /**< Owned. */
    size_t count;
    bool has_more; /**< Errors beyond FINDINGS_MAX were dropped. */
};

void findings_add(struct findings *findings, const char *location, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/** Whether further errors are dropped. */
bool findings_is_full(const struct findings *findings);

/** Appends one line per error to `out`, and one if errors were dropped. */
void findings_report(const struct findings *findings, struct buffer *out);

void findings_close(struct findings *findings);

#endif
