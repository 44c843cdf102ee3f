#include "net/json_input.h"

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

typedef struct json_input_shape_t {
    size_t depth;  /* deepest nesting of brackets outside strings */
    size_t values; /* at least the number of values and keys */
} json_input_shape_t;

/* Stops counting once the depth exceeds JSON_INPUT_MAX_DEPTH. */
static json_input_shape_t json_input_shape(struct view text)
{
    json_input_shape_t shape = {.values = 1};
    size_t depth = 0;
    bool in_string = false;
    for (size_t i = 0; i < text.length && shape.depth <= JSON_INPUT_MAX_DEPTH; i++) {
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
        bool separates = byte == ',' || byte == ':' || byte == '[' || byte == '{';
        shape.values += separates ? 1 : 0;
        shape.depth = depth > shape.depth ? depth : shape.depth;
    }
    return shape;
}

static json_t *json_input_parse_within(struct view text, size_t max_values, struct json_input_error *error)
{
    struct json_input_error ignored = {0};
    struct json_input_error *result = error == NULL ? &ignored : error;
    result->kind = JSON_INPUT_OK;
    result->text[0] = '\0';
    json_input_shape_t shape = json_input_shape(text);
    if (shape.depth > JSON_INPUT_MAX_DEPTH) {
        result->kind = JSON_INPUT_TOO_DEEP;
        snprintf(result->text, sizeof(result->text), "nested deeper than %d levels", JSON_INPUT_MAX_DEPTH);
        return NULL;
    }
    if (shape.values > max_values) {
        result->kind = JSON_INPUT_TOO_MANY_VALUES;
        snprintf(result->text, sizeof(result->text), "has more than %zu values and keys", max_values);
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

json_t *json_input_parse(struct view text, struct json_input_error *error)
{
    return json_input_parse_within(text, SIZE_MAX, error);
}

json_t *json_input_parse_client(struct view text, struct json_input_error *error)
{
    return json_input_parse_within(text, JSON_INPUT_CLIENT_VALUES, error);
}
