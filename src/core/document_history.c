#include "core/document_history.h"

#include <string.h>

static void history_close_version(document_version_t *version)
{
    buffer_close(&version->text);
    buffer_close(&version->patch);
    memset(version, 0, sizeof(*version));
}

static void history_drop_oldest(document_history_t *history)
{
    history->text_bytes -= history->versions[0].text.length;
    history_close_version(&history->versions[0]);
    history->count--;
    memmove(history->versions, history->versions + 1, history->count * sizeof(history->versions[0]));
    memset(&history->versions[history->count], 0, sizeof(history->versions[0]));
}

static void history_forget_patch(document_version_t *version)
{
    buffer_close(&version->patch);
    version->encoded = false;
}

/* The text is copied with its exact size, since it is never appended to. */
static void history_append(document_history_t *history, uint64_t version, struct view text)
{
    document_version_t *entry = &history->versions[history->count++];
    entry->version = version;
    entry->text = (struct buffer){
        .data = (uint8_t *)memory_copy(text.data, text.length), .length = text.length, .capacity = text.length};
    history->text_bytes += text.length;
}

void document_history_put(document_history_t *history, uint64_t version, struct view text, size_t max_bytes)
{
    if (version <= history->newest) {
        return;
    }
    history->newest = version;
    history->newest_digest = document_digest(text);
    history_forget_patch(&history->none);
    for (uint32_t i = 0; i < history->count; i++) {
        history_forget_patch(&history->versions[i]);
    }
    while (history->count > 0 &&
           (history->count == DOCUMENT_HISTORY_MAX_VERSIONS || history->text_bytes + text.length > max_bytes)) {
        history_drop_oldest(history);
    }
    if (text.length <= max_bytes) {
        history_append(history, version, text);
    }
}

static const document_version_t *history_find_base(const document_history_t *history, uint64_t version,
                                                   size_t newest_length)
{
    for (uint32_t i = 0; i < history->count; i++) {
        const document_version_t *entry = &history->versions[i];
        if (entry->version == version && entry->text.length >= newest_length / DOCUMENT_HISTORY_MIN_BASE_RATIO) {
            return entry;
        }
    }
    return &history->none;
}

struct view document_history_patch(document_history_t *history, uint64_t *base, struct view newest)
{
    const document_version_t *found = history_find_base(history, *base, newest.length);
    document_version_t *entry =
        found == &history->none ? &history->none : &history->versions[found - history->versions];
    if (!entry->encoded) {
        entry->encoded = true;
        document_patch_encode(buffer_view(&entry->text), newest, &entry->patch);
    }
    *base = entry->version;
    return buffer_view(&entry->patch);
}

size_t document_history_bytes(const document_history_t *history, uint64_t base, struct view newest)
{
    const document_version_t *entry = history_find_base(history, base, newest.length);
    size_t bytes = entry->patch.length > 0 ? entry->patch.length : newest.length;
    return entry->encoded ? bytes : 0;
}

void document_history_close(document_history_t *history)
{
    history_close_version(&history->none);
    for (uint32_t i = 0; i < history->count; i++) {
        history_close_version(&history->versions[i]);
    }
    memset(history, 0, sizeof(*history));
}
