#include "daemon/endpoints.h"

#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"

enum { ENDPOINT_DRAINING_MS = 10000 /* validity of a draining report */ };

static const double ENDPOINT_MEAN_WEIGHT = 0.1; /* weight of a new call duration in the moving average */

void endpoints_init(struct endpoints *endpoints)
{
    memset(endpoints, 0, sizeof(*endpoints));
    pthread_mutex_init(&endpoints->lock, NULL);
}

static void endpoints_clear_leaving(struct endpoints *endpoints)
{
    while (endpoints->leaving != NULL) {
        struct leaving_machine *machine = endpoints->leaving;
        HASH_DEL(endpoints->leaving, machine);
        free(machine->address);
        free(machine);
    }
}

void endpoints_close(struct endpoints *endpoints)
{
    struct endpoint *endpoint;
    struct endpoint *next;
    HASH_ITER(hh, endpoints->by_url, endpoint, next)
    {
        HASH_DEL(endpoints->by_url, endpoint);
        free(endpoint->url);
        free(endpoint->host);
        free(endpoint);
    }
    endpoints_clear_leaving(endpoints);
    pthread_mutex_destroy(&endpoints->lock);
}

static void endpoint_set_host(struct endpoint *endpoint)
{
    const char *start = strstr(endpoint->url, "://");
    start = start == NULL ? endpoint->url : start + 3;
    endpoint->host = text_copy(start);
    endpoint->host[strcspn(endpoint->host, "/")] = '\0';
    endpoint->ip_length = strcspn(endpoint->host, ":");
}

/* Call with the lock held. */
static bool endpoints_is_leaving(const struct endpoints *endpoints, const struct endpoint *endpoint)
{
    struct leaving_machine *machine = NULL;
    HASH_FIND(hh, endpoints->leaving, endpoint->host, strlen(endpoint->host), machine);
    if (machine == NULL) {
        HASH_FIND(hh, endpoints->leaving, endpoint->host, endpoint->ip_length, machine);
    }
    return machine != NULL;
}

/* Call with the lock held. */
static struct endpoint *endpoints_get(struct endpoints *endpoints, const char *url)
{
    struct endpoint *endpoint = NULL;
    HASH_FIND_STR(endpoints->by_url, url, endpoint);
    if (endpoint == NULL) {
        endpoint = memory_new(sizeof(*endpoint));
        endpoint->url = text_copy(url);
        endpoint_set_host(endpoint);
        HASH_ADD_KEYPTR(hh, endpoints->by_url, endpoint->url, strlen(endpoint->url), endpoint);
    }
    return endpoint;
}

void endpoints_fill_candidate(struct endpoints *endpoints, const char *url, uint64_t now_ms,
                              struct placement_candidate *candidate)
{
    pthread_mutex_lock(&endpoints->lock);
    const struct endpoint *endpoint = endpoints_get(endpoints, url);
    candidate->own_calls = endpoint->own_calls;
    candidate->reported_calls = endpoint->reported_calls;
    candidate->own_calls_at_report = endpoint->own_calls_at_report;
    candidate->slots = endpoint->slots;
    candidate->mean_call_ms = endpoint->mean_call_ms;
    bool available = !endpoints_is_leaving(endpoints, endpoint) && now_ms >= endpoint->draining_until_ms &&
                     circuit_allows(&endpoint->circuit, now_ms);
    candidate->usable = candidate->usable && available;
    pthread_mutex_unlock(&endpoints->lock);
}

void endpoints_begin_call(struct endpoints *endpoints, const char *url)
{
    pthread_mutex_lock(&endpoints->lock);
    endpoints_get(endpoints, url)->own_calls++;
    pthread_mutex_unlock(&endpoints->lock);
}

static void endpoint_record_success(struct endpoint *endpoint, uint64_t duration_ms)
{
    circuit_record_success(&endpoint->circuit);
    double change = (double)duration_ms - endpoint->mean_call_ms;
    endpoint->mean_call_ms += endpoint->mean_call_ms == 0 ? change : change * ENDPOINT_MEAN_WEIGHT;
}

void endpoints_end_call(struct endpoints *endpoints, const char *url, enum endpoint_outcome outcome, uint64_t now_ms,
                        uint64_t duration_ms, const struct endpoint_report *report)
{
    pthread_mutex_lock(&endpoints->lock);
    struct endpoint *endpoint = endpoints_get(endpoints, url);
    if (report != NULL && report->present) {
        endpoint->reported_calls = report->running + report->waiting;
        endpoint->own_calls_at_report = endpoint->own_calls;
        endpoint->slots = report->slots;
    }
    endpoint->own_calls--;
    switch (outcome) {
    case ENDPOINT_SUCCESS: endpoint_record_success(endpoint, duration_ms); break;
    case ENDPOINT_FAILURE: circuit_record_failure(&endpoint->circuit, now_ms); break;
    case ENDPOINT_DRAINING: endpoint->draining_until_ms = now_ms + ENDPOINT_DRAINING_MS; break;
    default: break;
    }
    pthread_mutex_unlock(&endpoints->lock);
}

void endpoints_replace_leaving(struct endpoints *endpoints, const char *const *addresses, size_t count)
{
    pthread_mutex_lock(&endpoints->lock);
    endpoints_clear_leaving(endpoints);
    for (size_t i = 0; i < count; i++) {
        struct leaving_machine *machine = memory_new(sizeof(*machine));
        machine->address = text_copy(addresses[i]);
        HASH_ADD_KEYPTR(hh, endpoints->leaving, machine->address, strlen(machine->address), machine);
    }
    pthread_mutex_unlock(&endpoints->lock);
}

void endpoints_record_request(struct endpoints *endpoints)
{
    pthread_mutex_lock(&endpoints->lock);
    retry_budget_record_request(&endpoints->budget);
    pthread_mutex_unlock(&endpoints->lock);
}

bool endpoints_take_retry(struct endpoints *endpoints)
{
    pthread_mutex_lock(&endpoints->lock);
    bool taken = retry_budget_take(&endpoints->budget);
    pthread_mutex_unlock(&endpoints->lock);
    return taken;
}

uint64_t endpoints_next_rotation(struct endpoints *endpoints)
{
    return __atomic_fetch_add(&endpoints->rotation, 1, __ATOMIC_RELAXED);
}
