/** The messages between gateways; the classes below {@code generated} are made by protoc from {@code peer.proto}. */
package org.chivecourse.protocol.peer;
