/**
 * @file histogram.h
 * Latency histograms with fixed bounds, in Prometheus text.
 */
#ifndef BANKBANK_PROXY_HISTOGRAM_H
#define BANKBANK_PROXY_HISTOGRAM_H

#include <stdint.h>

#include "base/buffer.h"

enum { HISTOGRAM_BOUNDS = 12 /**< Number of finite upper bounds. */ };

/** A bucket counts the values up to its bound and above the one before; the last one, those above all bounds. */
struct histogram {
    uint64_t counts[HISTOGRAM_BOUNDS + 1];
    uint64_t sum_ms;
};

void histogram_record(struct histogram *histogram, uint64_t value_ms);

/** Writes the histogram as bankbank_`name`, in seconds. */
void histogram_write(const struct histogram *histogram, const char *name, const char *help, struct buffer *out);

#endif
