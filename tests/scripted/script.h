/**
 * @file script.h
 * Scripted runs with expected output. A script is a text file:
 *
 *     # comment
 *     > command word word
 *     a line of expected output
 *
 * A driver (run_NAME.c) runs the script NAME.script: it receives the words of
 * each command and prints with script_print(). If the output of a command
 * differs from the expected output below it, both are reported with the line of
 * the command.
 */
#ifndef BANKBANK_TESTS_SCRIPT_H
#define BANKBANK_TESTS_SCRIPT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { SCRIPT_MAX_WORDS = 24 };

/** Not NUL-terminated. */
typedef struct script_word_t {
    const char *data;
    size_t length;
} script_word_t;

typedef struct script_command_t {
    script_word_t words[SCRIPT_MAX_WORDS]; /**< The first is the name of the command. */
    int count;
} script_command_t;

/** Appends to the output of the current command. */
void script_print(const char *format, ...) __attribute__((format(printf, 1, 2)));

/** Whether the word at `position` is `text`; false if there is none. */
bool script_is(const script_command_t *command, int position, const char *text);

/** The word at `position` as a number, or `absent` if there is none. */
uint64_t script_number(const script_command_t *command, int position, uint64_t absent);

/** Copies the word at `position` to `out` as a string truncated to `size` bytes; empty if there is none. */
void script_copy(const script_command_t *command, int position, char *out, size_t size);

/** Runs a script, calling `run` for each command; returns the exit status of the test program. */
int script_main(const char *path, void (*run)(const script_command_t *command));

#endif
