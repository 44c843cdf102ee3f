/**
 * @file script.h
 * Scripted runs with expected output. A script is a text file:
 *
 *     # comment
 *     > command word word
 *     a line that the command is expected to print
 *
 * A driver (run_NAME.c) runs the script NAME.script: it is given the words of
 * each command and prints with script_print(). Every difference between what
 * was printed and what stands below a command is reported with its line.
 */
#ifndef BANKBANK_TESTS_SCRIPT_H
#define BANKBANK_TESTS_SCRIPT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { SCRIPT_MAX_WORDS = 24 };

/** A word of a command; not terminated. */
typedef struct script_word_t {
    const char *data; /**< First byte. */
    size_t length;    /**< Number of bytes. */
} script_word_t;

/** A command. */
typedef struct script_command_t {
    script_word_t words[SCRIPT_MAX_WORDS]; /**< The first one names it. */
    int count;                             /**< Number of words. */
} script_command_t;

/** Prints to the output of the current command. */
void script_print(const char *format, ...) __attribute__((format(printf, 1, 2)));

/** Whether the word at `position` is there and equals `text`. */
bool script_is(const script_command_t *command, int position, const char *text);

/** The word at `position` as a number; `absent` where there is none. */
uint64_t script_number(const script_command_t *command, int position, uint64_t absent);

/** Copies the word at `position` into `out`, cut to `size`; empty where there is none. */
void script_copy(const script_command_t *command, int position, char *out, size_t size);

/** Runs a script with `run` for each command; returns the exit status of the test program. */
int script_main(const char *path, void (*run)(const script_command_t *command));

#endif
