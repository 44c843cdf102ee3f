#include "daemon/cache_releaser.h"

#include "base/log.h"
#include "base/message.h"
#include "net/http_client.h"

enum {
    CACHE_RELEASER_TIMEOUT_MS = 2000,
    CACHE_RELEASER_CONNECT_TIMEOUT_MS = 500,
    CACHE_RELEASER_STATUS_NOT_FOUND = 404
};

/* True if the engine confirmed that it holds no cache of the program. */
static bool cache_releaser_delete_cache(const char *engine_url, const char *program)
{
    struct buffer url = {0};
    buffer_printf(&url, "%s/v1/cache/%s", engine_url, program);
    struct http_request request = {
        .method = "DELETE",
        .url = buffer_text(&url),
        .timeout_ms = CACHE_RELEASER_TIMEOUT_MS,
        .connect_timeout_ms = CACHE_RELEASER_CONNECT_TIMEOUT_MS,
    };
    int status = 0;
    enum http_transfer_result result = http_client_run(&request, &status);
    buffer_close(&url);
    bool confirmed = (status >= 200 && status < 300) || status == CACHE_RELEASER_STATUS_NOT_FOUND;
    return result == HTTP_TRANSFER_DONE && confirmed;
}

static void cache_releaser_release(struct gateway *gateway, const PendingRelease *release)
{
    if (!cache_releaser_delete_cache(text_or_empty(release->engine), text_or_empty(release->program))) {
        log_debug("releaser", "%s did not confirm the release of the cache of program %s",
                  text_or_empty(release->engine), text_or_empty(release->program));
        return;
    }
    Entry entry = {0};
    entry.which_command = Entry_memory_release_tag;
    entry.command.memory_release.program = release->program;
    entry.command.memory_release.engine = release->engine;
    EntryResult result;
    if (gateway_propose(gateway, release->program, &entry, &result) == RESULT_OK) {
        gateway_count(gateway, memory_releases);
    }
    message_free(EntryResult_fields, &result);
}

static void cache_releaser_run_group(struct gateway *gateway, uint32_t group)
{
    struct buffer reply = {0};
    ReleaseList list = {0};
    ResultCode code =
        control_call(gateway->control, group, REQUEST_RELEASES, view_of(NULL, 0), GATEWAY_CONTROL_TIMEOUT_MS, &reply);
    if (code == RESULT_OK && message_decode(buffer_view(&reply), ReleaseList_fields, &list)) {
        for (pb_size_t i = 0; i < list.releases_count; i++) {
            cache_releaser_release(gateway, &list.releases[i]);
        }
        message_free(ReleaseList_fields, &list);
    }
    buffer_close(&reply);
}

void cache_releaser_run(void *context)
{
    struct gateway *gateway = context;
    struct control_status status;
    control_read_status(gateway->control, &status);
    /* Group 0 holds the configuration and no programs. */
    for (uint32_t group = 1; group < status.group_count && !gateway_is_draining(gateway); group++) {
        if (status.groups[group].is_leader) {
            cache_releaser_run_group(gateway, group);
        }
    }
}
