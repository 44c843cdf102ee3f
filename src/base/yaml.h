/**
 * @file yaml.h
 * Reads YAML settings files against a table of allowed keys, types and bounds.
 * Collects every error with file, line and key; uses libyaml's document tree,
 * since libcyaml stops at the first error.
 */
#ifndef BANKBANK_BASE_YAML_H
#define BANKBANK_BASE_YAML_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/findings.h"

enum yaml_type {
    YAML_TEXT,    /**< char *, owned by the settings. */
    YAML_NUMBER,  /**< uint64_t within [minimum, maximum]. */
    YAML_SECONDS, /**< uint64_t in milliseconds, given in the file as decimal seconds; at most `maximum` ms. */
    YAML_FLAG,    /**< bool: true or false. */
    YAML_LIST     /**< struct yaml_list, given as a sequence of mappings. */
};

/** A list of records read from a sequence of mappings. */
struct yaml_list {
    void *items; /**< Owned. */
    size_t count;
};

/** One allowed key of a mapping. */
struct yaml_field {
    const char *key; /**< NULL terminates the table. */
    enum yaml_type type;
    size_t offset;    /**< Offset of the value in the record. */
    uint64_t minimum; /**< YAML_NUMBER only. */
    uint64_t maximum; /**< YAML_NUMBER, and YAML_SECONDS in ms. */
    bool required;
    const struct yaml_field *fields; /**< YAML_LIST: keys of an item. */
    size_t item_size;                /**< YAML_LIST: size of an item's record. */
};

/** Reads `path` into `record`, which holds the defaults; adds errors to `findings`. */
void yaml_read_file(const char *path, const struct yaml_field *fields, void *record, struct findings *findings);

/** Like yaml_read_file() for text in memory; `name` replaces the file name in errors. */
void yaml_read_text(const char *name, const char *text, const struct yaml_field *fields, void *record,
                    struct findings *findings);

/** Frees the strings and lists of a record, but not the record. */
void yaml_close(const struct yaml_field *fields, void *record);

#endif
