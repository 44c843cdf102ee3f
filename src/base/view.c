#include "base/view.h"

#include <string.h>

#include <pb_decode.h>
#include <pb_encode.h>

struct view view_of(const void *data, size_t length)
{
    struct view view = {.data = data, .length = length};
    return view;
}

struct view view_of_string(const char *text)
{
    return view_of(text, text == NULL ? 0 : strlen(text));
}

static bool view_decode(pb_istream_t *stream, struct view *view)
{
    /* A stream made by pb_istream_from_buffer keeps its position in `state`. */
    view->data = stream->state;
    view->length = stream->bytes_left;
    return pb_read(stream, NULL, stream->bytes_left);
}

static bool view_encode(pb_ostream_t *stream, const pb_field_t *field, const struct view *view)
{
    if (view->length == 0) {
        return true;
    }
    if (!pb_encode_tag_for_field(stream, field)) {
        return false;
    }
    return pb_encode_string(stream, view->data, view->length);
}

bool view_field(pb_istream_t *istream, pb_ostream_t *ostream, const pb_field_t *field)
{
    if (PB_LTYPE(field->type) != PB_LTYPE_BYTES || PB_ATYPE(field->type) != PB_ATYPE_CALLBACK) {
        return true;
    }
    if (istream != NULL) {
        return view_decode(istream, field->pData);
    }
    return view_encode(ostream, field, field->pData);
}
