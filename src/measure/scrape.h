/**
 * @file scrape.h
 * Reads a daemon's metrics page in the Prometheus text format.
 */
#ifndef BANKBANK_MEASURE_SCRAPE_H
#define BANKBANK_MEASURE_SCRAPE_H

#include "base/buffer.h"

/** Appends the metrics page of the daemon at `base_url` to `page`; nothing without a complete response. */
void scrape_fetch(const char *base_url, struct buffer *page);

/** Returns the value of a metric without labels; 0 if it is not on the page. */
double scrape_value(struct buffer *page, const char *name);

#endif
