#include "oracle.h"

#include <pthread.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <xxhash.h>

enum { ORACLE_PRINTED = 20 /* violations that are printed */ };

/* An instance of a server. */
typedef struct oracle_server_t {
    int server;
    int instance;
} oracle_server_t;

/* One request. */
typedef struct oracle_request_t {
    oracle_wish_t wish; /* its body is not kept: */
    size_t length;
    uint64_t hash;
    bool not_run;
    int runs;
    oracle_server_t servers[ORACLE_SERVERS];
    int server_count;
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

static uint64_t oracle_hash(struct view body)
{
    return body.length == 0 ? 0 : XXH64(body.data, body.length, 0);
}

void oracle_expect(const char *id, const oracle_wish_t *wish)
{
    size_t length = strlen(id);
    oracle_request_t *request = memory_new(sizeof(*request) + length + 1);
    memcpy(request->id, id, length);
    request->wish = *wish;
    request->length = wish->expected.length;
    request->hash = oracle_hash(wish->expected);
    pthread_mutex_lock(&oracle_lock);
    HASH_ADD_STR(oracle_requests, id, request);
    pthread_mutex_unlock(&oracle_lock);
}

static void oracle_check_body(const oracle_request_t *request, const site_run_t *run)
{
    bool same = run->body.length == request->length && oracle_hash(run->body) == request->hash;
    if (request->wish.expected.data != NULL && !same) {
        oracle_say("history: server %d gets %zu bytes for %s, expected %zu", run->server, run->body.length, run->id,
                   request->length);
    }
}

/* Instances that are still there; the same one may begin several times. */
static int oracle_count_servers(const oracle_request_t *request)
{
    int servers = 0;
    for (int i = 0; i < request->server_count; i++) {
        servers += request->servers[i].instance == site_instance(request->servers[i].server) ? 1 : 0;
    }
    return servers;
}

static void oracle_check_servers(oracle_request_t *request, const site_run_t *run)
{
    bool known = request->server_count == ORACLE_SERVERS;
    for (int i = 0; i < request->server_count; i++) {
        known = known || (request->servers[i].server == run->server && request->servers[i].instance == run->instance);
    }
    if (known) {
        return;
    }
    request->servers[request->server_count++] = (oracle_server_t){run->server, run->instance};
    if (request->wish.servers > 0 && oracle_count_servers(request) > request->wish.servers) {
        oracle_say("servers: %s begins at server %d, its number %d of %d", run->id, run->server,
                   oracle_count_servers(request), request->wish.servers);
    }
}

static void oracle_check_deadline(const oracle_request_t *request, const site_run_t *run)
{
    uint64_t end_ms = request->wish.end_ms;
    /* On its way a request is read by a proxy and by a server of this process: what it lay there is no gateway's. */
    uint64_t slack_ms = ORACLE_LATE_MS + ORACLE_READERS * site_late_ms();
    if (end_ms != 0 && run->left_ms < 0) {
        oracle_say("deadline: server %d is told no time for %s", run->server, run->id);
    } else if (end_ms != 0 && run->at_ms + (uint64_t)run->left_ms > end_ms + slack_ms) {
        oracle_say("deadline: server %d is given %lld ms for %s, %lld ms more than the caller has left", run->server,
                   (long long)run->left_ms, run->id,
                   (long long)(run->at_ms + (uint64_t)run->left_ms) - (long long)end_ms);
    }
}

void oracle_run(const site_run_t *run)
{
    pthread_mutex_lock(&oracle_lock);
    oracle_request_t *request = oracle_find(run->id);
    if (request == NULL) {
        oracle_say("mixed: server %d runs %s, which nobody sent", run->server, run->id);
    } else {
        request->runs++;
        if (request->wish.once && request->runs > 1) {
            oracle_say("run twice: %s begins at server %d, its run number %d", run->id, run->server, request->runs);
        }
        oracle_check_body(request, run);
        oracle_check_servers(request, run);
        oracle_check_deadline(request, run);
    }
    pthread_mutex_unlock(&oracle_lock);
}

int oracle_runs(const char *id)
{
    pthread_mutex_lock(&oracle_lock);
    const oracle_request_t *request = oracle_find(id);
    int runs = request == NULL ? 0 : request->runs;
    pthread_mutex_unlock(&oracle_lock);
    return runs;
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
