/* Guards against a request that runs on more servers than its route allows, after a server refused it or while the
 * gateway was suspended. */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "../unit/suite.h"
#include "base/clock.h"
#include "net/upstream.h"
#include "site.h"
#include "site_internal.h"

enum {
    REQUESTS = 4,
    REFUSING_US = 150 * 1000,
    SUSPENDED_US = 70 * 1000,
    RUNNING_US = 5 * 1000, /* between suspensions */
    SUSPENSIONS = 20
};

struct request {
    char id[32];
    bool ran_on[SITE_SERVERS];
    int runs;
    bool complete;
    int status;
    pthread_t thread;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct request requests[REQUESTS];
static int last_id;
static bool refuse_after_run; /* a server refuses further requests once it has run one */

static void record_run(const site_run_t *run)
{
    pthread_mutex_lock(&lock);
    for (int i = 0; i < REQUESTS; i++) {
        if (strcmp(requests[i].id, run->id) == 0) {
            requests[i].ran_on[run->server] = true;
            requests[i].runs++;
        }
    }
    bool refuse = refuse_after_run;
    pthread_mutex_unlock(&lock);
    if (refuse) {
        site_set_mode(run->server, SITE_REFUSE);
    }
}

static int count_servers(const struct request *request)
{
    int servers = 0;
    for (int i = 0; i < SITE_SERVERS; i++) {
        servers += request->ran_on[i] ? 1 : 0;
    }
    return servers;
}

/* Requests a stream on a route with max-attempts 1. */
static void *run_request(void *argument)
{
    struct request *request = argument;
    struct site_response response;
    site_call_as(0, request->id, "POST", "/open/chat/x", "Bankbank-Deadline-Ms: 2900\r\n", "prompt", &response);
    request->complete = response.complete;
    request->status = response.status;
    site_response_close(&response);
    return NULL;
}

static bool all_run(void *context)
{
    int count = *(int *)context;
    int running = 0;
    pthread_mutex_lock(&lock);
    for (int i = 0; i < count; i++) {
        running += requests[i].runs > 0 ? 1 : 0;
    }
    pthread_mutex_unlock(&lock);
    return running == count;
}

/* Waits until each of the requests runs. */
static void start_requests(int count)
{
    pthread_mutex_lock(&lock);
    memset(requests, 0, sizeof(requests));
    for (int i = 0; i < count; i++) {
        snprintf(requests[i].id, sizeof(requests[i].id), "a-%d", ++last_id);
    }
    pthread_mutex_unlock(&lock);
    for (int i = 0; i < count; i++) {
        pthread_create(&requests[i].thread, NULL, run_request, &requests[i]);
    }
    site_wait(all_run, &count, "each request runs");
}

/* Fails if a request ran on two servers; returns the number of requests without a complete response. */
static int expect_one_server_each(int count)
{
    int on_several = 0;
    int incomplete = 0;
    for (int i = 0; i < count; i++) {
        pthread_join(requests[i].thread, NULL);
        on_several += count_servers(&requests[i]) > 1 ? 1 : 0;
        incomplete += requests[i].complete && requests[i].status == 200 ? 0 : 1;
    }
    ck_assert_msg(on_several == 0, "%d of %d requests ran on more servers than the route allows", on_several, count);
    return incomplete;
}

static void setup(void)
{
    refuse_after_run = false;
    site_set_mode(-1, SITE_NORMAL);
    site_echo_ids(record_run);
}

/* A server closes the connection within the stream and refuses the resumption: the gateway must retry that server. */
START_TEST(a_stream_waits_for_its_overloaded_server)
{
    site_set_mode(-1, SITE_CUT_MIDWAY);
    refuse_after_run = true;
    start_requests(1);
    clock_sleep_us(REFUSING_US);
    refuse_after_run = false;
    site_set_mode(-1, SITE_NORMAL);
    ck_assert_int_eq(expect_one_server_each(1), 0);
}
END_TEST

/* A gateway that was suspended reads responses late that arrived in time; it must not treat the servers as
 * unreachable. */
START_TEST(a_suspended_gateway_keeps_its_servers)
{
    pid_t gateway = site_process(SITE_REPLICAS);
    site_set_mode(-1, SITE_PAUSED);
    start_requests(REQUESTS);
    for (int i = 0; i < SUSPENSIONS; i++) {
        kill(gateway, SIGSTOP);
        clock_sleep_us(SUSPENDED_US);
        kill(gateway, SIGCONT);
        clock_sleep_us(RUNNING_US);
    }
    expect_one_server_each(REQUESTS);
}
END_TEST

static void record_probe(void *context, const char *address, bool succeeded)
{
    (void)address;
    *(int *)context = succeeded ? 1 : 0;
}

/* A connection is accepted while the probing process is suspended for longer than the probe timeout. */
START_TEST(a_probe_accepted_while_suspended_succeeds)
{
    uv_loop_t loop;
    struct upstream_pool pool;
    struct address address;
    char text[32];
    int port = 0;
    int succeeded = -1;
    int listener = site_listen("127.0.0.1", &port);
    snprintf(text, sizeof(text), "127.0.0.1:%d", port);
    ck_assert(address_parse(text, &address));
    uv_loop_init(&loop);
    upstream_init(&pool, &loop);
    pool.probed = record_probe;
    pool.probed_context = &succeeded;
    upstream_probe(&pool, &address);
    clock_sleep_us(2 * UPSTREAM_PROBE_MS * 1000);
    while (succeeded < 0) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    ck_assert_int_eq(succeeded, 1);
    upstream_close(&pool);
    uv_run(&loop, UV_RUN_DEFAULT);
    ck_assert_int_eq(uv_loop_close(&loop), 0);
    close(listener);
}
END_TEST

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("attempts");
    TCase *tests = tcase_create("one site");
    tcase_set_timeout(tests, 60);
    tcase_add_checked_fixture(tests, setup, NULL);
    tcase_add_unchecked_fixture(tests, site_start, site_stop);
    tcase_add_test(tests, a_stream_waits_for_its_overloaded_server);
    tcase_add_test(tests, a_suspended_gateway_keeps_its_servers);
    suite_add_tcase(suite, tests);
    TCase *probes = tcase_create("probes");
    tcase_add_test(probes, a_probe_accepted_while_suspended_succeeds);
    suite_add_tcase(suite, probes);
    return suite_run_without_fork(suite); /* the simulated servers are threads of this process */
}
