/*
 * The ports that tests give to their processes.
 *
 * Two suites side by side took the same numbers: each asked whether 127.0.0.1 had a
 * port free, while daemons listen at 127.0.1.1 and further addresses, and nothing
 * kept a number between the question and the daemon's start. The daemons of the
 * later suite ended at once (`listen_failed`, "address already in use"), and its
 * site "did not form". Now a process holds a block of numbers before it hands one
 * out, and asks at all addresses.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../unit/suite.h"
#include "ports.h"

enum { DRAWS = 1000, KERNEL_FIRST = 32768, NEXT_PORTS = 40 };

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

/* A child keeps what it has taken until its end of the second pipe is closed. */
static pid_t take_in_a_child(int *ports_from, int *ends_with)
{
    int told[2];
    int kept[2];
    ck_assert_int_eq(pipe(told), 0);
    ck_assert_int_eq(pipe(kept), 0);
    pid_t child = fork();
    ck_assert_int_ge(child, 0);
    if (child == 0) {
        char end;
        close(kept[1]);
        for (int i = 0; i < DRAWS; i++) {
            int port = ports_take();
            if (write(told[1], &port, sizeof(port)) != sizeof(port)) {
                _exit(1);
            }
        }
        _exit(read(kept[0], &end, 1) == 0 ? 0 : 1);
    }
    close(told[1]);
    close(kept[0]);
    *ports_from = told[0];
    *ends_with = kept[1];
    return child;
}

START_TEST(no_port_is_given_to_two_processes)
{
    static char given[1 << 16];
    int ports_from;
    int ends_with;
    int status;
    pid_t child = take_in_a_child(&ports_from, &ends_with);
    for (int i = 0; i < DRAWS; i++) {
        int port = 0;
        ck_assert_int_eq(read(ports_from, &port, sizeof(port)), sizeof(port));
        given[port] = 1;
    }
    for (int i = 0; i < DRAWS; i++) {
        int port = ports_take();
        ck_assert_msg(given[port] == 0, "port %d was given to another process too", port);
    }
    close(ends_with);
    ck_assert_int_eq(waitpid(child, &status, 0), child);
    ck_assert_int_eq(status, 0);
}
END_TEST

START_TEST(no_port_is_one_that_another_address_listens_at)
{
    static char listens[1 << 16];
    int first = ports_take();
    for (int port = first + 1; port < first + NEXT_PORTS && port < PORTS_FIRST + PORTS_COUNT; port++) {
        struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
        int file = socket(AF_INET, SOCK_STREAM, 0);
        ck_assert_int_eq(inet_pton(AF_INET, "127.0.2.1", &address.sin_addr), 1);
        listens[port] = bind(file, (struct sockaddr *)&address, sizeof(address)) == 0 && listen(file, 1) == 0 ? 1 : 0;
    }
    for (int i = 0; i < DRAWS; i++) {
        int port = ports_take();
        ck_assert_msg(listens[port] == 0, "port %d is taken at 127.0.2.1", port);
    }
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("ports");
    TCase *tests = tcase_create("ports");
    tcase_add_test(tests, no_port_is_given_twice);
    tcase_add_test(tests, no_port_is_one_that_a_connection_may_take);
    tcase_add_test(tests, no_port_is_given_to_two_processes);
    tcase_add_test(tests, no_port_is_one_that_another_address_listens_at);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
