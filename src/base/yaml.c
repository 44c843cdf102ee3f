#include "base/yaml.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <yaml.h>

enum { YAML_MS_PER_S = 1000 };

/* The document being checked. */
struct yaml_reading {
    const char *name;
    yaml_document_t document;
    struct findings *findings;
};

static void yaml_fault(const struct yaml_reading *reading, const yaml_node_t *node, const char *key, const char *text)
{
    struct buffer place = {0};
    buffer_printf(&place, "%s:%zu", reading->name, node->start_mark.line + 1);
    if (key != NULL) {
        buffer_printf(&place, ": %s", key);
    }
    findings_add(reading->findings, buffer_text(&place), "%s", text);
    buffer_close(&place);
}

static const char *yaml_scalar(const yaml_node_t *node)
{
    return node->type == YAML_SCALAR_NODE ? (const char *)node->data.scalar.value : NULL;
}

static void yaml_read_number(const struct yaml_reading *reading, const yaml_node_t *node,
                             const struct yaml_field *field, uint64_t *value)
{
    const char *text = yaml_scalar(node);
    char *end = NULL;
    errno = 0;
    uint64_t number = text == NULL ? 0 : strtoull(text, &end, 10);
    bool valid = text != NULL && text[0] >= '0' && text[0] <= '9' && *end == '\0' && errno == 0;
    if (valid && number >= field->minimum && number <= field->maximum) {
        *value = number;
        return;
    }
    char fault[128];
    snprintf(fault, sizeof(fault), "must be a whole number from %" PRIu64 " to %" PRIu64, field->minimum,
             field->maximum);
    yaml_fault(reading, node, field->key, fault);
}

static void yaml_read_flag(const struct yaml_reading *reading, const yaml_node_t *node, const struct yaml_field *field,
                           bool *value)
{
    const char *text = text_or_empty(yaml_scalar(node));
    if (strcmp(text, "true") == 0 || strcmp(text, "false") == 0) {
        *value = text[0] == 't';
        return;
    }
    yaml_fault(reading, node, field->key, "must be true or false");
}

static void yaml_read_seconds(struct yaml_reading *reading, yaml_node_t *node, const struct yaml_field *field,
                              uint64_t *value)
{
    const char *text = text_or_empty(yaml_scalar(node));
    char *end = NULL;
    double seconds = strtod(text, &end);
    bool valid = end != text && *end == '\0' && seconds >= 0 && seconds * YAML_MS_PER_S <= (double)field->maximum;
    if (!valid) {
        yaml_fault(reading, node, field->key, "must be a number of seconds within the limits");
        return;
    }
    *value = (uint64_t)(seconds * YAML_MS_PER_S + 0.5);
}

static void yaml_read_mapping(struct yaml_reading *reading, yaml_node_t *node, const struct yaml_field *fields,
                              void *record);

static void yaml_read_list(struct yaml_reading *reading, const yaml_node_t *node, const struct yaml_field *field,
                           struct yaml_list *list)
{
    if (node->type != YAML_SEQUENCE_NODE) {
        yaml_fault(reading, node, field->key, "must be a list");
        return;
    }
    size_t count = (size_t)(node->data.sequence.items.top - node->data.sequence.items.start);
    list->items = memory_new(count * field->item_size);
    list->count = count;
    for (size_t i = 0; i < count; i++) {
        yaml_node_t *item = yaml_document_get_node(&reading->document, node->data.sequence.items.start[i]);
        yaml_read_mapping(reading, item, field->fields, (char *)list->items + i * field->item_size);
    }
}

static void yaml_read_value(struct yaml_reading *reading, yaml_node_t *node, const struct yaml_field *field,
                            void *record)
{
    void *place = (char *)record + field->offset;
    switch (field->type) {
    case YAML_TEXT: {
        const char *text = yaml_scalar(node);
        if (text == NULL || text[0] == '\0') {
            yaml_fault(reading, node, field->key, "must be a text that is not empty");
            return;
        }
        free(*(char **)place);
        *(char **)place = text_copy(text);
        return;
    }
    case YAML_NUMBER: yaml_read_number(reading, node, field, place); return;
    case YAML_SECONDS: yaml_read_seconds(reading, node, field, place); return;
    case YAML_FLAG: yaml_read_flag(reading, node, field, place); return;
    case YAML_LIST: yaml_read_list(reading, node, field, place); return;
    default: return;
    }
}

static const struct yaml_field *yaml_find(const struct yaml_field *fields, const char *key)
{
    for (; fields->key != NULL; fields++) {
        if (strcmp(fields->key, key) == 0) {
            return fields;
        }
    }
    return NULL;
}

static bool yaml_has_key(struct yaml_reading *reading, const yaml_node_t *node, const char *key,
                         const yaml_node_pair_t *before)
{
    for (const yaml_node_pair_t *pair = node->data.mapping.pairs.start; pair < before; pair++) {
        const yaml_node_t *name = yaml_document_get_node(&reading->document, pair->key);
        if (text_equal(yaml_scalar(name), key)) {
            return true;
        }
    }
    return false;
}

static void yaml_read_mapping(struct yaml_reading *reading, yaml_node_t *node, const struct yaml_field *fields,
                              void *record)
{
    if (node->type != YAML_MAPPING_NODE) {
        yaml_fault(reading, node, NULL, "must be a mapping of keys to values");
        return;
    }
    const yaml_node_pair_t *end = node->data.mapping.pairs.top;
    for (const yaml_node_pair_t *pair = node->data.mapping.pairs.start; pair < end; pair++) {
        const yaml_node_t *name = yaml_document_get_node(&reading->document, pair->key);
        const char *key = text_or_empty(yaml_scalar(name));
        const struct yaml_field *field = yaml_find(fields, key);
        if (field == NULL) {
            yaml_fault(reading, name, key, "unknown key");
        } else if (yaml_has_key(reading, node, key, pair)) {
            yaml_fault(reading, name, key, "stands twice");
        } else {
            yaml_read_value(reading, yaml_document_get_node(&reading->document, pair->value), field, record);
        }
    }
    for (const struct yaml_field *field = fields; field->key != NULL; field++) {
        if (field->required && !yaml_has_key(reading, node, field->key, end)) {
            yaml_fault(reading, node, field->key, "is required and missing");
        }
    }
}

void yaml_read_text(const char *name, const char *text, const struct yaml_field *fields, void *record,
                    struct findings *findings)
{
    struct yaml_reading reading = {.name = name, .findings = findings};
    yaml_parser_t parser;
    if (yaml_parser_initialize(&parser) == 0) {
        findings_add(findings, name, "the YAML parser cannot start");
        return;
    }
    yaml_parser_set_input_string(&parser, (const unsigned char *)text, strlen(text));
    if (yaml_parser_load(&parser, &reading.document) == 0) {
        struct buffer place = {0};
        buffer_printf(&place, "%s:%zu", name, parser.problem_mark.line + 1);
        findings_add(findings, buffer_text(&place), "not valid YAML: %s", text_or_empty(parser.problem));
        buffer_close(&place);
    } else {
        yaml_node_t *root = yaml_document_get_root_node(&reading.document);
        if (root != NULL) {
            yaml_read_mapping(&reading, root, fields, record);
        }
        yaml_document_delete(&reading.document);
    }
    yaml_parser_delete(&parser);
}

void yaml_read_file(const char *path, const struct yaml_field *fields, void *record, struct findings *findings)
{
    FILE *file = fopen(path, "rb");
    if (file == NULL) {
        findings_add(findings, path, "cannot be read: %s", strerror(errno));
        return;
    }
    struct buffer text = {0};
    size_t got = 0;
    do {
        got = fread(buffer_reserve(&text, BUFSIZ), 1, BUFSIZ, file);
        text.length += got;
    } while (got > 0);
    fclose(file);
    yaml_read_text(path, buffer_text(&text), fields, record, findings);
    buffer_close(&text);
}

void yaml_close(const struct yaml_field *fields, void *record)
{
    for (const struct yaml_field *field = fields; field->key != NULL; field++) {
        void *place = (char *)record + field->offset;
        if (field->type == YAML_TEXT) {
            free(*(char **)place);
            *(char **)place = NULL;
        } else if (field->type == YAML_LIST) {
            struct yaml_list *list = place;
            for (size_t i = 0; i < list->count; i++) {
                yaml_close(field->fields, (char *)list->items + i * field->item_size);
            }
            free(list->items);
            list->items = NULL;
            list->count = 0;
        }
    }
}
