#include "script.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"

enum { SCRIPT_LINE_MAX = 1024, SCRIPT_NUMBER_MAX = 24 };

static struct buffer script_output;   /* output of the current command */
static struct buffer script_expected; /* expected output of the current command */

void script_print(const char *format, ...)
{
    char text[SCRIPT_LINE_MAX];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    buffer_append_text(&script_output, text);
}

bool script_is(const script_command_t *command, int position, const char *text)
{
    size_t length = strlen(text);
    return position < command->count && command->words[position].length == length &&
           memcmp(command->words[position].data, text, length) == 0;
}

void script_copy(const script_command_t *command, int position, char *out, size_t size)
{
    size_t length = position < command->count ? command->words[position].length : 0;
    length = length < size ? length : size - 1;
    if (length > 0) {
        memcpy(out, command->words[position].data, length);
    }
    out[length] = '\0';
}

uint64_t script_number(const script_command_t *command, int position, uint64_t absent)
{
    char text[SCRIPT_NUMBER_MAX];
    script_copy(command, position, text, sizeof(text));
    return text[0] == '\0' ? absent : strtoull(text, NULL, 10);
}

static void script_split(const char *line, script_command_t *command)
{
    memset(command, 0, sizeof(*command));
    for (const char *at = line + strspn(line, " "); *at != '\0' && command->count < SCRIPT_MAX_WORDS;) {
        script_word_t *word = &command->words[command->count++];
        word->data = at;
        word->length = strcspn(at, " ");
        at += word->length;
        at += strspn(at, " ");
    }
}

/* Returns 1 if the output of the command at `line` differs from the expected output. */
static int script_check(const char *path, int line)
{
    struct view expected = buffer_view(&script_expected);
    struct view output = buffer_view(&script_output);
    bool same = expected.length == output.length &&
                (output.length == 0 || memcmp(expected.data, output.data, output.length) == 0);
    if (!same) {
        printf("%s:%d: expected\n%s%s:%d: printed\n%s", path, line, buffer_text(&script_expected), path, line,
               buffer_text(&script_output));
    }
    buffer_clear(&script_expected);
    buffer_clear(&script_output);
    return same ? 0 : 1;
}

int script_main(const char *path, void (*run)(const script_command_t *command))
{
    FILE *file = fopen(path, "r");
    char text[SCRIPT_LINE_MAX];
    char current[SCRIPT_LINE_MAX] = "";
    int line_number = 0;
    int command_line = 0;
    int commands = 0;
    int differences = 0;
    if (file == NULL) {
        printf("cannot read %s\n", path);
        return EXIT_FAILURE;
    }
    while (fgets(text, sizeof(text), file) != NULL) {
        line_number++;
        text[strcspn(text, "\n")] = '\0';
        if (text[0] == '#' || text[0] == '\0') {
            continue;
        }
        if (text[0] != '>') {
            buffer_append_text(&script_expected, text);
            buffer_append_text(&script_expected, "\n");
            continue;
        }
        differences += command_line > 0 ? script_check(path, command_line) : 0;
        command_line = line_number;
        commands++;
        memcpy(current, text, sizeof(current));
        script_command_t command;
        script_split(current + 1, &command);
        run(&command);
    }
    differences += command_line > 0 ? script_check(path, command_line) : 0;
    fclose(file);
    buffer_close(&script_expected);
    buffer_close(&script_output);
    int percent = commands == 0 ? 0 : 100 * (commands - differences) / commands;
    printf("%d%%: Checks: %d, Failures: %d, Errors: 0\n", percent, commands, differences);
    return commands > 0 && differences == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
