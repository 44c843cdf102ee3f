/**
 * @file scrape.h
 * Reads the metrics page of a daemon (Prometheus text).
 */
#ifndef BANKBANK_MEASURE_SCRAPE_H
#define BANKBANK_MEASURE_SCRAPE_H

#include "base/buffer.h"

/** Appends the page of the daemon at `base_url`; nothing if it does not answer. */
void scrape_fetch(const char *base_url, struct buffer *page);

/** Value of a metric without labels; 0 if it is not on the page. */
double scrape_value(struct buffer *page, const char *name);

#endif
