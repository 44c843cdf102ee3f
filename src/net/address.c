#include "net/address.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

enum { ADDRESS_MAX_PORT = 65535 };

bool address_parse(const char *text, struct address *address)
{
    memset(address, 0, sizeof(*address));
    const char *colon = text == NULL ? NULL : strrchr(text, ':');
    if (colon == NULL || (size_t)(colon - text) >= sizeof(address->ip) || colon[1] < '0' || colon[1] > '9') {
        return false;
    }
    memcpy(address->ip, text, (size_t)(colon - text));
    char *end = NULL;
    unsigned long port = strtoul(colon + 1, &end, 10);
    if (*end != '\0' || port > ADDRESS_MAX_PORT) {
        return false;
    }
    address->port = (uint16_t)port;
    address->socket.sin_family = AF_INET;
    address->socket.sin_port = htons(address->port);
    return inet_pton(AF_INET, address->ip, &address->socket.sin_addr) == 1;
}
