/**
 * @file yaml.h
 * Reads settings files: a table of allowed keys with types and bounds is
 * checked against the whole YAML document, and every fault is collected with
 * file, line and key. Built on libyaml's document tree; libcyaml stops at the
 * first fault.
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
    YAML_SECONDS, /**< uint64_t milliseconds, written as decimal seconds; at most `maximum` ms. */
    YAML_FLAG,    /**< bool: true or false. */
    YAML_LIST     /**< Sequence of mappings: a struct yaml_list. */
};

/** A list of records read from a sequence of mappings. */
struct yaml_list {
    void *items;  /**< Owned array of records. */
    size_t count; /**< Records. */
};

/** One allowed key of a mapping. */
struct yaml_field {
    const char *key;                 /**< Name in the file; NULL ends a table. */
    enum yaml_type type;             /**< Type. */
    size_t offset;                   /**< Place of the value in the record. */
    uint64_t minimum;                /**< YAML_NUMBER: least value. */
    uint64_t maximum;                /**< YAML_NUMBER: greatest value. */
    bool required;                   /**< Absence is a fault. */
    const struct yaml_field *fields; /**< YAML_LIST: keys of an item. */
    size_t item_size;                /**< YAML_LIST: bytes of an item's record. */
};

/** Reads `path` into `record`, which holds the defaults; adds faults to `findings`. */
void yaml_read_file(const char *path, const struct yaml_field *fields, void *record, struct findings *findings);

/** The same for text in memory; `name` stands for the file name in faults. */
void yaml_read_text(const char *name, const char *text, const struct yaml_field *fields, void *record,
                    struct findings *findings);

/** Frees texts and lists of a record. */
void yaml_close(const struct yaml_field *fields, void *record);

#endif
