#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics_double.h>
#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"
#include "measure/samples.h"

enum { SAMPLES_INITIAL_CAPACITY = 1024 };

void samples_init(struct samples *samples)
{
    memset(samples, 0, sizeof(*samples));
    pthread_mutex_init(&samples->lock, NULL);
}

void samples_close(struct samples *samples)
{
    free(samples->values);
    pthread_mutex_destroy(&samples->lock);
}

void samples_add(struct samples *samples, double value)
{
    pthread_mutex_lock(&samples->lock);
    if (samples->count == samples->capacity) {
        samples->capacity = samples->capacity == 0 ? SAMPLES_INITIAL_CAPACITY : samples->capacity * 2;
        samples->values = memory_resize(samples->values, samples->capacity * sizeof(*samples->values));
    }
    samples->values[samples->count++] = value;
    pthread_mutex_unlock(&samples->lock);
}

struct samples_summary samples_summarise(struct samples *samples)
{
    struct samples_summary summary = {.count = samples->count};
    if (samples->count == 0) {
        return summary;
    }
    gsl_sort(samples->values, 1, samples->count);
    summary.mean = gsl_stats_mean(samples->values, 1, samples->count);
    summary.p50 = gsl_stats_quantile_from_sorted_data(samples->values, 1, samples->count, 0.50);
    summary.p95 = gsl_stats_quantile_from_sorted_data(samples->values, 1, samples->count, 0.95);
    summary.p99 = gsl_stats_quantile_from_sorted_data(samples->values, 1, samples->count, 0.99);
    summary.max = samples->values[samples->count - 1];
    return summary;
}

json_t *samples_report(struct samples *samples)
{
    struct samples_summary summary = samples_summarise(samples);
    return json_pack("{s:I,s:f,s:f,s:f,s:f,s:f}", "count", (json_int_t)summary.count, "mean", summary.mean, "p50",
                     summary.p50, "p95", summary.p95, "p99", summary.p99, "max", summary.max);
}
