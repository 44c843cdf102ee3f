/**
 * @file json_input.h
 * Parses JSON; all JSON from untrusted sources must be parsed here. Deep nesting
 * is rejected before parsing: jansson recurses up to 2,048 levels, which overflows
 * the stack of a server thread.
 */
#ifndef BANKBANK_NET_JSON_INPUT_H
#define BANKBANK_NET_JSON_INPUT_H

#include <jansson.h>

#include "base/view.h"

enum {
    JSON_INPUT_MAX_DEPTH = 64,          /**< Of arrays and objects. */
    JSON_INPUT_CLIENT_VALUES = 1 << 16, /**< Most values and keys in a body of a client: each takes up to 200 bytes. */
    JSON_INPUT_ERROR_MAX = 256          /**< Size of an error text. */
};

/** Why a text was rejected. */
enum json_input_error_kind {
    JSON_INPUT_OK,
    JSON_INPUT_TOO_DEEP, /**< More than JSON_INPUT_MAX_DEPTH levels. */
    JSON_INPUT_TOO_MANY_VALUES,
    JSON_INPUT_MALFORMED /**< Invalid JSON, or a duplicate key. */
};

struct json_input_error {
    enum json_input_error_kind kind;
    char text[JSON_INPUT_ERROR_MAX]; /**< Human-readable. */
};

/** Returns NULL on failure and fills `error`, which may be NULL. The caller releases the result. */
json_t *json_input_parse(struct view text, struct json_input_error *error);

/** The same for texts of clients: those with more than JSON_INPUT_CLIENT_VALUES are rejected before parsing, since a
 * parsed text can take many times its own memory. */
json_t *json_input_parse_client(struct view text, struct json_input_error *error);

#endif
