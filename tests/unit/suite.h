/**
 * @file suite.h
 * Runs one check suite as a program.
 */
#ifndef BANKBANK_TESTS_SUITE_H
#define BANKBANK_TESTS_SUITE_H

#include <check.h>
#include <stdlib.h>

/** Runs the suite and returns the exit status. */
static inline int suite_run(Suite *suite)
{
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

#endif
