/**
 * @file state_host_internal.h
 * Functions shared by the parts of a replica's host; not for others.
 *
 *   state_host.c          lifecycle, roles, memory, what it has learnt, metrics
 *   state_host_daemons.c  what other daemons ask of it: watches, loads, quotas
 *   state_host_disk.c     the replica's effects on disk and network, opening
 *   state_host_join.c     how a replica comes to belong to a group
 */
#ifndef BANKBANK_PROXY_STATE_HOST_INTERNAL_H
#define BANKBANK_PROXY_STATE_HOST_INTERNAL_H

#include "proxy/state_host.h"

/** Opens log and replica of a member; false: the disk failed. */
bool state_host_open_replica(struct state_host *host);

/** The replica begins to run. */
void state_host_start(struct state_host *host);

/** At the first start of the site: forms the group once all seeds are known. */
void state_host_try_bootstrap(struct state_host *host);

/** Asks the leader to be taken in, at most each STATE_HOST_JOIN_MS. */
void state_host_ask_to_join(struct state_host *host);

/** Tells its watchers what they lack and may be told now. */
void state_host_tell_owed(struct state_host *host);

/** Writes the metrics of tenants' quotas. */
void state_host_write_quotas(const struct state_host *host, struct buffer *out);

#endif
