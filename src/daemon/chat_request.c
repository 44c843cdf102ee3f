#include "daemon/chat_request.h"
#include "net/json_input.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

enum { CHAT_MAX_ID_LENGTH = 128 };

static bool chat_read_number(const char *text, uint64_t minimum, uint64_t maximum, uint64_t *value)
{
    char *end = NULL;
    errno = 0;
    unsigned long long number = strtoull(text, &end, 10);
    if (text[0] < '0' || text[0] > '9' || *end != '\0' || errno != 0 || number < minimum || number > maximum) {
        return false;
    }
    *value = number;
    return true;
}

static void chat_read_headers(struct chat_request *request, struct mg_connection *connection, struct findings *findings)
{
    uint64_t number = 0;
    request->program_id = mg_get_header(connection, "X-Program-Id");
    if (request->program_id != NULL &&
        (request->program_id[0] == '\0' || strlen(request->program_id) > CHAT_MAX_ID_LENGTH)) {
        findings_add(findings, "X-Program-Id", "must have 1 to %d characters", CHAT_MAX_ID_LENGTH);
    }
    const char *call = mg_get_header(connection, "X-Program-Call");
    if (call != NULL && !chat_read_number(call, 1, UINT32_MAX - 1, &number)) {
        findings_add(findings, "X-Program-Call", "must be a whole number from 1");
    }
    request->call_number = call == NULL ? 0 : (uint32_t)number;
    if (call != NULL && request->program_id == NULL) {
        findings_add(findings, "X-Program-Call", "needs X-Program-Id");
    }
    request->idempotency_key = mg_get_header(connection, "Idempotency-Key");
    if (request->idempotency_key != NULL && strlen(request->idempotency_key) > CHAT_MAX_ID_LENGTH) {
        findings_add(findings, "Idempotency-Key", "must have at most %d characters", CHAT_MAX_ID_LENGTH);
    }
    const char *repeatable = mg_get_header(connection, "X-Repeatable");
    request->repeatable = repeatable == NULL || strcmp(repeatable, "false") != 0;
    if (repeatable != NULL && strcmp(repeatable, "false") != 0 && strcmp(repeatable, "true") != 0) {
        findings_add(findings, "X-Repeatable", "must be true or false");
    }
    const char *deadline = mg_get_header(connection, "X-Deadline-Ms");
    if (deadline != NULL && !chat_read_number(deadline, 1, CHAT_MAX_DEADLINE_MS, &request->deadline_ms)) {
        findings_add(findings, "X-Deadline-Ms", "must be a whole number from 1 to %d", CHAT_MAX_DEADLINE_MS);
    }
    const char *history = mg_get_header(connection, "X-Program-History");
    request->full_history = history != NULL && strcmp(history, "full") == 0;
    if (history != NULL && !request->full_history) {
        findings_add(findings, "X-Program-History", "must be full");
    }
}

static void chat_check_message(const json_t *message, size_t position, struct findings *findings)
{
    struct buffer location = {0};
    buffer_printf(&location, "messages[%zu]", position);
    const json_t *content = json_object_get(message, "content");
    if (!json_is_object(message)) {
        findings_add(findings, buffer_text(&location), "must be an object");
    } else if (!json_is_string(json_object_get(message, "role"))) {
        findings_add(findings, buffer_text(&location), "role must be a text");
    } else if (content != NULL && !json_is_string(content) && !json_is_array(content) && !json_is_null(content)) {
        findings_add(findings, buffer_text(&location), "content must be a text or a list of parts");
    }
    buffer_close(&location);
}

/* The stored form omits the outer brackets of the JSON array. */
static void chat_set_messages_text(struct chat_request *request)
{
    free(request->messages_text);
    char *text = json_dumps(request->messages, JSON_COMPACT);
    size_t length = strlen(text);
    request->messages_text = memory_copy(text + 1, length - 2);
    free(text);
}

static void chat_read_max_tokens(struct chat_request *request, const char *key, struct findings *findings)
{
    const json_t *value = json_object_get(request->root, key);
    if (value == NULL || json_is_null(value)) {
        return;
    }
    json_int_t number = json_is_integer(value) ? json_integer_value(value) : 0;
    if (number < 1 || number > CHAT_MAX_TOKENS) {
        findings_add(findings, key, "must be a whole number from 1 to %d", CHAT_MAX_TOKENS);
        return;
    }
    request->max_tokens = (uint64_t)number;
}

static void chat_read_options(struct chat_request *request, struct findings *findings)
{
    const json_t *model = json_object_get(request->root, "model");
    if (model != NULL && !json_is_string(model)) {
        findings_add(findings, "model", "must be a text");
    }
    request->model = json_string_value(model);
    const json_t *stream = json_object_get(request->root, "stream");
    if (stream != NULL && !json_is_boolean(stream) && !json_is_null(stream)) {
        findings_add(findings, "stream", "must be true or false");
    }
    request->stream = json_is_true(stream);
    const json_t *options = json_object_get(request->root, "stream_options");
    if (options != NULL && !json_is_object(options) && !json_is_null(options)) {
        findings_add(findings, "stream_options", "must be an object");
    }
    request->include_usage = json_is_true(json_object_get(options, "include_usage"));
    const json_t *choices = json_object_get(request->root, "n");
    if (choices != NULL && !json_is_null(choices) && json_integer_value(choices) != 1) {
        findings_add(findings, "n", "only one choice is served");
    }
    request->max_tokens = CHAT_DEFAULT_MAX_TOKENS;
    chat_read_max_tokens(request, "max_tokens", findings);
    chat_read_max_tokens(request, "max_completion_tokens", findings);
}

/* A resent request may differ in the stream options, so the hash ignores them. */
static void chat_set_hash_and_bound(struct chat_request *request)
{
    json_t *copy = json_copy(request->root);
    json_object_del(copy, "stream");
    json_object_del(copy, "stream_options");
    char *text = json_dumps(copy, JSON_COMPACT | JSON_SORT_KEYS);
    size_t length = strlen(text);
    request->body_hash = XXH64(text, length, 0);
    /* A token covers at least one byte. All members count: some, such as tools, are part of the prompt. */
    size_t message_count = json_array_size(request->messages) + 1; /* plus the stored answer that precedes them */
    request->new_tokens_bound = length + message_count * CHAT_MESSAGE_OVERHEAD_TOKENS;
    free(text);
    json_decref(copy);
}

static void chat_read_body(struct chat_request *request, struct view body, struct findings *findings)
{
    struct json_input_error error;
    request->root = json_input_parse_client(body, &error);
    if (request->root == NULL) {
        findings_add(findings, "body", "%s", error.text);
        return;
    }
    if (!json_is_object(request->root)) {
        findings_add(findings, "body", "must be a JSON object");
        return;
    }
    request->messages = json_object_get(request->root, "messages");
    if (!json_is_array(request->messages) || json_array_size(request->messages) == 0) {
        findings_add(findings, "messages", "must be a list with at least one message");
    } else {
        for (size_t i = 0; i < json_array_size(request->messages); i++) {
            chat_check_message(json_array_get(request->messages, i), i, findings);
        }
    }
    chat_read_options(request, findings);
    if (findings->count == 0) {
        chat_set_messages_text(request);
        chat_set_hash_and_bound(request);
    }
}

void chat_request_read(struct chat_request *request, struct mg_connection *connection, struct view body,
                       struct findings *findings)
{
    memset(request, 0, sizeof(*request));
    chat_read_headers(request, connection, findings);
    chat_read_body(request, body, findings);
}

bool chat_request_drop_stored(struct chat_request *request, const char *stored_history)
{
    struct buffer text = {0};
    buffer_printf(&text, "[%s]", text_or_empty(stored_history));
    json_t *stored = json_input_parse(buffer_view(&text), NULL);
    buffer_close(&text);
    size_t count = json_array_size(stored);
    bool extends = count < json_array_size(request->messages);
    for (size_t i = 0; extends && i < count; i++) {
        extends = json_equal(json_array_get(stored, i), json_array_get(request->messages, i)) == 1;
    }
    for (size_t i = 0; extends && i < count; i++) {
        json_array_remove(request->messages, 0);
    }
    json_decref(stored);
    if (extends) {
        chat_set_messages_text(request);
        chat_set_hash_and_bound(request);
    }
    return extends;
}

void chat_request_close(struct chat_request *request)
{
    json_decref(request->root);
    free(request->messages_text);
    memset(request, 0, sizeof(*request));
}
