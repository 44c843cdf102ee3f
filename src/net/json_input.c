#include "net/json_input.h"

#include <stdbool.h>
#include <stdio.h>

/* Deepest nesting of brackets outside strings; stops counting once it exceeds `limit`. */
static size_t json_input_depth(struct view text, size_t limit)
{
    size_t depth = 0;
    size_t deepest = 0;
    bool in_string = false;
    for (size_t i = 0; i < text.length && deepest <= limit; i++) {
        uint8_t byte = text.data[i];
        if (in_string) {
            if (byte == '\\') {
                i++;
            }
            in_string = byte != '"';
            continue;
        }
        in_string = byte == '"';
        if (byte == '[' || byte == '{') {
            depth++;
        }
        if ((byte == ']' || byte == '}') && depth > 0) {
            depth--;
        }
        deepest = depth > deepest ? depth : deepest;
    }
    return deepest;
}

json_t *json_input_parse(struct view text, struct json_input_error *error)
{
    struct json_input_error ignored = {0};
    struct json_input_error *result = error == NULL ? &ignored : error;
    result->kind = JSON_INPUT_OK;
    result->text[0] = '\0';
    if (json_input_depth(text, JSON_INPUT_MAX_DEPTH) > JSON_INPUT_MAX_DEPTH) {
        result->kind = JSON_INPUT_TOO_DEEP;
        snprintf(result->text, sizeof(result->text), "nested deeper than %d levels", JSON_INPUT_MAX_DEPTH);
        return NULL;
    }
    json_error_t syntax_error;
    json_t *root = json_loadb(text.data == NULL ? "" : (const char *)text.data, text.length, JSON_REJECT_DUPLICATES,
                              &syntax_error);
    if (root == NULL) {
        result->kind = JSON_INPUT_MALFORMED;
        snprintf(result->text, sizeof(result->text), "not valid JSON at line %d, column %d: %.160s", syntax_error.line,
                 syntax_error.column, syntax_error.text);
    }
    return root;
}
