/* Reserved tokens of a program's budget are released after an outage of the state replicas or a gateway's stop. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../unit/suite.h"
#include "site.h"

enum {
    BUDGET_TOKENS = 20, /* of each program */
    MAX_TOKENS = 15,    /* reserved by each turn; two turns exceed the budget */
    OUTAGE_S = 12       /* a gateway must retry releasing a reservation for at least this long */
};

static void write_turn_headers(char *out, size_t size, const char *program)
{
    snprintf(out, size, "Bankbank-Program-Id: %s\r\nBankbank-Token-Budget: %d\r\nBankbank-Token-Usage: 10,%d\r\n",
             program, BUDGET_TOKENS, MAX_TOKENS);
}

/* Sends a turn without waiting for the response; returns the socket. */
static int send_turn(int gateway, const char *id, const char *program)
{
    char lines[256];
    char request[512];
    write_turn_headers(lines, sizeof(lines), program);
    int fd = site_connect(site_caller_ip(gateway), site_caller_port);
    snprintf(request, sizeof(request),
             "POST /chat/x HTTP/1.1\r\nHost: app.example\r\nBankbank-Request-Id: %s\r\n"
             "Bankbank-Deadline-Ms: 1000\r\nContent-Length: 1\r\n%s\r\nx",
             id, lines);
    ck_assert_int_eq(send(fd, request, strlen(request), 0), (ssize_t)strlen(request));
    return fd;
}

static int run_turn(int gateway, const char *program)
{
    static int number;
    char id[32];
    char lines[256];
    struct site_response response;
    snprintf(id, sizeof(id), "turn-%d", number++);
    write_turn_headers(lines, sizeof(lines), program);
    site_call_as(gateway, id, "POST", "/chat/x", lines, "x", &response);
    int status = response.status;
    site_response_close(&response);
    return status;
}

/* ---- Outage of the state replicas -------------------------------------------------------------------- */

/* Returns the leader of the complete group, or -1. */
static int find_leader(void)
{
    for (int replica = 0; replica < SITE_REPLICAS; replica++) {
        if (site_metric(replica, "raft_leading") == 1 && site_metric(replica, "raft_members") == SITE_REPLICAS) {
            return replica;
        }
    }
    return -1;
}

static bool group_has_leader(void *context)
{
    (void)context;
    return find_leader() >= 0;
}

/* Uses a new program each time, so that its budget is not exhausted. */
static bool turns_run(void *context)
{
    static int number;
    char program[32];
    (void)context;
    snprintf(program, sizeof(program), "warm-%d", number++);
    return run_turn(0, program) == 200;
}

/* Wait for one more proposal by a leader without a quorum. */
struct proposal_wait {
    int leader;
    double proposals_before;
};

static bool entry_is_proposed(void *context)
{
    const struct proposal_wait *wait = context;
    return site_metric(wait->leader, "raft_proposals_total") > wait->proposals_before;
}

/* Only the leader appends a turn's reservation to its log, and all replicas are killed before it is committed.
 * Returns the leader. */
static int lose_state_with_a_reservation(const char *program)
{
    site_wait(group_has_leader, NULL, "the group of three has a leader");
    site_wait(turns_run, NULL, "a turn is served"); /* the gateway then knows the leader */
    int leader = find_leader();
    struct proposal_wait wait = {.leader = leader, .proposals_before = site_metric(leader, "raft_proposals_total")};
    for (int replica = 0; replica < SITE_REPLICAS; replica++) {
        if (replica != leader) {
            kill(site_process(replica), SIGSTOP);
        }
    }
    int fd = send_turn(0, "lost", program);
    site_wait(entry_is_proposed, &wait, "the leader proposes the reservation");
    for (int replica = 0; replica < SITE_REPLICAS; replica++) {
        site_kill_daemon(replica, SIGKILL);
    }
    ck_assert_int_eq(site_read_status(fd), 503);
    return leader;
}

/* Starts the replica that has the reservation and one other first: only the former can become leader. */
static void restart_state_replicas(int leader)
{
    int last = (leader + 2) % SITE_REPLICAS;
    site_start_daemon(leader);
    site_start_daemon((leader + 1) % SITE_REPLICAS);
    site_wait(group_has_leader, NULL, "two of the three members have elected a leader");
    site_start_daemon(last);
}

static bool budget_allows_turn(void *context)
{
    return run_turn(1, context) == 200;
}

START_TEST(a_reservation_is_released_after_a_long_outage)
{
    int leader = lose_state_with_a_reservation("p-outage");
    sleep(OUTAGE_S);
    restart_state_replicas(leader);
    site_wait(turns_run, NULL, "turns run again");
    site_wait(budget_allows_turn, (void *)(uintptr_t) "p-outage", "the reservation is released");
}
END_TEST

START_TEST(a_stopping_gateway_releases_its_reservation)
{
    int leader = lose_state_with_a_reservation("p-stop");
    kill(site_process(SITE_REPLICAS), SIGTERM);
    sleep(OUTAGE_S / 4);
    restart_state_replicas(leader);
    ck_assert_int_eq(site_kill_daemon(SITE_REPLICAS, SIGTERM), 0);
    site_start_daemon(SITE_REPLICAS);
    site_wait(budget_allows_turn, (void *)(uintptr_t) "p-stop", "the reservation is released");
}
END_TEST

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("reservations");
    TCase *tests = tcase_create("one site");
    tcase_set_timeout(tests, 120);
    tcase_add_unchecked_fixture(tests, site_start, site_stop);
    tcase_add_test(tests, a_reservation_is_released_after_a_long_outage);
    tcase_add_test(tests, a_stopping_gateway_releases_its_reservation);
    suite_add_tcase(suite, tests);
    return suite_run_without_fork(suite);
}
