/* Settings: every fault is found in one pass, with its line. */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "daemon/settings.h"
#include "suite.h"

static struct settings settings;
static struct findings findings;

static void load(const char *text)
{
    char path[] = "/tmp/bankbank-settings-XXXXXX";
    int file = mkstemp(path);
    ck_assert_int_ge(file, 0);
    ck_assert_int_eq(write(file, text, strlen(text)), (ssize_t)strlen(text));
    close(file);
    settings_load(&settings, path, &findings);
    settings_check(&settings, path, &findings);
    unlink(path);
}

static void teardown(void)
{
    settings_close(&settings);
    findings_close(&findings);
}

static bool found(const char *place_end, const char *text)
{
    for (size_t i = 0; i < findings.count; i++) {
        const char *place = findings.items[i].place;
        size_t length = strlen(place_end);
        bool at = strlen(place) >= length && strcmp(place + strlen(place) - length, place_end) == 0;
        if (at && strstr(findings.items[i].text, text) != NULL) {
            return true;
        }
    }
    return false;
}

START_TEST(defaults_are_valid)
{
    settings_load(&settings, NULL, &findings);
    settings_check(&settings, NULL, &findings);
    ck_assert_uint_eq(findings.count, 0);
}
END_TEST

START_TEST(all_faults_are_reported_together)
{
    load("node: 0\n"
         "colour: red\n"
         "threads: many\n"
         "gateway_role: perhaps\n"
         "zone: a\n"
         "zone: b\n"
         "caller_address: nowhere\n"
         "replicas:\n"
         "  - node: 2\n");
    ck_assert(found(":1: node", "whole number"));
    ck_assert(found(":2: colour", "unknown key"));
    ck_assert(found(":3: threads", "whole number"));
    ck_assert(found(":4: gateway_role", "true or false"));
    ck_assert(found(":6: zone", "twice"));
    ck_assert(found(":9: address", "required"));
    ck_assert(found("caller_address", "IP:PORT"));
}
END_TEST

START_TEST(broken_yaml_is_reported_with_its_line)
{
    load("node: 1\nzone: [unclosed\n");
    ck_assert_uint_ge(findings.count, 1);
    ck_assert_ptr_nonnull(strstr(findings.items[0].text, "not valid YAML"));
}
END_TEST

START_TEST(a_fleet_is_read)
{
    load("cluster: casa\nnode: 2\nstate_role: true\npeer_address: 127.0.0.1:4002\n"
         "replicas:\n  - {node: 1, address: 127.0.0.1:4001}\n  - {node: 2, address: 127.0.0.1:4002}\n"
         "  - {node: 3, address: 127.0.0.1:4003}\n");
    ck_assert_uint_eq(findings.count, 0);
    struct raft_members members;
    settings_members(&settings, &members);
    ck_assert_uint_eq(members.count, 3);
    ck_assert_str_eq(settings_replica_address(&settings, 3), "127.0.0.1:4003");
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("settings");
    TCase *tests = tcase_create("checks");
    tcase_add_checked_fixture(tests, NULL, teardown);
    tcase_add_test(tests, defaults_are_valid);
    tcase_add_test(tests, all_faults_are_reported_together);
    tcase_add_test(tests, broken_yaml_is_reported_with_its_line);
    tcase_add_test(tests, a_fleet_is_read);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
