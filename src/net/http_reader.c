#include "net/http_reader.h"

#include <string.h>
#include <strings.h>

#include "net/http_bytes.h"

enum {
    HTTP_STATUS_FIRST = 100,
    HTTP_STATUS_FIRST_FINAL = 200,
    HTTP_STATUS_END = 600,
    HTTP_STATUS_DIGITS = 3,
    HTTP_BLANK_LINE_BYTES = 4,         /* with the end of the line before it, at most */
    HTTP_READER_KEPT_HEAD_BYTES = 2048 /* capacity that is kept between messages */
};

bool http_name_equal(struct view name, const char *text)
{
    return name.length == strlen(text) && strncasecmp((const char *)name.data, text, name.length) == 0;
}

static bool http_is_token(struct view text)
{
    for (size_t i = 0; i < text.length; i++) {
        if (!http_is_token_byte(text.data[i])) {
            return false;
        }
    }
    return text.length > 0;
}

static bool http_is_blank(uint8_t byte)
{
    return byte == ' ' || byte == '\t';
}

static struct view http_trim(struct view text)
{
    while (text.length > 0 && http_is_blank(text.data[0])) {
        text.data++;
        text.length--;
    }
    while (text.length > 0 && http_is_blank(text.data[text.length - 1])) {
        text.length--;
    }
    return text;
}

/* ---- Head ------------------------------------------------------------------------ */

static bool http_read_request_line(struct http_reader *reader, struct view line)
{
    const uint8_t *first = memchr(line.data, ' ', line.length);
    const uint8_t *last = memrchr(line.data, ' ', line.length);
    if (first == NULL || first == last) {
        return false;
    }
    reader->method = view_of(line.data, (size_t)(first - line.data));
    reader->target = view_of(first + 1, (size_t)(last - first - 1));
    struct view version = view_of(last + 1, (size_t)(line.data + line.length - last - 1));
    bool known = http_name_equal(version, "HTTP/1.1") || http_name_equal(version, "HTTP/1.0");
    bool no_spaces = memchr(reader->target.data, ' ', reader->target.length) == NULL;
    return known && no_spaces && reader->target.length > 0 && http_is_token(reader->method);
}

static bool http_is_digit(uint8_t byte)
{
    return byte >= '0' && byte <= '9';
}

/* Exactly "HTTP/1.0" or "HTTP/1.1", a blank, three digits, and a blank with the reason or nothing. */
static bool http_read_status_line(struct http_reader *reader, struct view line)
{
    static const char version[] = "HTTP/1.";
    enum { VERSION = sizeof(version) - 1, STATUS = VERSION + 2, REASON = STATUS + HTTP_STATUS_DIGITS };
    bool framed = line.length >= REASON && memcmp(line.data, version, VERSION) == 0 &&
                  (line.data[VERSION] == '0' || line.data[VERSION] == '1') && line.data[VERSION + 1] == ' ' &&
                  (line.length == REASON || line.data[REASON] == ' ');
    for (size_t i = 0; framed && i < HTTP_STATUS_DIGITS; i++) {
        framed = http_is_digit(line.data[STATUS + i]);
        reader->status = reader->status * 10 + (line.data[STATUS + i] - '0');
    }
    return framed && reader->status >= HTTP_STATUS_FIRST && reader->status < HTTP_STATUS_END &&
           reader->status != HTTP_STATUS_SWITCHING_PROTOCOLS;
}

static bool http_read_header_line(struct http_reader *reader, struct view line)
{
    const uint8_t *colon = memchr(line.data, ':', line.length);
    if (colon == NULL || reader->header_count == HTTP_READER_MAX_HEADERS) {
        return false;
    }
    struct http_header *header = &reader->headers[reader->header_count++];
    header->name = view_of(line.data, (size_t)(colon - line.data));
    header->value = http_trim(view_of(colon + 1, (size_t)(line.data + line.length - colon - 1)));
    return http_is_token(header->name);
}

static bool http_has_no_control_bytes(struct view line)
{
    for (size_t i = 0; i < line.length; i++) {
        if (!http_is_text_byte(line.data[i])) {
            return false;
        }
    }
    return true;
}

/* How the lines of a head end. Those of a response end in a line feed alone if the first one does. */
static struct view http_line_end(enum http_parser_type type, struct view head)
{
    const uint8_t *feed = memchr(head.data, '\n', head.length);
    bool alone = type == HTTP_RESPONSE && feed != NULL && (feed == head.data || feed[-1] != '\r');
    return view_of_string(alone ? "\n" : "\r\n");
}

/* Folded lines are rejected, since a header name contains no blank. */
static bool http_parse_head(struct http_reader *reader)
{
    struct view rest = buffer_view(&reader->head);
    struct view line_end = http_line_end(reader->type, rest);
    bool first = true;
    while (rest.length > line_end.length) {
        const uint8_t *end = memmem(rest.data, rest.length, line_end.data, line_end.length);
        if (end == NULL) {
            return false;
        }
        struct view line = view_of(rest.data, (size_t)(end - rest.data));
        rest = view_of(end + line_end.length, rest.length - line.length - line_end.length);
        if (line.length == 0) {
            break;
        }
        bool valid = http_has_no_control_bytes(line);
        if (first && reader->type == HTTP_REQUEST) {
            valid = valid && http_read_request_line(reader, line);
        } else if (first) {
            valid = valid && http_read_status_line(reader, line);
        } else {
            valid = valid && http_read_header_line(reader, line);
        }
        if (!valid) {
            return false;
        }
        first = false;
    }
    return !first;
}

/* At most 18 digits, so that the number fits into 64 bits. */
static bool http_is_decimal(struct view text)
{
    for (size_t i = 0; i < text.length; i++) {
        if (!http_is_digit(text.data[i])) {
            return false;
        }
    }
    return text.length > 0 && text.length <= 18;
}

static bool http_framing_is_unambiguous(const struct http_reader *reader)
{
    int lengths = 0;
    int encodings = 0;
    int hosts = 0;
    for (int i = 0; i < reader->header_count; i++) {
        const struct http_header *header = &reader->headers[i];
        if (http_name_equal(header->name, "Content-Length")) {
            lengths++;
            if (!http_is_decimal(header->value)) {
                return false;
            }
        } else if (http_name_equal(header->name, "Transfer-Encoding")) {
            encodings++;
            if (!http_name_equal(header->value, "chunked")) {
                return false;
            }
        } else if (http_name_equal(header->name, "Host")) {
            hosts++;
        }
    }
    bool host_ok = reader->type == HTTP_RESPONSE || hosts == 1 || (hosts == 0 && reader->parser.http_minor == 0);
    return lengths + encodings <= 1 && host_ok;
}

/* Whether the status says that there is no body; such a response to HEAD may tell a length. */
static bool http_status_has_no_body(int status)
{
    return status < HTTP_STATUS_FIRST_FINAL || status == HTTP_STATUS_NO_CONTENT || status == HTTP_STATUS_NOT_MODIFIED;
}

/* A head that frames a body where the status allows none; the body would pass for the next response. RFC 9112, section
 * 6.1: HTTP/1.0 has no chunks. */
static bool http_framing_fits_status(const struct http_reader *reader)
{
    bool chunked = http_reader_has_header(reader, "Transfer-Encoding");
    struct view length = http_reader_header(reader, "Content-Length");
    bool interim = reader->status < HTTP_STATUS_FIRST_FINAL;
    bool empty = length.length == 0 || (length.length == 1 && length.data[0] == '0');
    if (chunked && reader->parser.http_minor == 0) {
        return false;
    }
    if (interim) {
        return !chunked && length.length == 0;
    }
    return reader->status != HTTP_STATUS_NO_CONTENT || (!chunked && empty);
}

/* ---- Callbacks of http-parser ------------------------------------------------------- */

static int http_on_headers_complete(http_parser *parser)
{
    struct http_reader *reader = parser->data;
    bool response = reader->type == HTTP_RESPONSE;
    bool no_body = response && (reader->skip_body || http_status_has_no_body(reader->status));
    bool framed = (parser->flags & F_CHUNKED) != 0 || (parser->flags & F_CONTENTLENGTH) != 0;
    reader->keep_alive = http_should_keep_alive(parser) != 0;
    reader->until_close = response && !no_body && !framed;
    bool valid = http_framing_is_unambiguous(reader) && (!response || http_framing_fits_status(reader));
    if (!valid || (response && (int)parser->status_code != reader->status)) {
        return -1;
    }
    reader->head_done = true;
    if (!reader->events.head(reader->events.context, reader)) {
        return -1;
    }
    return no_body ? 1 : 0;
}

static int http_on_body(http_parser *parser, const char *data, size_t length)
{
    struct http_reader *reader = parser->data;
    reader->body_bytes += length;
    if (reader->body_bytes > reader->max_body_bytes) {
        reader->error = HTTP_PARSE_ERROR_BODY_TOO_LARGE;
        return -1;
    }
    return reader->events.body(reader->events.context, reader, view_of(data, length)) ? 0 : -1;
}

static int http_on_message_complete(http_parser *parser)
{
    struct http_reader *reader = parser->data;
    reader->complete = true;
    http_parser_pause(parser, 1);
    return reader->events.complete(reader->events.context, reader) ? 0 : -1;
}

static const http_parser_settings http_reader_settings = {
    .on_headers_complete = http_on_headers_complete,
    .on_body = http_on_body,
    .on_message_complete = http_on_message_complete,
};

/* ---- Parsing -------------------------------------------------------------------------- */

void http_reader_reset(struct http_reader *reader)
{
    http_parser_init(&reader->parser, reader->type);
    memset(&reader->chunks, 0, sizeof(reader->chunks));
    reader->parser.data = reader;
    buffer_clear_and_trim(&reader->head, HTTP_READER_KEPT_HEAD_BYTES);
    reader->head_done = false;
    reader->complete = false;
    reader->header_count = 0;
    reader->method = view_of(NULL, 0);
    reader->target = view_of(NULL, 0);
    reader->status = 0;
    reader->keep_alive = false;
    reader->until_close = false;
    reader->body_bytes = 0;
    reader->error = HTTP_PARSE_ERROR_NONE;
}

void http_reader_close(struct http_reader *reader)
{
    buffer_close(&reader->head);
}

static void http_reader_fail(struct http_reader *reader, enum http_parse_error error)
{
    if (reader->error == HTTP_PARSE_ERROR_NONE) {
        reader->error = error;
    }
}

/* Bytes of the body that precede a malformed chunk are not passed on either. */
static bool http_reader_check_chunks(struct http_reader *reader, const uint8_t *data, size_t length)
{
    bool checked = reader->type == HTTP_RESPONSE && (reader->parser.flags & F_CHUNKED) != 0;
    return !checked || http_chunks_check(&reader->chunks, data, length);
}

static size_t http_reader_execute(struct http_reader *reader, const uint8_t *data, size_t length)
{
    size_t used = http_parser_execute(&reader->parser, &http_reader_settings, (const char *)data, length);
    enum http_errno error = HTTP_PARSER_ERRNO(&reader->parser);
    if (error != HPE_OK && error != HPE_PAUSED) {
        http_reader_fail(reader, HTTP_PARSE_ERROR_MALFORMED);
    }
    return used;
}

/* Position in `data`, which is a part of `head`, after the blank line that ends the head; 0: there is none. */
static size_t http_head_end(enum http_parser_type type, struct view head, const uint8_t *data, size_t length)
{
    struct view line_end = http_line_end(type, head);
    struct view blank_line = view_of_string(line_end.length == 1 ? "\n\n" : "\r\n\r\n");
    const uint8_t *end = memmem(data, length, blank_line.data, blank_line.length);
    return end == NULL ? 0 : (size_t)(end - data) + blank_line.length;
}

/* Appends to the head and parses it when complete; returns the number of bytes consumed. Bytes that follow the head, or
 * exceed its limit, are not buffered. */
static size_t http_reader_collect_head(struct http_reader *reader, const uint8_t *data, size_t length)
{
    size_t before = reader->head.length;
    size_t end = before == 0 ? http_head_end(reader->type, view_of(data, length), data, length) : 0;
    size_t most = before > reader->max_head_bytes ? 0 : reader->max_head_bytes + 1 - before;
    size_t taken = end > 0 ? end : length;
    taken = taken < most ? taken : most;
    buffer_append(&reader->head, data, taken);
    if (before > 0) {
        size_t from = before < HTTP_BLANK_LINE_BYTES - 1 ? 0 : before - (HTTP_BLANK_LINE_BYTES - 1);
        end = http_head_end(reader->type, buffer_view(&reader->head), reader->head.data + from,
                            reader->head.length - from);
        end = end == 0 ? 0 : from + end;
    }
    size_t head_bytes = end == 0 ? reader->head.length : end;
    if (head_bytes > reader->max_head_bytes) {
        http_reader_fail(reader, HTTP_PARSE_ERROR_HEAD_TOO_LARGE);
        return length;
    }
    reader->head.length = head_bytes;
    if (end == 0) {
        return length;
    }
    if (!http_parse_head(reader)) {
        http_reader_fail(reader, HTTP_PARSE_ERROR_MALFORMED);
        return length;
    }
    size_t parsed = http_reader_execute(reader, reader->head.data, reader->head.length);
    if (!reader->head_done || parsed < reader->head.length - 1) {
        http_reader_fail(reader, HTTP_PARSE_ERROR_MALFORMED);
    }
    return head_bytes - before;
}

static size_t http_skip_line_ends(const struct http_reader *reader, const uint8_t *data, size_t length)
{
    size_t skipped = 0;
    while (reader->head.length == 0 && reader->type == HTTP_REQUEST && skipped < length &&
           (data[skipped] == '\r' || data[skipped] == '\n')) {
        skipped++;
    }
    return skipped;
}

size_t http_reader_feed(struct http_reader *reader, const uint8_t *data, size_t length)
{
    size_t used = reader->head_done ? 0 : http_skip_line_ends(reader, data, length);
    if (!reader->head_done && used < length) {
        used += http_reader_collect_head(reader, data + used, length - used);
    }
    bool in_body = reader->head_done && !reader->complete && reader->error == HTTP_PARSE_ERROR_NONE && used < length;
    if (in_body && !http_reader_check_chunks(reader, data + used, length - used)) {
        http_reader_fail(reader, HTTP_PARSE_ERROR_MALFORMED);
        return length;
    }
    if (in_body) {
        used += http_reader_execute(reader, data + used, length - used);
    }
    return used;
}

void http_reader_end(struct http_reader *reader)
{
    if (reader->complete || reader->error != HTTP_PARSE_ERROR_NONE) {
        return;
    }
    bool ends_here = reader->head_done && reader->until_close;
    if (ends_here) {
        http_parser_execute(&reader->parser, &http_reader_settings, NULL, 0);
    }
    if (!reader->complete) {
        http_reader_fail(reader, HTTP_PARSE_ERROR_TRUNCATED);
    }
}

/* ---- Headers ---------------------------------------------------------------------------- */

static const struct http_header *http_reader_find(const struct http_reader *reader, const char *name)
{
    for (int i = 0; i < reader->header_count; i++) {
        if (http_name_equal(reader->headers[i].name, name)) {
            return &reader->headers[i];
        }
    }
    return NULL;
}

struct view http_reader_header(const struct http_reader *reader, const char *name)
{
    const struct http_header *header = http_reader_find(reader, name);
    return header == NULL ? view_of(NULL, 0) : header->value;
}

bool http_reader_has_header(const struct http_reader *reader, const char *name)
{
    return http_reader_find(reader, name) != NULL;
}

/* Whether a comma-separated list contains a name; ignores case. */
static bool http_list_contains(struct view list, struct view name)
{
    while (list.length > 0) {
        const uint8_t *comma = memchr(list.data, ',', list.length);
        size_t length = comma == NULL ? list.length : (size_t)(comma - list.data);
        struct view item = http_trim(view_of(list.data, length));
        if (item.length == name.length &&
            strncasecmp((const char *)item.data, (const char *)name.data, name.length) == 0) {
            return true;
        }
        size_t step = comma == NULL ? length : length + 1;
        list = view_of(list.data + step, list.length - step);
    }
    return false;
}

bool http_reader_is_hop_by_hop(const struct http_reader *reader, struct view name)
{
    static const char *const hop[] = {"Connection",
                                      "Keep-Alive",
                                      "Proxy-Connection",
                                      "Proxy-Authenticate",
                                      "Proxy-Authorization",
                                      "TE",
                                      "Trailer",
                                      "Transfer-Encoding",
                                      "Upgrade",
                                      "Content-Length",
                                      "Expect"};
    for (size_t i = 0; i < sizeof(hop) / sizeof(hop[0]); i++) {
        if (http_name_equal(name, hop[i])) {
            return true;
        }
    }
    for (int i = 0; i < reader->header_count; i++) {
        bool is_connection = http_name_equal(reader->headers[i].name, "Connection");
        if (is_connection && http_list_contains(reader->headers[i].value, name)) {
            return true;
        }
    }
    return false;
}

/* The value of `name` in a list of name=value separated by semicolons; empty if it is absent. */
static struct view http_find_cookie(struct view list, const char *name)
{
    size_t length = strlen(name);
    while (list.length > 0) {
        const uint8_t *end = memchr(list.data, ';', list.length);
        size_t used = end == NULL ? list.length : (size_t)(end - list.data);
        struct view pair = http_trim(view_of(list.data, used));
        if (pair.length > length && pair.data[length] == '=' && memcmp(pair.data, name, length) == 0) {
            return view_of(pair.data + length + 1, pair.length - length - 1);
        }
        list = end == NULL ? view_of(NULL, 0) : view_of(end + 1, list.length - used - 1);
    }
    return view_of(NULL, 0);
}

struct view http_reader_cookie(const struct http_reader *reader, const char *name)
{
    struct view value = view_of(NULL, 0);
    for (int i = 0; i < reader->header_count && value.length == 0; i++) {
        if (http_name_equal(reader->headers[i].name, "Cookie")) {
            value = http_find_cookie(reader->headers[i].value, name);
        }
    }
    return value;
}
