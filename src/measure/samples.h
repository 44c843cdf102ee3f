/**
 * @file samples.h
 * Lists of measurements and their quantiles, computed with GSL.
 */
#ifndef BANKBANK_MEASURE_SAMPLES_H
#define BANKBANK_MEASURE_SAMPLES_H

#include <pthread.h>
#include <stddef.h>

#include <jansson.h>

/** A growing list of measurements. */
struct samples {
    pthread_mutex_t lock; /**< Guards all other members while measurements are added. */
    double *values;
    size_t count;
    size_t capacity; /**< Allocated elements. */
};

struct samples_summary {
    size_t count;
    double mean;
    double p50;
    double p95;
    double p99;
    double max;
};

void samples_init(struct samples *samples);

void samples_close(struct samples *samples);

/** Adds a measurement; safe to call from several threads. */
void samples_add(struct samples *samples, double value);

/** Sorts the list in place and summarises it; no other thread may use it meanwhile. */
struct samples_summary samples_summarise(struct samples *samples);

/** Sorts the list in place and returns its summary as a JSON object, which the caller owns; no other thread may use the
 * list meanwhile. */
json_t *samples_report(struct samples *samples);

#endif
