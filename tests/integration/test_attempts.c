/* On how many servers one request runs: real daemons before servers that refuse, fall silent or are slow to take
 * connections, and gateways that get little time to run. All servers live on through every test. */
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
    REQUESTS = 4,           /* of one test */
    FULL_US = 150 * 1000,   /* time that a server stays full */
    STOPPED_US = 70 * 1000, /* a gateway's turn without the processor */
    RUNNING_US = 5 * 1000,  /* and with it */
    TURNS = 20
};

/* A request of the test under way, and the servers that ran it. */
struct request {
    char id[32];
    bool ran_on[SITE_SERVERS];
    int runs;
    bool whole;
    int status;
    pthread_t thread;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct request requests[REQUESTS];
static int requests_made;
static bool refuse_after_run; /* the server that ran a request takes no further one */

static void note_run(const site_run_t *run)
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

static int servers_of(const struct request *request)
{
    int servers = 0;
    for (int i = 0; i < SITE_SERVERS; i++) {
        servers += request->ran_on[i] ? 1 : 0;
    }
    return servers;
}

/* The route of the stream allows one server. */
static void *make_request(void *argument)
{
    struct request *request = argument;
    struct site_answer answer;
    site_call_as(0, request->id, "POST", "/open/chat/x", "Bankbank-Deadline-Ms: 2900\r\n", "prompt", &answer);
    request->whole = answer.whole;
    request->status = answer.status;
    site_answer_close(&answer);
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

/* Starts requests, and waits until each one runs. */
static void begin_requests(int count)
{
    pthread_mutex_lock(&lock);
    memset(requests, 0, sizeof(requests));
    for (int i = 0; i < count; i++) {
        snprintf(requests[i].id, sizeof(requests[i].id), "a-%d", ++requests_made);
    }
    pthread_mutex_unlock(&lock);
    for (int i = 0; i < count; i++) {
        pthread_create(&requests[i].thread, NULL, make_request, &requests[i]);
    }
    site_wait(all_run, &count, "each request runs");
}

/* None ran on more servers than the route allows; tells how many have no whole answer. */
static int expect_one_server_each(int count)
{
    int spread = 0;
    int broken = 0;
    for (int i = 0; i < count; i++) {
        pthread_join(requests[i].thread, NULL);
        spread += servers_of(&requests[i]) > 1 ? 1 : 0;
        broken += requests[i].whole && requests[i].status == 200 ? 0 : 1;
    }
    ck_assert_msg(spread == 0, "%d of %d requests ran on more servers than their route allows", spread, count);
    return broken;
}

/* The stand-in lives in this process, so that no test may run in one of its own. */
static void setup(void)
{
    refuse_after_run = false;
    site_set_mode(-1, SITE_NORMAL);
    site_echo(note_run);
}

/* A server breaks off, and is full when the stream comes back to it: it is waited for. */
START_TEST(a_stream_waits_for_its_server_that_is_full)
{
    site_set_mode(-1, SITE_CUT_MIDWAY);
    refuse_after_run = true;
    begin_requests(1);
    clock_sleep_us(FULL_US);
    refuse_after_run = false;
    site_set_mode(-1, SITE_NORMAL);
    ck_assert_int_eq(expect_one_server_each(1), 0);
}
END_TEST

/* A gateway that gets little time sees late what the servers answered at once. */
START_TEST(a_gateway_that_is_held_up_loses_no_server)
{
    pid_t gateway = site_process(SITE_STATES);
    site_set_mode(-1, SITE_PAUSED);
    begin_requests(REQUESTS);
    for (int i = 0; i < TURNS; i++) {
        kill(gateway, SIGSTOP);
        clock_sleep_us(STOPPED_US);
        kill(gateway, SIGCONT);
        clock_sleep_us(RUNNING_US);
    }
    expect_one_server_each(REQUESTS);
}
END_TEST

static void note_probed(void *context, const char *address, bool answered)
{
    (void)address;
    *(int *)context = answered ? 1 : 0;
}

/* The kernel takes a connection while the process that dials waits for the processor, longer than a dial may last. */
START_TEST(a_dial_that_was_answered_meanwhile_is_answered)
{
    uv_loop_t loop;
    struct upstream_pool pool;
    struct address address;
    char text[32];
    int port = 0;
    int answered = -1;
    int listener = site_listen("127.0.0.1", &port);
    snprintf(text, sizeof(text), "127.0.0.1:%d", port);
    ck_assert(address_parse(text, &address));
    uv_loop_init(&loop);
    upstream_init(&pool, &loop);
    pool.probed = note_probed;
    pool.probed_context = &answered;
    upstream_probe(&pool, &address);
    clock_sleep_us(2 * UPSTREAM_PROBE_MS * 1000);
    while (answered < 0) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    ck_assert_int_eq(answered, 1);
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
    tcase_add_test(tests, a_stream_waits_for_its_server_that_is_full);
    tcase_add_test(tests, a_gateway_that_is_held_up_loses_no_server);
    suite_add_tcase(suite, tests);
    TCase *dials = tcase_create("dials");
    tcase_add_test(dials, a_dial_that_was_answered_meanwhile_is_answered);
    suite_add_tcase(suite, dials);
    return suite_run_in_process(suite);
}
