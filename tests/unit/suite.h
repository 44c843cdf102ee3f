/**
 * @file suite.h
 * Runs one check suite as a program.
 */
#ifndef BANKBANK_TESTS_SUITE_H
#define BANKBANK_TESTS_SUITE_H

#include <check.h>
#include <stdlib.h>

/** Runs the suite with each test forked or not; returns the exit status. */
static inline int suite_run_as(Suite *suite, enum fork_status forked)
{
    SRunner *runner = srunner_create(suite);
    srunner_set_fork_status(runner, forked);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

/** Runs the suite, as the environment says (CK_FORK), and returns the exit status. */
static inline int suite_run(Suite *suite)
{
    return suite_run_as(suite, CK_FORK_GETENV);
}

/** The same in this process: for tests that share what a fixture started in it. */
static inline int suite_run_in_process(Suite *suite)
{
    return suite_run_as(suite, CK_NOFORK);
}

#endif
