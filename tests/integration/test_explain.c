/* bankbankctl explain: outcome of a request, and its cause, from the logs of daemons. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../unit/suite.h"
#include "base/buffer.h"

enum { MAX_OUTPUT_BYTES = 8192 };

static const char *build = "build";
static char log_path[64];

static const char log_lines[] =
    "not a log line\n"
    "{\"ms\":9000,\"node\":\"edge-1\",\"event\":\"state_lost\",\"leader\":7}\n"
    "{\"ms\":9900,\"node\":\"edge-2\",\"event\":\"state_lost\",\"leader\":7}\n"
    "{\"ms\":10200,\"node\":\"edge-1\",\"event\":\"request\",\"id\":\"late\",\"outcome\":\"budget not learnt\","
    "\"status\":503,\"total_ms\":200}\n"
    "{\"ms\":10050,\"node\":\"edge-1\",\"event\":\"attempt_unknown\",\"id\":\"cut\",\"reason\":\"the server broke "
    "off\"}\n"
    "{\"ms\":10060,\"node\":\"edge-1\",\"event\":\"request\",\"id\":\"cut\",\"outcome\":\"the server broke off\","
    "\"status\":502,\"total_ms\":60}\n"
    "{\"ms\":10070,\"node\":\"edge-1\",\"event\":\"request\",\"id\":\"fine\",\"outcome\":\"completed\","
    "\"status\":200,\"total_ms\":60}\n";

static void setup(void)
{
    snprintf(log_path, sizeof(log_path), "/tmp/bankbank-explain-%d", (int)getpid());
    FILE *file = fopen(log_path, "w");
    ck_assert_ptr_nonnull(file);
    fputs(log_lines, file);
    fclose(file);
}

static void teardown(void)
{
    unlink(log_path);
}

static int explain(const char *id, char *output)
{
    char command[512];
    snprintf(command, sizeof(command), "%s/bankbankctl explain %s %s 2>&1", build, id, log_path);
    FILE *pipe = popen(command, "r");
    size_t got = fread(output, 1, MAX_OUTPUT_BYTES - 1, pipe);
    output[got] = '\0';
    return pclose(pipe);
}

START_TEST(a_refusal_shows_preceding_context_events)
{
    char output[MAX_OUTPUT_BYTES];
    ck_assert_int_eq(explain("late", output), 0);
    ck_assert_ptr_nonnull(strstr(output, "state_lost"));
    ck_assert_ptr_null(strstr(output, "edge-2"));
    ck_assert_ptr_nonnull(strstr(output, "decided by request at edge-1: budget not learnt"));
}
END_TEST

START_TEST(the_first_deciding_event_is_reported)
{
    char output[MAX_OUTPUT_BYTES];
    ck_assert_int_eq(explain("cut", output), 0);
    ck_assert_ptr_nonnull(strstr(output, "decided by attempt_unknown at edge-1: the server broke off"));
    ck_assert_int_eq(explain("fine", output), 0);
    ck_assert_ptr_nonnull(strstr(output, "the request completed"));
}
END_TEST

START_TEST(an_unknown_id_is_an_error)
{
    char output[MAX_OUTPUT_BYTES];
    ck_assert_int_ne(explain("none", output), 0);
    ck_assert_ptr_nonnull(strstr(output, "no log line has the id none"));
}
END_TEST

int main(int argc, char **argv)
{
    build = argc > 1 ? argv[1] : "build";
    Suite *suite = suite_create("explain");
    TCase *tests = tcase_create("logs");
    tcase_add_checked_fixture(tests, setup, teardown);
    tcase_add_test(tests, a_refusal_shows_preceding_context_events);
    tcase_add_test(tests, the_first_deciding_event_is_reported);
    tcase_add_test(tests, an_unknown_id_is_an_error);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
