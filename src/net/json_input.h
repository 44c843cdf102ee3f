/**
 * @file json_input.h
 * The one way in which JSON from outside is parsed. jansson recurses once a
 * level of nesting, and allows 2,048 levels, which is more than the stack of a
 * server thread holds; so deep nesting is refused before it parses.
 */
#ifndef BANKBANK_NET_JSON_INPUT_H
#define BANKBANK_NET_JSON_INPUT_H

#include <jansson.h>

#include "base/view.h"

enum {
    JSON_INPUT_MAX_DEPTH = 64, /**< Levels of arrays and objects. */
    JSON_INPUT_ERROR_MAX = 256 /**< Bytes of an error text. */
};

/** Why a text was refused. */
enum json_input_fault {
    JSON_INPUT_OK,       /**< It was not. */
    JSON_INPUT_TOO_DEEP, /**< More than JSON_INPUT_MAX_DEPTH levels. */
    JSON_INPUT_MALFORMED /**< Not valid JSON, or a key stands twice. */
};

/** Result of parsing. */
struct json_input_error {
    enum json_input_fault fault;     /**< Kind. */
    char text[JSON_INPUT_ERROR_MAX]; /**< For people, with the place. */
};

/** Parses a whole text; NULL on failure, with `error` (may be NULL) filled. The caller releases the result. */
json_t *json_input_parse(struct view text, struct json_input_error *error);

#endif
