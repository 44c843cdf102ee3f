/**
 * @file config_view.h
 * An immutable, decoded picture of the configuration at one revision. The
 * current one is published through RCU; a request pins one view for its whole
 * life and never sees half a change.
 */
#ifndef BANKBANK_DAEMON_CONFIG_VIEW_H
#define BANKBANK_DAEMON_CONFIG_VIEW_H

#include <stdbool.h>
#include <stdint.h>

#include "core/config_store.h"
#include "operator.pb.h"

/** All resources at one revision. */
struct config_view {
    uint64_t revision;    /**< Configuration revision. */
    long references;      /**< Pins, the publication included. */
    Service *services;    /**< By name, sorted. */
    size_t service_count; /**< Services. */
    Pool *pools;          /**< By name, sorted. */
    size_t pool_count;    /**< Pools. */
    Policy *policies;     /**< By name, sorted. */
    size_t policy_count;  /**< Policies. */
    Tenant *tenants;      /**< By name, sorted. */
    size_t tenant_count;  /**< Tenants. */
};

/** Decodes the store into a new view with one reference. */
struct config_view *config_view_make(const struct config_store *store);

/** Publishes `view` (takes over its reference) and lets the former one go. */
void config_view_publish(struct config_view *view);

/** Pins the current view; NULL before the first publication. */
struct config_view *config_view_pin(void);

/** Gives a pin back. */
void config_view_unpin(struct config_view *view);

/** Lookups; NULL if there is none. */
const Service *config_view_service(const struct config_view *view, const char *name);
const Pool *config_view_pool(const struct config_view *view, const char *name);
const Pool *config_view_pool_of_model(const struct config_view *view, const char *model);
const Policy *config_view_policy(const struct config_view *view, const char *name);
const Tenant *config_view_tenant(const struct config_view *view, const char *name);
const Tenant *config_view_tenant_of_key(const struct config_view *view, const char *api_key);

#endif
