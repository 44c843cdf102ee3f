/* Settings of a site daemon from the file and the environment. */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "proxy/node_settings.h"
#include "suite.h"

static struct node_settings settings;
static struct findings findings;

static const char FILE_TEXT[] = "name: \"m1\"\nip: \"10.0.0.1\"\npeer_port: 7380\ndata: \"/d\"\n"
                                "seeds:\n  - address: \"10.0.0.2:8144\"\n";

static void load(const char *environment)
{
    char path[] = "/tmp/bankbank-settings-XXXXXX";
    int fd = mkstemp(path);
    ck_assert_int_ge(fd, 0);
    ck_assert_int_eq(write(fd, FILE_TEXT, strlen(FILE_TEXT)), (ssize_t)strlen(FILE_TEXT));
    close(fd);
    unsetenv(NODE_SETTINGS_ENV);
    if (environment != NULL) {
        setenv(NODE_SETTINGS_ENV, environment, 1);
    }
    node_settings_load(&settings, path, &findings);
    unlink(path);
}

static void teardown(void)
{
    node_settings_close(&settings);
    findings_close(&findings);
}

START_TEST(the_file_alone_is_valid)
{
    load(NULL);
    ck_assert_uint_eq(findings.count, 0);
    ck_assert_uint_eq(settings.zones.count, 0);
}
END_TEST

START_TEST(the_environment_adds_settings)
{
    load("start_overshoot: 1.5\nstart_slack: 5\nzones:\n  - name: \"a\"\n    region: \"north\"\n  - name: \"b\"\n");
    ck_assert_uint_eq(findings.count, 0);
    ck_assert_uint_eq(settings.start_overshoot, 1500);
    ck_assert_uint_eq(settings.start_slack, 5);
    ck_assert_uint_eq(settings.zones.count, 2);
    ck_assert_str_eq(zone_region(settings.zones.items, 2, "a"), "north");
    ck_assert_ptr_null(zone_region(settings.zones.items, 2, "b"));
}
END_TEST

/* A running older version rejects keys that it does not know in the variables that it reads. */
START_TEST(the_second_variable_adds_settings)
{
    setenv(NODE_SETTINGS_ENV_2, "tolerated_zones: 1", 1);
    load("start_slack: 5\n");
    unsetenv(NODE_SETTINGS_ENV_2);
    ck_assert_uint_eq(findings.count, 0);
    ck_assert_uint_eq(settings.start_slack, 5);
    ck_assert_uint_eq(settings.tolerated_zones, 1);
}
END_TEST

START_TEST(an_error_in_the_environment_names_the_variable)
{
    load("start_slak: 5\n");
    ck_assert_uint_eq(findings.count, 1);
    ck_assert_ptr_nonnull(strstr(findings.items[0].location, NODE_SETTINGS_ENV));
}
END_TEST

START_TEST(the_number_of_connections_is_checked)
{
    load("max_connections: 300\n");
    ck_assert_uint_eq(findings.count, 0);
    ck_assert_uint_eq(settings.max_connections, 300);
    teardown();
    load("max_connections: 1000001\n");
    ck_assert_uint_eq(findings.count, 1);
    teardown();
    load("max_connections: many\n");
    ck_assert_uint_eq(findings.count, 1);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("site settings");
    TCase *tests = tcase_create("settings");
    tcase_add_checked_fixture(tests, NULL, teardown);
    tcase_add_test(tests, the_file_alone_is_valid);
    tcase_add_test(tests, the_environment_adds_settings);
    tcase_add_test(tests, the_second_variable_adds_settings);
    tcase_add_test(tests, an_error_in_the_environment_names_the_variable);
    tcase_add_test(tests, the_number_of_connections_is_checked);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
