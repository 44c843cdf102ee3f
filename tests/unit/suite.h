/**
 * @file suite.h
 * Runs suites of the Check unit test framework.
 */
#ifndef BANKBANK_TESTS_SUITE_H
#define BANKBANK_TESTS_SUITE_H

#include <check.h>
#include <stdlib.h>

/** Returns the exit status of the test program. */
static inline int suite_run_as(Suite *suite, enum fork_status forked)
{
    SRunner *runner = srunner_create(suite);
    srunner_set_fork_status(runner, forked);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

/** Forks for each test unless the environment variable CK_FORK is "no". */
static inline int suite_run(Suite *suite)
{
    return suite_run_as(suite, CK_FORK_GETENV);
}

/** Does not fork, for tests that share state with a fixture. */
static inline int suite_run_without_fork(Suite *suite)
{
    return suite_run_as(suite, CK_NOFORK);
}

#endif
