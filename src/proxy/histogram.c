#include "proxy/histogram.h"

static const uint64_t histogram_bounds_ms[HISTOGRAM_BOUNDS] = {1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000};

enum { HISTOGRAM_MS_PER_S = 1000 };

void histogram_record(struct histogram *histogram, uint64_t value_ms)
{
    int bucket = 0;
    while (bucket < HISTOGRAM_BOUNDS && value_ms > histogram_bounds_ms[bucket]) {
        bucket++;
    }
    histogram->counts[bucket]++;
    histogram->sum_ms += value_ms;
}

void histogram_write(const struct histogram *histogram, const char *name, const char *help, struct buffer *out)
{
    uint64_t count = 0;
    buffer_printf(out, "# HELP bankbank_%s %s\n# TYPE bankbank_%s histogram\n", name, help, name);
    for (int i = 0; i < HISTOGRAM_BOUNDS; i++) {
        count += histogram->counts[i];
        buffer_printf(out, "bankbank_%s_bucket{le=\"%g\"} %llu\n", name,
                      (double)histogram_bounds_ms[i] / HISTOGRAM_MS_PER_S, (unsigned long long)count);
    }
    count += histogram->counts[HISTOGRAM_BOUNDS];
    buffer_printf(out, "bankbank_%s_bucket{le=\"+Inf\"} %llu\n", name, (unsigned long long)count);
    buffer_printf(out, "bankbank_%s_sum %g\nbankbank_%s_count %llu\n", name,
                  (double)histogram->sum_ms / HISTOGRAM_MS_PER_S, name, (unsigned long long)count);
}
