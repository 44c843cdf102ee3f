#include "net/json_entries.h"

#include "base/buffer.h"
#include "net/json_input.h"

enum { JSON_FIRST_PRINTABLE = 0x20, JSON_FIRST_NON_ASCII = 0x80 };

/* ---- Delimiters --------------------------------------------------------------------------- */

typedef struct json_scan_t {
    size_t depth;
    bool in_string;
    bool escaped;
} json_scan_t;

static void json_scan_byte(json_scan_t *scan, uint8_t byte)
{
    if (scan->in_string) {
        bool ends = byte == '"' && !scan->escaped;
        scan->escaped = byte == '\\' && !scan->escaped;
        scan->in_string = !ends;
        return;
    }
    scan->in_string = byte == '"';
    if (byte == '{' || byte == '[') {
        scan->depth++;
    } else if ((byte == '}' || byte == ']') && scan->depth > 0) {
        scan->depth--;
    }
}

static bool json_scan_is_top_level(const json_scan_t *scan)
{
    return scan->depth == 0 && !scan->in_string;
}

static bool json_is_space(uint8_t byte)
{
    return byte == ' ' || byte == '\t' || byte == '\n' || byte == '\r';
}

size_t json_skip_space(struct view text, size_t at)
{
    while (at < text.length && json_is_space(text.data[at])) {
        at++;
    }
    return at;
}

size_t json_find_closing_bracket(struct view text, size_t at)
{
    json_scan_t scan = {0};
    for (; at < text.length; at++) {
        json_scan_byte(&scan, text.data[at]);
        if (json_scan_is_top_level(&scan)) {
            return at;
        }
    }
    return text.length;
}

size_t json_find_value_end(struct view text, size_t at, bool *closed)
{
    json_scan_t scan = {0};
    for (; at < text.length; at++) {
        if (text.data[at] == ',' && json_scan_is_top_level(&scan)) {
            break;
        }
        json_scan_byte(&scan, text.data[at]);
    }
    *closed = json_scan_is_top_level(&scan);
    return at;
}

/* ---- Entries ------------------------------------------------------------------------------ */

static struct view json_slice(struct view text, size_t from, size_t to)
{
    return view_of(text.data + from, to - from);
}

/* Parses a value; returns NULL if it is malformed. With `as_ascii`, control and non-ASCII bytes are replaced first. */
static json_t *json_parse_value(struct view value, bool as_ascii, enum json_input_error_kind *kind)
{
    struct buffer text = {0};
    struct json_input_error error;
    buffer_append(&text, "[", 1);
    buffer_append(&text, value.data, value.length);
    for (size_t i = 1; as_ascii && i < text.length; i++) {
        uint8_t byte = text.data[i];
        text.data[i] = byte < JSON_FIRST_PRINTABLE ? ' ' : byte >= JSON_FIRST_NON_ASCII ? '?' : byte;
    }
    buffer_append(&text, "]", 1);
    json_t *items = json_input_parse(buffer_view(&text), &error);
    *kind = error.kind;
    buffer_close(&text);
    json_t *item = json_array_size(items) == 1 ? json_incref(json_array_get(items, 0)) : NULL;
    json_decref(items);
    return item;
}

/* Whether the end of a closed, malformed value is reliable: only its strings or its depth are invalid. */
static bool json_has_known_end(struct view value, enum json_input_error_kind kind)
{
    enum json_input_error_kind ignored;
    if (kind == JSON_INPUT_TOO_DEEP) {
        return true;
    }
    json_t *item = json_parse_value(value, true, &ignored);
    json_decref(item);
    return item != NULL;
}

static void json_consume_budget(size_t *budget, size_t bytes)
{
    *budget = *budget > bytes ? *budget - bytes : 0;
}

/* Whether a valid object begins at `at`, after a malformed entry. */
static bool json_is_entry_at(struct view text, size_t at, size_t *budget)
{
    enum json_input_error_kind ignored;
    bool closed;
    size_t max_bytes =
        text.length - at < JSON_ENTRIES_MAX_ENTRY_BYTES ? text.length - at : JSON_ENTRIES_MAX_ENTRY_BYTES;
    size_t end = json_find_value_end(json_slice(text, at, at + max_bytes), 0, &closed);
    json_consume_budget(budget, end);
    if (!closed) {
        return false;
    }
    json_t *item = json_parse_value(json_slice(text, at, at + end), false, &ignored);
    bool is_entry = json_is_object(item);
    json_decref(item);
    return is_entry;
}

/* Position of the first valid entry between `at`, the start of a malformed one, and `end`; `end` if there is none. */
static size_t json_find_next_entry(struct view text, size_t at, size_t end, size_t *budget)
{
    bool after_comma = false;
    for (; at < end && budget[0] > 0; at++) {
        uint8_t byte = text.data[at];
        if (after_comma && byte == '{' && json_is_entry_at(text, at, budget)) {
            return at;
        }
        after_comma = byte == ',' || (after_comma && json_is_space(byte));
    }
    return end;
}

/* Visits the value at `at` and advances past it; returns false if the visitor stopped. */
static bool json_visit_value(struct view text, size_t *at, size_t *budget, const json_entries_visitor_t *visitor)
{
    enum json_input_error_kind kind = JSON_INPUT_MALFORMED;
    bool closed;
    size_t end = json_find_value_end(text, *at, &closed);
    size_t next = end;
    struct view value = json_slice(text, *at, end);
    json_t *entry = closed ? json_parse_value(value, false, &kind) : NULL;
    bool more = visitor->visit(visitor->context, entry);
    if (entry == NULL) {
        json_consume_budget(budget, value.length);
        next = closed && json_has_known_end(value, kind) ? end : json_find_next_entry(text, *at, end, budget);
    }
    json_decref(entry);
    *at = next < end ? next : end + 1;
    return more;
}

bool json_entries_read(struct view text, const json_entries_visitor_t *visitor)
{
    size_t budget = JSON_ENTRIES_MAX_SEARCH_BYTES;
    size_t at = json_skip_space(text, 0);
    bool more = true;
    while (more && at < text.length && budget > 0) {
        more = json_visit_value(text, &at, &budget, visitor);
        at = json_skip_space(text, at);
    }
    return more && budget > 0;
}
