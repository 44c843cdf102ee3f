/**
 * @file address.h
 * IPv4 socket addresses written as IP:PORT.
 */
#ifndef BANKBANK_NET_ADDRESS_H
#define BANKBANK_NET_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

struct address {
    struct sockaddr_in socket;
    char ip[INET_ADDRSTRLEN];
    uint16_t port; /**< In host byte order. */
};

/** Parses "IP:PORT"; returns false if it is malformed. */
bool address_parse(const char *text, struct address *address);

#endif
