#include "net/http_framing.h"

#include <stdbool.h>
#include <string.h>
#include <strings.h>

#include "net/http.h"

enum {
    HTTP_FRAMING_STATUS = 400,
    HTTP_FRAMING_MAX_DIGITS = 18 /* of Content-Length, so that it fits into 64 bits */
};

static bool http_is_length(const char *text)
{
    size_t digits = strspn(text, "0123456789");
    return digits > 0 && digits <= HTTP_FRAMING_MAX_DIGITS && text[digits] == '\0';
}

/*
 * CivetWeb 1.15 writes zero bytes over the colon, blanks before it and the end of
 * the line, and stops at the first line that is not a header, so a folded line
 * hides all following ones. The bytes after the strings reveal both: two zero bytes
 * after a name are a blank and the colon; in a fully parsed head, the two zero
 * bytes of the last line are followed by a carriage return.
 */
static bool http_blank_before_colon(const struct mg_header *header)
{
    const char *after_name = header->name + strlen(header->name);
    return after_name + 1 < header->value && after_name[1] == '\0';
}

static bool http_has_unparsed_lines(const struct mg_header *last)
{
    const char *end = last->value + strlen(last->value);
    return end[0] != '\0' || end[1] != '\0' || end[2] != '\r';
}

const char *http_framing_error(const struct mg_request_info *request)
{
    int lengths = 0;
    int encodings = 0;
    int hosts = 0;
    for (int i = 0; i < request->num_headers; i++) {
        const struct mg_header *header = &request->http_headers[i];
        if (http_blank_before_colon(header)) {
            return "a blank stands before a header's colon";
        }
        if (strcasecmp(header->name, "Content-Length") == 0) {
            lengths++;
            if (!http_is_length(header->value)) {
                return "Content-Length is not a number";
            }
        }
        if (strcasecmp(header->name, "Transfer-Encoding") == 0) {
            encodings++;
            if (strcasecmp(header->value, "chunked") != 0) {
                return "Transfer-Encoding is not chunked";
            }
        }
        hosts += strcasecmp(header->name, "Host") == 0 ? 1 : 0;
    }
    if (lengths > 1 || encodings > 1) {
        return "the length of the body is told twice";
    }
    if (lengths == 1 && encodings == 1) {
        return "Content-Length stands beside Transfer-Encoding";
    }
    if (request->num_headers > 0 && http_has_unparsed_lines(&request->http_headers[request->num_headers - 1])) {
        return "a header line is malformed or folded";
    }
    bool needs_host = text_equal(request->http_version, "1.1");
    if (hosts > 1 || (needs_host && hosts == 0)) {
        return "there must be one Host header";
    }
    return NULL;
}

int http_framing_check_request(struct mg_connection *connection)
{
    const char *framing_error = http_framing_error(mg_get_request_info(connection));
    if (framing_error == NULL) {
        return 0;
    }
    struct http_error error = {HTTP_FRAMING_STATUS, "bad_framing", RUN_STATE_NOT_RUN, 0};
    mg_disable_connection_keep_alive(connection);
    http_send_error(connection, &error, "%s", framing_error);
    return HTTP_FRAMING_STATUS;
}
