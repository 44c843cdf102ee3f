/**
 * @file samples.h
 * Lists of measurements and their quantiles (GSL).
 */
#ifndef BANKBANK_MEASURE_SAMPLES_H
#define BANKBANK_MEASURE_SAMPLES_H

#include <pthread.h>
#include <stddef.h>

#include <jansson.h>

/** A growing list of measurements; safe for several threads. */
struct samples {
    pthread_mutex_t lock; /**< Guards the rest. */
    double *values;       /**< Measurements, in ms unless said otherwise. */
    size_t count;         /**< Measurements. */
    size_t capacity;      /**< Room. */
};

/** What is known of a distribution. */
struct samples_summary {
    size_t count; /**< Measurements. */
    double mean;  /**< Mean. */
    double p50;   /**< Median. */
    double p95;   /**< 95 in 100 are at most this. */
    double p99;   /**< 99 in 100 are at most this. */
    double most;  /**< Largest. */
};

/** Starts an empty list. */
void samples_init(struct samples *samples);

/** Frees it. */
void samples_close(struct samples *samples);

/** Adds a measurement. */
void samples_add(struct samples *samples, double value);

/** Sorts the values and summarises them. */
struct samples_summary samples_summarise(struct samples *samples);

/** The summary as a JSON object. */
json_t *samples_report(struct samples *samples);

#endif
