#include "net/json_entries.h"

#include "base/buffer.h"
#include "net/json_input.h"

enum { JSON_FIRST_PRINTED = 0x20, JSON_FIRST_BEYOND_ASCII = 0x80 };

/* ---- Bounds ------------------------------------------------------------------------------- */

/* Where a text stands in brackets and strings. */
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

static bool json_scan_is_out(const json_scan_t *scan)
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

/* The bracket that closes the one at `at`; text.length: there is none. */
size_t json_closing(struct view text, size_t at)
{
    json_scan_t scan = {0};
    for (; at < text.length; at++) {
        json_scan_byte(&scan, text.data[at]);
        if (json_scan_is_out(&scan)) {
            return at;
        }
    }
    return text.length;
}

/* The comma behind the value at `at`, or the end of the text; `closed`: all its brackets and strings are. */
size_t json_value_end(struct view text, size_t at, bool *closed)
{
    json_scan_t scan = {0};
    for (; at < text.length; at++) {
        if (text.data[at] == ',' && json_scan_is_out(&scan)) {
            break;
        }
        json_scan_byte(&scan, text.data[at]);
    }
    *closed = json_scan_is_out(&scan);
    return at;
}

/* ---- Entries ------------------------------------------------------------------------------ */

static struct view json_part(struct view text, size_t from, size_t to)
{
    return view_of(text.data + from, to - from);
}

/* One value, as the only item of a list; NULL: it is none. */
static json_t *json_parse_value(struct view value, bool as_ascii, enum json_input_fault *fault)
{
    struct buffer text = {0};
    struct json_input_error error;
    buffer_append(&text, "[", 1);
    buffer_append(&text, value.data, value.length);
    for (size_t i = 1; as_ascii && i < text.length; i++) {
        uint8_t byte = text.data[i];
        text.data[i] = byte < JSON_FIRST_PRINTED ? ' ' : byte >= JSON_FIRST_BEYOND_ASCII ? '?' : byte;
    }
    buffer_append(&text, "]", 1);
    json_t *items = json_input_parse(buffer_view(&text), &error);
    *fault = error.fault;
    buffer_close(&text);
    json_t *item = json_array_size(items) == 1 ? json_incref(json_array_get(items, 0)) : NULL;
    json_decref(items);
    return item;
}

/* Whether a closed value that cannot be read has bounds all the same: only its texts or its depth are at fault. */
static bool json_has_bounds(struct view value, enum json_input_fault fault)
{
    enum json_input_fault ignored;
    if (fault == JSON_INPUT_TOO_DEEP) {
        return true;
    }
    json_t *item = json_parse_value(value, true, &ignored);
    json_decref(item);
    return item != NULL;
}

static void json_spend(size_t *budget, size_t bytes)
{
    *budget = *budget > bytes ? *budget - bytes : 0;
}

/* Whether a whole entry begins at `at`, behind a broken one. */
static bool json_entry_begins(struct view text, size_t at, size_t *budget)
{
    enum json_input_fault ignored;
    bool closed;
    size_t most = text.length - at < JSON_ENTRIES_ENTRY_MOST ? text.length - at : JSON_ENTRIES_ENTRY_MOST;
    size_t end = json_value_end(json_part(text, at, at + most), 0, &closed);
    json_spend(budget, end);
    if (!closed) {
        return false;
    }
    json_t *item = json_parse_value(json_part(text, at, at + end), false, &ignored);
    bool begins = json_is_object(item);
    json_decref(item);
    return begins;
}

/* The entry that ends a broken one, which begins at `at` and takes in all up to `end`; `end`: there is none. */
static size_t json_next_entry(struct view text, size_t at, size_t end, size_t *budget)
{
    bool behind_comma = false;
    for (; at < end && budget[0] > 0; at++) {
        uint8_t byte = text.data[at];
        if (behind_comma && byte == '{' && json_entry_begins(text, at, budget)) {
            return at;
        }
        behind_comma = byte == ',' || (behind_comma && json_is_space(byte));
    }
    return end;
}

/* Hands out the value at `at`, and moves behind it; false: no more are wanted. */
static bool json_read_value(struct view text, size_t *at, size_t *budget, const json_entries_taker_t *taker)
{
    enum json_input_fault fault = JSON_INPUT_MALFORMED;
    bool closed;
    size_t end = json_value_end(text, *at, &closed);
    size_t next = end;
    struct view value = json_part(text, *at, end);
    json_t *entry = closed ? json_parse_value(value, false, &fault) : NULL;
    bool more = taker->take(taker->context, entry);
    if (entry == NULL) {
        json_spend(budget, value.length);
        next = closed && json_has_bounds(value, fault) ? end : json_next_entry(text, *at, end, budget);
    }
    json_decref(entry);
    *at = next < end ? next : end + 1;
    return more;
}

bool json_entries_read(struct view text, const json_entries_taker_t *taker)
{
    size_t budget = JSON_ENTRIES_SEARCH_BYTES;
    size_t at = json_skip_space(text, 0);
    bool more = true;
    while (more && at < text.length && budget > 0) {
        more = json_read_value(text, &at, &budget, taker);
        at = json_skip_space(text, at);
    }
    return more && budget > 0;
}
