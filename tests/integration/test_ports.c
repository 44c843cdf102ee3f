/*
 * Port allocation for tests. Guards against concurrent test programs that take the same port, including ports in use
 * only on addresses other than 127.0.0.1.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../unit/suite.h"
#include "ports.h"

enum { PORTS_TAKEN = 1000, EPHEMERAL_FIRST = 32768, NEIGHBOR_PORTS = 40 };

START_TEST(no_port_is_taken_twice)
{
    static char taken[1 << 16];
    for (int i = 0; i < PORTS_TAKEN; i++) {
        int port = ports_allocate();
        ck_assert_msg(taken[port] == 0, "port %d was returned twice in %d calls", port, i + 1);
        taken[port] = 1;
    }
}
END_TEST

START_TEST(no_port_is_ephemeral)
{
    for (int i = 0; i < PORTS_TAKEN; i++) {
        int port = ports_allocate();
        ck_assert_msg(port < EPHEMERAL_FIRST, "port %d is in the ephemeral range", port);
    }
}
END_TEST

/* Forks a child that takes ports, writes them to a pipe (`ports_fd`), and exits when `exit_fd` is closed. */
static pid_t take_ports_in_child(int *ports_fd, int *exit_fd)
{
    int port_pipe[2];
    int exit_pipe[2];
    ck_assert_int_eq(pipe(port_pipe), 0);
    ck_assert_int_eq(pipe(exit_pipe), 0);
    pid_t child = fork();
    ck_assert_int_ge(child, 0);
    if (child == 0) {
        char end;
        close(exit_pipe[1]);
        for (int i = 0; i < PORTS_TAKEN; i++) {
            int port = ports_allocate();
            if (write(port_pipe[1], &port, sizeof(port)) != sizeof(port)) {
                _exit(1);
            }
        }
        _exit(read(exit_pipe[0], &end, 1) == 0 ? 0 : 1);
    }
    close(port_pipe[1]);
    close(exit_pipe[0]);
    *ports_fd = port_pipe[0];
    *exit_fd = exit_pipe[1];
    return child;
}

START_TEST(no_port_is_taken_by_two_processes)
{
    static char taken[1 << 16];
    int ports_fd;
    int exit_fd;
    int status;
    pid_t child = take_ports_in_child(&ports_fd, &exit_fd);
    for (int i = 0; i < PORTS_TAKEN; i++) {
        int port = 0;
        ck_assert_int_eq(read(ports_fd, &port, sizeof(port)), sizeof(port));
        taken[port] = 1;
    }
    for (int i = 0; i < PORTS_TAKEN; i++) {
        int port = ports_allocate();
        ck_assert_msg(taken[port] == 0, "port %d is also taken by another process", port);
    }
    close(exit_fd);
    ck_assert_int_eq(waitpid(child, &status, 0), child);
    ck_assert_int_eq(status, 0);
}
END_TEST

START_TEST(no_port_is_in_use_on_another_address)
{
    static char listening[1 << 16];
    int first = ports_allocate();
    for (int port = first + 1; port < first + NEIGHBOR_PORTS && port < PORTS_FIRST + PORTS_COUNT; port++) {
        struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        ck_assert_int_eq(inet_pton(AF_INET, "127.0.2.1", &address.sin_addr), 1);
        listening[port] = bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0 && listen(fd, 1) == 0 ? 1 : 0;
    }
    for (int i = 0; i < PORTS_TAKEN; i++) {
        int port = ports_allocate();
        ck_assert_msg(listening[port] == 0, "port %d is in use on 127.0.2.1", port);
    }
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("ports");
    TCase *tests = tcase_create("ports");
    tcase_add_test(tests, no_port_is_taken_twice);
    tcase_add_test(tests, no_port_is_ephemeral);
    tcase_add_test(tests, no_port_is_taken_by_two_processes);
    tcase_add_test(tests, no_port_is_in_use_on_another_address);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
