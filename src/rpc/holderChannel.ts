/** Settings of the gRPC channels between entry instances and holders. */
import type { ChannelOptions } from "@grpc/grpc-js";

/** Full path of the method that carries statements and answers. */
export const workMethod = "/jasmineline.v1.Holder/Work";

/** A result set must fit into one message. */
const largestMessageBytes = 64 * 1024 * 1024;

/**
 * For clients and servers of `Holder.Work`. A silent peer is found after 3 s at most; the lease of a silent holder
 * lasts no longer.
 */
export const holderChannelOptions: ChannelOptions = {
    "grpc.keepalive_time_ms": 2_000,
    "grpc.keepalive_timeout_ms": 1_000,
    "grpc.keepalive_permit_without_calls": 1,
    "grpc.max_receive_message_length": largestMessageBytes,
    "grpc.max_send_message_length": largestMessageBytes,
    "grpc.initial_reconnect_backoff_ms": 100,
    "grpc.max_reconnect_backoff_ms": 1_000,
};
