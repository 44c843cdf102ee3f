/* HTTP requests to daemons and to the old site. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/message.h"
#include "ctl/ctl.h"
#include "net/http_client.h"
#include "net/json_input.h"

enum {
    CTL_TIMEOUT_MS = 70000, /* longer than the default timeouts of the operator methods (at most 60 s) */
    CTL_CONNECT_TIMEOUT_MS = 3000,
    CTL_STATUS_OK = 200
};

static bool ctl_on_data(void *context, int status, struct view data)
{
    (void)status;
    buffer_append(context, data.data, data.length);
    return true;
}

/* Sends a POST; returns the HTTP status, or 0 without a complete response. */
static int ctl_post(const char *url, const char *content_type, struct view body, struct buffer *reply)
{
    struct http_request request = {
        .method = "POST",
        .url = url,
        .body = body,
        .timeout_ms = CTL_TIMEOUT_MS,
        .connect_timeout_ms = CTL_CONNECT_TIMEOUT_MS,
        .context = reply,
        .on_data = ctl_on_data,
    };
    int status = 0;
    http_request_add_header(&request, "Content-Type: %s", content_type);
    http_request_add_header(&request, "Connect-Protocol-Version: 1");
    enum http_transfer_result result = http_client_run(&request, &status);
    http_request_close(&request);
    return result == HTTP_TRANSFER_DONE ? status : 0;
}

static void ctl_report_error(struct buffer *reply, int status)
{
    if (status == 0) {
        fprintf(stderr, "bankbankctl: unavailable: no complete response from the daemon\n");
        return;
    }
    json_t *error = json_input_parse(buffer_view(reply), NULL);
    const char *code = json_string_value(json_object_get(error, "code"));
    const char *message = json_string_value(json_object_get(error, "message"));
    if (code != NULL) {
        fprintf(stderr, "bankbankctl: %s: %s\n", code, text_or_empty(message));
    } else {
        fprintf(stderr, "bankbankctl: error: HTTP status %d without an error message\n", status);
    }
    json_decref(error);
}

bool ctl_call(const struct ctl_options *options, const char *method, const pb_msgdesc_t *fields, const void *request,
              struct buffer *reply)
{
    struct buffer url = {0};
    struct buffer body = {0};
    buffer_printf(&url, "http://%s/bankbank.v1.OperatorService/%s", options->server, method);
    message_encode(&body, fields, request);
    int status = ctl_post(buffer_text(&url), "application/proto", buffer_view(&body), reply);
    if (status != CTL_STATUS_OK) {
        ctl_report_error(reply, status);
    }
    buffer_close(&url);
    buffer_close(&body);
    return status == CTL_STATUS_OK;
}

json_t *ctl_post_json(const char *url, const json_t *body)
{
    struct buffer reply = {0};
    char *text = json_dumps(body, JSON_COMPACT);
    int status = ctl_post(url, "application/json", view_of_string(text), &reply);
    json_t *response = json_input_parse(buffer_view(&reply), NULL);
    if (status != CTL_STATUS_OK) {
        fprintf(stderr, "bankbankctl: POST %s failed: HTTP status %d (0: no complete response): %s\n", url, status,
                buffer_text(&reply));
        json_decref(response);
        response = NULL;
    }
    free(text);
    buffer_close(&reply);
    return response;
}
