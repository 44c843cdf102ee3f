#include "resumed_streams.h"

#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "random.h"

enum {
    ID_BYTES = 48,
    VERSION_BYTES = 16,
    HEADERS_BYTES = 128,
    MAX_REQUESTS = 5,     /* per stream, the first one included */
    SHORT_ONE_IN = 2,     /* on average one request in this many is interrupted by its caller's timeout */
    SHORT_MIN_MS = 110,   /* of three paced events, one or two arrive in this time */
    SHORT_EXTRA_MS = 80,  /* maximum random addition */
    RETRY_EXTRA_MS = 800, /* maximum pause before a stream is resumed: its gateway may have been killed */
    UNNAMED_ONE_IN = 3,   /* resumptions that do not name the stream */
    LONG_MIN_MS = 400,
    LONG_EXTRA_MS = 1600
};

typedef struct stream_t {
    char first_id[ID_BYTES];     /* of the request that brought the first event; "": none did */
    char version[VERSION_BYTES]; /* of the first event */
    int events;
} stream_t;

static atomic_ullong resumed;
static atomic_ullong continued;

/* Reads "id: NUMBER", "data: ID-NUMBER@VERSION" and an empty line; returns the end of the event, NULL: it has another
 * form. */
static const char *read_event(const char *text, const char *id, int number, char version[VERSION_BYTES])
{
    char expected[ID_BYTES * 2];
    int length = snprintf(expected, sizeof(expected), "id: %d\ndata: %s-%d@", number, id, number);
    const char *end = strstr(text, "\n\n");
    if (end == NULL || strncmp(text, expected, (size_t)length) != 0 || end - text - length >= VERSION_BYTES) {
        return NULL;
    }
    snprintf(version, VERSION_BYTES, "%.*s", (int)(end - text - length), text + length);
    return end + 2;
}

static void check_version(stream_t *stream, const char *id, const char *version)
{
    if (stream->events == 0) {
        snprintf(stream->first_id, sizeof(stream->first_id), "%s", id);
        snprintf(stream->version, sizeof(stream->version), "%s", version);
    } else if (strcmp(stream->version, version) != 0) {
        oracle_report_violation("versions: %s began at %s, event %d came from %s by %s", stream->first_id,
                                stream->version, stream->events + 1, version, id);
    }
}

/* Adds the events of a response, which may end within one. */
static void add_events(stream_t *stream, const char *id, struct site_response *response)
{
    const char *text = buffer_text(&response->body);
    while (strstr(text, "\n\n") != NULL) {
        char version[VERSION_BYTES];
        const char *next = read_event(text, id, stream->events + 1, version);
        if (next == NULL) {
            oracle_report_violation("mixed: %s received '%.60s' as event %d", id, text, stream->events + 1);
            return;
        }
        check_version(stream, id, version);
        stream->events++;
        text = next;
    }
    if (response->complete && stream->events != CALLS_STREAM_EVENTS) {
        oracle_report_violation("mixed: %s is complete after event %d", id, stream->events);
    }
}

static uint32_t pick_timeout_ms(caller_t *caller)
{
    bool is_short = random_below(&caller->seed, SHORT_ONE_IN) == 0;
    return is_short ? SHORT_MIN_MS + random_below(&caller->seed, SHORT_EXTRA_MS)
                    : LONG_MIN_MS + random_below(&caller->seed, LONG_EXTRA_MS);
}

/* Returns whether the stream may be resumed. */
static bool send_request(caller_t *caller, stream_t *stream)
{
    char id[ID_BYTES];
    char headers[HEADERS_BYTES] = SITE_PACED_HEADER ": 1\r\n";
    struct site_response response;
    bool resumes = stream->events > 0;
    int events_before = stream->events;
    calls_next_id(id, sizeof(id), caller, "e");
    if (resumes) {
        int length =
            snprintf(headers, sizeof(headers), SITE_PACED_HEADER ": 1\r\nLast-Event-Id: %d\r\n", stream->events);
        if (random_below(&caller->seed, UNNAMED_ONE_IN) > 0) {
            snprintf(headers + length, sizeof(headers) - (size_t)length, "Resumes: %s\r\n", stream->first_id);
        }
    }
    call_t call = {.id = id, .path = "/open/chat/x", .headers = headers, .body = id, .expectation = {.max_servers = 1}};
    call.gateway = calls_pick_gateway(caller);
    call.timeout_ms = pick_timeout_ms(caller);
    calls_send(caller, &call, &response);
    bool complete = response.status == 200 && response.complete;
    if (response.status == 200) {
        add_events(stream, id, &response);
    }
    site_response_close(&response);
    bool brought = stream->events > events_before;
    atomic_fetch_add(&resumed, resumes ? 1 : 0);
    atomic_fetch_add(&continued, resumes && brought ? 1 : 0);
    return !complete && stream->events > 0 && stream->events < CALLS_STREAM_EVENTS;
}

void resumed_streams_run(caller_t *caller)
{
    stream_t stream = {0};
    bool may_resume = send_request(caller, &stream);
    for (int i = 1; i < MAX_REQUESTS && may_resume; i++) {
        clock_sleep_us(random_below(&caller->seed, RETRY_EXTRA_MS) * 1000);
        may_resume = send_request(caller, &stream);
    }
}

resumed_streams_counters_t resumed_streams_counters(void)
{
    return (resumed_streams_counters_t){.resumed = atomic_load(&resumed), .continued = atomic_load(&continued)};
}
