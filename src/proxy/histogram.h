/**
 * @file histogram.h
 * Latency histograms with fixed bounds, in Prometheus text.
 */
#ifndef BANKBANK_PROXY_HISTOGRAM_H
#define BANKBANK_PROXY_HISTOGRAM_H

#include <stdint.h>

#include "base/buffer.h"

enum { HISTOGRAM_BOUNDS = 12 /**< Finite upper bounds. */ };

/** Counts of values, in ms, up to each bound and beyond the last one. */
struct histogram {
    uint64_t counts[HISTOGRAM_BOUNDS + 1]; /**< Values in each bucket. */
    uint64_t sum_ms;                       /**< Sum of all values. */
};

/** Counts a value. */
void histogram_note(struct histogram *histogram, uint64_t value_ms);

/** Writes it under `name`, in seconds. */
void histogram_write(const struct histogram *histogram, const char *name, const char *help, struct buffer *out);

#endif
