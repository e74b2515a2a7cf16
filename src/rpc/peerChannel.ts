/** Creates gRPC servers and client options with peer authentication and keepalive. */
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
 * Idle time before a keepalive ping, and timeout of its answer: an unresponsive connection is closed after at most 3 s.
 * The lease of an unresponsive holder lasts no longer than this.
 */
const keepaliveIntervalMs = 2_000;
const keepaliveTimeoutMs = 1_000;

/** A result set must fit into one message; large result sets exceed the gRPC default of 4 MB. */
const maximumMessageBytes = 64 * 1024 * 1024;

/** Longest time for the last messages to reach peers in a shutdown; one that is out of reach never receives them. */
export const longestShutdownMs = 1_000;

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
    // Transparent retries of gRPC could run a statement twice; only the request pipe decides which statements are
    // repeated.
    "grpc.enable_retries": 0,
    // Peers are addressed by IP; an HTTP proxy from environment variables would intercept these connections.
    "grpc.enable_http_proxy": 0,
    "grpc.service_config_disable_resolution": 1,
};

/** Creates a server that refuses calls without valid peer authentication. Add services before calling `listen`. */
export function createPeerServer(authentication: PeerAuthentication): Server {
    return new Server({ ...channelOptions, interceptors: [authenticatingInterceptor(authentication)] });
}

/** Binds `host:port` (port 0 selects a free port) and returns the bound port. */
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

/**
 * Shuts down a server after the last messages of completed calls are written.
 * @param limitMs time after which the other calls are cancelled
 */
export function shutDownServer(server: Server, limitMs: number = longestShutdownMs): Promise<void> {
    return new Promise(resolve => {
        const timer = setTimeout(() => {
            server.forceShutdown();
            resolve();
        }, limitMs);
        server.tryShutdown(() => {
            clearTimeout(timer);
            resolve();
        });
    });
}

/** Options for the constructor of a generated client. All calls of the client are signed. */
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

function authenticatingInterceptor(authentication: PeerAuthentication): ServerInterceptor {
    return (descriptor, call) =>
        new ServerInterceptingCall(call, {
            start(next) {
                next({
                    onReceiveMetadata(metadata, forward) {
                        const result = authentication.authenticate(metadata, descriptor.path);
                        if (result.accepted) {
                            forward(metadata);
                        }
                        else {
                            call.sendStatus({ code: result.code, details: result.details });
                        }
                    },
                });
            },
        });
}
