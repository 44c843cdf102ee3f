/**
 * @file ctl.h
 * Parts of bankbankctl, the operators' command line.
 */
#ifndef BANKBANK_CTL_CTL_H
#define BANKBANK_CTL_CTL_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "base/buffer.h"
#include "operator.pb.h"

enum { CTL_EXIT_FAILURE = 1, CTL_EXIT_USAGE = 2 };

/** Options of all commands. */
struct ctl_options {
    const char *server;         /**< IP:PORT of a daemon's operator address. */
    bool json;                  /**< Print JSON in place of tables. */
    const char *request_id;     /**< Id for safe resends; NULL: a random one. */
    uint64_t expected_revision; /**< 0: no expectation. */
    uint32_t timeout_ms;        /**< Time for `wait`. */
    const char *old_site;       /**< URL of the old site, for hand-overs. */
    const char *old_site_name;  /**< Its name told to callers. */
    uint64_t epoch;             /**< Hand-over epoch. */
};

/** Type of a resource's field. */
enum ctl_field_type { CTL_TEXT, CTL_UINT32, CTL_UINT64, CTL_PLACEMENT, CTL_ENGINES, CTL_BACKENDS };

/** A field of a resource. */
struct ctl_field {
    const char *key;          /**< Name on the command line and in JSON; NULL ends a table. */
    enum ctl_field_type type; /**< Type. */
    size_t offset;            /**< Place in the message. */
};

/** A kind of resource. */
struct ctl_kind {
    const char *name;              /**< Name on the command line. */
    const char *singular;          /**< Part of the method names. */
    const char *plural;            /**< Part of the List method's name. */
    const pb_msgdesc_t *fields;    /**< Message. */
    size_t size;                   /**< Bytes of the message. */
    const struct ctl_field *table; /**< Its fields. */
};

/** Finds a kind by name, or NULL. */
const struct ctl_kind *ctl_kind_find(const char *name);

/** Sets fields from "key=value" arguments; false, with a message on stderr, on a fault. */
bool ctl_resource_parse(const struct ctl_kind *kind, void *resource, int count, char **arguments);

/** The resource as JSON. */
json_t *ctl_resource_json(const struct ctl_kind *kind, const void *resource);

/** Prints a list of JSON objects as a table. */
void ctl_print_table(const struct ctl_kind *kind, const json_t *list);

/** Calls a method; false, with the error on stderr. `reply` gets the encoded answer. */
bool ctl_call(const struct ctl_options *options, const char *method, const pb_msgdesc_t *fields, const void *request,
              struct buffer *reply);

/** Sends JSON to a URL and reads JSON; NULL, with the error on stderr. */
json_t *ctl_post_json(const char *url, const json_t *body);

/** Runs "explain ID LOGFILE...": what became of a request, by the daemons' structured logs. */
int ctl_explain(int count, char **arguments);

/** Runs "handover ..." and returns the exit status. */
int ctl_handover(const struct ctl_options *options, int count, char **arguments);

#endif
