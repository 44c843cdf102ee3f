#include "operators.h"

#include <stdlib.h>
#include <string.h>

#include "../integration/site.h"
#include "base/clock.h"
#include "daemons.h"
#include "oracle.h"
#include "random.h"
#include "routes.h"

enum {
    OPERATORS_PAUSE_US = 250000, /* most time between two things */
    OPERATORS_SERIES = 4         /* configurations of a series */
};

static const char OPERATORS_PUT[] = "/api/config/replace";

static unsigned long long version_in(struct buffer *reply)
{
    const char *at = strstr(buffer_text(reply), "\"version\":");
    return at == NULL ? 0 : strtoull(at + strlen("\"version\":"), NULL, 10);
}

static int any_state(uint64_t *seed)
{
    return (int)random_below(seed, (uint32_t)daemons_states());
}

static int send_configuration(uint64_t *seed, uint64_t version)
{
    char *text = routes_configuration(version);
    int status = site_order(any_state(seed), "POST", OPERATORS_PUT, text, NULL);
    free(text);
    return status;
}

/* An operator whose answer was lost sends an older version again: it is acknowledged and changes nothing. */
static void resend_configuration(uint64_t *seed)
{
    uint64_t newest = routes_newest();
    send_configuration(seed, newest > 1 ? newest - 1 : newest);
}

static void put_configuration(uint64_t *seed)
{
    uint64_t version = routes_next();
    if (send_configuration(seed, version) == 200) {
        routes_acknowledged(version);
    }
}

static void put_series(uint64_t *seed)
{
    for (int i = 0; i < OPERATORS_SERIES; i++) {
        put_configuration(seed);
    }
}

static void read_configuration(uint64_t *seed)
{
    struct buffer reply = {0};
    uint64_t least = routes_newest();
    int state = any_state(seed);
    int status = site_order(state, "GET", "/api/config/get", NULL, &reply);
    if (status == 200 && version_in(&reply) < least) {
        oracle_violated("reverted: replica %d shows version %llu, %llu was acknowledged before", state,
                        version_in(&reply), (unsigned long long)least);
    }
    buffer_close(&reply);
}

void operators_act(uint64_t *seed)
{
    switch (random_below(seed, 12)) {
    case 0: put_series(seed); break;
    case 1:
    case 2:
    case 3: put_configuration(seed); break;
    case 4:
    case 5: resend_configuration(seed); break;
    default: read_configuration(seed); break;
    }
    clock_sleep_us(random_below(seed, OPERATORS_PAUSE_US));
}
