#include "core/retry.h"

enum { RETRY_HUNDREDTHS = 100 /* hundredths per retry */ };

static void retry_budget_start(struct retry_budget *budget)
{
    if (!budget->started) {
        budget->started = true;
        budget->hundredths = RETRY_BUDGET_MINIMUM * RETRY_HUNDREDTHS;
    }
}

void retry_budget_record_request(struct retry_budget *budget)
{
    retry_budget_start(budget);
    budget->hundredths += RETRY_BUDGET_PERCENT;
    if (budget->hundredths > RETRY_BUDGET_MAXIMUM * RETRY_HUNDREDTHS) {
        budget->hundredths = RETRY_BUDGET_MAXIMUM * RETRY_HUNDREDTHS;
    }
}

bool retry_budget_take(struct retry_budget *budget)
{
    retry_budget_start(budget);
    if (budget->hundredths < RETRY_HUNDREDTHS) {
        return false;
    }
    budget->hundredths -= RETRY_HUNDREDTHS;
    return true;
}

uint32_t retry_backoff_ms(uint32_t attempt, uint64_t random)
{
    uint32_t limit = RETRY_BACKOFF_BASE_MS;
    for (uint32_t i = 1; i < attempt && limit < RETRY_BACKOFF_MAX_MS; i++) {
        limit *= 2;
    }
    limit = limit > RETRY_BACKOFF_MAX_MS ? RETRY_BACKOFF_MAX_MS : limit;
    return limit / 2 + (uint32_t)(random % (limit / 2 + 1));
}

bool circuit_allows(const struct circuit *circuit, uint64_t now_ms)
{
    return now_ms >= circuit->open_until_ms;
}

void circuit_record_success(struct circuit *circuit)
{
    circuit->failures = 0;
    circuit->trips = 0;
    circuit->open_until_ms = 0;
}

void circuit_record_failure(struct circuit *circuit, uint64_t now_ms)
{
    circuit->failures++;
    bool opened_before = circuit->trips > 0;
    if (circuit->failures >= CIRCUIT_FAILURES || opened_before) {
        circuit_open(circuit, now_ms);
    }
}

void circuit_open(struct circuit *circuit, uint64_t now_ms)
{
    uint64_t open_ms = CIRCUIT_OPEN_MS;
    for (uint32_t i = 0; i < circuit->trips && open_ms < CIRCUIT_OPEN_MAX_MS; i++) {
        open_ms *= 2;
    }
    open_ms = open_ms > CIRCUIT_OPEN_MAX_MS ? CIRCUIT_OPEN_MAX_MS : open_ms;
    circuit->trips++;
    circuit->failures = 0;
    circuit->open_until_ms = now_ms + open_ms;
}
