/**
 * @file ctl.h
 * Internal interface of bankbankctl, the operators' command-line tool.
 */
#ifndef BANKBANK_CTL_CTL_H
#define BANKBANK_CTL_CTL_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "base/buffer.h"
#include "operator.pb.h"

enum { CTL_EXIT_FAILURE = 1, CTL_EXIT_USAGE = 2 };

struct ctl_options {
    const char *server;         /**< IP:PORT of a daemon's operator address. */
    bool json;                  /**< Print JSON, not tables. */
    const char *request_id;     /**< Idempotency id of a change; NULL: a random one. */
    uint64_t expected_revision; /**< Revision required for a change; 0: any. */
    uint32_t timeout_ms;        /**< Timeout of `wait` and `replica`; 0: the daemon's default. */
    const char *old_site;       /**< URL of the old site, for hand-overs. */
    const char *old_site_name;  /**< Name of the old site that is reported to callers. */
    uint64_t epoch; /**< Fencing epoch under which the old site owns a program until the commit of its hand-over; the
                       same in all steps. */
};

enum ctl_field_type { CTL_TEXT, CTL_UINT32, CTL_UINT64, CTL_PLACEMENT, CTL_ENGINES, CTL_BACKENDS };

/** A field of a resource, in a table that ends with a NULL key. */
struct ctl_field {
    const char *key; /**< Name on the command line and in JSON. */
    enum ctl_field_type type;
    size_t offset; /**< Offset in the message struct, bytes; not used for engines and backends. */
};

/** A kind of resource. */
struct ctl_kind {
    const char *name;     /**< Name on the command line. */
    const char *singular; /**< Noun in method names such as CreatePool. */
    const char *plural;   /**< Noun in the name of the List method. */
    const pb_msgdesc_t *descriptor;
    size_t size; /**< Size of the message struct, bytes. */
    const struct ctl_field *fields;
};

/** Returns NULL for an unknown name. */
const struct ctl_kind *ctl_kind_find(const char *name);

/** Sets fields from "key=value" arguments. Reports each invalid one on stderr and returns false. */
bool ctl_resource_parse(const struct ctl_kind *kind, void *resource, int count, char **arguments);

/** The caller owns the result. */
json_t *ctl_resource_json(const struct ctl_kind *kind, const void *resource);

/** Prints the objects of a JSON array as a table. */
void ctl_print_table(const struct ctl_kind *kind, const json_t *list);

/** Calls an RPC method; `reply` receives the encoded response. On failure reports the error on stderr and returns
 * false. */
bool ctl_call(const struct ctl_options *options, const char *method, const pb_msgdesc_t *fields, const void *request,
              struct buffer *reply);

/** Posts JSON and returns the JSON response, owned by the caller. On failure reports the error on stderr and returns
 * NULL; a response that is not JSON also returns NULL, without a report. */
json_t *ctl_post_json(const char *url, const json_t *body);

/** Runs "explain ID LOGFILE..." and returns the exit status. */
int ctl_explain(int count, char **arguments);

/** Runs "handover ..." and returns the exit status. */
int ctl_handover(const struct ctl_options *options, int count, char **arguments);

#endif
