/**
 * @file state_host_internal.h
 * Private functions shared by the source files of state_host.h.
 *
 *   state_host.c          lifecycle, role, memory, the site's state, metrics
 *   state_host_daemons.c  requests of other daemons: watches, load reports, quotas
 *   state_host_versions.c  software versions of services
 *   state_host_quarantine.c  failures of servers that gateways report
 *   state_host_disk.c     opening, storage and network callbacks
 *   state_host_join.c     bootstrap and joining of the group
 */
#ifndef BANKBANK_PROXY_STATE_HOST_INTERNAL_H
#define BANKBANK_PROXY_STATE_HOST_INTERNAL_H

#include "proxy/state_host.h"

/** Opens the stores and the replica of a group member; false: the disk failed. */
bool state_host_open_replica(struct state_host *host);

void state_host_start(struct state_host *host);

/** With `bootstrap` in the settings: forms the group once all seeds are connected. */
void state_host_try_bootstrap(struct state_host *host);

/** Sends at most one request per STATE_HOST_JOIN_RETRY_MS. */
void state_host_request_join(struct state_host *host);

/** Sends the due updates to watchers. */
void state_host_send_updates(struct state_host *host);

void state_host_write_watches(const struct state_host *host, struct buffer *out);

void state_host_write_quotas(const struct state_host *host, struct buffer *out);

/** Leader only: logs the versions of services in its list that the log does not have. */
void state_host_record_versions(struct state_host *host);

/** quarantine_list_suspected() of the logged failures. */
uint64_t *state_host_list_suspected(const struct state_host *host, pb_size_t *count);

/** Handles a REQUEST_FAILURE. */
void state_host_handle_failure(struct state_host *host, uint32_t from, const Request *request);

/** Tells the gateways of operations that the log has quarantined since the last call. */
void state_host_apply_quarantines(struct state_host *host);

/** Whether all connected members can apply entries of the level. Members of an earlier version skip entries of an
 * unknown kind, and could become leader without having applied them. */
bool state_host_members_have_level(const struct state_host *host, uint32_t level);

void state_host_write_quarantine(const struct state_host *host, struct buffer *out);

#endif
