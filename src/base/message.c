#include "base/message.h"

#include <pb_decode.h>
#include <pb_encode.h>

bool message_encode(struct buffer *out, const pb_msgdesc_t *fields, const void *message)
{
    size_t size = 0;
    if (!pb_get_encoded_size(&size, fields, message)) {
        return false;
    }
    uint8_t *target = buffer_reserve(out, size);
    pb_ostream_t stream = pb_ostream_from_buffer(target, size);
    if (!pb_encode(&stream, fields, message)) {
        return false;
    }
    out->length += size;
    return true;
}

bool message_decode(struct view data, const pb_msgdesc_t *fields, void *message)
{
    static const uint8_t empty[1];
    pb_istream_t stream = pb_istream_from_buffer(data.length == 0 ? empty : data.data, data.length);
    return pb_decode(&stream, fields, message);
}

void message_free(const pb_msgdesc_t *fields, void *message)
{
    pb_release(fields, message);
}
