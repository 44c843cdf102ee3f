/*
 * A gateway whose process stands still for a moment, with real daemons.
 *
 * What happened: turns that lay unread meanwhile were refused 503, "state replicas
 * unreachable", and their connections closed, though the replicas had spoken all the
 * time. A gateway that hears no replica for 0.7 s counts as cut off; after a standstill
 * its timers and its callers' requests come before what the replicas have sent. What
 * showed it: requests with that outcome in the millisecond of `stalled`, and none after.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "../unit/suite.h"
#include "base/clock.h"
#include "site.h"
#include "site_internal.h"

enum { CALLERS = 12, ROUNDS = 5, STILL_US = 1200 * 1000, GATEWAY = SITE_STATES };

static int open_caller(void)
{
    static const char request[] = "GET /safe/x HTTP/1.1\r\nHost: app.example\r\nBankbank-Request-Id: warm\r\n\r\n";
    struct http_reader reader;
    struct buffer body = {0};
    int file = site_connect(site_caller_ip(0), site_caller_port);
    ck_assert_int_ge(file, 0);
    site_send(file, request, sizeof(request) - 1);
    ck_assert(site_read(file, &reader, HTTP_RESPONSE, &body));
    ck_assert_int_eq(reader.status, 200);
    http_reader_close(&reader);
    buffer_close(&body);
    return file;
}

static void send_turn(int file, int round, int caller)
{
    struct buffer request = {0};
    buffer_printf(&request,
                  "POST /chat/x HTTP/1.1\r\nHost: app.example\r\nBankbank-Request-Id: t%d-%d\r\n"
                  "Bankbank-Program-Id: p%d-%d\r\nBankbank-Token-Budget: 1000\r\nBankbank-Token-Usage: 10,15\r\n"
                  "Bankbank-Deadline-Ms: 5000\r\nContent-Length: 3\r\n\r\nin;",
                  round, caller, round, caller);
    site_send(file, buffer_text(&request), request.length);
    buffer_close(&request);
}

START_TEST(turns_that_lay_unread_are_not_refused_as_cut_off)
{
    int refused = 0;
    for (int round = 0; round < ROUNDS; round++) {
        int callers[CALLERS];
        for (int i = 0; i < CALLERS; i++) {
            callers[i] = open_caller();
        }
        kill(site_process(GATEWAY), SIGSTOP);
        for (int i = 0; i < CALLERS; i++) {
            send_turn(callers[i], round, i);
        }
        clock_sleep_us(STILL_US);
        kill(site_process(GATEWAY), SIGCONT);
        for (int i = 0; i < CALLERS; i++) {
            refused += site_read_status(callers[i]) == 200 ? 0 : 1;
        }
    }
    ck_assert_msg(refused == 0, "%d of %d turns were refused", refused, ROUNDS * CALLERS);
}
END_TEST

int main(int argc, char **argv)
{
    site_build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("standstill");
    TCase *tests = tcase_create("one site");
    tcase_set_timeout(tests, 60);
    tcase_add_checked_fixture(tests, site_start, site_stop);
    tcase_add_test(tests, turns_that_lay_unread_are_not_refused_as_cut_off);
    suite_add_tcase(suite, tests);
    return suite_run_in_process(suite);
}
