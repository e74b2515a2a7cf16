/**
 * Authentication of calls between processes of one cluster. Each call carries the cluster name, the protocol version,
 * the caller's instance id, a random nonce and an HMAC-SHA256 over `nonce|instance|cluster|method` under the cluster
 * secret. The secret itself is never sent.
 */
import { Metadata, status } from "@grpc/grpc-js";
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";

/** Raised by each change that peers of the previous version cannot understand. */
export const protocolVersion = 1;

const Header = {
    Cluster: "x-jasmineline-cluster",
    Protocol: "x-jasmineline-protocol",
    Instance: "x-jasmineline-instance",
    Nonce: "x-jasmineline-nonce",
    Signature: "x-jasmineline-signature",
} as const;

const namePattern = /^[a-zA-Z0-9_.-]{1,64}$/;
const noncePattern = /^[0-9a-f]{32}$/;

/** A short secret can be guessed from one recorded call. */
const minimumSecretLength = 16;

export interface PeerAuthenticationOptions {
    readonly cluster: string;
    readonly instanceId: string;
    /** Shared by all processes of the cluster, at least 16 characters. */
    readonly secret: string;
}

/** Result of the check of a call. */
export type AuthenticationResult =
    | { readonly accepted: true; readonly instanceId: string; }
    | { readonly accepted: false; readonly code: status; readonly details: string; };

/** Signs outgoing calls and checks incoming ones. */
export class PeerAuthentication {
    private readonly options: PeerAuthenticationOptions;
    private refusals = 0;

    constructor(options: PeerAuthenticationOptions) {
        requireName("cluster", options.cluster);
        requireName("instance id", options.instanceId);
        if (options.secret.length < minimumSecretLength) {
            throw new Error(`the cluster secret needs at least ${minimumSecretLength} characters`);
        }
        this.options = options;
    }

    /** Number of incoming calls refused so far. */
    get refusedCallCount(): number {
        return this.refusals;
    }

    /**
     * Metadata that authenticates one outgoing call.
     * @param method full path of the method, for example `/jasmineline.v1.Holder/Work`
     */
    createMetadata(method: string): Metadata {
        const metadata = new Metadata();
        this.sign(metadata, method);
        return metadata;
    }

    /** Adds the authentication of one outgoing call to existing metadata. */
    sign(metadata: Metadata, method: string): void {
        const { cluster, instanceId } = this.options;
        const nonce = randomBytes(16).toString("hex");
        metadata.set(Header.Cluster, cluster);
        metadata.set(Header.Protocol, String(protocolVersion));
        metadata.set(Header.Instance, instanceId);
        metadata.set(Header.Nonce, nonce);
        metadata.set(Header.Signature, this.signature(nonce, instanceId, method).toString("hex"));
    }

    /** Checks an incoming call and counts it when it is refused. */
    authenticate(metadata: Metadata, method: string): AuthenticationResult {
        const result = this.examine(metadata, method);
        if (!result.accepted) {
            this.refusals += 1;
        }
        return result;
    }

    private examine(metadata: Metadata, method: string): AuthenticationResult {
        const cluster = header(metadata, Header.Cluster);
        if (cluster !== this.options.cluster) {
            return refused(status.PERMISSION_DENIED, `cluster "${cluster}" is not "${this.options.cluster}"`);
        }
        const version = header(metadata, Header.Protocol);
        if (version !== String(protocolVersion)) {
            const text = `protocol version "${version}" is not ${protocolVersion}; run the same release everywhere`;
            return refused(status.FAILED_PRECONDITION, text);
        }
        const instanceId = header(metadata, Header.Instance);
        const nonce = header(metadata, Header.Nonce);
        if (!namePattern.test(instanceId) || !noncePattern.test(nonce)) {
            return refused(status.UNAUTHENTICATED, "malformed peer authentication");
        }
        const expected = this.signature(nonce, instanceId, method);
        if (!equalBytes(expected, Buffer.from(header(metadata, Header.Signature), "hex"))) {
            return refused(
                status.UNAUTHENTICATED,
                "wrong signature; check that all instances share one cluster secret",
            );
        }
        return { accepted: true, instanceId };
    }

    private signature(nonce: string, instanceId: string, method: string): Buffer {
        const { cluster, secret } = this.options;
        return createHmac("sha256", secret).update(`${nonce}|${instanceId}|${cluster}|${method}`).digest();
    }
}

/** Instance id of the caller of an accepted call. */
export function callerInstanceId(metadata: Metadata): string {
    return header(metadata, Header.Instance);
}

function refused(code: status, details: string): AuthenticationResult {
    return { accepted: false, code, details };
}

function header(metadata: Metadata, name: string): string {
    return String(metadata.get(name)[0] ?? "").slice(0, 256);
}

function equalBytes(left: Buffer, right: Buffer): boolean {
    return left.length === right.length && timingSafeEqual(left, right);
}

function requireName(what: string, name: string): void {
    if (!namePattern.test(name)) {
        throw new Error(`the ${what} "${name}" must have 1 to 64 characters of a-z, A-Z, 0-9, "_", "." and "-"`);
    }
}
