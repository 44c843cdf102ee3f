#include "base/yaml.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <yaml.h>

enum { YAML_MS_PER_S = 1000 };

struct yaml_context {
    const char *name;
    yaml_document_t document;
    struct findings *findings;
};

static void yaml_add_error(const struct yaml_context *context, const yaml_node_t *node, const char *key,
                           const char *text)
{
    struct buffer location = {0};
    buffer_printf(&location, "%s:%zu", context->name, node->start_mark.line + 1);
    if (key != NULL) {
        buffer_printf(&location, ": %s", key);
    }
    findings_add(context->findings, buffer_text(&location), "%s", text);
    buffer_close(&location);
}

static const char *yaml_scalar(const yaml_node_t *node)
{
    return node->type == YAML_SCALAR_NODE ? (const char *)node->data.scalar.value : NULL;
}

static void yaml_read_number(const struct yaml_context *context, const yaml_node_t *node,
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
    char message[128];
    snprintf(message, sizeof(message), "must be a whole number from %" PRIu64 " to %" PRIu64, field->minimum,
             field->maximum);
    yaml_add_error(context, node, field->key, message);
}

static void yaml_read_flag(const struct yaml_context *context, const yaml_node_t *node, const struct yaml_field *field,
                           bool *value)
{
    const char *text = text_or_empty(yaml_scalar(node));
    if (strcmp(text, "true") == 0 || strcmp(text, "false") == 0) {
        *value = text[0] == 't';
        return;
    }
    yaml_add_error(context, node, field->key, "must be true or false");
}

static void yaml_read_seconds(struct yaml_context *context, yaml_node_t *node, const struct yaml_field *field,
                              uint64_t *value)
{
    const char *text = text_or_empty(yaml_scalar(node));
    char *end = NULL;
    double seconds = strtod(text, &end);
    bool valid = end != text && *end == '\0' && seconds >= 0 && seconds * YAML_MS_PER_S <= (double)field->maximum;
    if (!valid) {
        yaml_add_error(context, node, field->key, "must be a number of seconds within the allowed range");
        return;
    }
    *value = (uint64_t)(seconds * YAML_MS_PER_S + 0.5);
}

static void yaml_read_mapping(struct yaml_context *context, yaml_node_t *node, const struct yaml_field *fields,
                              void *record);

static void yaml_read_list(struct yaml_context *context, const yaml_node_t *node, const struct yaml_field *field,
                           struct yaml_list *list)
{
    if (node->type != YAML_SEQUENCE_NODE) {
        yaml_add_error(context, node, field->key, "must be a list");
        return;
    }
    size_t count = (size_t)(node->data.sequence.items.top - node->data.sequence.items.start);
    list->items = memory_new(count * field->item_size);
    list->count = count;
    for (size_t i = 0; i < count; i++) {
        yaml_node_t *item = yaml_document_get_node(&context->document, node->data.sequence.items.start[i]);
        yaml_read_mapping(context, item, field->fields, (char *)list->items + i * field->item_size);
    }
}

static void yaml_read_value(struct yaml_context *context, yaml_node_t *node, const struct yaml_field *field,
                            void *record)
{
    void *value = (char *)record + field->offset;
    switch (field->type) {
    case YAML_TEXT: {
        const char *text = yaml_scalar(node);
        if (text == NULL || text[0] == '\0') {
            yaml_add_error(context, node, field->key, "must be a non-empty string");
            return;
        }
        free(*(char **)value);
        *(char **)value = text_copy(text);
        return;
    }
    case YAML_NUMBER: yaml_read_number(context, node, field, value); return;
    case YAML_SECONDS: yaml_read_seconds(context, node, field, value); return;
    case YAML_FLAG: yaml_read_flag(context, node, field, value); return;
    case YAML_LIST: yaml_read_list(context, node, field, value); return;
    default: return;
    }
}

static const struct yaml_field *yaml_find_field(const struct yaml_field *fields, const char *key)
{
    for (; fields->key != NULL; fields++) {
        if (strcmp(fields->key, key) == 0) {
            return fields;
        }
    }
    return NULL;
}

static bool yaml_has_key(struct yaml_context *context, const yaml_node_t *node, const char *key,
                         const yaml_node_pair_t *end)
{
    for (const yaml_node_pair_t *pair = node->data.mapping.pairs.start; pair < end; pair++) {
        const yaml_node_t *key_node = yaml_document_get_node(&context->document, pair->key);
        if (text_equal(yaml_scalar(key_node), key)) {
            return true;
        }
    }
    return false;
}

static void yaml_read_mapping(struct yaml_context *context, yaml_node_t *node, const struct yaml_field *fields,
                              void *record)
{
    if (node->type != YAML_MAPPING_NODE) {
        yaml_add_error(context, node, NULL, "must be a mapping of keys to values");
        return;
    }
    const yaml_node_pair_t *end = node->data.mapping.pairs.top;
    for (const yaml_node_pair_t *pair = node->data.mapping.pairs.start; pair < end; pair++) {
        const yaml_node_t *key_node = yaml_document_get_node(&context->document, pair->key);
        const char *key = text_or_empty(yaml_scalar(key_node));
        const struct yaml_field *field = yaml_find_field(fields, key);
        if (field == NULL) {
            yaml_add_error(context, key_node, key, "unknown key");
        } else if (yaml_has_key(context, node, key, pair)) {
            yaml_add_error(context, key_node, key, "key appears twice");
        } else {
            yaml_read_value(context, yaml_document_get_node(&context->document, pair->value), field, record);
        }
    }
    for (const struct yaml_field *field = fields; field->key != NULL; field++) {
        if (field->required && !yaml_has_key(context, node, field->key, end)) {
            yaml_add_error(context, node, field->key, "is required but missing");
        }
    }
}

void yaml_read_text(const char *name, const char *text, const struct yaml_field *fields, void *record,
                    struct findings *findings)
{
    struct yaml_context context = {.name = name, .findings = findings};
    yaml_parser_t parser;
    if (yaml_parser_initialize(&parser) == 0) {
        findings_add(findings, name, "cannot initialize the YAML parser");
        return;
    }
    yaml_parser_set_input_string(&parser, (const unsigned char *)text, strlen(text));
    if (yaml_parser_load(&parser, &context.document) == 0) {
        struct buffer location = {0};
        buffer_printf(&location, "%s:%zu", name, parser.problem_mark.line + 1);
        findings_add(findings, buffer_text(&location), "not valid YAML: %s", text_or_empty(parser.problem));
        buffer_close(&location);
    } else {
        yaml_node_t *root = yaml_document_get_root_node(&context.document);
        if (root != NULL) {
            yaml_read_mapping(&context, root, fields, record);
        }
        yaml_document_delete(&context.document);
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
    size_t bytes_read = 0;
    do {
        bytes_read = fread(buffer_reserve(&text, BUFSIZ), 1, BUFSIZ, file);
        text.length += bytes_read;
    } while (bytes_read > 0);
    fclose(file);
    yaml_read_text(path, buffer_text(&text), fields, record, findings);
    buffer_close(&text);
}

void yaml_close(const struct yaml_field *fields, void *record)
{
    for (const struct yaml_field *field = fields; field->key != NULL; field++) {
        void *value = (char *)record + field->offset;
        if (field->type == YAML_TEXT) {
            free(*(char **)value);
            *(char **)value = NULL;
        } else if (field->type == YAML_LIST) {
            struct yaml_list *list = value;
            for (size_t i = 0; i < list->count; i++) {
                yaml_close(field->fields, (char *)list->items + i * field->item_size);
            }
            free(list->items);
            list->items = NULL;
            list->count = 0;
        }
    }
}
