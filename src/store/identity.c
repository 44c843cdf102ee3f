#include "store/identity.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "store/file.h"

enum { IDENTITY_HEADER = 8 /* u32 node id, u32 formed; the encoded members follow */ };

static const char IDENTITY_NAME[] = "identity";

static bool identity_save(const char *folder, const struct identity *identity)
{
    uint32_t header[2] = {identity->node, identity->formed ? 1 : 0};
    struct buffer content = {0};
    buffer_append(&content, header, sizeof(header));
    raft_members_encode(&identity->members, &content);
    bool saved = file_replace(folder, IDENTITY_NAME, buffer_view(&content));
    buffer_close(&content);
    return saved;
}

static bool identity_read(struct view content, struct identity *identity)
{
    uint32_t header[2];
    if (content.length < IDENTITY_HEADER) {
        return false;
    }
    memcpy(header, content.data, sizeof(header));
    identity->node = header[0];
    identity->formed = header[1] != 0;
    struct view members = view_of(content.data + IDENTITY_HEADER, content.length - IDENTITY_HEADER);
    return identity->node != RAFT_NO_NODE && raft_members_decode(members, &identity->members);
}

bool identity_load(const char *folder, uint32_t fresh_node, struct identity *identity)
{
    memset(identity, 0, sizeof(*identity));
    char *path = file_path(folder, IDENTITY_NAME);
    struct buffer content = {0};
    bool found = file_read_all(path, &content);
    bool absent = !found && errno == ENOENT;
    /* The process before may have ended between the rename and the sync of the folder. */
    bool loaded = found && file_sync_folder(folder) && identity_read(buffer_view(&content), identity);
    if (absent) {
        identity->node = fresh_node;
        loaded = identity_save(folder, identity);
    }
    free(path);
    buffer_close(&content);
    return loaded;
}

bool identity_form(const char *folder, struct identity *identity, const struct raft_members *members)
{
    identity->formed = true;
    identity->members = *members;
    return identity_save(folder, identity);
}
