#include "daemon/machine_list.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/log.h"
#include "net/http_client.h"
#include "net/json_input.h"

enum { MACHINE_LIST_TIMEOUT_MS = 2000, MACHINE_LIST_MAX_BYTES = 1 << 20 };

static bool machine_list_on_data(void *context, int status, struct view data)
{
    struct buffer *body = context;
    (void)status;
    if (body->length + data.length > MACHINE_LIST_MAX_BYTES) {
        return false;
    }
    buffer_append(body, data.data, data.length);
    return true;
}

static void machine_list_apply(struct gateway *gateway, const json_t *machines)
{
    size_t size = json_array_size(machines);
    const char **leaving = memory_new(size * sizeof(*leaving));
    size_t count = 0;
    for (size_t i = 0; i < size; i++) {
        const json_t *machine = json_array_get(machines, i);
        const char *address = json_string_value(json_object_get(machine, "address"));
        const char *state = json_string_value(json_object_get(machine, "state"));
        if (address != NULL && state != NULL && strcmp(state, "leaving") == 0) {
            leaving[count++] = address;
        }
    }
    endpoints_replace_leaving(&gateway->endpoints, leaving, count);
    free(leaving);
}

void machine_list_run(void *context)
{
    struct gateway *gateway = context;
    struct buffer body = {0};
    struct http_request request = {
        .method = "GET",
        .url = gateway->settings->machine_list_url,
        .timeout_ms = MACHINE_LIST_TIMEOUT_MS,
        .connect_timeout_ms = MACHINE_LIST_TIMEOUT_MS,
        .context = &body,
        .on_data = machine_list_on_data,
    };
    int status = 0;
    enum http_transfer_result result = http_client_run(&request, &status);
    json_t *list = result == HTTP_TRANSFER_DONE && status == 200 ? json_input_parse(buffer_view(&body), NULL) : NULL;
    if (list == NULL) {
        log_debug("machines", "cannot read the machine list (HTTP status %d, 0: no response); keeping the last one",
                  status);
    } else {
        machine_list_apply(gateway, json_object_get(list, "machines"));
    }
    json_decref(list);
    buffer_close(&body);
}
