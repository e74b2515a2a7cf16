/** Construction of gRPC servers and clients whose calls are authenticated and whose connections are kept alive. */
import {
    type ChannelOptions,
    type ClientOptions,
    InterceptingCall,
    type Interceptor,
    Server,
    ServerCredentials,
    ServerInterceptingCall,
    type ServerInterceptor,
} from "@grpc/grpc-js";
import type { PeerAuthentication } from "./peerAuthentication.ts";

/**
 * Idle time before a ping, and the wait for its answer: a silent connection is closed after at most 3 s. The lease of
 * a silent holder lasts no longer.
 */
const keepaliveIntervalMs = 2_000;
const keepaliveTimeoutMs = 1_000;

/** A result set must fit into one message, and the gRPC default of 4 MB is below the size of large ones. */
const maximumMessageBytes = 64 * 1024 * 1024;

/** Time for what was written last to reach peers at the end; a part of what is kept before the kill. */
const endLimitMs = 100;

const channelOptions: ChannelOptions = {
    "grpc.keepalive_time_ms": keepaliveIntervalMs,
    "grpc.keepalive_timeout_ms": keepaliveTimeoutMs,
    "grpc.keepalive_permit_without_calls": 1,
    "grpc.max_receive_message_length": maximumMessageBytes,
    "grpc.max_send_message_length": maximumMessageBytes,
};

const clientOptions: ChannelOptions = {
    ...channelOptions,
    "grpc.initial_reconnect_backoff_ms": 100,
    "grpc.max_reconnect_backoff_ms": 1_000,
    // A statement that must not be repeated may not be sent again below the request pipe.
    "grpc.enable_retries": 0,
    // Peers are reached by IP address; a proxy from the environment would intercept them.
    "grpc.enable_http_proxy": 0,
    "grpc.service_config_disable_resolution": 1,
};

/** A server that refuses every call without valid peer authentication. Add services, then `listen`. */
export function createPeerServer(authentication: PeerAuthentication): Server {
    return new Server({ ...channelOptions, interceptors: [checkingInterceptor(authentication)] });
}

/** Binds `host:port` (port 0 picks a free one) and returns the bound port. */
export function listen(server: Server, address: string): Promise<number> {
    return new Promise((resolve, reject) => {
        server.bindAsync(address, ServerCredentials.createInsecure(), (error, port) => {
            if (error) {
                reject(error);
            }
            else {
                resolve(port);
            }
        });
    });
}

/** Ends a server behind what was written on calls that have ended; calls that go on are cut off after 100 ms. */
export function shutDownServer(server: Server): Promise<void> {
    return new Promise(resolve => {
        const timer = setTimeout(() => {
            server.forceShutdown();
            resolve();
        }, endLimitMs);
        server.tryShutdown(() => {
            clearTimeout(timer);
            resolve();
        });
    });
}

/** Options for the constructor of a generated client; every call is signed. */
export function peerClientOptions(authentication: PeerAuthentication): Partial<ClientOptions> {
    return { ...clientOptions, interceptors: [signingInterceptor(authentication)] };
}

function signingInterceptor(authentication: PeerAuthentication): Interceptor {
    return (options, nextCall) =>
        new InterceptingCall(nextCall(options), {
            start(metadata, listener, next) {
                authentication.sign(metadata, options.method_definition.path);
                next(metadata, listener);
            },
        });
}

function checkingInterceptor(authentication: PeerAuthentication): ServerInterceptor {
    return (descriptor, call) =>
        new ServerInterceptingCall(call, {
            start(next) {
                next({
                    onReceiveMetadata(metadata, pass) {
                        const result = authentication.authenticate(metadata, descriptor.path);
                        if (result.accepted) {
                            pass(metadata);
                        }
                        else {
                            call.sendStatus({ code: result.code, details: result.details });
                        }
                    },
                });
            },
        });
}
