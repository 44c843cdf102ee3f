/* A hollow gateway: control client and links without callers. */
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/message.h"
#include "scale/scale.h"

enum { HOLLOW_REQUEST_MS = 10000 };

/* Token of requests that belong to no program. */
static char hollow_change_token;

static bool hollow_send(void *context, uint32_t to, struct view frame)
{
    return links_send(&((struct hollow *)context)->links, to, frame);
}

static void hollow_on_complete(void *context, void *token, ResultCode code, struct view body)
{
    EntryResult result = {0};
    uint64_t revision = 0;
    if (code == RESULT_OK && message_decode(body, EntryResult_fields, &result)) {
        code = result.code;
        revision = result.revision;
        message_free(EntryResult_fields, &result);
    }
    scale_complete(context, token == &hollow_change_token ? NULL : token, code, revision);
}

static void hollow_on_config(void *context, const struct config_store *store)
{
    scale_note_revision(context, store->revision);
}

static void hollow_on_frame(void *context, uint32_t from, const Frame *frame)
{
    struct hollow *hollow = context;
    control_client_receive(&hollow->client, hollow->thread->now_ms, from, frame);
}

static void hollow_on_disconnect(void *context, uint32_t node)
{
    struct hollow *hollow = context;
    control_client_disconnected(&hollow->client, hollow->thread->now_ms, node);
}

bool hollow_start(struct hollow *hollow, struct scale_thread *thread, uint32_t node)
{
    const struct scale_config *config = &thread->scale->config;
    uint64_t boot_id = clock_wall_ms() * 1000U + node;
    hollow->thread = thread;
    struct links_config links_settings = {
        .cluster = config->cluster, .zone = "hollow", .node = node, .boot_id = boot_id};
    struct links_handler handler = {.context = hollow, .frame = hollow_on_frame, .disconnected = hollow_on_disconnect};
    if (!links_init(&hollow->links, &links_settings, &handler)) {
        return false;
    }
    struct control_client_config client = {
        .node = node, .boot_id = boot_id, .groups = config->groups, .replica_count = config->replica_count};
    memcpy(client.replicas, config->replicas, sizeof(client.replicas));
    for (uint32_t i = 0; i < config->replica_count; i++) {
        links_add_peer(&hollow->links, config->replicas[i], &config->addresses[i]);
    }
    struct control_client_io io = {
        .context = hollow, .send = hollow_send, .complete = hollow_on_complete, .config_changed = hollow_on_config};
    control_client_init(&hollow->client, &client, &io);
    return true;
}

void hollow_stop(struct hollow *hollow)
{
    control_client_close(&hollow->client);
    links_close(&hollow->links);
}

void hollow_step(struct hollow *hollow, uint64_t now_ms)
{
    links_poll(&hollow->links, now_ms, 0);
    control_client_tick(&hollow->client, now_ms);
    links_flush(&hollow->links);
}

void hollow_propose(struct hollow *hollow, uint32_t group, const Entry *entry, void *token)
{
    struct buffer body = {0};
    message_encode(&body, Entry_fields, entry);
    uint64_t now_ms = hollow->thread->now_ms;
    control_client_submit(&hollow->client, now_ms, group, REQUEST_PROPOSE, buffer_view(&body),
                          now_ms + HOLLOW_REQUEST_MS, token == NULL ? &hollow_change_token : token);
    links_flush(&hollow->links);
    buffer_close(&body);
}
