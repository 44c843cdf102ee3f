/**
 * @file config_view.h
 * An immutable, decoded snapshot of the configuration at one revision, published
 * through RCU. A request pins one view until it ends, so it never sees part of a
 * change.
 */
#ifndef BANKBANK_DAEMON_CONFIG_VIEW_H
#define BANKBANK_DAEMON_CONFIG_VIEW_H

#include <stdbool.h>
#include <stdint.h>

#include "core/config_store.h"
#include "operator.pb.h"

/** Each array is sorted by name. */
struct config_view {
    uint64_t revision;
    long references; /**< The publication holds one. */
    Service *services;
    size_t service_count;
    Pool *pools;
    size_t pool_count;
    Policy *policies;
    size_t policy_count;
    Tenant *tenants;
    size_t tenant_count;
};

/** Decodes the store; resources that do not decode are skipped. The caller owns the one reference. */
struct config_view *config_view_make(const struct config_store *store);

/** Takes over the caller's reference. Waits for an RCU grace period, then releases the previous view. */
void config_view_publish(struct config_view *view);

/** NULL before the first publication. */
struct config_view *config_view_pin(void);

/** NULL is allowed. */
void config_view_unpin(struct config_view *view);

/** NULL if nothing matches; the result is valid as long as the view is pinned. Of several pools that serve a model, the
 * first by name is returned. */
const Service *config_view_service(const struct config_view *view, const char *name);
const Pool *config_view_pool(const struct config_view *view, const char *name);
const Pool *config_view_pool_of_model(const struct config_view *view, const char *model);
const Policy *config_view_policy(const struct config_view *view, const char *name);
const Tenant *config_view_tenant(const struct config_view *view, const char *name);
const Tenant *config_view_tenant_of_key(const struct config_view *view, const char *api_key);

#endif
