/* The ports that tests give to their processes. */
#include <string.h>

#include "../unit/suite.h"
#include "ports.h"

enum { DRAWS = 1000, KERNEL_FIRST = 32768 };

START_TEST(no_port_is_given_twice)
{
    static char given[1 << 16];
    for (int i = 0; i < DRAWS; i++) {
        int port = ports_take();
        ck_assert_msg(given[port] == 0, "port %d was given twice in %d draws", port, i + 1);
        given[port] = 1;
    }
}
END_TEST

START_TEST(no_port_is_one_that_a_connection_may_take)
{
    for (int i = 0; i < DRAWS; i++) {
        int port = ports_take();
        ck_assert_msg(port < KERNEL_FIRST, "port %d belongs to the kernel's range", port);
    }
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("ports");
    TCase *tests = tcase_create("ports");
    tcase_add_test(tests, no_port_is_given_twice);
    tcase_add_test(tests, no_port_is_one_that_a_connection_may_take);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
