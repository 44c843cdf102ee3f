#include "oracle.h"

#include <pthread.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

enum { ORACLE_PRINTED = 20 /* violations that are printed */ };

/* One request. */
typedef struct oracle_request_t {
    bool once;
    bool not_run;
    int runs;
    struct buffer expected;
    bool checked;
    UT_hash_handle hh;
    char id[];
} oracle_request_t;

static pthread_mutex_t oracle_lock = PTHREAD_MUTEX_INITIALIZER;
static oracle_request_t *oracle_requests;
static int oracle_violations;

/* With the lock held. */
static void oracle_tell(const char *format, va_list arguments)
{
    if (oracle_violations++ < ORACLE_PRINTED) {
        printf("VIOLATED ");
        vprintf(format, arguments);
        printf("\n");
        fflush(stdout);
    }
}

static void oracle_say(const char *format, ...) __attribute__((format(printf, 1, 2)));
static void oracle_say(const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    oracle_tell(format, arguments);
    va_end(arguments);
}

void oracle_violated(const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    pthread_mutex_lock(&oracle_lock);
    oracle_tell(format, arguments);
    pthread_mutex_unlock(&oracle_lock);
    va_end(arguments);
}

static oracle_request_t *oracle_find(const char *id)
{
    oracle_request_t *request = NULL;
    HASH_FIND_STR(oracle_requests, id, request);
    return request;
}

void oracle_expect(const char *id, const oracle_wish_t *wish)
{
    size_t length = strlen(id);
    oracle_request_t *request = memory_new(sizeof(*request) + length + 1);
    memcpy(request->id, id, length);
    request->once = wish->once;
    request->checked = wish->expected.data != NULL;
    buffer_append(&request->expected, wish->expected.data, wish->expected.length);
    pthread_mutex_lock(&oracle_lock);
    HASH_ADD_STR(oracle_requests, id, request);
    pthread_mutex_unlock(&oracle_lock);
}

void oracle_run(int server, const char *id, struct view body)
{
    pthread_mutex_lock(&oracle_lock);
    oracle_request_t *request = oracle_find(id);
    if (request == NULL) {
        oracle_say("mixed: server %d runs %s, which nobody sent", server, id);
    } else {
        request->runs++;
        if (request->once && request->runs > 1) {
            oracle_say("run twice: %s begins at server %d, its run number %d", id, server, request->runs);
        }
        bool same = body.length == request->expected.length &&
                    (body.length == 0 || memcmp(body.data, request->expected.data, body.length) == 0);
        if (request->checked && !same) {
            oracle_say("history: server %d gets %zu bytes for %s, expected %zu", server, body.length, id,
                       request->expected.length);
        }
    }
    pthread_mutex_unlock(&oracle_lock);
}

void oracle_not_run(const char *id)
{
    pthread_mutex_lock(&oracle_lock);
    oracle_request_t *request = oracle_find(id);
    if (request != NULL) {
        request->not_run = true;
    }
    pthread_mutex_unlock(&oracle_lock);
}

int oracle_count(void)
{
    pthread_mutex_lock(&oracle_lock);
    int count = oracle_violations;
    pthread_mutex_unlock(&oracle_lock);
    return count;
}

int oracle_end(void)
{
    pthread_mutex_lock(&oracle_lock);
    for (const oracle_request_t *request = oracle_requests; request != NULL; request = request->hh.next) {
        if (request->not_run && request->runs > 0) {
            oracle_say("not run: %s was refused as not run and began %d times", request->id, request->runs);
        }
    }
    int count = oracle_violations;
    pthread_mutex_unlock(&oracle_lock);
    return count;
}
