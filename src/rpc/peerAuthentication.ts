/**
 * Authentication of calls between processes of one cluster. The metadata of each call contains the cluster name, the
 * protocol version, the instance id of the caller, a random nonce and an HMAC-SHA256 of `nonce|instance|cluster|method`
 * keyed with the cluster secret. The secret itself is never sent.
 */
import { Metadata, status } from "@grpc/grpc-js";
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { isObjectName, objectNameDescription } from "../model/objectName.ts";

/** Must be incremented with each change that is incompatible with peers of the previous version. */
export const protocolVersion = 1;

const Header = {
    Cluster: "x-jasmineline-cluster",
    Protocol: "x-jasmineline-protocol",
    Instance: "x-jasmineline-instance",
    Nonce: "x-jasmineline-nonce",
    Signature: "x-jasmineline-signature",
} as const;

const noncePattern = /^[0-9a-f]{32}$/;

/** A shorter secret could be found by brute force from one captured call. */
const minimumSecretLength = 16;

export interface PeerAuthenticationOptions {
    readonly cluster: string;
    readonly instanceId: string;
    /** Shared by all processes of the cluster; at least 16 characters. */
    readonly secret: string;
}

export type AuthenticationResult =
    | { readonly accepted: true; readonly instanceId: string; }
    | { readonly accepted: false; readonly code: status; readonly details: string; };

/** Signs outgoing calls and authenticates incoming calls. */
export class PeerAuthentication {
    private readonly options: PeerAuthenticationOptions;
    private refusals = 0;

    constructor(options: PeerAuthenticationOptions) {
        requireValidName("cluster", options.cluster);
        requireValidName("instance id", options.instanceId);
        if (options.secret.length < minimumSecretLength) {
            throw new Error(`the cluster secret needs at least ${minimumSecretLength} characters`);
        }
        this.options = options;
    }

    /** Number of incoming calls that were refused since the start of the process. */
    get refusedCallCount(): number {
        return this.refusals;
    }

    /**
     * Creates the metadata that authenticates one outgoing call.
     * @param method full path of the gRPC method, for example `/jasmineline.v1.Holder/Work`
     */
    createMetadata(method: string): Metadata {
        const metadata = new Metadata();
        this.sign(metadata, method);
        return metadata;
    }

    /** Adds the authentication headers of one outgoing call to its metadata. */
    sign(metadata: Metadata, method: string): void {
        const { cluster, instanceId } = this.options;
        const nonce = randomBytes(16).toString("hex");
        metadata.set(Header.Cluster, cluster);
        metadata.set(Header.Protocol, String(protocolVersion));
        metadata.set(Header.Instance, instanceId);
        metadata.set(Header.Nonce, nonce);
        metadata.set(Header.Signature, this.computeSignature(nonce, instanceId, method).toString("hex"));
    }

    /** Authenticates an incoming call, and counts refused calls. */
    authenticate(metadata: Metadata, method: string): AuthenticationResult {
        const result = this.verify(metadata, method);
        if (!result.accepted) {
            this.refusals += 1;
        }
        return result;
    }

    private verify(metadata: Metadata, method: string): AuthenticationResult {
        const cluster = readHeader(metadata, Header.Cluster);
        if (cluster !== this.options.cluster) {
            return refused(status.PERMISSION_DENIED, `cluster "${cluster}" is not "${this.options.cluster}"`);
        }
        const version = readHeader(metadata, Header.Protocol);
        if (version !== String(protocolVersion)) {
            const text = `protocol version "${version}" is not ${protocolVersion}; run the same release everywhere`;
            return refused(status.FAILED_PRECONDITION, text);
        }
        const instanceId = readHeader(metadata, Header.Instance);
        const nonce = readHeader(metadata, Header.Nonce);
        if (!isObjectName(instanceId) || !noncePattern.test(nonce)) {
            return refused(status.UNAUTHENTICATED, "malformed peer authentication");
        }
        const expected = this.computeSignature(nonce, instanceId, method);
        if (!bytesEqual(expected, Buffer.from(readHeader(metadata, Header.Signature), "hex"))) {
            return refused(
                status.UNAUTHENTICATED,
                "wrong signature; check that all instances share one cluster secret",
            );
        }
        return { accepted: true, instanceId };
    }

    private computeSignature(nonce: string, instanceId: string, method: string): Buffer {
        const { cluster, secret } = this.options;
        return createHmac("sha256", secret).update(`${nonce}|${instanceId}|${cluster}|${method}`).digest();
    }
}

/** Instance id of the caller; trustworthy only after the call was authenticated. */
export function callerInstanceId(metadata: Metadata): string {
    return readHeader(metadata, Header.Instance);
}

function refused(code: status, details: string): AuthenticationResult {
    return { accepted: false, code, details };
}

function readHeader(metadata: Metadata, name: string): string {
    return String(metadata.get(name)[0] ?? "").slice(0, 256);
}

function bytesEqual(left: Buffer, right: Buffer): boolean {
    return left.length === right.length && timingSafeEqual(left, right);
}

function requireValidName(field: string, name: string): void {
    if (!isObjectName(name)) {
        throw new Error(`the ${field} "${name}" must have ${objectNameDescription}`);
    }
}
