/**
 * The messages that gateways exchange: their encoding in datagrams and replies, their validation, and their
 * authentication with a shared key. The classes in {@code generated} are created by protoc from {@code peer.proto}.
 */
package org.chivecourse.protocol.peer;
