#include "base/findings.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

enum { FINDING_TEXT_MAX = 512 };

void findings_add(struct findings *findings, const char *location, const char *format, ...)
{
    if (findings_is_full(findings)) {
        findings->has_more = true;
        return;
    }
    char text[FINDING_TEXT_MAX];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    findings->items = memory_resize(findings->items, (findings->count + 1) * sizeof(*findings->items));
    struct finding *finding = &findings->items[findings->count++];
    finding->location = text_copy(location);
    finding->text = text_copy(text);
}

bool findings_is_full(const struct findings *findings)
{
    return findings->count >= FINDINGS_MAX;
}

void findings_report(const struct findings *findings, struct buffer *out)
{
    for (size_t i = 0; i < findings->count; i++) {
        buffer_printf(out, "%s: %s\n", findings->items[i].location, findings->items[i].text);
    }
    if (findings->has_more) {
        buffer_append_text(out, "further errors: are not listed\n");
    }
}

void findings_close(struct findings *findings)
{
    for (size_t i = 0; i < findings->count; i++) {
        free(findings->items[i].location);
        free(findings->items[i].text);
    }
    free(findings->items);
    findings->items = NULL;
    findings->count = 0;
    findings->has_more = false;
}
