#include "base/buffer.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { BUFFER_MIN_CAPACITY = 64 };

void *memory_resize(void *data, size_t size)
{
    void *result = realloc(data, size == 0 ? 1 : size);
    if (result == NULL) {
        fputs("memory: allocation failed, aborting\n", stderr);
        abort();
    }
    return result;
}

void *memory_new(size_t size)
{
    void *result = memory_resize(NULL, size);
    memset(result, 0, size);
    return result;
}

char *memory_copy(const void *data, size_t length)
{
    char *copy = memory_resize(NULL, length + 1);
    if (length > 0) {
        memcpy(copy, data, length);
    }
    copy[length] = '\0';
    return copy;
}

char *text_copy(const char *text)
{
    return memory_copy(text, text == NULL ? 0 : strlen(text));
}

const char *text_or_empty(const char *text)
{
    return text == NULL ? "" : text;
}

bool text_equal(const char *a, const char *b)
{
    return strcmp(text_or_empty(a), text_or_empty(b)) == 0;
}

void buffer_close(struct buffer *buffer)
{
    free(buffer->data);
    memset(buffer, 0, sizeof(*buffer));
}

void buffer_clear(struct buffer *buffer)
{
    buffer->length = 0;
}

void buffer_clear_and_trim(struct buffer *buffer, size_t max_capacity)
{
    buffer->length = 0;
    if (buffer->capacity > max_capacity) {
        buffer_close(buffer);
    }
}

uint8_t *buffer_reserve(struct buffer *buffer, size_t extra)
{
    size_t needed = buffer->length + extra;
    if (needed > buffer->capacity || buffer->data == NULL) {
        size_t capacity = buffer->capacity < BUFFER_MIN_CAPACITY ? BUFFER_MIN_CAPACITY : buffer->capacity;
        while (capacity < needed) {
            capacity *= 2;
        }
        buffer->data = memory_resize(buffer->data, capacity);
        buffer->capacity = capacity;
    }
    return buffer->data + buffer->length;
}

void buffer_set_capacity(struct buffer *buffer, size_t capacity)
{
    if (capacity > buffer->capacity) {
        buffer->data = memory_resize(buffer->data, capacity);
        buffer->capacity = capacity;
    }
}

void buffer_append(struct buffer *buffer, const void *data, size_t length)
{
    if (length == 0) {
        return;
    }
    memcpy(buffer_reserve(buffer, length), data, length);
    buffer->length += length;
}

void buffer_append_within(struct buffer *buffer, const void *data, size_t length, size_t max_capacity)
{
    size_t needed = buffer->length + length;
    if (needed > buffer->capacity && needed <= max_capacity && needed > max_capacity / 2) {
        buffer_set_capacity(buffer, max_capacity); /* doubling would exceed it */
    }
    buffer_append(buffer, data, length);
}

void buffer_append_text(struct buffer *buffer, const char *text)
{
    if (text != NULL) {
        buffer_append(buffer, text, strlen(text));
    }
}

void buffer_printf(struct buffer *buffer, const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    va_list arguments_copy;
    va_copy(arguments_copy, arguments);
    int length = vsnprintf(NULL, 0, format, arguments);
    va_end(arguments);
    if (length > 0) {
        uint8_t *target = buffer_reserve(buffer, (size_t)length + 1);
        vsnprintf((char *)target, (size_t)length + 1, format, arguments_copy);
        buffer->length += (size_t)length;
    }
    va_end(arguments_copy);
}

void buffer_consume(struct buffer *buffer, size_t length)
{
    if (length >= buffer->length) {
        buffer->length = 0;
        return;
    }
    memmove(buffer->data, buffer->data + length, buffer->length - length);
    buffer->length -= length;
}

char *buffer_text(struct buffer *buffer)
{
    *buffer_reserve(buffer, 1) = '\0';
    return (char *)buffer->data;
}

struct view buffer_view(const struct buffer *buffer)
{
    return view_of(buffer->data, buffer->length);
}
