/* Errors of a settings file are reported together, each with its line. */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "daemon/settings.h"
#include "suite.h"

static struct settings settings;
static struct findings findings;

static void load_text(const char *text)
{
    char path[] = "/tmp/bankbank-settings-XXXXXX";
    int fd = mkstemp(path);
    ck_assert_int_ge(fd, 0);
    ck_assert_int_eq(write(fd, text, strlen(text)), (ssize_t)strlen(text));
    close(fd);
    settings_load(&settings, path, &findings);
    settings_check(&settings, path, &findings);
    unlink(path);
}

static void teardown(void)
{
    settings_close(&settings);
    findings_close(&findings);
}

static bool has_finding(const char *location_end, const char *text)
{
    for (size_t i = 0; i < findings.count; i++) {
        const char *location = findings.items[i].location;
        size_t length = strlen(location_end);
        bool location_matches =
            strlen(location) >= length && strcmp(location + strlen(location) - length, location_end) == 0;
        if (location_matches && strstr(findings.items[i].text, text) != NULL) {
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

START_TEST(all_errors_are_reported_together)
{
    load_text("node: 0\n"
              "colour: red\n"
              "threads: many\n"
              "gateway_role: perhaps\n"
              "zone: a\n"
              "zone: b\n"
              "caller_address: nowhere\n"
              "replicas:\n"
              "  - node: 2\n");
    ck_assert(has_finding(":1: node", "whole number"));
    ck_assert(has_finding(":2: colour", "unknown key"));
    ck_assert(has_finding(":3: threads", "whole number"));
    ck_assert(has_finding(":4: gateway_role", "true or false"));
    ck_assert(has_finding(":6: zone", "twice"));
    ck_assert(has_finding(":9: address", "required"));
    ck_assert(has_finding("caller_address", "IP:PORT"));
}
END_TEST

START_TEST(broken_yaml_is_reported_with_its_line)
{
    load_text("node: 1\nzone: [unclosed\n");
    ck_assert_uint_ge(findings.count, 1);
    ck_assert_ptr_nonnull(strstr(findings.items[0].text, "not valid YAML"));
}
END_TEST

START_TEST(replica_list_is_read)
{
    load_text("cluster: casa\nnode: 2\nstate_role: true\npeer_address: 127.0.0.1:4002\n"
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
    tcase_add_test(tests, all_errors_are_reported_together);
    tcase_add_test(tests, broken_yaml_is_reported_with_its_line);
    tcase_add_test(tests, replica_list_is_read);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
