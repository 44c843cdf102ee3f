#include "emulator/answer.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

enum { ANSWER_MIN_TOKENS = 8, ANSWER_TOKEN_RANGE = 24 };

static const char *const answer_words[] = {
    "the",    "monthly", "rate",   "is",   "fixed", "for",    "twelve", "years", "your",  "income", "covers",  "this",
    "amount", "with",    "room",   "to",   "spare", "please", "check",  "stock", "level", "before", "noon",    "van",
    "route",  "north",   "refund", "coin", "card",  "slot",   "number", "seven", "and",   "then",   "confirm", "total",
};
enum { ANSWER_WORD_COUNT = sizeof(answer_words) / sizeof(answer_words[0]) };

static char *answer_copy_content(const json_t *message)
{
    const json_t *content = json_object_get(message, "content");
    if (json_is_string(content)) {
        return text_copy(json_string_value(content));
    }
    char *text = content == NULL ? NULL : json_dumps(content, JSON_COMPACT | JSON_ENCODE_ANY);
    return text == NULL ? text_copy("") : text;
}

uint64_t answer_extend_hash(uint64_t previous_hash, const json_t *message)
{
    const char *role = text_or_empty(json_string_value(json_object_get(message, "role")));
    char *content = answer_copy_content(message);
    uint64_t hash = XXH64(role, strlen(role), previous_hash);
    hash = XXH64(content, strlen(content), hash);
    free(content);
    return hash;
}

/* A generated token is a word with the space before it. */
static uint64_t answer_count_tokens(const char *content)
{
    uint64_t words = content[0] == '\0' ? 0 : 1;
    for (; *content != '\0'; content++) {
        words += *content == ' ' ? 1 : 0;
    }
    return words;
}

uint64_t answer_message_tokens(const json_t *message)
{
    const char *role = text_or_empty(json_string_value(json_object_get(message, "role")));
    char *content = answer_copy_content(message);
    uint64_t tokens = strcmp(role, "assistant") == 0
                          ? answer_count_tokens(content)
                          : (strlen(content) + ANSWER_BYTES_PER_TOKEN - 1) / ANSWER_BYTES_PER_TOKEN;
    free(content);
    return tokens + ANSWER_MESSAGE_OVERHEAD_TOKENS;
}

uint64_t answer_length(uint64_t prompt_hash, uint64_t max_tokens, bool exact)
{
    uint64_t default_length = ANSWER_MIN_TOKENS + prompt_hash % ANSWER_TOKEN_RANGE;
    return exact || default_length > max_tokens ? max_tokens : default_length;
}

void answer_token(uint64_t prompt_hash, uint64_t index, struct buffer *out)
{
    if (index == 0) {
        buffer_printf(out, "%08" PRIx64, prompt_hash >> 32);
        return;
    }
    uint64_t key[2] = {prompt_hash, index};
    uint64_t word = XXH64(key, sizeof(key), 0) % ANSWER_WORD_COUNT;
    buffer_printf(out, " %s", answer_words[word]);
}

void answer_generate(const json_t *messages, uint64_t max_tokens, bool exact, struct buffer *out)
{
    uint64_t hash = 0;
    for (size_t i = 0; i < json_array_size(messages); i++) {
        hash = answer_extend_hash(hash, json_array_get(messages, i));
    }
    uint64_t length = answer_length(hash, max_tokens, exact);
    for (uint64_t i = 0; i < length; i++) {
        answer_token(hash, i, out);
    }
}

static bool answer_matches(const json_t *message, uint64_t hash, uint64_t max_tokens)
{
    struct buffer expected = {0};
    uint64_t length = answer_length(hash, max_tokens, false);
    for (uint64_t i = 0; i < length; i++) {
        answer_token(hash, i, &expected);
    }
    char *content = answer_copy_content(message);
    bool matches = strcmp(content, buffer_text(&expected)) == 0;
    free(content);
    buffer_close(&expected);
    return matches;
}

size_t answer_verify(const json_t *messages, uint64_t max_tokens, uint64_t *answers)
{
    uint64_t hash = 0;
    *answers = 0;
    for (size_t i = 0; i < json_array_size(messages); i++) {
        const json_t *message = json_array_get(messages, i);
        const char *role = text_or_empty(json_string_value(json_object_get(message, "role")));
        if (strcmp(role, "assistant") == 0) {
            (*answers)++;
            if (!answer_matches(message, hash, max_tokens)) {
                return i + 1;
            }
        }
        hash = answer_extend_hash(hash, message);
    }
    return 0;
}
