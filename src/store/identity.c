#include "store/identity.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "store/file.h"

enum { IDENTITY_HEADER_BYTES = 8 /* u32 node id, u32 has_group (0 or 1); the encoded members follow */ };

static const char IDENTITY_NAME[] = "identity";

static bool identity_save(const char *directory, const struct identity *identity)
{
    uint32_t header[2] = {identity->node, identity->has_group ? 1 : 0};
    struct buffer content = {0};
    buffer_append(&content, header, sizeof(header));
    raft_members_encode(&identity->members, &content);
    bool saved = file_replace(directory, IDENTITY_NAME, buffer_view(&content));
    buffer_close(&content);
    return saved;
}

static bool identity_decode(struct view content, struct identity *identity)
{
    uint32_t header[2];
    if (content.length < IDENTITY_HEADER_BYTES) {
        return false;
    }
    memcpy(header, content.data, sizeof(header));
    identity->node = header[0];
    identity->has_group = header[1] != 0;
    struct view members = view_of(content.data + IDENTITY_HEADER_BYTES, content.length - IDENTITY_HEADER_BYTES);
    return identity->node != RAFT_NO_NODE && raft_members_decode(members, &identity->members);
}

bool identity_load(const char *directory, uint32_t new_node_id, struct identity *identity)
{
    memset(identity, 0, sizeof(*identity));
    char *path = file_path(directory, IDENTITY_NAME);
    struct buffer content = {0};
    bool found = file_read_all(path, &content);
    bool missing = !found && errno == ENOENT;
    /* The previous process may have ended before it synced the directory. */
    bool loaded = found && file_sync_directory(directory) && identity_decode(buffer_view(&content), identity);
    if (missing) {
        identity->node = new_node_id;
        loaded = identity_save(directory, identity);
    }
    free(path);
    buffer_close(&content);
    return loaded;
}

bool identity_set_group(const char *directory, struct identity *identity, const struct raft_members *members)
{
    identity->has_group = true;
    identity->members = *members;
    return identity_save(directory, identity);
}
